// Package operator is the client library of the operators' interface.
package operator

import (
	"crypto/tls"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// defaultTimeout limits one attempt at one entry. It is longer than the entry's own
	// time limit, so that the client receives the entry's error.
	defaultTimeout = 10 * time.Second
	// defaultRounds is how often each address is tried.
	defaultRounds = 2
)

// Config configures a Client.
type Config struct {
	// Addresses are the addresses of entries in the order in which they are tried. At
	// least one is required.
	Addresses []string
	// TLS is required unless Plaintext is set, and not allowed with it.
	TLS *tls.Config
	// Plaintext disables encryption and authentication.
	Plaintext bool
	// Timeout limits one attempt at one entry. Zero means 10 s.
	Timeout time.Duration
	// Rounds is how often each address is tried. Zero means 2.
	Rounds int
	// Author is the name of the operator for connections without a certificate.
	Author string
}

func (c *Config) applyDefaults() {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Rounds == 0 {
		c.Rounds = defaultRounds
	}
}

func (c *Config) validate() error {
	if len(c.Addresses) == 0 {
		return merry.New("no address of an entry configured")
	}
	if c.TLS == nil && !c.Plaintext {
		return merry.New("neither TLS nor plaintext configured")
	}
	if c.TLS != nil && c.Plaintext {
		return merry.New("both TLS and plaintext configured")
	}
	return nil
}
