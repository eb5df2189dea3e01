package daemon

import (
	"crypto/rand"
	"encoding/binary"
)

// RandomUint64 returns a cryptographically random number for generations and seeds,
// which must differ between processes that start at the same time.
func RandomUint64() uint64 {
	var b [8]byte
	// Read never returns an error: on failure the runtime crashes the process.
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
