package node

import (
	"log"
	"net/http"
	"time"
)

const (
	// checkTimeout limits receiving a request for the readiness or the metrics, and sending its
	// answer.
	checkTimeout = 5 * time.Second
	// maxCheckHeaderBytes limits the head of such a request. The library adds 4 KiB.
	maxCheckHeaderBytes = 4 << 10
)

// newCheckServer returns an HTTP server for readiness checks or metrics. It answers one request
// on each connection, so that connections end soon.
func newCheckServer(handler http.Handler) *http.Server {
	s := &http.Server{
		Handler: handler, ReadTimeout: checkTimeout, WriteTimeout: checkTimeout, MaxHeaderBytes: maxCheckHeaderBytes,
		ErrorLog: log.New(discard{}, "", 0),
	}
	s.SetKeepAlivesEnabled(false)
	return s
}
