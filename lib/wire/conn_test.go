package wire_test

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// must returns a value that cannot fail.
func must[T any](value T, err error) T {
	Expect(err).NotTo(HaveOccurred())
	return value
}

var _ = Describe("Conn", func() {
	It("takes no long frame from a peer that is not known yet", func() {
		// Guards against connections that each make this process hold a frame of 4 MiB.
		a, b := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		go func() { _, _ = b.Write([]byte{0, 2, 0, 0, byte(wire.TypeHello)}) }()
		_, _, err := wire.Handshake(a, wire.Hello{Role: wire.RoleEntry})
		Expect(err).To(MatchError(wire.ErrFrameTooLarge))
	})

	It("exchanges Hello and delivers messages in order", func() {
		a, b := net.Pipe()
		type result struct {
			conn *wire.Conn
			peer wire.Hello
			err  error
		}
		agentSide := make(chan result, 1)
		go func() {
			conn, peer, err := wire.Handshake(b, wire.Hello{Role: wire.RoleAgent})
			agentSide <- result{conn, peer, err}
		}()
		entry, peer, err := wire.Handshake(a, wire.Hello{Role: wire.RoleEntry, Identity: model.Identity{Instance: "entry-1"}})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = entry.Close() }()
		Expect(peer.Role).To(Equal(wire.RoleAgent))
		agent := <-agentSide
		Expect(agent.err).NotTo(HaveOccurred())
		defer func() { _ = agent.conn.Close() }()
		Expect(agent.peer.Identity.Instance).To(Equal(model.InstanceID("entry-1")))

		for i := range uint64(10) {
			Expect(entry.Send(&wire.Heartbeat{Sequence: i})).To(Succeed())
		}
		for i := range uint64(10) {
			m, err := agent.conn.Receive()
			Expect(err).NotTo(HaveOccurred())
			Expect(m.(*wire.Heartbeat).Sequence).To(Equal(i))
		}
	})

	// Guards against communication with a peer that uses another protocol.
	It("rejects a peer whose first frame is not a Hello", func() {
		a, b := net.Pipe()
		go func() {
			conn := wire.NewConn(b)
			_, _ = conn.Receive()
			_ = conn.Send(&wire.Heartbeat{})
		}()
		_, _, err := wire.Handshake(a, wire.Hello{})
		Expect(err).To(MatchError(wire.ErrHandshake))
	})

	It("delivers requests and responses of any length unchanged", func() {
		// Guards against data that is damaged where it is sent without a copy.
		a, b := net.Pipe()
		sender, receiver := wire.NewConn(a), wire.NewConn(b)
		DeferCleanup(func() { _, _ = sender.Close(), receiver.Close() })
		var total int64
		for _, length := range []int{0, 1, 255, 256, 4<<10 - 1, 4 << 10, 1<<16 - 1, 1 << 16, 1<<16 + 1, 4 << 20} {
			data := bytes.Repeat([]byte{byte(length), 0xc0}, length/2+1)[:length]
			start := &wire.RequestStart{Request: "r", Attempt: "a", Suspect: true, IdempotencyKey: "key", Body: data}
			frame := &wire.ResponseFrame{Attempt: "a", Sequence: 7, Data: data}
			for _, m := range []wire.Message{start, frame} {
				Expect(sender.TrySend(m)).To(Succeed())
				got, err := receiver.Receive()
				Expect(err).NotTo(HaveOccurred())
				want, err := wire.Append(nil, m)
				Expect(err).NotTo(HaveOccurred())
				Expect(wire.Append(nil, got)).To(Equal(want))
				total += int64(len(want))
				Eventually(func() int64 { sent, _ := sender.ByteCounts(); return sent }).Should(Equal(total))
			}
			Expect(start.Body).To(Equal(data))
		}
		Expect(sender.TrySend(&wire.RequestStart{Body: make([]byte, wire.MaxFrameBytes)})).To(MatchError(wire.ErrFrameTooLarge))
	})

	It("sends long bodies without a copy of them", func() {
		// Guards against a queue that holds each body again, and more than once.
		a, b := net.Pipe()
		sender := wire.NewConn(a)
		DeferCleanup(func() { _ = sender.Close() })
		var received atomic.Int64
		go func() {
			for buf := make([]byte, 64<<10); ; {
				n, err := b.Read(buf)
				received.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		body := make([]byte, 4<<20)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		const count = 10
		for range count {
			Expect(sender.TrySend(&wire.RequestStart{Body: body})).To(Succeed())
		}
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 1<<20), "bytes allocated")
		Eventually(received.Load, 10*time.Second).Should(BeNumerically(">=", count*len(body)))
	})

	It("releases the room of each message once it is sent or dropped", func() {
		// Guards against bodies that are held without room in the queue of a connection that
		// does not move, and against room that is never returned.
		for _, closing := range []bool{false, true} {
			a, b := net.Pipe()
			sender := wire.NewConn(a)
			const count = 300
			var held atomic.Int64
			refused := 0
			for range count {
				held.Add(1)
				err := sender.TrySendHeld(&wire.RequestStart{Body: make([]byte, 128<<10)}, func() { held.Add(-1) })
				if err != nil {
					refused++
				}
			}
			Expect(refused).To(BeNumerically(">", 0))
			Consistently(held.Load, 100*time.Millisecond).Should(BeEquivalentTo(count - refused))
			if closing {
				Expect(sender.Close()).To(Succeed())
			} else {
				go func() { _, _ = io.Copy(io.Discard, b) }()
			}
			Eventually(held.Load, 5*time.Second).Should(BeZero())
			_ = sender.Close()
			held.Add(1)
			Expect(sender.TrySendHeld(&wire.RequestStart{}, func() { held.Add(-1) })).To(MatchError(wire.ErrClosed))
			Expect(held.Load()).To(BeZero())
		}
	})

	It("returns all room if it is closed while messages are sent", func() {
		// Guards against a message that is queued after the queue of a closed connection has
		// been emptied.
		for range 200 {
			a, _ := net.Pipe()
			sender := wire.NewConn(a)
			var held atomic.Int64
			var sending sync.WaitGroup
			for range 4 {
				sending.Go(func() {
					for range 8 {
						held.Add(1)
						_ = sender.TrySendHeld(&wire.RequestStart{}, func() { held.Add(-1) })
					}
				})
			}
			Expect(sender.Close()).To(Succeed())
			sending.Wait()
			Eventually(held.Load, time.Second, time.Millisecond).Should(BeZero())
		}
	})

	Describe("with limited bodies", func() {
		var sender, receiver *wire.Conn
		var budget *memory.Budget
		BeforeEach(func() {
			a, b := net.Pipe()
			sender, receiver = wire.NewConn(a), wire.NewConn(b)
			DeferCleanup(func() { _, _ = sender.Close(), receiver.Close() })
			budget = memory.NewBudget(8<<20, 7<<20)
			receiver.LimitBodies(func(tenant model.Tenant, bytes int64) (*memory.Shared, bool) {
				room, ok := budget.TryAcquire(string(tenant), bytes)
				return room.Share(), ok
			})
		})

		It("delivers bodies of any length unchanged, and counts the long ones", func() {
			// Guards against a message that differs from what was sent, and a reader that loses
			// the beginning of the next one.
			for _, length := range []int{0, 1, 4 << 10, 15 << 10, 16 << 10, 17 << 10, 1<<16 - 1, 1 << 16, 4 << 20} {
				body := bytes.Repeat([]byte{byte(length), 'b', 0xc5}, length/3+1)[:length]
				start := &wire.RequestStart{
					Request: "r", Attempt: "a", Tenant: "huye", Class: "c", Service: "s", Weights: model.Weights{Base: model.Sum([]byte("v"))},
					RemainingMillis: -5, Hop: 2, Priority: -1000, Repeatable: true, ContentType: strings.Repeat("t", 1024), IdempotencyKey: "b", Body: body,
				}
				Expect(sender.TrySend(start)).To(Succeed())
				Expect(sender.TrySend(&wire.Heartbeat{Sequence: uint64(length)})).To(Succeed())
				m, err := receiver.Receive()
				Expect(err).NotTo(HaveOccurred())
				got := m.(*wire.RequestStart)
				Expect(wire.Append(nil, got)).To(Equal(must(wire.Append(nil, start))))
				Expect(got.BodyDropped).To(BeFalse())
				if length > 16<<10 {
					Expect(budget.Held()).To(BeEquivalentTo(length))
				}
				got.Room.Release()
				Expect(budget.Held()).To(BeZero())
				m, err = receiver.Receive()
				Expect(err).NotTo(HaveOccurred())
				Expect(m.(*wire.Heartbeat).Sequence).To(BeEquivalentTo(length))
			}
		})

		It("drops a body that has no room, and delivers what follows", func() {
			// Guards against bodies that are held beyond the limit, and against a connection that
			// waits for room and delays heartbeats.
			var starts []*wire.RequestStart
			for i := range 4 {
				body := make([]byte, 4<<20)
				Expect(sender.TrySend(&wire.RequestStart{Attempt: model.AttemptID(strconv.Itoa(i)), Tenant: "huye", Body: body})).To(Succeed())
				m, err := receiver.Receive()
				Expect(err).NotTo(HaveOccurred())
				starts = append(starts, m.(*wire.RequestStart))
			}
			for i, s := range starts {
				Expect(s.Attempt).To(BeEquivalentTo(strconv.Itoa(i)))
				Expect(s.BodyDropped).To(Equal(i > 0))
				Expect(s.Body == nil).To(Equal(i > 0))
			}
			Expect(budget.Held()).To(BeEquivalentTo(4 << 20))
			Expect(budget.Refused()).To(BeEquivalentTo(3))
		})

		It("returns the room of a body that does not arrive", func() {
			// Guards against room that is lost with a connection.
			a, b := net.Pipe()
			conn := wire.NewConn(b)
			conn.LimitBodies(func(tenant model.Tenant, bytes int64) (*memory.Shared, bool) {
				room, ok := budget.TryAcquire(string(tenant), bytes)
				return room.Share(), ok
			})
			encoded := must(wire.Append(nil, &wire.RequestStart{Attempt: "a", Tenant: "huye", Body: make([]byte, 1<<20)}))
			go func() {
				_, _ = a.Write(encoded[:100<<10])
				_ = a.Close()
			}()
			_, err := conn.Receive()
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(budget.Held()).To(BeZero())
		})

		It("rejects what is not a request, whatever its content", func() {
			// Guards against a reader that panics on, or takes room for, invalid data.
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				valid := must(wire.Append(nil, &wire.RequestStart{Attempt: "a", Tenant: "huye", Weights: model.Weights{Base: model.Sum([]byte("v"))}, Body: make([]byte, 40<<10)}))
				for range rapid.IntRange(1, 5).Draw(t, "changes") {
					// The type stays, and so does the upper half of the length.
					i := rapid.SampledFrom([]int{2, 3, rapid.IntRange(5, 300).Draw(t, "index")}).Draw(t, "place")
					valid[i] = rapid.Byte().Draw(t, "byte")
				}
				a, b := net.Pipe()
				conn := wire.NewConn(b)
				defer conn.Close()
				budget := memory.NewBudget(1<<20, 1<<20)
				conn.LimitBodies(func(tenant model.Tenant, bytes int64) (*memory.Shared, bool) {
					if bytes > int64(len(valid)) && bytes > 1<<16 {
						t.Fatalf("%d bytes reserved", bytes)
					}
					room, ok := budget.TryAcquire(string(tenant), bytes)
					return room.Share(), ok
				})
				go func() {
					_, _ = a.Write(valid)
					_ = a.Close()
				}()
				if m, err := conn.Receive(); err == nil {
					if start, ok := m.(*wire.RequestStart); ok {
						start.Room.Release()
					}
				}
				if budget.Held() != 0 {
					t.Fatalf("%d bytes stay held", budget.Held())
				}
			})
		})
	})

	It("does not block senders after Close", func() {
		a, _ := net.Pipe()
		conn := wire.NewConn(a)
		Expect(conn.Close()).To(Succeed())
		Expect(conn.TrySend(&wire.Heartbeat{})).To(MatchError(wire.ErrClosed))
	})
})
