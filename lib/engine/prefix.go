package engine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// PrefixBytes is the length of the beginning of a body that counts as its
// prompt prefix: system prompts and few-shot examples are longer, questions
// are shorter.
const PrefixBytes = 256

// PrefixHash identifies the text of a prompt prefix; a collision costs a cache miss
// and nothing else.
type PrefixHash uint64

// HashPrefix returns the prefix of a request's body.
func HashPrefix(body []byte) PrefixHash {
	return PrefixHash(xxhash.Sum64(body[:min(len(body), PrefixBytes)]))
}

// Block returns the block of the prefix under weights. Equal text under other
// weights gives another block: its cached state is of no use.
func (p PrefixHash) Block(w model.Weights) model.Block {
	b := make([]byte, 0, 2*model.DigestSize+8)
	b = append(b, w.Base[:]...)
	b = append(b, w.Adapter[:]...)
	return model.Block(xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(p))))
}

// String returns the prefix in hexadecimal.
func (p PrefixHash) String() string { return strconv.FormatUint(uint64(p), 16) }
