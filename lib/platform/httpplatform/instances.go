package httpplatform

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/platform"
)

// Instances is the client of the list of instances. It is safe for concurrent
// use.
type Instances struct{ caller caller }

// NewInstances returns a client of the list of instances.
func NewInstances(cfg Config) *Instances { return &Instances{caller: newCaller(cfg)} }

// List implements platform.InstanceList.
func (i *Instances) List(ctx context.Context) ([]platform.Instance, error) {
	a, err := i.caller.read(ctx, "/instances")
	if err != nil {
		return nil, err
	}
	var listed []platform.Instance
	return listed, a.decode(&listed)
}
