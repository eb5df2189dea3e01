package node

import (
	"context"
	"log"
	"net"
	"net/http"
)

// callerServer is the HTTP server of callers.
type callerServer struct {
	http  *http.Server
	conns *callerConns
	// done receives the result of Serve.
	done chan error
}

// startCallerServer serves the connections of a listener.
func startCallerServer(handler http.Handler, listener net.Listener) *callerServer {
	conns := &callerConns{}
	s := &callerServer{
		conns: conns, done: make(chan error, 1),
		http: &http.Server{
			Handler: keepReceived(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(discard{}, "", 0),
			ConnState: conns.observe, ConnContext: withSlot,
		},
	}
	s.http.RegisterOnShutdown(conns.closeUnused)
	go func() { s.done <- s.http.Serve(listener) }()
	return s
}

// drain waits until the listener has closed, closes the connections that are idle, and
// returns when no request is in progress or expected, or when ctx ends. The handler must
// announce that connections close, as they are not kept once they are idle.
//
// Shutdown drops requests that are read after its start. Before it, the listener and the
// idle connections close, and the requests on all other connections are answered. It
// would wait for connections on which no request has been read, so it closes them first.
func (s *callerServer) drain(ctx context.Context) error {
	select {
	case <-s.done:
		s.conns.awaitRequests(ctx)
	case <-ctx.Done():
	}
	return s.http.Shutdown(ctx)
}
