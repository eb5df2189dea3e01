package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// LoadPermit answers a LoadPermitFetch.
type LoadPermit struct {
	Manifest         model.Digest `msgpack:"m"`
	Granted          bool         `msgpack:"g"`
	RetryAfterMillis int64        `msgpack:"r"`
	// Number and ExpiryMillis belong to a granted permit: its holder checks the
	// expiry on its monotonic clock before it stops admitting requests.
	Number    uint64 `msgpack:"n"`
	TTLMillis int64  `msgpack:"e"`
	// Reason says why no permit was given.
	Reason string `msgpack:"w"`
}

// Type returns TypeLoadPermit.
func (*LoadPermit) Type() Type { return TypeLoadPermit }
