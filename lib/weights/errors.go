package weights

import "github.com/ansel1/merry/v2"

var (
	// ErrManifestDigest means that a manifest doesn't have the expected digest.
	ErrManifestDigest = merry.New("manifest digest mismatch")
	// ErrManifestInvalid means that a manifest is malformed or outside the limits
	// of the format.
	ErrManifestInvalid = merry.New("invalid manifest")
	// ErrChunkCorrupt means that data doesn't match the size and digest of its chunk.
	ErrChunkCorrupt = merry.New("chunk digest mismatch")
	// ErrChunkChanged means that the stored data of a chunk was written or replaced,
	// even if it matches its digest again.
	ErrChunkChanged = merry.New("stored chunk was changed")
	// ErrIncomplete means that chunks are missing.
	ErrIncomplete = merry.New("weights incomplete")
	// ErrStoreFull means that the size limit of the staging area is reached.
	ErrStoreFull = merry.New("chunk store full")
)
