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

// askTimeout bounds one read through another instance. The first one transfers the
// whole table over a narrow link.
const askTimeout = time.Second

// Reader reads a table now and then, as changes since the last time, from any
// instance that follows it, and from the store where none answers. It is safe for
// concurrent use.
type Reader struct {
	store watch.Source
	// sources returns the instances to ask, in order.
	sources func() []netip.AddrPort

	// mu guards what follows.
	mu       sync.Mutex
	client   client
	rows     map[string]watch.Row
	revision int64
}

// NewReader returns a Reader that knows nothing.
func NewReader(table string, store watch.Source, sources func() []netip.AddrPort) *Reader {
	return &Reader{
		store: store, sources: sources, client: client{table: table, silence: askTimeout},
		rows: make(map[string]watch.Row), revision: -1,
	}
}

// Read returns the rows of the table. An answer that is older than what is known
// is not used.
func (r *Reader) Read(ctx context.Context) (watch.Rows, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ask(ctx) {
		rows, err := r.store.Snapshot(ctx)
		if err != nil {
			return watch.Rows{}, err
		}
		if rows.Revision >= r.revision {
			clear(r.rows)
			r.take(rows)
		}
	}
	rows := watch.Rows{Revision: r.revision}
	for _, key := range slices.Sorted(maps.Keys(r.rows)) {
		rows.Rows = append(rows.Rows, r.rows[key])
	}
	return rows, nil
}

// ask reads the changes from one of the sources. It reports whether one answered.
func (r *Reader) ask(ctx context.Context) bool {
	for _, source := range r.sources() {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		rows, err := r.client.ask(askCtx, source, r.revision, 0)
		cancel()
		if err == nil {
			r.take(rows)
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

func (r *Reader) take(rows watch.Rows) {
	for _, row := range rows.Rows {
		if row.Deleted {
			delete(r.rows, row.Key)
			continue
		}
		r.rows[row.Key] = row
	}
	r.revision = rows.Revision
}
