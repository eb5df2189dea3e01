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
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/versions"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("Requests on weights that will be too old", func() {
	const timeLimit = 8 * time.Second
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
