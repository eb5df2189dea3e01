// Package httpbacking contains the HTTP clients of the platform services. All
// failures are mapped to the errors of lib/backing. A write is reported as not
// applied only if no connection was established or the service said so.
package httpbacking

import (
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// defaultTimeout leaves room for a poll and one retry within the 9 s in which a
	// configuration is in force.
	defaultTimeout        = 2 * time.Second
	defaultConnectTimeout = time.Second
	defaultMaxIdleConns   = 16
	// maxResponseBytes limits a response body.
	maxResponseBytes = 64 << 20
)

// Config configures a client. Zero values are replaced by defaults, except for URL.
type Config struct {
	// URL is the base URL of the service.
	URL string
	// Timeout limits one call. For Source it limits the time until the response
	// header.
	Timeout time.Duration
	// ConnectTimeout limits the opening of a connection.
	ConnectTimeout time.Duration
	// MaxIdle is the maximum number of idle connections.
	MaxIdle int
	// Transport replaces the default transport, for example for TLS. It overrides
	// ConnectTimeout and MaxIdle.
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
		c.MaxIdle = defaultMaxIdleConns
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
