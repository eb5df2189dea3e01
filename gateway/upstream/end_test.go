package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// endBodyBytes is more than the buffers of the sender and of a server that reads endReadBytes hold.
const endBodyBytes, endReadBytes = 16 << 20, 64 << 10

// answeredExchange returns an exchange whose server has answered a long request and read none
// of its body, and the server's end of the connection.
func answeredExchange(ctx context.Context, t *testing.T) (*Exchange, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	failOn(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	x, err := Dial(ctx, listener.Addr().String())
	failOn(t, err)
	t.Cleanup(x.Close)
	conn, err := listener.Accept()
	failOn(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	server := conn.(*net.TCPConn)
	failOn(t, server.SetReadBuffer(endReadBytes))
	_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	failOn(t, err)
	resp, err := x.Do(&Request{Method: http.MethodPost, Target: "/", Host: "host", Body: make([]byte, endBodyBytes)})
	failOn(t, err)
	_, err = io.ReadAll(resp.Body)
	failOn(t, err)
	return x, server
}

// TestCancelAfterComplete guards against a hedged attempt that has answered and loses the rest
// of its request, because the other one wins or the caller leaves.
func TestCancelAfterComplete(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	x, server := answeredExchange(ctx, t)
	failOn(t, x.Complete())
	cancel()
	x.Cancel()
	finished := make(chan error, 1)
	go func() { finished <- x.Finish(t.Context()) }()
	n, err := io.Copy(io.Discard, server)
	failOn(t, err)
	failOn(t, <-finished)
	if n < endBodyBytes {
		t.Fatalf("server has got %d bytes of %d", n, endBodyBytes)
	}
}

// TestCompleteAfterCancel guards against an answer that is passed on though its request was cut.
func TestCompleteAfterCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	x, server := answeredExchange(ctx, t)
	cancel()
	// The connection ends when the context has cancelled the exchange.
	_, err := io.Copy(io.Discard, server)
	failOn(t, err)
	if err := x.Complete(); !errors.Is(err, ErrCancelled) {
		t.Fatalf("got %v", err)
	}
}

// TestFinishErrors guards against requests that end silently before the server has taken them.
func TestFinishErrors(t *testing.T) {
	errStop := errors.New("stop")
	for name, test := range map[string]struct {
		end  func(server *net.TCPConn, stop context.CancelCauseFunc)
		want error
	}{
		"reset":       {func(server *net.TCPConn, _ context.CancelCauseFunc) { _ = server.SetLinger(0); _ = server.Close() }, syscall.ECONNRESET},
		"end of time": {func(_ *net.TCPConn, stop context.CancelCauseFunc) { stop(errStop) }, errStop},
	} {
		t.Run(name, func(t *testing.T) {
			x, server := answeredExchange(t.Context(), t)
			failOn(t, x.Complete())
			ctx, stop := context.WithCancelCause(t.Context())
			defer stop(nil)
			finished := make(chan error, 1)
			go func() { finished <- x.Finish(ctx) }()
			test.end(server, stop)
			select {
			case err := <-finished:
				// The reset is reported to the reader or to the writer, which then has a broken pipe.
				if !errors.Is(err, test.want) && (test.want != syscall.ECONNRESET || !errors.Is(err, syscall.EPIPE)) {
					t.Fatalf("got %v", err)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("exchange does not end")
			}
		})
	}
}

// TestTakeLimit guards against servers that hold a request for ever, and against limits that a
// server on a slow link cannot keep.
func TestTakeLimit(t *testing.T) {
	if got := takeLimit(0); got != takeTimeout {
		t.Fatalf("got %v", got)
	}
	if got, want := takeLimit(4<<20), takeTimeout+64*time.Second; got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
