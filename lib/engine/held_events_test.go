package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("Long events of many streams", func() {
	It("take no more memory than their budget", func() {
		// Guards against an engine that fills the memory of its agent with events that are each
		// within their limit.
		const streams, limit = 40, 8 << 20
		block := strings.Repeat("x", 64<<10)
		var attached atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var req engine.Request
			if json.NewDecoder(r.Body).Decode(&req) != nil {
				return
			}
			start, err := json.Marshal(engine.StreamStart{Stream: req.Stream, Request: req.ID})
			if err != nil {
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprintf(w, "event: %s\ndata: %s\n\nevent: %s\ndata: ", engine.EventStart, start, engine.EventToken)
			attached.Add(1)
			for range (4<<20 - 256<<10) / len(block) {
				if _, err := io.WriteString(w, block); err != nil {
					return
				}
			}
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		DeferCleanup(server.Close)
		budget := memory.NewBudget(limit, limit)
		client, err := engine.NewClient(engine.Config{Address: server.URL, Events: budget})
		Expect(err).NotTo(HaveOccurred())
		live := func() int64 {
			runtime.GC()
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			return int64(stats.HeapAlloc)
		}
		before := live()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range streams {
			running.Go(func() {
				stream, err := client.Generate(ctx, engine.Request{ID: model.RequestID(fmt.Sprint(i)), Stream: fmt.Sprint("s", i), RemainingMillis: 60000})
				if err != nil {
					return
				}
				defer stream.Close()
				_, _ = stream.Next()
			})
		}
		Eventually(attached.Load, 10*time.Second).Should(BeEquivalentTo(streams))
		Eventually(budget.Held, 5*time.Second).Should(BeEquivalentTo(limit))
		Eventually(budget.Delayed, 5*time.Second).Should(BeEquivalentTo(streams - 2))
		time.Sleep(300 * time.Millisecond)
		// A reader doubles its buffer as an event grows; 384 KiB are for both ends of a stream.
		Expect(live()-before).To(BeNumerically("<=", 2*limit+streams*384<<10), "bytes held")
		cancel()
		running.Wait()
		Expect(budget.Held()).To(BeZero())
	})
})
