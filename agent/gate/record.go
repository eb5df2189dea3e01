package gate

import (
	"time"

	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// record holds the state of an admitted attempt until its response is confirmed or
// dropped.
type record struct {
	attempt     model.AttemptID
	fingerprint model.Fingerprint
	repeatable  bool
	suspect     bool
	deadline    time.Time

	replay  replayBuffer
	hash    *blake3.Hasher // over the data of all frames
	running bool
	// truncated is true if frames were dropped, so that the response is incomplete.
	truncated bool

	end     *wire.ResponseEnd // nil while running
	endedAt time.Time

	// detached is true while the attempt has no connection to an entry.
	detached   bool
	detachedAt time.Time
}

// finish records the end of the response.
func (r *record) finish(now time.Time, o outcome.Outcome, reason outcome.Reason, status int, contentType string) {
	if r.truncated && (o == outcome.Completed || o == outcome.Failed) {
		o, reason = outcome.Unknown, outcome.ReasonIncomplete
	}
	end := &wire.ResponseEnd{
		Attempt:     r.attempt,
		Outcome:     o,
		Reason:      reason,
		Status:      status,
		ContentType: contentType,
		Frames:      r.replay.nextSequence(),
	}
	r.hash.Sum(end.Digest[:0])
	r.end, r.endedAt, r.running = end, now, false
}
