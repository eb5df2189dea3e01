package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SendState is what the operating system knows about the data that was written to a
// connection.
type SendState struct {
	// Ended is set if the connection was reset or has timed out. A peer that closes its side
	// in order does not end the connection.
	Ended bool
	// Outstanding is set while the peer has not acknowledged all data.
	Outstanding bool
}

// ReadSendState returns the state of a TCP connection. It fails with an error that wraps
// net.ErrClosed if this process has closed the connection, and with others where the
// operating system does not tell the state.
func ReadSendState(conn net.Conn) (SendState, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return SendState{}, unix.ENOTSUP
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return SendState{}, err
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) { info, failed = tcpInfo(fd) })
	if err != nil {
		return SendState{}, err
	}
	if failed != nil {
		return SendState{}, failed
	}
	return SendState{Ended: info.State == unix.BPF_TCP_CLOSE, Outstanding: isOutstanding(info)}, nil
}

func tcpInfo(fd uintptr) (*unix.TCPInfo, error) {
	return unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
}

// isOutstanding reports whether data was written that the peer has not acknowledged.
func isOutstanding(info *unix.TCPInfo) bool { return info.Unacked > 0 || info.Notsent_bytes > 0 }
