package node

import (
	"strconv"
	"strings"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// formatWeights formats loaded weights for a log line, as model:version.
func formatWeights(weights map[string]directory.Weights) string {
	parts := make([]string, 0, len(weights))
	for model, w := range weights {
		text := model + ":" + strconv.Itoa(w.Version)
		if !w.Complete {
			text += ":part"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, " ")
}
