package claim

import (
	"strings"

	"github.com/auburnbend/auburnbend/lib/model"
)

// proofSeparator stands between the ids in a header.
const proofSeparator = ","

// FormatProofs returns the form in which proofs travel in a header.
func FormatProofs(proofs []model.AttemptID) string {
	parts := make([]string, len(proofs))
	for i, p := range proofs {
		parts[i] = string(p)
	}
	return strings.Join(parts, proofSeparator)
}

// ParseProofs reads what a caller presents: one or several results of
// FormatProofs, separated by commas. Those beyond the bound are dropped.
func ParseProofs(s string) []model.AttemptID {
	var out []model.AttemptID
	for part := range strings.SplitSeq(s, proofSeparator) {
		if part = strings.TrimSpace(part); part != "" && len(out) < maxProofs {
			out = append(out, model.AttemptID(part))
		}
	}
	return out
}
