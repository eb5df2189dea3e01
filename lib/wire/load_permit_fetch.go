package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// LoadPermitFetch asks the tracker whether the instance may leave the version
// that it serves and load another.
type LoadPermitFetch struct {
	Manifest model.Digest `msgpack:"m"`
}

// Type returns TypeLoadPermitFetch.
func (*LoadPermitFetch) Type() Type { return TypeLoadPermitFetch }
