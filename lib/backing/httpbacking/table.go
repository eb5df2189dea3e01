package httpbacking

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/jsonparts"
)

// Table is the client of the table service. It is safe for concurrent use.
type Table struct{ http httpClient }

// NewTable returns a client of the table service. With kept connections, two entries could
// both hold a claim.
func NewTable(cfg Config) *Table { return &Table{http: newClosingClient(cfg)} }

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
	return decodeRows(r.body)
}

// decodeRows decodes rows one by one, so that one that cannot be decoded does not make
// the others unreadable. It has no value, and is left out if it has no key.
func decodeRows(body []byte) ([]backing.Row, error) {
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return nil, nil
	}
	items, err := jsonparts.Array(body)
	if err != nil {
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	rows := make([]backing.Row, 0, len(items))
	for _, item := range items {
		var row backing.Row
		if json.Unmarshal(item, &row) != nil {
			var key struct {
				Key string `json:"key"`
			}
			// Without a key, the row is left out.
			_ = json.Unmarshal(item, &key)
			row = backing.Row{Key: key.Key}
		}
		if row.Key != "" {
			rows = append(rows, row)
		}
	}
	return rows, nil
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
