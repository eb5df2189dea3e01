package transfer

import "github.com/ansel1/merry/v2"

var (
	// ErrReplaced is returned by Fetch if another version was requested before
	// the fetch was complete.
	ErrReplaced = merry.New("fetch replaced by a request for another version")
	// ErrClosed is returned if the service was closed.
	ErrClosed = merry.New("transfer service closed")
	// errNoSource is returned if neither an origin nor a weight store is
	// configured.
	errNoSource = merry.New("neither origin nor weight store is configured")
)
