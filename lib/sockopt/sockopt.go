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

const (
	// probeIdle is the time without an acknowledgement after which a connection is probed.
	probeIdle = time.Second
	// userTimeout is the TCP_USER_TIMEOUT: the time without an acknowledgement of data or of
	// a probe after which a connection is closed. Linux compares with it whenever a probe is
	// due and then ignores the count of probes.
	userTimeout = 2 * time.Second
)

// KeepAlive probes a connection after 1 s of idle time and then every second, the shortest
// interval that Linux accepts. With userTimeout, the loss of a single probe closes the
// connection; a Prober sends further ones where that would cost a request.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: time.Second, Count: 2}

// Dialer returns a dialer whose connections fail within about 2 s if the peer or the
// network path stops responding. The timeout limits the opening of a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: controlUserTimeout}
}

func controlUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) { failed = setUserTimeout(fd, userTimeout) })
	if err != nil {
		return err
	}
	return failed
}

func setUserTimeout(fd uintptr, timeout time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}
