package attempt

import (
	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/model"
)

// response verifies the frames of one attempt: their order, count and running
// digest. After a continuation on another instance it also compares the bytes
// already forwarded to the caller with those of the new attempt.
type response struct {
	nextSequence uint64
	bytes        int64
	hasher       *blake3.Hasher

	// prefixBytes is the number of bytes forwarded to the caller by earlier
	// attempts and prefixDigest their digest. The first prefixBytes bytes of this
	// attempt must have the same digest.
	prefixBytes  int64
	prefixDigest model.Digest
}

func (r *response) reset(prefixBytes int64, prefixDigest model.Digest) {
	if r.hasher == nil {
		r.hasher = blake3.New()
	} else {
		r.hasher.Reset()
	}
	r.nextSequence, r.bytes, r.prefixBytes, r.prefixDigest = 0, 0, prefixBytes, prefixDigest
}

// add adds the next frame in sequence and returns the number of its leading
// bytes that the caller already has. It returns false if the attempt differs
// from the bytes forwarded before.
func (r *response) add(data []byte) (skip int, ok bool) {
	r.nextSequence++
	before := r.bytes
	r.bytes += int64(len(data))
	if before >= r.prefixBytes {
		_, _ = r.hasher.Write(data)
		return 0, true
	}
	skip = int(min(r.prefixBytes-before, int64(len(data))))
	_, _ = r.hasher.Write(data[:skip])
	if r.bytes >= r.prefixBytes && r.sum() != r.prefixDigest {
		return skip, false
	}
	_, _ = r.hasher.Write(data[skip:])
	return skip, true
}

// inPrefix reports whether the next frame starts within the bytes that the
// caller already has.
func (r *response) inPrefix() bool { return r.bytes < r.prefixBytes }

func (r *response) sum() model.Digest {
	var d model.Digest
	r.hasher.Sum(d[:0])
	return d
}

// complete reports whether all frames have arrived with the digest that the
// agent sent.
func (r *response) complete(frames uint64, digest model.Digest) bool {
	return r.nextSequence == frames && r.bytes >= r.prefixBytes && r.sum() == digest
}
