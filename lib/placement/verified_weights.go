package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// VerifiedWeights are weights that an engine holds and that its agent knows to be intact.
type VerifiedWeights struct {
	// Model is empty if there are none.
	Model   string
	Version int
	// OrdersAccepted is the number of load orders that the engine had accepted since its
	// start. It holds the same weights as long as the number is the same.
	OrdersAccepted int64
	// Until is when the report ceases to count.
	Until time.Time
}

// sameAs reports whether they are those that a listing names.
func (w *VerifiedWeights) sameAs(listing *directory.Server) bool {
	return w.Model != "" && listing.Weights[w.Model].Version == w.Version
}
