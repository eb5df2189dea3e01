package httpbacking

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Instances is the client of the list of instances. It is safe for concurrent
// use.
type Instances struct{ caller caller }

// NewInstances returns a client of the list of instances.
func NewInstances(cfg Config) *Instances { return &Instances{caller: newCaller(cfg)} }

// List implements backing.InstanceList.
func (i *Instances) List(ctx context.Context) ([]backing.Instance, error) {
	a, err := i.caller.read(ctx, "/instances")
	if err != nil {
		return nil, err
	}
	var listed []backing.Instance
	return listed, a.decode(&listed)
}
