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

// scripted runs each request as the test says.
type scripted struct {
	run     func(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error)
	running atomic.Int64
}

func (s *scripted) Run(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
	s.running.Add(1)
	defer s.running.Add(-1)
	return s.run(ctx, start, emit)
}

// loader records whether anything ran while it loaded.
type loader struct {
	backend *scripted
	overlap atomic.Bool
	loads   atomic.Int64
}

func (l *loader) Load(_ context.Context, to model.Weights) ([]model.Weights, error) {
	for range 50 {
		l.overlap.Store(l.overlap.Load() || l.backend.running.Load() > 0)
	}
	l.loads.Add(1)
	return []model.Weights{to}, nil
}

// entry collects what the gate sends.
type entry struct {
	messages chan wire.Message
	closed   chan struct{}
}

func newEntry() *entry {
	return &entry{messages: make(chan wire.Message, 1000), closed: make(chan struct{})}
}

func (e *entry) Send(m wire.Message) error {
	select {
	case <-e.closed:
		return wire.ErrClosed
	case e.messages <- m:
		return nil
	}
}

var _ = Describe("Shell", func() {
	var (
		clk     *clock.Fake
		backend *scripted
		load    *loader
		s       *Gate
		a       *entry
	)
	BeforeEach(func() {
		clk = clock.NewFake(time.Unix(1_800_000_000, 0))
		backend = &scripted{run: func(_ context.Context, start wire.RequestStart, emit func([]byte) error) (int, string, error) {
			return 200, "text/plain", emit([]byte("answer to " + start.Attempt))
		}}
		load = &loader{backend: backend}
		s = New(Config{}, clk, backend, nil)
		s.Serve([]model.Weights{v1})
		a = newEntry()
		s.Connect(a)
	})
	next := func(e *entry) wire.Message {
		var m wire.Message
		EventuallyWithOffset(1, e.messages).Should(Receive(&m))
		return m
	}

	It("answers with frames and a checked end, and is empty once it is confirmed", func() {
		s.Handle(a, startOf("x"))
		Expect(next(a)).To(Equal(&wire.ResponseFrame{Attempt: "x", Data: []byte("answer to x")}))
		end := next(a).(*wire.ResponseEnd)
		Expect(end.Frames).To(Equal(uint64(1)))
		Expect(end.Digest).To(Equal(model.Sum([]byte("answer to x"))))
		empty := s.Drain()
		Consistently(empty, "20ms").ShouldNot(BeClosed())
		s.Handle(a, &wire.ResponseAck{Attempt: "x", NextSequence: 2})
		Eventually(empty).Should(BeClosed())
		s.Handle(a, startOf("y"))
		Expect(next(a)).To(HaveField("Reason", outcome.ReasonDraining))
	})

	// Guards against the loss of a non-repeatable call with its connection.
	It("goes on without its entry and replays to the next connection", func() {
		release := make(chan struct{})
		backend.run = func(_ context.Context, _ wire.RequestStart, emit func([]byte) error) (int, string, error) {
			_ = emit([]byte("first"))
			<-release
			return 200, "", emit([]byte("second"))
		}
		s.Handle(a, startOf("x"))
		next(a)
		s.Disconnect(a)
		clk.Advance(time.Minute)
		s.Tick()
		close(release)
		Eventually(s.Running).Should(BeZero())
		b := newEntry()
		s.Connect(b)
		s.Handle(b, &wire.Reattach{Attempt: "x", NextSequence: 0})
		Expect(next(b)).To(HaveField("Data", []byte("first")))
		Expect(next(b)).To(HaveField("Data", []byte("second")))
		Expect(next(b)).To(HaveField("Outcome", outcome.Completed))
		Expect(a.messages).NotTo(Receive())
	})

	It("moves an attempt off a connection that blocks", func() {
		a.messages = make(chan wire.Message)
		s.Handle(a, startOf("x"))
		Eventually(s.Running).Should(BeZero())
		b := newEntry()
		s.Connect(b)
		s.Disconnect(a)
		close(a.closed)
		s.Handle(b, &wire.Reattach{Attempt: "x"})
		Expect(next(b)).To(BeAssignableToTypeOf(&wire.ResponseFrame{}))
		Expect(next(b)).To(HaveField("Outcome", outcome.Completed))
	})

	It("cancels a repeatable attempt 10 s after its entry was lost, and not before", func() {
		backend.run = func(ctx context.Context, _ wire.RequestStart, _ func([]byte) error) (int, string, error) {
			<-ctx.Done()
			return 0, "", ctx.Err()
		}
		start := startOf("x")
		start.Repeatable = true
		s.Handle(a, start)
		s.Disconnect(a)
		clk.Advance(9 * time.Second)
		s.Tick()
		Consistently(s.Running, "20ms").Should(Equal(1))
		clk.Advance(time.Second)
		s.Tick()
		Eventually(s.Running).Should(BeZero())
	})

	DescribeTable("tells what an error of the backend server means", func(err error, o outcome.Outcome, r outcome.Reason) {
		backend.run = func(context.Context, wire.RequestStart, func([]byte) error) (int, string, error) { return 0, "", err }
		s.Handle(a, startOf("x"))
		end := next(a).(*wire.ResponseEnd)
		Expect(end.Outcome).To(Equal(o))
		Expect(end.Reason).To(Equal(r))
	},
		Entry("not started", ErrNotStarted, outcome.NotRun, outcome.ReasonNoBackendServer),
		Entry("crashed", ErrBackendCrashed, outcome.Unknown, outcome.ReasonBackendCrashed),
		Entry("other", context.DeadlineExceeded, outcome.Unknown, outcome.ReasonBackendError),
	)

	// Guards against a silent connection that holds up the agent after a crash.
	It("tells all entries about a crash", func() {
		b, silent := newEntry(), newEntry()
		silent.messages = nil
		defer close(silent.closed)
		s.Connect(silent)
		s.Connect(b)
		s.ReportCrash(1)
		Expect(next(a)).To(BeAssignableToTypeOf(&wire.CrashReport{}))
		Expect(next(b)).To(BeAssignableToTypeOf(&wire.CrashReport{}))
	})

	// Guards against a request for the old weights that runs while the new ones
	// load, with callers that never stop.
	It("never loads while a request runs", func() {
		stop := make(chan struct{})
		var callers sync.WaitGroup
		var admitted atomic.Int64
		var serial atomic.Int64
		for range 4 {
			callers.Go(func() {
				e := newEntry()
				s.Connect(e)
				for {
					select {
					case <-stop:
						return
					default:
					}
					start := startOf(model.AttemptID(time.Unix(serial.Add(1), 0).String()))
					if serial.Load()%2 == 0 {
						start.Weights = v2
					}
					s.Handle(e, start)
					if end, ok := (<-e.messages).(*wire.RequestRefused); !ok || end == nil {
						<-e.messages
						admitted.Add(1)
						s.Handle(e, &wire.ResponseAck{Attempt: start.Attempt, NextSequence: 2})
					}
				}
			})
		}
		for i := range 200 {
			to := v2
			if i%2 == 1 {
				to = v1
			}
			Expect(s.Quiesce(context.Background())).To(Succeed())
			live, err := load.Load(context.Background(), to)
			Expect(err).NotTo(HaveOccurred())
			s.Serve(live)
			Expect(s.Live()).To(Equal([]model.Weights{to}))
		}
		Eventually(admitted.Load).Should(BeNumerically(">", 10))
		close(stop)
		callers.Wait()
		Expect(load.loads.Load()).To(Equal(int64(200)))
		Expect(load.overlap.Load()).To(BeFalse())
	})

	It("admits the old weights again when a switch is given up", func() {
		release := make(chan struct{})
		backend.run = func(context.Context, wire.RequestStart, func([]byte) error) (int, string, error) {
			<-release
			return 200, "", nil
		}
		s.Handle(a, startOf("x"))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(s.Quiesce(ctx)).To(MatchError(context.Canceled))
		Expect(s.Live()).To(BeEmpty())
		s.Serve([]model.Weights{v1})
		Expect(s.Live()).To(Equal([]model.Weights{v1}))
		close(release)
	})
})
