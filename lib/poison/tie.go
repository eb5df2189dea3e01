package poison

import "github.com/auburnbend/auburnbend/lib/model"

// Tie is a fingerprint of a request that would be quarantined if others did not explain its
// crashes.
type Tie struct {
	Fingerprint model.Fingerprint
	// Crashes is the number of different backend servers that crashed.
	Crashes int
}
