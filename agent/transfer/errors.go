package transfer

import "github.com/ansel1/merry/v2"

var (
	// ErrReplaced means that another version was asked for before the fetch was
	// complete.
	ErrReplaced = merry.New("wanted version replaced")
	// ErrClosed means that the service was closed.
	ErrClosed = merry.New("transfer service closed")
	// errNoSource means that neither an origin nor a weight store is configured.
	errNoSource = merry.New("no source of weights configured")
)
