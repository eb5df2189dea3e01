package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// proven remembers fingerprints that a backend server answered not long ago, in
// bounded memory. Each answer clears one later crash, up to credit of them: content
// that is sent again and again may be in flight on several backend servers that
// other requests crash. An answer counts once, so content that crashes only at times
// is not excused for good.
type proven struct {
	answers map[model.Fingerprint]answers
	// ring holds the fingerprints in the order in which they came.
	ring  []model.Fingerprint
	next  int
	limit int
	// credit bounds the crashes that answers clear.
	credit int
}

// answers are those to one fingerprint that have cleared no crash.
type answers struct {
	count int
	last  time.Time
}

func newProven(limit, credit int) *proven {
	return &proven{limit: limit, credit: credit, answers: make(map[model.Fingerprint]answers)}
}

func (p *proven) add(now time.Time, finger model.Fingerprint) {
	known, ok := p.answers[finger]
	if !ok {
		if len(p.ring) < p.limit {
			p.ring = append(p.ring, finger)
		} else {
			delete(p.answers, p.ring[p.next])
			p.ring[p.next] = finger
			p.next = (p.next + 1) % p.limit
		}
	}
	p.answers[finger] = answers{count: min(known.count+1, p.credit), last: now}
}

// use reports whether an answer within ttl clears a crash, and spends it. Its
// place in the ring stays taken.
func (p *proven) use(now time.Time, finger model.Fingerprint, ttl time.Duration) bool {
	known, ok := p.answers[finger]
	if !ok || known.count == 0 || now.Sub(known.last) > ttl {
		return false
	}
	p.answers[finger] = answers{count: known.count - 1, last: known.last}
	return true
}
