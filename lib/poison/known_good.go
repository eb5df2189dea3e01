package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// knownGood remembers fingerprints that backend servers responded to recently, in
// bounded memory. Each response clears one later crash, up to maxCredit: content
// that is sent repeatedly may be in flight on several backend servers that other
// requests crash. A response counts only once, so that content that crashes servers
// at times is not excused forever.
type knownGood struct {
	credits map[model.Fingerprint]credit
	// ring holds the fingerprints in the order in which they were added.
	ring  []model.Fingerprint
	next  int
	limit int
	// maxCredit bounds the crashes that the responses to a fingerprint clear.
	maxCredit int
}

// credit counts the responses to one fingerprint that have cleared no crash.
type credit struct {
	count int
	last  time.Time
}

func newKnownGood(limit, maxCredit int) *knownGood {
	return &knownGood{limit: limit, maxCredit: maxCredit, credits: make(map[model.Fingerprint]credit)}
}

func (k *knownGood) add(now time.Time, fingerprint model.Fingerprint) {
	old, ok := k.credits[fingerprint]
	if !ok {
		if len(k.ring) < k.limit {
			k.ring = append(k.ring, fingerprint)
		} else {
			delete(k.credits, k.ring[k.next])
			k.ring[k.next] = fingerprint
			k.next = (k.next + 1) % k.limit
		}
	}
	k.credits[fingerprint] = credit{count: min(old.count+1, k.maxCredit), last: now}
}

// answeredWithin reports whether a backend server has responded to the fingerprint within
// a period.
func (k *knownGood) answeredWithin(now time.Time, fingerprint model.Fingerprint, period time.Duration) bool {
	c, ok := k.credits[fingerprint]
	return ok && period > 0 && now.Sub(c.last) <= period
}

// spend reports whether a response within ttl clears a crash, and uses it up. The
// fingerprint keeps its place in the ring.
func (k *knownGood) spend(now time.Time, fingerprint model.Fingerprint, ttl time.Duration) bool {
	c, ok := k.credits[fingerprint]
	if !ok || c.count == 0 || now.Sub(c.last) > ttl {
		return false
	}
	k.credits[fingerprint] = credit{count: c.count - 1, last: c.last}
	return true
}
