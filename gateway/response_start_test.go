package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/placement"
)

var _ = Describe("The start of a response", func() {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

	DescribeTable("is known to the placer once the first event has arrived",
		// Guards against an engine that sends the heads of its streams at once and passes for
		// fast, however late it begins the requests.
		func(text string, started bool) {
			bed := newFaultyBed(text, "")
			g := bed.gateway
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			DeferCleanup(func() { cancel(); <-ended })
			go func() {
				defer close(ended)
				defer func() { _ = recover() }()
				g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/stream/x", nil))
			}()
			waiting := func() int {
				g.mu.Lock()
				defer g.mu.Unlock()
				lease, refusal := g.pick(placement.Request{Service: "stream"}, g.now())
				Expect(refusal).To(BeNil())
				defer g.picker.Done(lease, placement.Rejected, g.now())
				return lease.Usage.Prefilling - 1
			}
			Eventually(bed.sent.Load).Should(Equal(int64(1)))
			if started {
				Eventually(waiting).Should(BeZero())
				return
			}
			Consistently(waiting).WithTimeout(400 * time.Millisecond).Should(Equal(1))
		},
		Entry("not with the head alone", head, false),
		Entry("not with a comment", head+"3\r\n: \n\r\n", false),
		Entry("with an event", head+"12\r\nid: 0\ndata: 1234\n\n\r\n", true),
	)
})
