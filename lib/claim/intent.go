package claim

import "github.com/auburnbend/auburnbend/lib/model"

// Intent is what an entry wants to claim a key for.
type Intent struct {
	// Attempt is the id of the first attempt. It is random and never reused. It
	// stays the claim's id when a proved not-run attempt is followed by others.
	Attempt     model.AttemptID
	Fingerprint model.Fingerprint
	// Proofs is what the caller presents from the last Answer under this key.
	Proofs []model.AttemptID
}
