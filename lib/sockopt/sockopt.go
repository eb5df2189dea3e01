// Package sockopt sets the options of TCP connections that find peers which have
// gone silent: something between the two ends may lose track of a connection
// while new ones work.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedLimit is the time in milliseconds after which a connection with
// unacknowledged bytes is given up.
const unacknowledgedLimit = 2000

// KeepAlive probes an idle connection after a second and gives it up about a
// second later.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// Dialer returns a dialer whose connections do not hang on a silent path.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: limitUnacknowledged}
}

func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unacknowledgedLimit)
	})
	if err != nil {
		return err
	}
	return failed
}
