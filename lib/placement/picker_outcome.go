package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/pace"
)

// ResponseStarted records that the head of the response to a request has arrived. It
// returns this entry's usage of the server.
func (p *Picker) ResponseStarted(l *Lease, now time.Time) Usage {
	if !l.responding && !l.done {
		p.endPrefill(l, now)
	}
	return l.state.usage
}

// FirstEvent records that the first event of the response to a request has arrived, or the
// head of a response that is not a stream. It tells how fast a server is whose concurrency
// is limited, and changes nothing else. It returns this entry's usage of the server.
func (p *Picker) FirstEvent(l *Lease, now time.Time) Usage {
	usage := p.ResponseStarted(l, now)
	if !l.firstEvent && !l.done {
		p.endWait(l, now)
		p.judge(l, now)
	}
	return usage
}

// endWait records that a request no longer waits for its first event.
func (p *Picker) endWait(l *Lease, now time.Time) {
	l.firstEvent = true
	if l.FirstEventWanted {
		l.state.addAwaiting(-1, now)
	}
}

func (p *Picker) endPrefill(l *Lease, now time.Time) {
	l.responding = true
	l.state.addUsage(0, -1, -l.promptTokens, now)
	if !l.engine {
		l.state.removeUnanswered(l.started)
	}
}

// Done ends a lease and records its result. It returns this entry's usage of the
// server. Further calls have no effect.
func (p *Picker) Done(l *Lease, result Result, now time.Time) Usage {
	if l.done {
		return l.state.usage
	}
	answered, firstEvent := l.responding, l.firstEvent
	if !answered {
		p.endPrefill(l, now)
	}
	if !firstEvent {
		p.endWait(l, now)
	}
	l.done = true
	s := l.state
	s.addUsage(-1, 0, 0, now)
	if result == Failed || result == Cancelled {
		p.observeResponse(s, l.started, false, now)
	}
	switch result {
	case Answered:
		s.failures, s.ejections = 0, 0
		if !firstEvent && !l.engine {
			// The notice of the first event of an engine may be lost. The end of its stream
			// tells nothing about the start.
			p.judge(l, now)
		}
		p.observeResponse(s, l.started, true, now)
	case Mismatched:
		// An update from the server's agent or its row will clear this.
		s.mismatched = true
		if s.verifiedWeights.sameAs(l.Server) {
			s.verifiedWeights.Until = time.Time{}
		}
		p.eject(s, Mismatched, now)
	case Unreachable:
		if l.entry == "" {
			p.observePace(l, pace.Late, now)
			p.eject(s, Unreachable, now)
			break
		}
		// The fault may be in the network of the other entry.
		p.recordFailure(s, l.entry, Unreachable, now)
	case Failed:
		p.observePace(l, pace.Late, now)
		p.recordFailure(s, l.entry, Failed, now)
	case Cancelled:
		if !firstEvent && (l.FirstEventWanted || !answered) {
			p.judgeWait(l, now)
		}
		if !answered && now.Sub(l.started) >= noResponseThreshold {
			p.recordFailure(s, l.entry, Cancelled, now)
		}
	case Rejected:
	}
	return s.usage
}

// recordFailure counts a failure and ejects the server after EjectAfter consecutive
// ones. Failures of one other entry alone do not eject it for all: that entry's own
// network may be at fault, and it avoids the server by itself.
func (p *Picker) recordFailure(s *server, entry string, cause Result, now time.Time) {
	s.failures++
	alone := entry != "" && (s.failures == 1 || s.lastFailedEntry == entry)
	s.lastFailedEntry = entry
	if s.failures >= p.config.EjectAfter && !alone {
		p.eject(s, cause, now)
	}
}

// eject ejects a server. The duration doubles with each consecutive ejection.
func (p *Picker) eject(s *server, cause Result, now time.Time) {
	if s.ejected(now) {
		return
	}
	duration := min(p.config.MinEject<<min(s.ejections, 10), p.config.MaxEject)
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	p.ejectionsUntil = later(p.ejectionsUntil, s.ejectedUntil)
	if cause != Mismatched {
		p.limitPace(s, pace.Ejection, s.ejectedUntil, min(duration, pace.MaxRamp), now)
	}
	if p.config.OnEject != nil {
		p.config.OnEject(s.listing, duration, cause)
	}
}
