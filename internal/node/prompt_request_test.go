package node

import (
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// promptRequest is a request that lists the parts of its prompt, and its response.
type promptRequest struct {
	attempt       string
	parts         []platformtest.Part
	sentAt, endAt time.Time
	response      platformtest.Response
}

// isPoison reports whether the request crashes servers.
func (r *promptRequest) isPoison() bool { return platformtest.HasSharedPart(r.parts, poisonPart) }

func (r *promptRequest) answered() bool {
	return r.response.Status == http.StatusOK && r.response.Complete
}
