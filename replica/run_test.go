package replica

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/internal/loopback"
)

// Guards against an agent that can't start again on its address because the one before it
// has returned and still holds the ports.
func TestPortsAreClosedWhenRunReturns(t *testing.T) {
	ip, err := loopback.NewIP()
	if err != nil {
		t.Fatal(err)
	}
	const port = 9000
	address := net.JoinHostPort(ip, "9000")
	for range 300 {
		r, _, _ := newScripted(&scriptedEngine{})
		r.config.Listen, r.config.PeerPort = ip, port
		reporter, err := NewLoadReporter(r)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		reported, ended := make(chan struct{}), make(chan error, 1)
		go func() {
			defer close(reported)
			reporter.Run(ctx)
		}()
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(time.Millisecond)
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = ln.Close()
		<-reported
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
}
