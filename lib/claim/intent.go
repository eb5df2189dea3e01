package claim

import "github.com/auburnbend/auburnbend/lib/model"

// Intent describes the request that an entry claims a key for.
type Intent struct {
	// Attempt is the ID of the first attempt. It is random and never reused. It
	// remains the ID of the claim if the first attempt is proved not run and
	// others follow.
	Attempt     model.AttemptID
	Fingerprint model.Fingerprint
	// Proofs holds the IDs that the caller presents from the last Decision for
	// this key.
	Proofs []model.AttemptID
}
