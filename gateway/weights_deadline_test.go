package gateway

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/versions"
	"github.com/auburnbend/auburnbend/peerlink"
)

// weightsDeadline returns the deadline of the request on a server whose connection took a time
// to open.
func (r *request) weightsDeadline(lease *placement.Lease, opening time.Duration) time.Time {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.weightsDeadline(lease.Server, requestedModel(lease.Server, r.info.Model), opening)
}

var _ = Describe("Requests on weights that will be too old", func() {
	const timeLimit = 8 * time.Second
	// head is that of a stream.
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	// newRequest returns a request for which older weights than version 2 expire after a time.
	newRequest := func(remaining time.Duration) *request {
		g := New(Config{Clock: clock.System{}, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north"}, MaxRolloutTime: timeLimit})
		g.SetTargetVersion("m", 2, timeLimit-remaining)
		return &request{
			gateway: g, ctx: context.Background(), http: httptest.NewRequest("POST", "/draft", nil), route: &serving.Route{},
			info: RequestInfo{ID: "id", Model: "m"}, table: serving.NewTable(&serving.Config{}),
		}
	}
	newLease := func(address string, version int) *placement.Lease {
		return &placement.Lease{Server: &directory.Server{
			ID: "s", Address: address, Weights: map[string]directory.Weights{"m": {Version: version, Complete: true}},
		}}
	}

	It("are taken back earlier from a server whose connection took long to open", func() {
		// Guards against requests that begin after the deadline because the end of their
		// connection waits on the narrow link of the server.
		r := newRequest(time.Second)
		const opening = 150 * time.Millisecond
		near, far := r.weightsDeadline(newLease("", 1), 0), r.weightsDeadline(newLease("", 1), opening)
		Expect(near.Sub(far)).To(Equal(opening))
		Expect(r.weightsDeadline(newLease("", 2), opening)).To(BeZero(), "on the new weights")
	})

	It("are taken back in time for a version that is due shortly after the first one", func() {
		// Guards against a request that waits on version 2, sent there as version 1 was about to
		// expire, until version 2 has expired as well: its server had no deadline for version 3.
		r := newRequest(time.Second)
		g := r.gateway
		g.SetTargetVersion("m", 3, timeLimit-1500*time.Millisecond)
		r.placementRequest(g.now())
		first, second := r.weightsDeadline(newLease("", 1), 0), r.weightsDeadline(newLease("", 2), 0)
		Expect(second).NotTo(BeZero())
		Expect(second.Sub(first)).To(BeNumerically("~", 500*time.Millisecond, 50*time.Millisecond))
		Expect(r.weightsDeadline(newLease("", 3), 0)).To(BeZero())
	})

	It("leave a silent server when its weights expire as the second ones", func() {
		// Guards against a request that begins on version 2 after the deadline of version 3.
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		ended := make(chan time.Time, 1)
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.Copy(io.Discard, conn)
			ended <- time.Now()
		}()
		r := newRequest(400 * time.Millisecond)
		g := r.gateway
		deadline := time.Now().Add(700 * time.Millisecond)
		g.SetTargetVersion("m", 3, timeLimit-700*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		r.ctx = ctx
		g.config.Dialect = signedDialect{}
		server := newLease(ln.Addr().String(), 2).Server
		g.ReplaceServers([]*directory.Server{server}, false)
		req := r.placementRequest(g.now())
		lease := g.picker.Adopt(server, &req, g.now())
		Expect(r.exchange(&attempt{lease: lease}).mayHaveRun).To(BeTrue())
		var at time.Time
		Eventually(ended, 10*time.Second).Should(Receive(&at))
		Expect(at).To(BeTemporally("<", deadline))
	})

	It("leave a server that has sent only the head of a stream when its weights expire", func() {
		// Guards against a request that begins on older weights after their deadline, at a server
		// that sends the head before the first token.
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		ended := make(chan time.Time, 1)
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
			ended <- time.Now()
		}()
		r := newRequest(700 * time.Millisecond)
		deadline := time.Now().Add(700 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		r.ctx, r.route = ctx, &serving.Route{Kind: serving.Streaming}
		r.writer = httptest.NewRecorder()
		g := r.gateway
		g.config.Dialect = signedDialect{}
		server := newLease(ln.Addr().String(), 1).Server
		g.ReplaceServers([]*directory.Server{server}, false)
		req := r.placementRequest(g.now())
		lease := g.picker.Adopt(server, &req, g.now())
		Expect(r.exchange(&attempt{lease: lease}).mayHaveRun).To(BeTrue())
		var at time.Time
		Eventually(ended, 10*time.Second).Should(Receive(&at))
		Expect(at).To(BeTemporally("<", deadline))
	})

	// expectEnd expects that a server which sends only a text loses the connection of a request
	// before its weights expire, although a standby waits for another silent server by then.
	expectEnd := func(text string) {
		listen := func(text string) (string, <-chan time.Time) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(ln.Close)
			ended := make(chan time.Time, 1)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, text)
				_, _ = io.Copy(io.Discard, conn)
				ended <- time.Now()
			}()
			return ln.Addr().String(), ended
		}
		expiring, ended := listen(text)
		other, otherEnded := listen("")
		const remaining = 700 * time.Millisecond
		r := newRequest(remaining)
		deadline := time.Now().Add(remaining)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		DeferCleanup(cancel)
		route := serving.Route{Name: "r", Host: "example.com", Prefix: "/", Kind: serving.Streaming, Resumable: true, TargetLatency: 20 * time.Millisecond, MaxEventGap: 20 * time.Millisecond, Targets: []serving.Target{{Service: "x", Weight: 1}}}
		g := r.gateway
		g.SetConfig(&serving.Config{Version: 1, Routes: []serving.Route{route}, Services: []serving.Service{{Name: "x"}}})
		r.table = g.table.Load()
		r.ctx, r.route, r.service, r.writer = ctx, &r.table.Config().Routes[0], "x", httptest.NewRecorder()
		g.config.Dialect = signedDialect{}
		g.SetBounds(retry.Config{Ratio: 1, Window: 10 * time.Second, Slack: 100}, timeLimit)
		var servers []*directory.Server
		for i, address := range []string{expiring, other} {
			servers = append(servers, &directory.Server{ID: address, Service: "x", Address: address, Domain: "north", Slots: 6, Weights: map[string]directory.Weights{"m": {Version: 1 + i, Complete: true}}})
		}
		g.ReplaceServers(servers, false)
		g.RecordVerified(servers[1].Key(), placement.VerifiedWeights{Model: "m", Version: 2})
		req := r.placementRequest(g.now())
		r.exchange(&attempt{lease: g.picker.Adopt(servers[0], &req, g.now())})
		Expect(r.dispatched).To(Equal(2), "a standby has asked the other server")
		var at, otherAt time.Time
		Eventually(otherEnded, 10*time.Second).Should(Receive(&otherAt))
		Expect(otherAt).To(BeTemporally(">", deadline), "the standby went on")
		Eventually(ended, 10*time.Second).Should(Receive(&at))
		Expect(at).To(BeTemporally("<", deadline))
	}

	It("leave a silent server in time while a standby waits for another one", func() {
		// Guards against a request that begins after the deadline because its connection stays
		// open until the other server has responded.
		expectEnd("")
	})

	It("leave a server that has sent only the head in time while a standby waits for another one", func() {
		// Guards against the same after the head of a stream.
		expectEnd(head)
	})

	// expectTakenBack expects that a server which sends only a text loses the connection of a
	// request soon after the entry has learned something, and long before what it knew first.
	expectTakenBack := func(text string, learn func(g *Gateway)) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		received, ended := make(chan struct{}), make(chan time.Time, 1)
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, text)
			close(received)
			_, _ = io.Copy(io.Discard, conn)
			ended <- time.Now()
		}()
		r := newRequest(5 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		DeferCleanup(cancel)
		r.ctx, r.route, r.writer = ctx, &serving.Route{Kind: serving.Streaming}, httptest.NewRecorder()
		g := r.gateway
		g.config.Dialect = signedDialect{}
		server := newLease(ln.Addr().String(), 1).Server
		g.ReplaceServers([]*directory.Server{server}, false)
		req := r.placementRequest(g.now())
		lease := g.picker.Adopt(server, &req, g.now())
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			Expect(r.exchange(&attempt{lease: lease}).mayHaveRun).To(BeTrue())
		}()
		Eventually(received, 2*time.Second).Should(BeClosed())
		time.Sleep(100 * time.Millisecond)
		learn(g)
		deadline := time.Now().Add(500 * time.Millisecond)
		var at time.Time
		Eventually(ended, 10*time.Second).Should(Receive(&at))
		Expect(at).To(BeTemporally("<", deadline))
		Eventually(done, 2*time.Second).Should(BeClosed())
		Expect(g.waiting).To(BeEmpty())
	}
	It("are taken back for what the entry learns while they wait", func() {
		// Guards against requests that begin after a deadline which was not known when they were
		// sent: the entry learns late of a version, or the time limit changes.
		for _, text := range []string{"", head} {
			expectTakenBack(text, func(g *Gateway) { g.SetTargetVersion("m", 3, timeLimit-500*time.Millisecond) })
			expectTakenBack(text, func(g *Gateway) { g.SetEarlierVersion("m", 3) })
			expectTakenBack(text, func(g *Gateway) { g.SetBounds(retry.Config{}, timeLimit-4500*time.Millisecond) })
		}
	})

	It("are taken back earlier by the time of a suspension", func() {
		// Guards against requests that begin after a deadline because the timer of their
		// connection has stood still.
		expectTakenBack(head, func(g *Gateway) { g.Suspended(4500 * time.Millisecond) })
	})

	It("tell the entry that places them of each version that is due", func() {
		// Guards against a placer that knows less of the versions than the entry, and places a
		// request on weights that expire while it waits.
		now := time.Unix(1000, 0)
		at := func(version int, after time.Duration) versions.Deadline {
			return versions.Deadline{Version: version, At: now.Add(after)}
		}
		due := versions.Deadlines{at(2, time.Second), at(3, 1500*time.Millisecond), at(5, 4*time.Second)}
		var query peerlink.PlacementRequest
		setQueryDeadlines(&query, due, now)
		Expect(query.NextVersion).To(Equal(2), "for entries of earlier releases")
		Expect(queryDeadlines(&query, now)).To(Equal(due))

		many := due
		for i := range 6 {
			many = append(many, at(6+i, time.Duration(5+i)*time.Second))
		}
		query = peerlink.PlacementRequest{}
		setQueryDeadlines(&query, many, now)
		received := queryDeadlines(&query, now)
		for version := range 12 {
			Expect(received.Of(version)).To(BeTemporally("<=", many.Of(version)), "version %d", version)
		}
		Expect(received.Of(11)).To(BeZero())
	})

	It("name the version that they were placed for, also if the caller names no model", func() {
		// Guards against a request that runs on weights which the engine has taken since.
		r := newRequest(time.Second)
		Expect(r.attemptInfo(newLease("", 3)).Version).To(Equal(3))
		r.info.Model = ""
		Expect(r.attemptInfo(newLease("", 3)).Version).To(Equal(3))
		Expect(r.attemptInfo(&placement.Lease{Server: &directory.Server{}}).Version).To(BeZero())
	})

	It("have a deadline also if the caller names no model", func() {
		// Guards against a request that runs on weights which have expired, as its version was
		// looked up under an empty name.
		r := newRequest(time.Second)
		named := r.weightsDeadline(newLease("", 1), 0)
		Expect(named).NotTo(BeZero())
		r.info.Model = ""
		Expect(r.weightsDeadline(newLease("", 1), 0)).To(Equal(named))
		Expect(r.weightsDeadline(newLease("", 2), 0)).To(BeZero())
		Expect(r.weightsDeadline(&placement.Lease{Server: &directory.Server{}}, 0)).To(BeZero(), "plain servers")
	})

	It("are not sent when they would have to be taken back at once", func() {
		// Guards against requests that are sent and given up in the same moment. Their bytes
		// reach the server before the end of the connection.
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		received := make(chan int, 1)
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			n, _ := conn.Read(make([]byte, 4096))
			received <- n
		}()
		r := newRequest(startMargin / 2)
		lease := newLease(ln.Addr().String(), 1)
		r.gateway.ReplaceServers([]*directory.Server{lease.Server}, false)
		result := r.exchange(&attempt{lease: lease})
		Expect(result.sent).To(BeFalse())
		Expect(result.mayHaveRun).To(BeFalse())
		Expect(result.result).To(Equal(placement.Rejected))
		Expect(result.reason).To(Equal("weights are about to be too old"))
		Eventually(received).Should(Receive(BeZero()))
	})

	It("stay at a server that has begun to respond", func() {
		// Guards against a response that is given up when its request has begun in time.
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		const wait = 300 * time.Millisecond
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
			time.Sleep(wait)
			_, _ = io.WriteString(conn, "fine")
		}()
		r := newRequest(startMargin + wait/2)
		r.gateway.config.Dialect = signedDialect{}
		recorder := httptest.NewRecorder()
		r.writer = recorder
		server := newLease(ln.Addr().String(), 1).Server
		r.gateway.ReplaceServers([]*directory.Server{server}, false)
		lease := r.gateway.picker.Adopt(server, &placement.Request{Model: "m"}, r.gateway.now())
		result := r.exchange(&attempt{lease: lease})
		Expect(result.reason).To(BeEmpty())
		Expect(result.delivered).To(BeTrue())
		Expect(recorder.Body.String()).To(Equal("fine"))
	})
})
