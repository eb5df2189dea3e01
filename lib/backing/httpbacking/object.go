package httpbacking

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Objects is the client of the object store. It is safe for concurrent use.
type Objects struct{ http httpClient }

// NewObjects returns a client of the object store.
func NewObjects(cfg Config) *Objects { return &Objects{http: newClosingClient(cfg)} }

// Get implements backing.ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	r, err := o.http.read(ctx, objectPath(name))
	return r.body, err
}

// PutIfAbsent implements backing.ObjectStore.
func (o *Objects) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	r, err := o.http.write(ctx, http.MethodPut, objectPath(name), data)
	if err != nil {
		return err
	}
	if r.status == http.StatusConflict {
		return merry.Wrap(backing.ErrExists)
	}
	return nil
}
