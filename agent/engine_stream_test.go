package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("A stream of an engine", func() {
	weights := model.Weights{Base: model.Sum([]byte("a"))}

	It("that ends cleanly before its end event is not complete", func() {
		// Guards against a part of a response that is reported as the whole, with a digest
		// of its own: an engine may end its response at any frame.
		requests := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/generate" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			requests++
			if requests > 1 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			start, _ := json.Marshal(engine.StreamStart{Request: "r1", Stream: "s1", Weights: weights})
			frame, _ := json.Marshal(engine.Frame{Offset: 0, Data: []byte("f0")})
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprintf(w, "event: start\ndata: %s\n\nevent: token\ndata: %s\n\n", start, frame)
		}))
		DeferCleanup(server.Close)
		client, err := engine.NewClient(engine.Config{Address: server.URL, StallTimeout: time.Second, ReadTimeout: time.Second})
		Expect(err).NotTo(HaveOccurred())
		e := &engineServer{
			client: client, cfg: Config{Clock: clock.System{}}, onCrash: func(uint64) {},
			roles: &roles{declared: model.RoleMixed}, firstTokens: &firstTokens{},
			live: func() *backend.LoadRecord { return nil },
		}
		received := ""
		_, _, err = e.Run(context.Background(), wire.RequestStart{Request: "r1", Attempt: "s1", Weights: weights}, func(data []byte) error {
			received += string(data)
			return nil
		})
		Expect(received).To(Equal("f0"))
		Expect(err).To(HaveOccurred())
		Expect(err).To(MatchError(engine.ErrMayHaveRun))
		Expect(requests).To(Equal(2))
	})
})
