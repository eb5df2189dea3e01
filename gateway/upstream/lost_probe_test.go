package upstream

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestLostProbe guards against a request to a sound, silent server that ends with a lost probe.
func TestLostProbe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	failOn(t, err)
	defer func() { _ = listener.Close() }()
	x, err := Dial(t.Context(), listener.Addr().String())
	failOn(t, err)
	defer x.Close()
	server, err := listener.Accept()
	failOn(t, err)
	defer func() { _ = server.Close() }()
	answered := make(chan error, 1)
	go func() {
		resp, err := x.Do(&Request{Method: http.MethodGet, Target: "/", Host: "host"})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		answered <- err
	}()
	_, err = server.Read(make([]byte, readBufferBytes))
	failOn(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	failOn(t, control(server, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}))
	waitForProbes(t, x.conn, 1)
	failOn(t, control(server, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) }))
	waitForProbes(t, x.conn, 0)
	_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	failOn(t, err)
	failOn(t, <-answered)
}

// waitForProbes waits until a connection has sent n probes since the last acknowledgement.
func waitForProbes(t *testing.T, conn net.Conn, n uint8) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		failOn(t, control(conn, func(fd int) (err error) {
			info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			return err
		}))
		if info.Probes == n {
			return
		}
	}
	t.Fatalf("connection has not sent %d probes", n)
}

// control runs do with the file descriptor of a connection.
func control(conn net.Conn, do func(fd int) error) error {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = do(int(fd)) }); err != nil {
		return err
	}
	return failed
}

func failOn(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
