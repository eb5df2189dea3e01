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
	position watch.Position
	// synced is set if the changes since position may be read.
	synced bool
}

// NewReader returns a Reader without any rows.
func NewReader(table string, store watch.Source, sources func() []netip.AddrPort) *Reader {
	return &Reader{
		store: store, sources: sources, client: client{table: table, answerTimeout: readTimeout},
		rows: make(map[string]watch.Row), position: watch.Position{Revision: -1},
	}
}

// Read returns all rows of the table, sorted by key. An answer of the store
// that is older than the known state is ignored. It returns an error only if
// the store cannot be read either.
func (r *Reader) Read(ctx context.Context) (watch.Rows, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fetchChanges(ctx) {
		rows, err := r.store.Snapshot(ctx)
		if err != nil {
			return watch.Rows{}, err
		}
		r.replace(rows)
	}
	rows := watch.Rows{Era: r.position.Era, Revision: r.position.Revision}
	for _, key := range slices.Sorted(maps.Keys(r.rows)) {
		rows.Rows = append(rows.Rows, r.rows[key])
	}
	return rows, nil
}

// fetchChanges fetches the changes from the first source that answers. It
// reports whether one did.
func (r *Reader) fetchChanges(ctx context.Context) bool {
	for _, source := range r.sources() {
		err := r.fetchFrom(ctx, source)
		if errors.Is(err, watch.ErrHistoryLost) {
			// The same source has all rows: the readers of a region must not all read the
			// store when it was restored.
			r.synced = false
			err = r.fetchFrom(ctx, source)
		}
		switch {
		case err == nil:
			return true
		case ctx.Err() != nil:
			return false
		}
	}
	return false
}

// fetchFrom fetches the changes from one source, or all rows if the history is lost.
func (r *Reader) fetchFrom(ctx context.Context, source netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	since := r.position
	if !r.synced {
		since.Revision = -1
	}
	rows, err := r.client.fetch(ctx, source, since, 0)
	switch {
	case err != nil:
		return err
	case r.synced:
		r.merge(rows)
	case !r.replace(rows):
		return errStale
	}
	return nil
}

// replace replaces all rows by the result of a full read and reports whether it did: one
// that is older than the known state is ignored. The caller holds r.mu.
func (r *Reader) replace(rows watch.Rows) bool {
	if rows.Position().Compare(r.position) < 0 {
		return false
	}
	clear(r.rows)
	r.merge(rows)
	r.synced = true
	return true
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
	r.position = rows.Position()
}
