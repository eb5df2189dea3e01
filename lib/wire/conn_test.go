package wire_test

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("Conn", func() {
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

	It("does not block senders after Close", func() {
		a, _ := net.Pipe()
		conn := wire.NewConn(a)
		Expect(conn.Close()).To(Succeed())
		Expect(conn.TrySend(&wire.Heartbeat{})).To(MatchError(wire.ErrClosed))
	})
})
