package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// proven remembers fingerprints that a backend server answered not long ago, in
// bounded memory. Each answer clears one later crash: content that is sent again
// and again may be in flight on two backend servers that other requests crash.
// An answer counts once, so content that crashes only at times is not excused
// for good.
type proven struct {
	answers map[model.Fingerprint]time.Time
	// ring holds the fingerprints in the order in which they came.
	ring  []model.Fingerprint
	next  int
	limit int
}

func newProven(limit int) *proven {
	return &proven{limit: limit, answers: make(map[model.Fingerprint]time.Time)}
}

func (p *proven) add(now time.Time, finger model.Fingerprint) {
	if _, ok := p.answers[finger]; !ok {
		if len(p.ring) < p.limit {
			p.ring = append(p.ring, finger)
		} else {
			delete(p.answers, p.ring[p.next])
			p.ring[p.next] = finger
			p.next = (p.next + 1) % p.limit
		}
	}
	p.answers[finger] = now
}

// use reports whether an answer within ttl clears a crash, and spends it. Its
// place in the ring stays taken.
func (p *proven) use(now time.Time, finger model.Fingerprint, ttl time.Duration) bool {
	at, ok := p.answers[finger]
	if !ok || at.IsZero() || now.Sub(at) > ttl {
		return false
	}
	p.answers[finger] = time.Time{}
	return true
}
