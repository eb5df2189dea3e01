package weights

import "github.com/ansel1/merry/v2"

var (
	// ErrManifestDigest means that a manifest is not the one that was asked for.
	ErrManifestDigest = merry.New("manifest digest mismatch")
	// ErrManifestInvalid means that a manifest breaks the limits of the format.
	ErrManifestInvalid = merry.New("invalid manifest")
	// ErrChunkCorrupt means that a chunk's bytes do not have its digest.
	ErrChunkCorrupt = merry.New("chunk digest mismatch")
	// ErrIncomplete means that chunks of a manifest are missing.
	ErrIncomplete = merry.New("weights incomplete")
	// ErrStoreFull means that the bound of the staging area leaves no room.
	ErrStoreFull = merry.New("chunk store full")
)
