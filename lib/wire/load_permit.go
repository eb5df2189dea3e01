package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// LoadPermit replies to a LoadPermitFetch.
type LoadPermit struct {
	Manifest model.Digest `msgpack:"m"`
	Granted  bool         `msgpack:"g"`
	// RetryAfterMillis is the time after which to request the permit again if it was
	// not granted, in milliseconds.
	RetryAfterMillis int64 `msgpack:"r"`
	// Number is the number of a granted permit.
	Number uint64 `msgpack:"n"`
	// TTLMillis is the time until a granted permit expires, in milliseconds. The holder
	// checks it with its monotonic clock before it stops admitting requests.
	TTLMillis int64 `msgpack:"e"`
	// Reason is the reason why the permit was not granted.
	Reason string `msgpack:"w"`
}

// Type returns TypeLoadPermit.
func (*LoadPermit) Type() Type { return TypeLoadPermit }
