package weights

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"github.com/auburnbend/auburnbend/lib/model"
)

// stagingFileMode is the permission of staging files. The engine of the same
// instance may run as another user of the group.
const stagingFileMode = 0o640

// DirectoryStorage stores one file per chunk in the engine's staging directory.
type DirectoryStorage struct {
	path string
}

const (
	// incomingPrefix begins the names of files that are being written.
	incomingPrefix = "incoming-"
	chunkSuffix    = ".chunk"
)

// NewDirectoryStorage returns an empty storage in a directory, which it creates if
// necessary. It deletes the chunks of an earlier process: no Store counts them, so they
// would exceed its size limit.
func NewDirectoryStorage(path string) (*DirectoryStorage, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, merry.Prepend(err, "create staging directory")
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, merry.Prepend(err, "list staging directory")
	}
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), incomingPrefix) && !strings.HasSuffix(e.Name(), chunkSuffix) {
			continue
		}
		if err := os.Remove(filepath.Join(path, e.Name())); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, merry.Prepend(err, "empty staging directory")
		}
	}
	return &DirectoryStorage{path: path}, nil
}

// Put writes the chunk to a temporary file and renames it, so that a process
// that stops while writing leaves no partial file under a valid name.
func (s *DirectoryStorage) Put(digest model.Digest, data []byte) error {
	f, err := os.CreateTemp(s.path, incomingPrefix+"*")
	if err != nil {
		return merry.Prepend(err, "write staging file")
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(stagingFileMode), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), s.file(digest))
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return merry.Prepend(err, "write staging file")
	}
	return nil
}

// Get reads a chunk. It returns ErrIncomplete if the file cannot be read.
func (s *DirectoryStorage) Get(digest model.Digest) ([]byte, error) {
	data, err := os.ReadFile(s.file(digest))
	if err != nil {
		return nil, merry.Wrap(ErrIncomplete, merry.WithCause(err))
	}
	return data, nil
}

// Stamp returns the stamp of a chunk's file. It returns ErrIncomplete if there is none.
func (s *DirectoryStorage) Stamp(digest model.Digest) (Stamp, error) {
	var stat unix.Stat_t
	if err := unix.Stat(s.file(digest), &stat); err != nil {
		return Stamp{}, merry.Wrap(ErrIncomplete, merry.WithCause(err))
	}
	return Stamp{Inode: stat.Ino, Size: stat.Size, ChangedAt: stat.Ctim.Nano()}, nil
}

// Remove deletes a chunk.
func (s *DirectoryStorage) Remove(digest model.Digest) error {
	err := os.Remove(s.file(digest))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Wrap(err)
	}
	return nil
}

func (s *DirectoryStorage) file(digest model.Digest) string {
	return filepath.Join(s.path, ChunkFile(digest))
}

// ChunkFile returns the name of a chunk's file in a staging directory.
func ChunkFile(digest model.Digest) string { return digest.String() + chunkSuffix }
