package telemetry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// endpointTimeout bounds one read of the text endpoint.
const endpointTimeout = 10 * time.Second

// Endpoint serves the text format under /metrics.
type Endpoint struct {
	server *http.Server
	ln     net.Listener
	done   chan struct{}
}

// Listen starts the text endpoint at an IP address and port.
func (m *Metrics) Listen(address string) (*Endpoint, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "metrics endpoint")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	e := &Endpoint{
		server: &http.Server{Handler: mux, ReadTimeout: endpointTimeout, WriteTimeout: endpointTimeout},
		ln:     ln,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(e.done)
		_ = e.server.Serve(ln)
	}()
	return e, nil
}

// Address returns the IP address and port.
func (e *Endpoint) Address() string { return e.ln.Addr().String() }

// Close stops the endpoint and waits for it.
func (e *Endpoint) Close(ctx context.Context) error {
	err := e.server.Shutdown(ctx)
	<-e.done
	return err
}
