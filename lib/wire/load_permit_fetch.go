package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// LoadPermitFetch requests a permit from the tracker to stop serving the live version
// and load another one.
type LoadPermitFetch struct {
	Manifest model.Digest `msgpack:"m"`
}

// Type returns TypeLoadPermitFetch.
func (*LoadPermitFetch) Type() Type { return TypeLoadPermitFetch }
