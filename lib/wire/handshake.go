package wire

import (
	"net"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// handshakeTimeout bounds the wait for the peer's Hello.
	handshakeTimeout = 3 * time.Second
	// maxHelloBytes bounds the first frame of a connection, whose sender is not known. A Hello
	// has some hundred bytes.
	maxHelloBytes = 64 << 10
)

// ErrHandshake means that the exchange of Hello messages failed: the peer did not send
// a Hello, uses another protocol version, or rejected the connection.
var ErrHandshake = merry.New("handshake failed")

// Handshake sends hello on nc and waits for the Hello of the peer, which it returns
// together with a Conn that owns nc. It closes nc on failure. If TLS is used, it must
// already be established on nc.
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
	m, err := readWithin(conn.reader, maxHelloBytes)
	if err != nil {
		return Hello{}, merry.Wrap(ErrHandshake, merry.WithCause(err))
	}
	switch peer := m.(type) {
	case *Hello:
		if peer.Version != ProtocolVersion {
			return Hello{}, merry.Wrap(ErrHandshake, merry.AppendMessagef("peer has protocol version %d, want %d", peer.Version, ProtocolVersion))
		}
		return *peer, conn.SetReadDeadline(time.Time{})
	case *ConnectionReject:
		return Hello{}, merry.Wrap(ErrHandshake, merry.AppendMessage(peer.Reason))
	default:
		return Hello{}, merry.Wrap(ErrHandshake, merry.AppendMessagef("first frame has type %d, want Hello", m.Type()))
	}
}
