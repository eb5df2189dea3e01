package wire

import (
	"net"
	"time"

	"github.com/ansel1/merry/v2"
)

// handshakeTimeout bounds the exchange of Hello messages.
const handshakeTimeout = 3 * time.Second

// ErrHandshake means that the peer is not one that this process talks to.
var ErrHandshake = merry.New("handshake refused")

// Handshake takes over nc, sends hello and waits for the peer's. It closes nc
// when it fails. TLS, where configured, is already set up on nc.
func Handshake(nc net.Conn, hello Hello) (*Conn, Hello, error) {
	conn := NewConn(nc)
	peer, err := exchangeHello(conn, hello)
	if err != nil {
		_ = conn.Close()
		return nil, Hello{}, err
	}
	return conn, peer, nil
}

func exchangeHello(conn *Conn, hello Hello) (Hello, error) {
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Hello{}, merry.Wrap(err)
	}
	hello.Version = ProtocolVersion
	if err := conn.Send(&hello); err != nil {
		return Hello{}, err
	}
	m, err := conn.Receive()
	if err != nil {
		return Hello{}, merry.Wrap(ErrHandshake, merry.WithCause(err))
	}
	switch peer := m.(type) {
	case *Hello:
		if peer.Version != ProtocolVersion {
			return Hello{}, merry.Wrap(ErrHandshake, merry.AppendMessagef("peer speaks version %d, this process %d", peer.Version, ProtocolVersion))
		}
		return *peer, conn.SetReadDeadline(time.Time{})
	case *ConnectionReject:
		return Hello{}, merry.Wrap(ErrHandshake, merry.AppendMessage(peer.Reason))
	default:
		return Hello{}, merry.Wrap(ErrHandshake, merry.AppendMessagef("first frame has type %d", m.Type()))
	}
}
