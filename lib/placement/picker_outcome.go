package placement

import "time"

// ResponseStarted takes note that the first answer of a request has arrived. It
// returns what this entry has at the server.
func (p *Picker) ResponseStarted(l *Lease, now time.Time) Usage {
	s := l.state
	if !l.answering && !l.done {
		l.answering = true
		s.change(0, -1, -l.prompt, now)
	}
	return s.own
}

// Done ends a lease. It returns what this entry has at the server.
func (p *Picker) Done(l *Lease, result Result, now time.Time) Usage {
	if l.done {
		return l.state.own
	}
	answered := l.answering
	p.ResponseStarted(l, now)
	l.done = true
	s := l.state
	s.change(-1, 0, 0, now)
	switch result {
	case Answered:
		s.failures, s.ejections = 0, 0
		s.smoothAnswer(now.Sub(l.started))
	case Mismatched:
		// News of the server are on their way, by its agent or its row.
		s.mismatched = true
		p.eject(s, Mismatched, now)
	case Unreachable:
		if l.holder == "" {
			p.eject(s, Unreachable, now)
			break
		}
		// The way from another entry may be at fault.
		p.failed(s, l.holder, Unreachable, now)
	case Failed:
		p.failed(s, l.holder, Failed, now)
	case Cancelled:
		if !answered && now.Sub(l.started) >= silentAfter {
			p.failed(s, l.holder, Cancelled, now)
		}
	case Rejected:
	}
	return s.own
}

func (s *server) smoothAnswer(took time.Duration) {
	if s.answerTime == 0 {
		s.answerTime = took
		return
	}
	s.answerTime += (took - s.answerTime) / 8
}

// failed counts a failure and ejects the server after several in a row. Those of
// one other entry alone eject nothing: its own links may be at fault, and it keeps
// away from the server by itself.
func (p *Picker) failed(s *server, holder string, because Result, now time.Time) {
	s.failures++
	alone := holder != "" && (s.failures == 1 || s.failedFor == holder)
	s.failedFor = holder
	if s.failures >= p.config.EjectAfter && !alone {
		p.eject(s, because, now)
	}
}

// eject keeps requests away for a while that doubles with each time.
func (p *Picker) eject(s *server, because Result, now time.Time) {
	if s.ejected(now) {
		return
	}
	while := min(p.config.MinEject<<min(s.ejections, 10), p.config.MaxEject)
	s.ejections++
	s.ejectedUntil = now.Add(while)
	if p.config.OnEject != nil {
		p.config.OnEject(s.seen, while, because)
	}
}
