package httpbacking

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Instances is the client of the instance list. It is safe for concurrent use.
type Instances struct{ http httpClient }

// NewInstances returns a client of the instance list.
func NewInstances(cfg Config) *Instances { return &Instances{http: newHTTPClient(cfg)} }

// List implements backing.InstanceList.
func (i *Instances) List(ctx context.Context) ([]backing.Instance, error) {
	r, err := i.http.read(ctx, "/instances")
	if err != nil {
		return nil, err
	}
	var listed []backing.Instance
	return listed, r.decode(&listed)
}
