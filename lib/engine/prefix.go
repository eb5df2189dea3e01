package engine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// PrefixBytes is the number of leading body bytes that are hashed as the prompt
// prefix. System prompts and few-shot examples are longer than this, questions are
// shorter.
const PrefixBytes = 256

// PrefixHash identifies the text of a prompt prefix. A collision only causes a cache
// miss.
type PrefixHash uint64

// HashPrefix returns the hash of the prompt prefix of a request body.
func HashPrefix(body []byte) PrefixHash {
	return PrefixHash(xxhash.Sum64(body[:min(len(body), PrefixBytes)]))
}

// Block returns the block for the prefix under the given weights. The same text
// under other weights is a different block, because its cached state cannot be
// reused.
func (p PrefixHash) Block(w model.Weights) model.Block {
	b := make([]byte, 0, 2*model.DigestSize+8)
	b = append(b, w.Base[:]...)
	b = append(b, w.Adapter[:]...)
	return model.Block(xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(p))))
}

// String returns the hash in hexadecimal.
func (p PrefixHash) String() string { return strconv.FormatUint(uint64(p), 16) }
