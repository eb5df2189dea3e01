// Package sockopt provides TCP socket options that detect silent peers. A device on the
// network path may lose the state of an established connection while new connections
// still work.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is the TCP_USER_TIMEOUT: the time after which a connection with
// unacknowledged data is closed.
const userTimeoutMillis = 2000

// KeepAlive probes a connection after 1 s of idle time and closes it about 1 s later if
// the peer does not respond.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// Dialer returns a dialer whose connections fail within about 2 s if the peer or the
// network path stops responding. The timeout limits the opening of a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: setUserTimeout}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return failed
}
