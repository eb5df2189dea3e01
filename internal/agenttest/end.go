package agenttest

import (
	"net/http"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// CompletedEnd returns the end of a completed response that consists of the given
// number of frames and has the given body.
func CompletedEnd(attempt model.AttemptID, frames uint64, body string) *wire.ResponseEnd {
	return &wire.ResponseEnd{
		Attempt: attempt, Outcome: outcome.Completed, Status: http.StatusOK,
		ContentType: "text/plain", Frames: frames, Digest: model.Sum([]byte(body)),
	}
}
