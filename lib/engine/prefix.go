package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixBytes is the length of the beginning of a body that counts as its
// prompt prefix: system prompts and few-shot examples are longer, questions
// are shorter.
const PrefixBytes = 256

// Prefix identifies a prompt prefix for affinity; a collision costs a cache
// miss and nothing else.
type Prefix uint64

// PrefixOf returns the prefix of a request's body.
func PrefixOf(body []byte) Prefix {
	return Prefix(xxhash.Sum64(body[:min(len(body), PrefixBytes)]))
}

// String returns the prefix in hexadecimal.
func (p Prefix) String() string { return strconv.FormatUint(uint64(p), 16) }
