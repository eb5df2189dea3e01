package placement

import "time"

// Answering takes note that the first answer of a request has arrived. It
// returns what this entry has at the server.
func (p *Picker) Answering(l *Lease, _ time.Time) Usage {
	s := l.state
	if !l.answering && !l.done {
		l.answering = true
		s.own.Reading--
		s.own.ReadingTokens -= l.prompt
	}
	return s.own
}

// Done ends a lease. It returns what this entry has at the server.
func (p *Picker) Done(l *Lease, result Result, now time.Time) Usage {
	if l.done {
		return l.state.own
	}
	answered := l.answering
	p.Answering(l, now)
	l.done = true
	s := l.state
	s.own.Running--
	s.sinceReport--
	switch result {
	case Answered:
		s.failures, s.ejections = 0, 0
		s.smoothAnswer(now.Sub(l.started))
	case Mismatched:
		// News of the server are on their way, by its agent or its row.
		s.mismatched = true
		p.eject(s, Mismatched, now)
	case Unreachable:
		p.eject(s, Unreachable, now)
	case Failed:
		p.failed(s, Failed, now)
	case Cancelled:
		if !answered && now.Sub(l.started) >= silentAfter {
			p.failed(s, Cancelled, now)
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

// failed counts a failure and ejects the server after several in a row.
func (p *Picker) failed(s *server, because Result, now time.Time) {
	s.failures++
	if s.failures >= p.config.EjectAfter {
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
