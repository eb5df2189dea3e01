package attempt

import (
	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/model"
)

// answer checks the frames of one attempt: their order, their count and the
// running digest. After a continuation it also compares the bytes that the
// caller already has with those of the new attempt.
type answer struct {
	next  uint64
	bytes int64
	hash  *blake3.Hasher

	// prefix is the number of bytes that the caller has from earlier attempts
	// and prefixSum their digest; the first prefix bytes must hash to it.
	prefix    int64
	prefixSum model.Digest
}

func (a *answer) restart(prefix int64, sum model.Digest) {
	if a.hash == nil {
		a.hash = blake3.New()
	} else {
		a.hash.Reset()
	}
	a.next, a.bytes, a.prefix, a.prefixSum = 0, 0, prefix, sum
}

// add takes the next frame in order and returns the number of leading bytes
// that the caller has already. It returns false when the new attempt says
// something else than what the caller was told.
func (a *answer) add(data []byte) (skip int, ok bool) {
	a.next++
	before := a.bytes
	a.bytes += int64(len(data))
	if before >= a.prefix {
		_, _ = a.hash.Write(data)
		return 0, true
	}
	skip = int(min(a.prefix-before, int64(len(data))))
	_, _ = a.hash.Write(data[:skip])
	if a.bytes >= a.prefix && a.sum() != a.prefixSum {
		return skip, false
	}
	_, _ = a.hash.Write(data[skip:])
	return skip, true
}

// inPrefix reports whether the next frame repeats bytes that the caller has.
func (a *answer) inPrefix() bool { return a.bytes < a.prefix }

func (a *answer) sum() model.Digest {
	var d model.Digest
	a.hash.Sum(d[:0])
	return d
}

// complete reports whether the whole answer arrived as the agent sent it.
func (a *answer) complete(frames uint64, digest model.Digest) bool {
	return a.next == frames && a.bytes >= a.prefix && a.sum() == digest
}
