package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/watch"
)

// maxDeletedRows is the maximum number of deleted rows that a Cache keeps.
const maxDeletedRows = 1000

// Cache holds the rows of one table as known to this instance. It is safe for
// concurrent use.
type Cache struct {
	config Config

	// mu protects the following fields.
	mu   sync.Mutex
	rows map[string]row
	// position is the state of the last answer; its revision is negative before the first
	// one.
	position watch.Position
	// historyStart is the oldest revision of the era since which all changes are known.
	historyStart int64
	// deletedCount is the number of deleted rows in rows.
	deletedCount int
	// outageEndRevision is the revision of the first answer after the last
	// outage of the store.
	outageEndRevision int64
	// confirmedAt is the time of the last answer. confirmedDirectly is true if
	// it came from the store itself and false if it came through another
	// instance.
	confirmedAt       time.Time
	confirmedDirectly bool
	// ages bounds the age of the rows; nil if it is not known.
	ages *rowage.Tracker
	// knownAt is the earliest time at which position was current, on the clock of ages.
	knownAt time.Time
	// transfer is the answer of the store that is arriving.
	transfer transfer
	standIn  standIn
	// changed is closed and replaced when the rows change, and when the store itself
	// confirms rows that came through another instance.
	changed chan struct{}
}

// NewCache returns an empty Cache. A MaxPropagation that is not set is replaced
// by a default.
func NewCache(config Config) *Cache {
	if config.MaxPropagation <= 0 {
		config.MaxPropagation = defaultMaxPropagation
	}
	return &Cache{config: config, rows: make(map[string]row), position: watch.Position{Revision: -1}, changed: make(chan struct{})}
}

// trackAges makes the cache tell followers the age of rows.
func (c *Cache) trackAges(ages *rowage.Tracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ages = ages
}

// replace replaces all rows by the result of a full read. A result that is
// older than the known state is ignored. Rows that are missing in it were
// deleted at its revision at the latest, so that the history goes on: followers
// read the changes and not all rows. The history of a restored store starts anew.
func (c *Cache) replace(rows watch.Rows, direct bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if direct {
		c.transfer = transfer{}
	}
	if rows.Position().Compare(c.position) < 0 {
		return
	}
	if rows.Era != c.position.Era {
		clear(c.rows)
		c.deletedCount, c.outageEndRevision = 0, 0
	}
	before := maps.Clone(c.rows)
	if c.position.Revision < 0 || rows.Era != c.position.Era {
		c.historyStart = rows.Revision
	}
	present := make(map[string]bool, len(rows.Rows))
	for _, r := range rows.Rows {
		present[r.Key] = true
	}
	for key, r := range c.rows {
		if !present[key] && !r.Deleted {
			c.rows[key] = row{Key: key, Deleted: true, Revision: rows.Revision}
			c.deletedCount++
		}
	}
	c.merge(rows, direct, now)
	for key, r := range c.rows {
		if old := before[key]; old.Revision == r.Revision && r.writtenAfter.IsZero() {
			r.writtenAfter = old.writtenAfter
			c.rows[key] = r
		}
	}
}

// apply adds the changes since a state. They are ignored unless that is the known one and
// they are of the same era.
func (c *Cache) apply(since watch.Position, rows watch.Rows, direct bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if direct {
		c.transfer = transfer{}
	}
	if since != c.position || rows.Era != since.Era || rows.Revision < since.Revision {
		return
	}
	c.merge(rows, direct, now)
}

// merge stores the rows of an answer and wakes up waiting queries if the state has
// changed. The caller holds c.mu.
func (c *Cache) merge(rows watch.Rows, direct bool, now time.Time) {
	for _, r := range rows.Rows {
		if c.rows[r.Key].Deleted {
			c.deletedCount--
		}
		if r.Deleted {
			c.deletedCount++
		}
		c.rows[r.Key] = encodeRow(r)
	}
	changed := rows.Position() != c.position || direct && !c.confirmedDirectly
	c.position = rows.Position()
	if rows.AfterOutage {
		c.outageEndRevision = rows.Revision
		if rows.Relayed {
			c.outageEndRevision = rows.OutageEnd
		}
	}
	c.confirmedAt, c.confirmedDirectly = now, direct
	if c.ages != nil {
		c.knownAt = c.ages.KnownAt()
	}
	if c.deletedCount > maxDeletedRows {
		c.dropDeleted()
	}
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// dropDeleted removes the deleted rows. Followers at an older revision must
// then read all rows. The caller holds c.mu.
func (c *Cache) dropDeleted() {
	for key, r := range c.rows {
		if r.Deleted {
			delete(c.rows, key)
		}
	}
	c.deletedCount, c.historyStart = 0, c.position.Revision
}

// known returns the state of the last answer. Its revision is negative before the first one.
func (c *Cache) known() watch.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// empty reports whether there is no row.
func (c *Cache) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rows) == c.deletedCount
}

// direct reports whether the last answer came from the store itself.
func (c *Cache) direct() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedDirectly
}

// freshness is whether other instances may follow this one.
type freshness struct {
	// recent is set if the rows were confirmed recently enough to be answered.
	recent bool
	// waiting is set if queries may wait for the answer of the store that is arriving:
	// followers that read the store as well would only delay it. The rows themselves may be
	// older than those that the followers have.
	waiting bool
	// ends is when this changes unless the store confirms the rows before.
	ends time.Time
	// age is the time since the rows were confirmed.
	age time.Duration
}

// freshness returns whether other instances may follow this one. If direct is true, the rows
// must have been confirmed by the store itself.
func (c *Cache) freshness(direct bool, now time.Time) freshness {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := freshness{age: now.Sub(c.confirmedAt)}
	if c.position.Revision < 0 || direct && !c.confirmedDirectly {
		return f
	}
	f.ends = c.confirmedAt.Add(fraction(c.config.MaxPropagation, staleFraction))
	if f.recent = !now.After(f.ends); !f.recent {
		f.ends = c.transfer.extendsUntil(c.confirmedAt, c.config.MaxPropagation)
		f.waiting = !now.After(f.ends) && c.transfer.active(now, c.config.MaxPropagation)
	}
	return f
}

// fresh reports whether other instances may follow this one.
func (c *Cache) fresh(direct bool, now time.Time) bool {
	f := c.freshness(direct, now)
	return f.recent || f.waiting
}

// changesSince returns the changes after a state, or all rows if its revision is
// negative. The returned channel is closed at the next change.
func (c *Cache) changesSince(since watch.Position) (a answer, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := since.Revision
	switch {
	case c.position.Revision < 0 || since.Compare(c.position) > 0:
		// The follower is ahead of this instance.
		return answer{Stale: true}, c.changed
	case revision >= 0 && (since.Era < c.position.Era || revision < c.historyStart):
		return answer{HistoryLost: true}, c.changed
	}
	var now time.Time
	if c.ages != nil {
		now = c.ages.Now()
	}
	a = answer{Revision: c.position.Revision, Era: c.position.Era, Age: ageAt(now, c.knownAt)}
	if revision >= 0 && c.outageEndRevision > revision {
		a.AfterOutage, a.OutageEnd = true, c.outageEndRevision
	}
	for _, r := range c.rows {
		if revision < 0 && !r.Deleted || revision >= 0 && r.Revision > revision {
			r.Age = ageAt(now, r.writtenAfter)
			a.Rows = append(a.Rows, r)
		}
	}
	slices.SortFunc(a.Rows, func(x, y row) int { return int(x.Revision - y.Revision) })
	return a, c.changed
}
