package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Superseded takes note that a later start of a server has its address.
func (p *Picker) Superseded(key directory.Key) { p.server(key).superseded = true }

// Neighbour takes what another entry has at a server.
func (p *Picker) Neighbour(key directory.Key, entry string, u Usage, now time.Time) {
	s := p.server(key)
	if s.neighbours == nil {
		s.neighbours = make(map[string]neighbour)
	}
	s.sinceReport += u.Running - s.neighbours[entry].Running
	s.neighbours[entry] = neighbour{Usage: u, at: now}
}

// Report takes an agent's report on a server.
func (p *Picker) Report(key directory.Key, load Load, now time.Time) {
	s := p.server(key)
	if !load.Closed && (s.load.Closed || s.openedAt.IsZero()) {
		s.openedAt = now
	}
	s.load, s.loadAt, s.sinceReport = load, now, 0
	s.foreignTokens = max(0, load.ReadingTokens-s.known(now).ReadingTokens)
}

// Hint takes the counts that a server adds to its answers. They tell nothing of
// its pace and of whether it takes requests.
func (p *Picker) Hint(key directory.Key, running, waiting int, now time.Time) {
	s := p.server(key)
	s.load.Running, s.load.Waiting = running, waiting
	s.loadAt, s.sinceReport = now, 0
}

// Forget drops the state of servers that are no longer listed and idle.
func (p *Picker) Forget() {
	listed := make(map[directory.Key]bool, p.directory.Len())
	p.directory.All(func(s *directory.Server) { listed[s.Key()] = true })
	for key, s := range p.servers {
		if !listed[key] && s.own.Running == 0 {
			delete(p.servers, key)
		}
	}
}
