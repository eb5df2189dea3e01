package claim

import (
	"strings"

	"github.com/auburnbend/auburnbend/lib/model"
)

// proofSeparator separates the IDs in a header value.
const proofSeparator = ","

// FormatProofs encodes proofs as a header value.
func FormatProofs(proofs []model.AttemptID) string {
	parts := make([]string, len(proofs))
	for i, p := range proofs {
		parts[i] = string(p)
	}
	return strings.Join(parts, proofSeparator)
}

// ParseProofs decodes a header value sent by a caller: one or several results
// of FormatProofs, separated by commas. IDs beyond the limit are dropped.
func ParseProofs(s string) []model.AttemptID {
	var out []model.AttemptID
	for part := range strings.SplitSeq(s, proofSeparator) {
		if part = strings.TrimSpace(part); part != "" && len(out) < maxProofs {
			out = append(out, model.AttemptID(part))
		}
	}
	return out
}
