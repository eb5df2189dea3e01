package gate

import (
	"time"

	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// record is one admitted attempt, until its answer is confirmed or given up.
type record struct {
	attempt    model.AttemptID
	finger     model.Fingerprint
	repeatable bool
	suspect    bool
	deadline   time.Time

	replay  replay
	hash    *blake3.Hasher
	running bool
	// truncated is set when frames were dropped: the answer cannot complete.
	truncated bool

	end     *wire.ResponseEnd
	endedAt time.Time

	detached   bool
	detachedAt time.Time
}

// finish fixes the end of the answer.
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
		Frames:      r.replay.next(),
	}
	r.hash.Sum(end.Digest[:0])
	r.end, r.endedAt, r.running = end, now, false
}
