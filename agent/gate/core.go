package gate

import (
	"slices"
	"time"

	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Core decides for one agent.
type Core struct {
	config     Config
	quarantine Quarantine
	live       []model.Weights
	draining   bool
	switching  bool

	records map[model.AttemptID]*record
	running int
	window  *window
	lost    []lostFinger
}

// lostFinger is a request that failed together with the backend server.
type lostFinger struct {
	finger model.Fingerprint
	at     time.Time
}

// NewCore returns a core that serves no weights yet. A nil quarantine knows no
// suspects.
func NewCore(config Config, quarantine Quarantine) *Core {
	config = config.applyDefaults()
	return &Core{
		config:     config,
		quarantine: quarantine,
		records:    make(map[model.AttemptID]*record),
		window:     newWindow(config.DuplicateWindow, config.MaxWindowIDs),
	}
}

// SetLive sets the weights that may be served. A plain service serves the zero
// Weights.
func (c *Core) SetLive(live []model.Weights) { c.live = slices.Clone(live) }

// Live returns the weights that requests are admitted for now.
func (c *Core) Live() []model.Weights {
	if c.switching || c.draining {
		return nil
	}
	return slices.Clone(c.live)
}

// Running returns the number of attempts on the backend server.
func (c *Core) Running() int { return c.running }

// Empty reports whether no attempt runs and every answer is confirmed or given
// up.
func (c *Core) Empty() bool { return len(c.records) == 0 }

// Drain refuses all new requests from now on.
func (c *Core) Drain() { c.draining = true }

// Draining reports whether Drain was called.
func (c *Core) Draining() bool { return c.draining }

// Admit decides on a RequestStart.
func (c *Core) Admit(now time.Time, start *wire.RequestStart) Admission {
	c.window.expire(now)
	if _, ok := c.records[start.Attempt]; ok {
		return Admission{}
	}
	if s, ok := c.window.get(start.Attempt); ok {
		if s.refused {
			return refusal(start.Attempt, s.reason, 0)
		}
		return Admission{}
	}
	if reason, retryAfter := c.check(now, start); reason != outcome.ReasonNone {
		if !c.window.add(now, start.Attempt, true, reason) {
			return Admission{}
		}
		return refusal(start.Attempt, reason, retryAfter)
	}
	c.window.add(now, start.Attempt, false, outcome.ReasonNone)
	c.records[start.Attempt] = &record{
		attempt:    start.Attempt,
		finger:     start.Fingerprint,
		repeatable: start.Repeatable,
		suspect:    start.Suspect,
		deadline:   now.Add(time.Duration(start.RemainingMillis) * time.Millisecond),
		hash:       blake3.New(),
		running:    true,
	}
	c.running++
	return Admission{Decision: Admit}
}

func (c *Core) check(now time.Time, start *wire.RequestStart) (outcome.Reason, time.Duration) {
	switch {
	case start.RemainingMillis <= 0:
		return outcome.ReasonDeadline, 0
	case c.draining:
		return outcome.ReasonDraining, 0
	case c.switching || !slices.Contains(c.live, start.Weights):
		return outcome.ReasonWeightsMismatch, 0
	case c.quarantine != nil && c.quarantine.Quarantined(now, start.Fingerprint):
		return outcome.ReasonQuarantined, 0
	case start.Suspect && c.runsSuspect():
		// Entries may pick the same instance for two suspects at the same time.
		return outcome.ReasonOverloaded, c.config.RetryAfter
	case c.running >= c.config.Capacity || c.window.full():
		return outcome.ReasonOverloaded, c.config.RetryAfter
	default:
		return outcome.ReasonNone, 0
	}
}

func (c *Core) runsSuspect() bool {
	for _, r := range c.records {
		if r.running && r.suspect {
			return true
		}
	}
	return false
}

func refusal(attempt model.AttemptID, reason outcome.Reason, retryAfter time.Duration) Admission {
	return Admission{Decision: Refuse, Refusal: &wire.RequestRefused{
		Attempt: attempt, Reason: reason, RetryAfterMillis: retryAfter.Milliseconds(),
	}}
}

// AppendFrame takes a piece of the answer. It returns false while the replay buffer is
// full; data is kept and must not change afterwards.
func (c *Core) AppendFrame(now time.Time, attempt model.AttemptID, data []byte) bool {
	r, ok := c.records[attempt]
	if !ok || !r.running || r.truncated {
		return true
	}
	if r.replay.bytes > 0 && r.replay.bytes+len(data) > c.config.ReplayBytes {
		if !r.detached || now.Sub(r.detachedAt) < c.config.ReattachTimeout {
			return false
		}
		// Nobody takes the answer. The call must still reach its end.
		r.truncated = true
		return true
	}
	r.replay.add(data)
	_, _ = r.hash.Write(data)
	return true
}

// End records that the backend server is done with an attempt, in whatever way.
func (c *Core) End(now time.Time, attempt model.AttemptID, o outcome.Outcome, reason outcome.Reason, status int, contentType string) {
	r, ok := c.records[attempt]
	if !ok || !r.running {
		return
	}
	c.running--
	if reason == outcome.ReasonBackendCrashed {
		c.lost = append(c.lost, lostFinger{r.finger, now})
	}
	r.finish(now, o, reason, status, contentType)
}

// MessageAt returns the message of the answer at a sequence number: a frame, the
// end when sequence is the number of frames, or nil when there is none yet. A
// sequence number whose frame is gone gets an end that says so.
func (c *Core) MessageAt(attempt model.AttemptID, sequence uint64) wire.Message {
	r, ok := c.records[attempt]
	if !ok {
		return nil
	}
	if data, ok := r.replay.get(sequence); ok {
		return &wire.ResponseFrame{Attempt: attempt, Sequence: sequence, Data: data}
	}
	if sequence < r.replay.base {
		return &wire.ResponseEnd{Attempt: attempt, Outcome: outcome.Unknown, Reason: outcome.ReasonIncomplete}
	}
	if r.end != nil {
		return r.end
	}
	return nil
}

// Ack frees the replay buffer below next. An ack beyond the last frame confirms
// the end, and the attempt is forgotten.
func (c *Core) Ack(attempt model.AttemptID, next uint64) {
	r, ok := c.records[attempt]
	if !ok {
		return
	}
	r.replay.ack(next)
	if r.end != nil && next > r.end.Frames {
		delete(c.records, attempt)
	}
}

// FrameCount returns the number of frames of an attempt so far.
func (c *Core) FrameCount(attempt model.AttemptID) uint64 {
	if r, ok := c.records[attempt]; ok {
		return r.replay.next()
	}
	return 0
}

// HasFrames reports whether the attempt has any answer.
func (c *Core) HasFrames(attempt model.AttemptID) bool { return c.FrameCount(attempt) > 0 }

// HasRecord reports whether the attempt's answer is still kept.
func (c *Core) HasRecord(attempt model.AttemptID) bool {
	_, ok := c.records[attempt]
	return ok
}
