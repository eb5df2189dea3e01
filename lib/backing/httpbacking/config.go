// Package httpbacking holds the HTTP clients of the platform. Every failure is
// mapped to the typed errors of lib/platform: a write is reported as not
// applied only when no connection was obtained or the service said so.
package httpbacking

import (
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// defaultTimeout bounds one call. It leaves room for a poll and its repeat
	// within the 9 s in which a configuration is in force.
	defaultTimeout = 2 * time.Second
	// defaultConnectTimeout bounds the set-up of a connection.
	defaultConnectTimeout = time.Second
	// defaultMaxIdle is the number of connections kept open.
	defaultMaxIdle = 16
	// maxAnswer bounds the body of an answer in bytes.
	maxAnswer = 64 << 20
)

// Config holds the address and limits of a client.
type Config struct {
	// URL is the base URL, without a slash at the end.
	URL string
	// Timeout bounds one call; for WeightSource it bounds the time until the
	// answer starts.
	Timeout        time.Duration
	ConnectTimeout time.Duration
	MaxIdle        int
	// Transport replaces the transport, for example to set TLS.
	Transport http.RoundTripper
}

func (c *Config) applyDefaults() {
	c.URL = strings.TrimSuffix(c.URL, "/")
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = defaultMaxIdle
	}
	if c.Transport == nil {
		c.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: c.ConnectTimeout}).DialContext,
			MaxIdleConns:        c.MaxIdle,
			MaxIdleConnsPerHost: c.MaxIdle,
			IdleConnTimeout:     time.Minute,
		}
	}
}
