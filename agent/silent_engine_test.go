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
	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("An engine that is silent for a while", func() {
	weights := model.Weights{Base: model.Sum([]byte("a"))}

	// run breaks a stream off after its first frame, and answers reads of the state with
	// state from then on. It returns the number of crashes that were reported, and the error
	// of the stream.
	run := func(state http.HandlerFunc) (crashes int, failure error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/v1/state":
				state(w, r)
			case "/v1/generate":
				start, _ := json.Marshal(engine.StreamStart{Request: "r1", Stream: "s1", Weights: weights})
				frame, _ := json.Marshal(engine.Frame{Offset: 0, Data: []byte("f0")})
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprintf(w, "event: start\ndata: %s\n\nevent: token\ndata: %s\n\n", start, frame)
			default:
				w.WriteHeader(http.StatusNotFound)
			}
		}))
		DeferCleanup(server.Close)
		client, err := engine.NewClient(engine.Config{Address: server.URL, StallTimeout: time.Second, ReadTimeout: 200 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		e := &engineServer{
			client: client, cfg: Config{Clock: clock.System{}}, onCrash: func(uint64) { crashes++ }, incarnation: 1,
			roles: &roles{declared: model.RoleMixed}, firstTokens: &firstTokens{},
			live: func() *backend.LoadRecord { return nil },
		}
		_, _, failure = e.Run(context.Background(), wire.RequestStart{Request: "r1", Attempt: "s1", Weights: weights}, func([]byte) error { return nil })
		return crashes, failure
	}

	It("has not crashed", func() {
		// Guards against requests that are suspected of a crash, and weights that are not
		// served, because the state of a sound engine could not be read in time.
		crashes, err := run(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
		})
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(gate.ErrBackendCrashed))
		Expect(crashes).To(BeZero())
	})

	It("has crashed if it was started again or closes connections", func() {
		// Guards against a crash that is taken for silence.
		crashes, err := run(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(engine.State{Incarnation: 2})
		})
		Expect(err).To(MatchError(gate.ErrBackendCrashed))
		Expect(crashes).To(Equal(1))
		crashes, err = run(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		Expect(err).To(MatchError(gate.ErrBackendCrashed))
		Expect(crashes).To(Equal(1))
	})
})
