package relay

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// readTimeout is the time limit for one read through another instance. The
// first read transfers the whole table, possibly over a slow link.
const readTimeout = time.Second

// Reader reads a table occasionally. It fetches the changes since its last read
// from an instance that follows the table, or reads the store if none answers.
// It is safe for concurrent use.
type Reader struct {
	store watch.Source
	// sources returns the instances to query, in order of preference.
	sources func() []netip.AddrPort

	// mu protects the following fields.
	mu       sync.Mutex
	client   client
	rows     map[string]watch.Row
	revision int64
}

// NewReader returns a Reader without any rows.
func NewReader(table string, store watch.Source, sources func() []netip.AddrPort) *Reader {
	return &Reader{
		store: store, sources: sources, client: client{table: table, answerTimeout: readTimeout},
		rows: make(map[string]watch.Row), revision: -1,
	}
}

// Read returns all rows of the table, sorted by key. An answer of the store
// that is older than the known revision is ignored. It returns an error only if
// the store cannot be read either.
func (r *Reader) Read(ctx context.Context) (watch.Rows, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fetchChanges(ctx) {
		rows, err := r.store.Snapshot(ctx)
		if err != nil {
			return watch.Rows{}, err
		}
		if rows.Revision >= r.revision {
			clear(r.rows)
			r.merge(rows)
		}
	}
	rows := watch.Rows{Revision: r.revision}
	for _, key := range slices.Sorted(maps.Keys(r.rows)) {
		rows.Rows = append(rows.Rows, r.rows[key])
	}
	return rows, nil
}

// fetchChanges fetches the changes from the first source that answers. It
// reports whether one did.
func (r *Reader) fetchChanges(ctx context.Context) bool {
	for _, source := range r.sources() {
		queryCtx, cancel := context.WithTimeout(ctx, readTimeout)
		rows, err := r.client.fetch(queryCtx, source, r.revision, 0)
		cancel()
		if err == nil {
			r.merge(rows)
			return true
		}
		if errors.Is(err, watch.ErrHistoryLost) {
			clear(r.rows)
			r.revision = -1
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// merge applies changes to the rows. The caller holds r.mu.
func (r *Reader) merge(rows watch.Rows) {
	for _, row := range rows.Rows {
		if row.Deleted {
			delete(r.rows, row.Key)
			continue
		}
		r.rows[row.Key] = row
	}
	r.revision = rows.Revision
}
