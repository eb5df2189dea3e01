package daemon

import (
	"crypto/rand"
	"encoding/binary"
)

// RandomUint64 returns a number that differs between processes that start at
// once, for generations and seeds.
func RandomUint64() uint64 {
	var b [8]byte
	// Read never fails: the runtime stops the process instead.
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
