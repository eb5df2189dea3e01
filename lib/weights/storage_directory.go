package weights

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// stagingMode is the permission of staging files: the engine of the same
// instance may run as another user of the group.
const stagingMode = 0o640

// DirectoryStorage keeps one file per chunk in the engine's staging directory.
type DirectoryStorage struct {
	path string
}

// NewDirectoryStorage returns a sink over an existing or new directory.
func NewDirectoryStorage(path string) (*DirectoryStorage, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, merry.Prepend(err, "staging directory")
	}
	return &DirectoryStorage{path: path}, nil
}

// Put writes the chunk under a temporary name and renames it, so that a
// process that dies while it writes leaves no chunk with a valid name.
func (s *DirectoryStorage) Put(digest model.Digest, data []byte) error {
	f, err := os.CreateTemp(s.path, "incoming-*")
	if err != nil {
		return merry.Prepend(err, "stage chunk")
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(stagingMode), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), s.name(digest))
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return merry.Prepend(err, "stage chunk")
	}
	return nil
}

// Get reads a chunk.
func (s *DirectoryStorage) Get(digest model.Digest) ([]byte, error) {
	data, err := os.ReadFile(s.name(digest))
	if err != nil {
		return nil, merry.Wrap(ErrIncomplete, merry.WithCause(err))
	}
	return data, nil
}

// Remove deletes a chunk.
func (s *DirectoryStorage) Remove(digest model.Digest) error {
	err := os.Remove(s.name(digest))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Wrap(err)
	}
	return nil
}

func (s *DirectoryStorage) name(digest model.Digest) string {
	return filepath.Join(s.path, ChunkFile(digest))
}

// ChunkFile returns the name of a chunk's file in a staging directory.
func ChunkFile(digest model.Digest) string { return digest.String() + ".chunk" }
