package telemetry

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/connlimit"
)

const (
	// endpointTimeout limits reading a request and writing its response.
	endpointTimeout = 5 * time.Second
	// maxEndpointConns bounds the open connections. The one with the oldest beginning is closed
	// for a new one.
	maxEndpointConns = 16
	// maxEndpointHeaderBytes limits the head of a request. The library adds 4 KiB.
	maxEndpointHeaderBytes = 4 << 10
	// maxScrapes bounds the pages that are made at a time, each of which takes a multiple of
	// its size in memory.
	maxScrapes = 4
)

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
		server: &http.Server{
			Handler: mux, ReadTimeout: endpointTimeout, WriteTimeout: endpointTimeout, MaxHeaderBytes: maxEndpointHeaderBytes,
			ErrorLog: log.New(io.Discard, "", 0),
		},
		ln:   connlimit.Listen(ln, maxEndpointConns),
		done: make(chan struct{}),
	}
	// Connections that answer one request each end soon.
	e.server.SetKeepAlivesEnabled(false)
	go func() {
		defer close(e.done)
		_ = e.server.Serve(e.ln)
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
