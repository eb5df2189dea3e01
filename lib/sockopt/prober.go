package sockopt

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeInterval is the time between two probes of a Prober. A connection ends at most
// userTimeout plus probeInterval after the last acknowledgement. That is less than the
// stability time of users' settings (3 s), after which other bounds have to hold again.
const probeInterval = 500 * time.Millisecond

// Prober sends keep-alive probes on a connection of a Dialer more often than Linux does
// by itself, so that a link which is down for less than probeInterval closes no connection
// to a sound peer. A connection that receives acknowledgements gets no further probes.
// It also keeps a connection open whose peer acknowledges and does not read yet, which the
// options of a Dialer alone would close after userTimeout. It is safe for concurrent use.
type Prober struct {
	conn syscall.RawConn
	// window is used by run only; nil once no data can be outstanding any more, or where the
	// operating system does not tell.
	window *windowWatch
	// written is set once nothing more will be written.
	written atomic.Bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// NewProber starts to probe a connection. Stop must be called when it is closed. A
// connection that is not TCP is not probed.
func NewProber(conn net.Conn) *Prober {
	p := &Prober{}
	c, ok := conn.(syscall.Conn)
	if !ok {
		return p
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return p // the connection is closed
	}
	p.conn, p.window = raw, newWindowWatch(time.Now())
	p.schedule(probeIdle)
	return p
}

// EndWrites tells that nothing more will be written to the connection.
func (p *Prober) EndWrites() { p.written.Store(true) }

// Stop ends the probes.
func (p *Prober) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

func (p *Prober) schedule(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.timer = time.AfterFunc(delay, p.run)
	}
}

// run sets the idle time again. Linux then starts its timer anew with what remains of the
// idle time, and sends a probe at once if nothing remains. An error means that the
// connection is closed.
func (p *Prober) run() {
	var failed error
	err := p.conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeIdle/time.Second))
		if failed == nil && p.window != nil {
			p.watchWindow(fd)
		}
	})
	if err == nil && failed == nil {
		p.schedule(probeInterval)
	}
}

// watchWindow adjusts the user timeout as long as data may be outstanding.
func (p *Prober) watchWindow(fd uintptr) {
	written := p.written.Load()
	info, err := tcpInfo(fd)
	if err != nil || p.window.observe(fd, info, time.Now()) != nil || written && !isOutstanding(info) {
		p.window = nil
	}
}
