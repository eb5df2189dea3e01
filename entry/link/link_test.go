package link_test

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/internal/agenttest"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// recorder is a Handler that counts the reports of a link.
type recorder struct {
	connected, failed atomic.Int32
	// rejectCheck, if set, is called by Connected, which then rejects the connection.
	rejectCheck atomic.Pointer[func()]
}

func (r *recorder) Connected(member.ConnID, wire.Hello) error {
	r.connected.Add(1)
	if check := r.rejectCheck.Load(); check != nil {
		(*check)()
		return member.ErrGenerationReplaced
	}
	return nil
}
func (r *recorder) Disconnected(member.ConnID, wire.Hello)                                    {}
func (r *recorder) ConnectFailed(model.InstanceID, error)                                     { r.failed.Add(1) }
func (r *recorder) FrameReceived(member.ConnID)                                               {}
func (r *recorder) Message(member.ConnID, wire.Hello, wire.Message, func(wire.Message) error) {}

var _ = Describe("Link", func() {
	var (
		agent   *agenttest.Agent
		handler *recorder
		l       *link.Link
		dials   chan time.Time
	)

	next := func(i *link.Inbox) link.Event {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		e, err := i.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		return e
	}

	connected := func() bool { _, ok := l.Peer(); return ok }

	BeforeEach(func() {
		var err error
		agent, err = agenttest.Start(model.Identity{Instance: "runner", Generation: 1}, "drafting")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(agent.Stop)
		handler = &recorder{}
		dialTimes := make(chan time.Time, 1024)
		dials = dialTimes
		var conns atomic.Uint64
		l = link.New(link.Config{
			Instance: "runner", Address: agent.Identity().Address,
			Dial: func(_ context.Context, address string) (*wire.Conn, wire.Hello, error) {
				dialTimes <- time.Now()
				nc, err := net.Dial("tcp", address)
				if err != nil {
					return nil, wire.Hello{}, err
				}
				return wire.Handshake(nc, wire.Hello{Role: wire.RoleEntry})
			},
			Heartbeat:  func() wire.Heartbeat { return wire.Heartbeat{} },
			NextConnID: func() member.ConnID { return member.ConnID(conns.Add(1)) },
			MinBackoff: 20 * time.Millisecond, MaxBackoff: 80 * time.Millisecond,
		}, handler)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go l.Run(ctx)
		Eventually(connected).Should(BeTrue())
	})

	// Guards against reconnecting too often to an agent that is down, and against
	// never reconnecting to it.
	It("reconnects with backoff", func() {
		address := agent.Identity().Address
		agent.Stop()
		Eventually(handler.failed.Load).WithTimeout(5 * time.Second).Should(BeNumerically(">=", 6))
		Expect(agent.Listen(address)).To(Succeed())
		Eventually(connected).WithTimeout(5 * time.Second).Should(BeTrue())
		<-dials // the first connection
		first := <-dials
		for range 4 {
			<-dials
		}
		// The backoff of 20, 30, 45 and 67.5 ms is randomized by 50%.
		Expect((<-dials).Sub(first)).To(BeNumerically(">=", (20+30+45+67)/2*time.Millisecond))
	})

	// Guards against attempts that are reported as not sent although the agent may
	// receive them, and against attempts that wait forever for an agent that never
	// received them.
	It("reports an attempt as not sent if and only if it was not queued", func() {
		inbox, err := l.Start(&wire.RequestStart{Attempt: "sent"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(agent.RequestStarts).Should(Receive(WithTransform(agenttest.Received.Attempt, Equal(model.AttemptID("sent")))))
		agent.Stop()
		Expect(next(inbox).Kind).To(Equal(link.ConnectionLost))
		Expect(l.InFlight()).To(Equal(1))
		_, err = l.Start(&wire.RequestStart{Attempt: "late"})
		Expect(err).To(MatchError(link.ErrNotSent))
		Expect(l.InFlight()).To(Equal(1))
		Consistently(agent.RequestStarts).Should(BeEmpty())
	})

	// Guards against treating an attempt that does not fit into the queue as possibly
	// sent.
	It("reports an attempt as not sent if the queue is full", func() {
		full := link.New(link.Config{
			Instance: "silent",
			Dial: func(context.Context, string) (*wire.Conn, wire.Hello, error) {
				near, far := net.Pipe()
				// The peer reads the Hello and nothing else.
				go func() {
					_, _, _ = wire.Handshake(far, wire.Hello{Role: wire.RoleAgent, Identity: model.Identity{Instance: "silent"}})
				}()
				return wire.Handshake(near, wire.Hello{Role: wire.RoleEntry})
			},
			Heartbeat:  func() wire.Heartbeat { return wire.Heartbeat{} },
			NextConnID: func() member.ConnID { return 1 },
		}, handler)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go full.Run(ctx)
		Eventually(func() bool { _, ok := full.Peer(); return ok }).Should(BeTrue())
		var err error
		queued := 0
		for ; err == nil && queued < 2000; queued++ {
			_, err = full.Start(&wire.RequestStart{Attempt: model.AttemptID(strconv.Itoa(queued))})
		}
		Expect(err).To(MatchError(link.ErrNotSent))
		Expect(full.InFlight()).To(Equal(queued - 1))
	})

	// Guards against lost frames, and against frames of the old connection that are
	// treated as part of the answer on the new one.
	It("delivers frames, the loss of the connection and the new connection in order", func() {
		inbox, err := l.Start(&wire.RequestStart{Attempt: "a"})
		Expect(err).NotTo(HaveOccurred())
		var start agenttest.Received
		Eventually(agent.RequestStarts).Should(Receive(&start))
		start.SendFrame(0, "one")
		Expect(next(inbox).Kind).To(Equal(link.MessageReceived))
		agent.CloseConns()
		Expect(next(inbox).Kind).To(Equal(link.ConnectionLost))
		Expect(next(inbox).Kind).To(Equal(link.Reconnected))
		start.SendFrame(1, "of the lost connection")
		Expect(l.Send(&wire.Reattach{Attempt: "a", NextSequence: 1})).To(Succeed())
		var again agenttest.Received
		Eventually(agent.OtherMessages).Should(Receive(&again))
		Expect(again.Conn.Send(&wire.ResponseFrame{Attempt: "a", Sequence: 1, Data: []byte("two")})).To(Succeed())
		e := next(inbox)
		Expect(e.Message).To(HaveField("Data", []byte("two")))
	})

	// Guards against reattaching to a process that never received the attempt. Its
	// refusal would look like proof that the request was not run.
	It("notifies attempts of a replaced generation", func() {
		inbox, err := l.Start(&wire.RequestStart{Attempt: "a"})
		Expect(err).NotTo(HaveOccurred())
		agent.SetGeneration(2)
		agent.CloseConns()
		Expect(next(inbox).Kind).To(Equal(link.ConnectionLost))
		Expect(next(inbox).Kind).To(Equal(link.AgentReplaced))
		fresh, err := l.Start(&wire.RequestStart{Attempt: "b"})
		Expect(err).NotTo(HaveOccurred())
		agent.CloseConns()
		Expect(next(fresh).Kind).To(Equal(link.ConnectionLost))
		Expect(next(fresh).Kind).To(Equal(link.Reconnected))
	})

	// Guards against sending attempts to another instance that has taken over the
	// address.
	It("rejects another instance at the address", func() {
		agent.SetInstance("other")
		before := handler.connected.Load()
		agent.CloseConns()
		Eventually(handler.failed.Load).Should(BeNumerically(">", 1))
		Expect(handler.connected.Load()).To(Equal(before))
		_, err := l.Start(&wire.RequestStart{Attempt: "a"})
		Expect(err).To(MatchError(link.ErrNotSent))
	})

	// Guards against sending attempts to a generation that the membership view has
	// rejected.
	It("sends no attempt over a rejected connection", func() {
		startErrs := make(chan error, 1024)
		check := func() {
			_, err := l.Start(&wire.RequestStart{Attempt: "refused"})
			l.Finish("refused")
			startErrs <- err
		}
		handler.rejectCheck.Store(&check)
		agent.CloseConns()
		Eventually(startErrs).Should(Receive(MatchError(link.ErrNotSent)))
	})
})
