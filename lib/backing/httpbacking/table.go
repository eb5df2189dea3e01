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
type Table struct{ caller caller }

// NewTable returns a client of the table service.
func NewTable(cfg Config) *Table { return &Table{caller: newCaller(cfg)} }

// Get implements backing.TableService.
func (t *Table) Get(ctx context.Context, table, key string) (backing.Row, error) {
	a, err := t.caller.read(ctx, "/row?"+url.Values{"table": {table}, "key": {key}}.Encode())
	if err != nil {
		return backing.Row{}, err
	}
	var row backing.Row
	return row, a.decode(&row)
}

// Scan implements backing.TableService.
func (t *Table) Scan(ctx context.Context, table, prefix, after string, limit int) ([]backing.Row, error) {
	query := url.Values{"table": {table}, "prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	a, err := t.caller.read(ctx, "/rows?"+query.Encode())
	if err != nil {
		return nil, err
	}
	var rows []backing.Row
	return rows, a.decode(&rows)
}

// Commit implements backing.TableService.
func (t *Table) Commit(ctx context.Context, tx backing.Transaction) error {
	body, err := json.Marshal(tx)
	if err != nil {
		return merry.Wrap(backing.ErrNotApplied, merry.WithCause(err))
	}
	a, err := t.caller.write(ctx, http.MethodPost, "/commit", body)
	if err != nil {
		return err
	}
	if a.status != http.StatusConflict {
		return nil
	}
	var conflict struct {
		Index int `json:"index"`
	}
	if err := json.Unmarshal(a.body, &conflict); err != nil {
		return merry.Wrap(backing.ErrUnknown, merry.WithCause(err))
	}
	return merry.Wrap(&backing.ConflictError{Index: conflict.Index})
}
