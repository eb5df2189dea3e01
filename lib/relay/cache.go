package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// maxDeleted bounds the deleted rows that a Cache remembers.
const maxDeleted = 1000

// Cache holds the rows of one table as this instance knows them. It is safe for
// concurrent use.
type Cache struct {
	config Config

	// mu guards what follows.
	mu   sync.Mutex
	rows map[string]row
	// revision is that of the last answer; negative before the first one.
	revision int64
	// floor is the oldest revision since which all changes are known.
	floor int64
	// deleted counts the deleted rows.
	deleted int
	// outageEnd is the revision of the first answer after the last outage of the
	// store.
	outageEnd int64
	// confirmedAt is the time of the last answer of the store, at which it was read
	// directly or through another instance.
	confirmedAt time.Time
	direct      bool
	// changed is closed when the rows change.
	changed chan struct{}
}

// NewCache returns a Cache that knows nothing.
func NewCache(config Config) *Cache {
	if config.MaxPropagation <= 0 {
		config.MaxPropagation = defaultBound
	}
	return &Cache{config: config, rows: make(map[string]row), revision: -1, changed: make(chan struct{})}
}

// replace takes a full read. An older one than what is known changes nothing.
func (c *Cache) replace(rows watch.Rows, direct bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rows.Revision < c.revision {
		return
	}
	// Rows that are gone are not known to have been deleted at any revision.
	clear(c.rows)
	c.deleted, c.floor = 0, rows.Revision
	c.take(rows, direct, now)
}

// apply takes the changes since the revision that is known.
func (c *Cache) apply(since int64, rows watch.Rows, direct bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since != c.revision || rows.Revision < c.revision {
		return
	}
	c.take(rows, direct, now)
}

func (c *Cache) take(rows watch.Rows, direct bool, now time.Time) {
	for _, r := range rows.Rows {
		if c.rows[r.Key].Deleted {
			c.deleted--
		}
		if r.Deleted {
			c.deleted++
		}
		c.rows[r.Key] = pack(r)
	}
	changed := rows.Revision > c.revision
	c.revision = rows.Revision
	if rows.AfterOutage {
		c.outageEnd = rows.Revision
	}
	c.confirmedAt, c.direct = now, direct
	if c.deleted > maxDeleted {
		c.forgetDeleted()
	}
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// forgetDeleted makes followers that are far behind read all rows.
func (c *Cache) forgetDeleted() {
	for key, r := range c.rows {
		if r.Deleted {
			delete(c.rows, key)
		}
	}
	c.deleted, c.floor = 0, c.revision
}

// fresh reports whether the rows were confirmed lately enough for others to follow
// them. direct asks for a confirmation of the store itself.
func (c *Cache) fresh(direct bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision >= 0 && now.Sub(c.confirmedAt) <= share(c.config.MaxPropagation, staleShare) && (c.direct || !direct)
}

// since returns the changes after a revision, or all rows if it is negative.
// changed is closed at the next change.
func (c *Cache) since(revision int64) (a answer, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.revision < 0 || revision > c.revision:
		// The asker knows more than this instance.
		return answer{Stale: true}, c.changed
	case revision >= 0 && revision < c.floor:
		return answer{HistoryLost: true}, c.changed
	}
	a = answer{Revision: c.revision, AfterOutage: revision >= 0 && c.outageEnd > revision}
	for _, r := range c.rows {
		if revision < 0 && !r.Deleted || revision >= 0 && r.Revision > revision {
			a.Rows = append(a.Rows, r)
		}
	}
	slices.SortFunc(a.Rows, func(x, y row) int { return int(x.Revision - y.Revision) })
	return a, c.changed
}
