// Package operator is the client library of the operators' interface.
package operator

import (
	"crypto/tls"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// defaultTimeout bounds one attempt at one entry. It is longer than the
	// entry's own bound, so that the entry's answer arrives.
	defaultTimeout = 10 * time.Second
	// defaultRounds is how often all addresses are tried.
	defaultRounds = 2
)

// Config holds the addresses and limits of a Client.
type Config struct {
	// Addresses are entries in the order in which they are tried.
	Addresses []string
	// TLS is required unless Plaintext is set.
	TLS *tls.Config
	// Plaintext sends calls without encryption and authentication.
	Plaintext bool
	// Timeout bounds one attempt.
	Timeout time.Duration
	// Rounds is how often all addresses are tried.
	Rounds int
	// Author names the operator where the connection does not.
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
		return merry.New("no address of an entry is given")
	}
	if c.TLS == nil && !c.Plaintext {
		return merry.New("neither TLS settings nor plaintext are given")
	}
	if c.TLS != nil && c.Plaintext {
		return merry.New("both TLS settings and plaintext are given")
	}
	return nil
}
