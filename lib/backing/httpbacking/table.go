package httpbacking

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Table is the client of the table service. It is safe for concurrent use.
type Table struct{ http httpClient }

// NewTable returns a client of the table service. It opens a connection for each call:
// a service may send an earlier response once more, and on a kept connection it would
// be taken for the next one. Two entries could then both hold a claim.
func NewTable(cfg Config) *Table {
	client := newHTTPClient(cfg)
	client.closes = true
	return &Table{http: client}
}

// Get implements backing.TableService.
func (t *Table) Get(ctx context.Context, table, key string) (backing.Row, error) {
	r, err := t.http.read(ctx, "/row?"+url.Values{"table": {table}, "key": {key}}.Encode())
	if err != nil {
		return backing.Row{}, err
	}
	var row backing.Row
	return row, r.decode(&row)
}

// Scan implements backing.TableService.
func (t *Table) Scan(ctx context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	query := url.Values{"table": {table}, "prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	r, err := t.http.read(ctx, "/rows?"+query.Encode())
	if err != nil {
		return nil, err
	}
	var rows []backing.Row
	return rows, r.decode(&rows)
}

// Commit implements backing.TableService.
func (t *Table) Commit(ctx context.Context, tx backing.Transaction) error {
	body, err := json.Marshal(tx)
	if err != nil {
		return merry.Wrap(backing.ErrNotApplied, merry.WithCause(err))
	}
	r, err := t.http.write(ctx, http.MethodPost, "/commit", body)
	if err != nil {
		return err
	}
	if r.status != http.StatusConflict {
		return nil
	}
	var conflict struct {
		Index int `json:"index"`
	}
	if err := json.Unmarshal(r.body, &conflict); err != nil {
		return merry.Wrap(backing.ErrUnknown, merry.WithCause(err))
	}
	return merry.Wrap(&backing.ConflictError{Index: conflict.Index})
}
