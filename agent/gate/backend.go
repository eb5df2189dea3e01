package gate

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/wire"
)

var (
	// ErrNotStarted means that the backend server definitely did not start the
	// request, for example because connecting to it failed. Backend.Run returns it only
	// before the first call of emit.
	ErrNotStarted = merry.New("backend server did not start the request")
	// ErrBackendCrashed means that the backend server crashed during the request.
	ErrBackendCrashed = merry.New("backend server crashed")
	// ErrWeightsChanged means that the backend server may have changed its weights during
	// the request.
	ErrWeightsChanged = merry.New("backend server may have changed its weights during the request")
	// ErrQuiescing means that another quiesce is already running.
	ErrQuiescing = merry.New("another quiesce is running")
)

// Backend runs requests on the backend server.
type Backend interface {
	// Run runs one request and passes its response in pieces to emit, which copies them
	// and blocks while the replay buffer is full. Run returns only when the backend
	// server no longer works on the request, even if ctx ends earlier. status is an
	// HTTP status.
	Run(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (status int, contentType string, err error)
}

// Sender is a connection to an entry. Implementations must be comparable; *wire.Conn
// is one. The owner of a lost connection must close it in addition to calling
// Gate.Disconnect: a blocked Send then returns, and the attempt can continue on another
// connection.
type Sender interface {
	Send(m wire.Message) error
}
