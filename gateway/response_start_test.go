package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
)

var _ = Describe("The start of a response", func() {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

	// prefilling is the number of requests to a server whose head has not come.
	prefilling := func(g *Gateway, req placement.Request) int {
		g.mu.Lock()
		defer g.mu.Unlock()
		lease, refusal := g.pick(req, g.now())
		Expect(refusal).To(BeNil())
		defer g.picker.Done(lease, placement.Rejected, g.now())
		return lease.Usage.Prefilling - 1
	}

	DescribeTable("ends the prefill of a request at the head of a stream, and callers that leave later do not eject the server",
		// Guards against predictions that count requests as waiting until their first event,
		// and against callers that abandon streams under overload and eject sound engines.
		func(text string) {
			bed := newFaultyBed(text, "")
			g := bed.gateway
			for n := range 2 {
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					defer func() { _ = recover() }()
					g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/stream/x", nil))
				}()
				Eventually(bed.sent.Load).Should(Equal(int64(n + 1)))
				Eventually(prefilling).WithArguments(g, placement.Request{Service: "stream"}).Should(BeZero())
				time.Sleep(1100 * time.Millisecond)
				cancel()
				<-ended
			}
			prefilling(g, placement.Request{Service: "stream"})
			g.mu.Lock()
			defer g.mu.Unlock()
			Expect(g.picker.Avoided("stream", g.now())).To(BeEmpty())
		},
		Entry("with the head alone", head),
		Entry("with a comment", head+"3\r\n: \n\r\n"),
		Entry("with an event", head+"12\r\nid: 0\ndata: 1234\n\n\r\n"),
	)

	It("is told to the placer at the first event only while a server is limited", func() {
		// Guards against a second notice for each request of deployments where nothing starts,
		// and against limits that do not learn how late the first events are.
		links := startRegion(3)
		placer, other := byRank(links, 0), byRank(links, 2)
		firstEvent := func(wanted bool) {
			granted, _, _ := other.requestPlacement(context.Background(), &regionRequest)
			Expect(granted).NotTo(BeNil())
			Expect(granted.firstEventWanted).To(Equal(wanted))
			only := regionRequest
			placer.gateway.UpdateServers(func(d *directory.Directory, _ time.Time) {
				d.ForEach(func(s *directory.Server) {
					if s.Key() != granted.server {
						only.Exclude = append(only.Exclude, s.Key())
					}
				})
			})
			Expect(prefilling(placer.gateway, only)).To(Equal(1))
			a := &attempt{granted: granted, lease: other.gateway.adopt(granted, &regionRequest)}
			(&request{gateway: other.gateway}).recordFirstEvent(a)
			if wanted {
				Eventually(prefilling).WithArguments(placer.gateway, only).Should(BeZero())
				return
			}
			Consistently(prefilling).WithArguments(placer.gateway, only).WithTimeout(200 * time.Millisecond).Should(Equal(1))
			other.endLease(granted, placement.Answered)
		}
		firstEvent(false)
		g := placer.gateway
		g.mu.Lock()
		lease, _ := g.pick(regionRequest, g.now())
		g.picker.Done(lease, placement.Unreachable, g.now())
		g.mu.Unlock()
		firstEvent(true)
	})
})
