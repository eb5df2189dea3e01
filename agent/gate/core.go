package gate

import (
	"slices"
	"time"

	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Core decides on the requests of one agent. It is not safe for concurrent use.
type Core struct {
	config     Config
	quarantine Quarantine
	live       []model.Weights
	draining   bool
	// quiescing is true from StopAdmitting to ResumeAdmitting.
	quiescing bool

	records map[model.AttemptID]*record
	running int
	window  *window
	crashed []crashedRequest
	// limit is the rate limit of the backend server, lastRequestAt the time of the last
	// request to it.
	limit         ratelimit.Limit
	lastRequestAt time.Time
	// heldResponses are the bytes of unconfirmed frames that count against the limit.
	// responsesFull is true if an attempt has found no room for more since ResponsesFull.
	heldResponses int64
	responsesFull bool
}

// crashedRequest is a request that was running when the backend server crashed.
type crashedRequest struct {
	fingerprint model.Fingerprint
	at          time.Time
}

// NewCore returns a core that admits no weights yet. If quarantine is nil, no request
// is quarantined.
func NewCore(config Config, quarantine Quarantine) *Core {
	config = config.applyDefaults()
	return &Core{
		config:     config,
		quarantine: quarantine,
		records:    make(map[model.AttemptID]*record),
		window:     newWindow(config.DuplicateWindow, config.MaxWindowIDs),
	}
}

// SetLive sets the weights for which requests are admitted. For a plain service these
// are the zero Weights.
func (c *Core) SetLive(live []model.Weights) { c.live = slices.Clone(live) }

// Live returns the weights for which requests are currently admitted.
func (c *Core) Live() []model.Weights {
	if c.quiescing || c.draining {
		return nil
	}
	return slices.Clone(c.live)
}

// Running returns the number of attempts that are running on the backend server.
func (c *Core) Running() int { return c.running }

// Empty reports whether no attempt is running and every response was confirmed or
// dropped.
func (c *Core) Empty() bool { return len(c.records) == 0 }

// Drain refuses all further requests.
func (c *Core) Drain() { c.draining = true }

// Draining reports whether Drain was called.
func (c *Core) Draining() bool { return c.draining }

// Admit decides whether to run the attempt of a RequestStart.
func (c *Core) Admit(now time.Time, start *wire.RequestStart) Admission {
	c.window.expire(now)
	if _, ok := c.records[start.Attempt]; ok {
		return Admission{}
	}
	if seen, ok := c.window.get(start.Attempt); ok {
		if seen.refused {
			return refusal(start.Attempt, seen.reason, 0)
		}
		return Admission{}
	}
	if reason, retryAfter := c.refusalReason(now, start); reason != outcome.ReasonNone {
		if !c.window.add(now, start.Attempt, true, reason) {
			return Admission{}
		}
		return refusal(start.Attempt, reason, retryAfter)
	}
	c.window.add(now, start.Attempt, false, outcome.ReasonNone)
	c.records[start.Attempt] = &record{
		attempt:     start.Attempt,
		fingerprint: start.Fingerprint,
		repeatable:  start.Repeatable,
		suspect:     start.Suspect,
		deadline:    now.Add(time.Duration(start.RemainingMillis) * time.Millisecond),
		hash:        blake3.New(),
		running:     true,
	}
	c.running++
	c.lastRequestAt = now
	return Admission{Decision: Admit}
}

// refusalReason returns why a request is refused, or ReasonNone if it is admitted.
func (c *Core) refusalReason(now time.Time, start *wire.RequestStart) (outcome.Reason, time.Duration) {
	switch {
	case start.RemainingMillis <= 0:
		return outcome.ReasonDeadline, 0
	case c.draining:
		return outcome.ReasonDraining, 0
	case c.quiescing || !slices.Contains(c.live, start.Weights):
		return outcome.ReasonWeightsMismatch, 0
	case c.quarantine != nil && c.quarantine.Quarantined(now, start.Fingerprint):
		return outcome.ReasonQuarantined, 0
	case start.BodyDropped:
		return outcome.ReasonMemoryExhausted, c.config.RetryAfter
	case start.Suspect && c.runsSuspect():
		// Two entries may pick this instance for a suspect at the same time.
		return outcome.ReasonOverloaded, c.config.RetryAfter
	case c.running >= c.config.Capacity || c.window.nearlyFull():
		return outcome.ReasonOverloaded, c.config.RetryAfter
	case c.rateLimitWait(now) > 0:
		return outcome.ReasonOverloaded, c.rateLimitWait(now)
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

// AppendFrame adds data to the response of an attempt. It returns false if the replay
// buffer is full. It keeps data, which must not be modified afterwards. Data of an
// attempt that is unknown, ended or truncated is discarded.
func (c *Core) AppendFrame(now time.Time, attempt model.AttemptID, data []byte) bool {
	r, ok := c.records[attempt]
	if !ok || !r.running || r.truncated {
		return true
	}
	if r.replay.bytes > 0 && r.replay.bytes+len(data) > c.config.ReplayBytes || !c.responseFits(r, len(data)) {
		if !r.detached || now.Sub(r.detachedAt) < c.config.ReattachTimeout {
			return false
		}
		// No entry receives the response, but the call must still run to its end.
		r.truncated = true
		return true
	}
	c.heldResponses -= r.replay.countedBytes()
	r.replay.add(data)
	c.heldResponses += r.replay.countedBytes()
	_, _ = r.hash.Write(data)
	return true
}

// responseFits reports whether there is room for more bytes of a response. One that is larger
// than all room fits if nothing else is held.
func (c *Core) responseFits(r *record, bytes int) bool {
	more := max(0, int64(r.replay.bytes+bytes)-freeReplayBytes) - r.replay.countedBytes()
	if more == 0 || c.heldResponses == 0 || c.heldResponses+more <= c.config.MaxResponseBytes {
		return true
	}
	c.responsesFull = true
	return false
}

// ResponsesFull reports whether an attempt has found no room for its response since the last
// call.
func (c *Core) ResponsesFull() bool {
	full := c.responsesFull
	c.responsesFull = false
	return full
}

// HeldResponses returns the number of bytes of responses that count against
// MaxResponseBytes.
func (c *Core) HeldResponses() int64 { return c.heldResponses }

// remove removes the record of an attempt.
func (c *Core) remove(r *record) {
	c.heldResponses -= r.replay.countedBytes()
	delete(c.records, r.attempt)
}

// End records that an attempt on the backend server has ended, and its result.
func (c *Core) End(now time.Time, attempt model.AttemptID, o outcome.Outcome, reason outcome.Reason, status int, contentType string) {
	r, ok := c.records[attempt]
	if !ok || !r.running {
		return
	}
	c.running--
	if reason == outcome.ReasonBackendCrashed {
		c.crashed = append(c.crashed, crashedRequest{r.fingerprint, now})
	}
	r.finish(now, o, reason, status, contentType)
}

// MessageAt returns the message of a response at a sequence number. This is a frame,
// the end if sequence is the number of frames, or nil if there is no message yet. If
// the frame has been dropped, it is an end with ReasonIncomplete.
func (c *Core) MessageAt(attempt model.AttemptID, sequence uint64) wire.Message {
	r, ok := c.records[attempt]
	if !ok {
		return nil
	}
	if data, ok := r.replay.get(sequence); ok {
		return &wire.ResponseFrame{Attempt: attempt, Sequence: sequence, Data: data}
	}
	if sequence < r.replay.firstSequence {
		return &wire.ResponseEnd{Attempt: attempt, Outcome: outcome.Unknown, Reason: outcome.ReasonIncomplete}
	}
	if r.end != nil {
		return r.end
	}
	return nil
}

// Ack drops the frames below next from the replay buffer. If next is greater than the
// number of frames, it confirms the end, and the attempt is removed.
func (c *Core) Ack(attempt model.AttemptID, next uint64) {
	r, ok := c.records[attempt]
	if !ok {
		return
	}
	c.heldResponses -= r.replay.countedBytes()
	r.replay.ack(next)
	c.heldResponses += r.replay.countedBytes()
	if r.end != nil && next > r.end.Frames {
		c.remove(r)
	}
}

// FrameCount returns the number of frames that an attempt has produced so far.
func (c *Core) FrameCount(attempt model.AttemptID) uint64 {
	if r, ok := c.records[attempt]; ok {
		return r.replay.nextSequence()
	}
	return 0
}

// HasFrames reports whether the attempt has produced any frame.
func (c *Core) HasFrames(attempt model.AttemptID) bool { return c.FrameCount(attempt) > 0 }

// HasRecord reports whether the attempt is running or its response is still kept.
func (c *Core) HasRecord(attempt model.AttemptID) bool {
	_, ok := c.records[attempt]
	return ok
}
