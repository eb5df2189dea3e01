package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// fakeBackend runs each request with the function that the test sets.
type fakeBackend struct {
	run     func(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error)
	running atomic.Int64
}

func (b *fakeBackend) Run(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
	b.running.Add(1)
	defer b.running.Add(-1)
	return b.run(ctx, start, emit)
}

// fakeEngine records whether a request was running during a load.
type fakeEngine struct {
	backend    *fakeBackend
	overlapped atomic.Bool
	loads      atomic.Int64
}

func (e *fakeEngine) Load(_ context.Context, to model.Weights) ([]model.Weights, error) {
	for range 50 {
		e.overlapped.Store(e.overlapped.Load() || e.backend.running.Load() > 0)
	}
	e.loads.Add(1)
	return []model.Weights{to}, nil
}

// fakeEntry collects the messages that the gate sends.
type fakeEntry struct {
	messages chan wire.Message
	closed   chan struct{}
}

func newFakeEntry() *fakeEntry {
	return &fakeEntry{messages: make(chan wire.Message, 1000), closed: make(chan struct{})}
}

func (e *fakeEntry) Send(m wire.Message) error {
	select {
	case <-e.closed:
		return wire.ErrClosed
	case e.messages <- m:
		return nil
	}
}

var _ = Describe("Gate", func() {
	var (
		clk     *clock.Fake
		backend *fakeBackend
		engine  *fakeEngine
		g       *Gate
		a       *fakeEntry
	)
	BeforeEach(func() {
		clk = clock.NewFake(time.Unix(1_800_000_000, 0))
		backend = &fakeBackend{run: func(_ context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
			return 200, "text/plain", emit([]byte("response to " + start.Attempt))
		}}
		engine = &fakeEngine{backend: backend}
		g = New(Config{}, clk, backend, nil)
		g.Serve([]model.Weights{v1})
		a = newFakeEntry()
		g.Connect(a)
	})
	next := func(e *fakeEntry) wire.Message {
		var m wire.Message
		EventuallyWithOffset(1, e.messages).Should(Receive(&m))
		return m
	}

	It("sends frames and an end with their digest, and is empty once the end is confirmed", func() {
		g.Handle(a, requestStart("x"))
		Expect(next(a)).To(Equal(&wire.ResponseFrame{Attempt: "x", Data: []byte("response to x")}))
		end := next(a).(*wire.ResponseEnd)
		Expect(end.Frames).To(Equal(uint64(1)))
		Expect(end.Digest).To(Equal(model.Sum([]byte("response to x"))))
		empty := g.Drain()
		Consistently(empty, "20ms").ShouldNot(BeClosed())
		g.Handle(a, &wire.ResponseAck{Attempt: "x", NextSequence: 2})
		Eventually(empty).Should(BeClosed())
		g.Handle(a, requestStart("y"))
		Expect(next(a)).To(HaveField("Reason", outcome.ReasonDraining))
	})

	// Guards against a response that ends as a success although the weights may have
	// changed while it was computed.
	DescribeTable("ends no aborted attempt as a success, and keeps crashes and what did not run apart", func(cancel bool) {
		type result struct {
			outcome outcome.Outcome
			reason  outcome.Reason
		}
		release := make(chan struct{})
		backend.run = func(_ context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
			<-release // the backend server does not react to the cancellation
			switch start.Attempt {
			case "refused":
				return 0, "", ErrNotStarted
			case "crashed":
				return 0, "", ErrBackendCrashed
			}
			return 200, "text/plain", emit([]byte("response"))
		}
		g.Handle(a, requestStart("complete"))
		g.Handle(a, requestStart("refused"))
		g.Handle(a, requestStart("crashed"))
		g.Abort(cancel)
		close(release)
		ends := make(map[model.AttemptID]result)
		for len(ends) < 3 {
			if end, ok := next(a).(*wire.ResponseEnd); ok {
				ends[end.Attempt] = result{end.Outcome, end.Reason}
			}
		}
		Expect(ends).To(Equal(map[model.AttemptID]result{
			"complete": {outcome.Unknown, outcome.ReasonIncomplete},
			"refused":  {outcome.NotRun, outcome.ReasonNoBackendServer},
			"crashed":  {outcome.Unknown, outcome.ReasonBackendCrashed},
		}))
	},
		Entry("with a cancellation", true),
		Entry("without one, after a restart", false),
	)

	// Guards against the loss of a non-repeatable call if its connection is lost.
	It("continues an attempt without its entry and replays the response on the next connection", func() {
		release := make(chan struct{})
		backend.run = func(_ context.Context, _ wire.RequestStart, emit func([]byte) error) (int, string, error) {
			_ = emit([]byte("first"))
			<-release
			return 200, "", emit([]byte("second"))
		}
		g.Handle(a, requestStart("x"))
		next(a)
		g.Disconnect(a)
		clk.Advance(time.Minute)
		g.Tick()
		close(release)
		Eventually(g.Running).Should(BeZero())
		b := newFakeEntry()
		g.Connect(b)
		g.Handle(b, &wire.Reattach{Attempt: "x", NextSequence: 0})
		Expect(next(b)).To(HaveField("Data", []byte("first")))
		Expect(next(b)).To(HaveField("Data", []byte("second")))
		Expect(next(b)).To(HaveField("Outcome", outcome.Completed))
		Expect(a.messages).NotTo(Receive())
	})

	It("moves an attempt from a blocked connection to another one", func() {
		a.messages = make(chan wire.Message)
		g.Handle(a, requestStart("x"))
		Eventually(g.Running).Should(BeZero())
		b := newFakeEntry()
		g.Connect(b)
		g.Disconnect(a)
		close(a.closed)
		g.Handle(b, &wire.Reattach{Attempt: "x"})
		Expect(next(b)).To(BeAssignableToTypeOf(&wire.ResponseFrame{}))
		Expect(next(b)).To(HaveField("Outcome", outcome.Completed))
	})

	It("cancels a repeatable attempt 10 s after its entry is lost, and not before", func() {
		backend.run = func(ctx context.Context, _ wire.RequestStart, _ func([]byte) error) (int, string, error) {
			<-ctx.Done()
			return 0, "", ctx.Err()
		}
		start := requestStart("x")
		start.Repeatable = true
		g.Handle(a, start)
		g.Disconnect(a)
		clk.Advance(9 * time.Second)
		g.Tick()
		Consistently(g.Running, "20ms").Should(Equal(1))
		clk.Advance(time.Second)
		g.Tick()
		Eventually(g.Running).Should(BeZero())
	})

	DescribeTable("maps an error of the backend server to an outcome and a reason", func(err error, o outcome.Outcome, r outcome.Reason) {
		backend.run = func(context.Context, wire.RequestStart, func([]byte) error) (int, string, error) { return 0, "", err }
		g.Handle(a, requestStart("x"))
		end := next(a).(*wire.ResponseEnd)
		Expect(end.Outcome).To(Equal(o))
		Expect(end.Reason).To(Equal(r))
	},
		Entry("not started", ErrNotStarted, outcome.NotRun, outcome.ReasonNoBackendServer),
		Entry("crashed", ErrBackendCrashed, outcome.Unknown, outcome.ReasonBackendCrashed),
		Entry("other", context.DeadlineExceeded, outcome.Unknown, outcome.ReasonBackendError),
	)

	// Guards against a connection that accepts no messages and blocks the agent after
	// a crash.
	It("reports a crash to all entries", func() {
		b, blocked := newFakeEntry(), newFakeEntry()
		blocked.messages = nil
		defer close(blocked.closed)
		g.Connect(blocked)
		g.Connect(b)
		g.ReportCrash(1)
		Expect(next(a)).To(BeAssignableToTypeOf(&wire.CrashReport{}))
		Expect(next(b)).To(BeAssignableToTypeOf(&wire.CrashReport{}))
	})

	// Guards against a request for the old weights that runs while the new ones are
	// loaded, under continuous load.
	It("never loads while a request is running", func() {
		stop := make(chan struct{})
		var callers sync.WaitGroup
		var admitted atomic.Int64
		var serial atomic.Int64
		for range 4 {
			callers.Go(func() {
				e := newFakeEntry()
				g.Connect(e)
				for {
					select {
					case <-stop:
						return
					default:
					}
					start := requestStart(model.AttemptID(time.Unix(serial.Add(1), 0).String()))
					if serial.Load()%2 == 0 {
						start.Weights = v2
					}
					g.Handle(e, start)
					if refused, ok := (<-e.messages).(*wire.RequestRefused); !ok || refused == nil {
						<-e.messages
						admitted.Add(1)
						g.Handle(e, &wire.ResponseAck{Attempt: start.Attempt, NextSequence: 2})
					}
				}
			})
		}
		for i := range 200 {
			to := v2
			if i%2 == 1 {
				to = v1
			}
			Expect(g.Quiesce(context.Background())).To(Succeed())
			live, err := engine.Load(context.Background(), to)
			Expect(err).NotTo(HaveOccurred())
			g.Serve(live)
			Expect(g.Live()).To(Equal([]model.Weights{to}))
		}
		Eventually(admitted.Load).Should(BeNumerically(">", 10))
		close(stop)
		callers.Wait()
		Expect(engine.loads.Load()).To(Equal(int64(200)))
		Expect(engine.overlapped.Load()).To(BeFalse())
	})

	It("admits requests for the old weights again after a canceled quiesce", func() {
		release := make(chan struct{})
		backend.run = func(context.Context, wire.RequestStart, func([]byte) error) (int, string, error) {
			<-release
			return 200, "", nil
		}
		g.Handle(a, requestStart("x"))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(g.Quiesce(ctx)).To(MatchError(context.Canceled))
		Expect(g.Live()).To(BeEmpty())
		g.Serve([]model.Weights{v1})
		Expect(g.Live()).To(Equal([]model.Weights{v1}))
		close(release)
	})
})
