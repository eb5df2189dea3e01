package telemetry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// endpointTimeout limits reading a request and writing its response.
const endpointTimeout = 10 * time.Second

// Endpoint is an HTTP server for GET /metrics in the Prometheus text format.
type Endpoint struct {
	server *http.Server
	ln     net.Listener
	done   chan struct{}
}

// Listen starts the metrics endpoint at an IP address and port.
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

// Address returns the IP address and port of the endpoint.
func (e *Endpoint) Address() string { return e.ln.Addr().String() }

// Close shuts the endpoint down, waiting for open requests until ctx ends.
func (e *Endpoint) Close(ctx context.Context) error {
	err := e.server.Shutdown(ctx)
	<-e.done
	return err
}
