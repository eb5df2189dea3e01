package gate

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/wire"
)

var (
	// ErrNotStarted means that the backend server certainly did not begin to run
	// the request, for instance because no connection to it came about. Backend
	// returns it only before the first emit.
	ErrNotStarted = merry.New("backend server did not start the request")
	// ErrBackendCrashed means that the backend server died while it ran the
	// request.
	ErrBackendCrashed = merry.New("backend server crashed")
	// ErrSwitching means that another switch of the weights is under way.
	ErrSwitching = merry.New("weights are being switched")
)

// Backend runs requests on the backend server.
type Backend interface {
	// Run runs one request and passes the pieces of its answer to emit, which
	// copies them and blocks while the entry does not keep up. Run returns when
	// the backend server has stopped working on the request, also after ctx has
	// ended.
	Run(ctx context.Context, start wire.RequestStart, emit func([]byte) error) (status int, contentType string, err error)
}

// Sender is a connection to an entry. Implementations are comparable; *wire.Conn
// is one. The owner of a connection that went silent closes it as well as
// calling Disconnect: a Send that blocks returns then, and the attempt can go on
// over another connection.
type Sender interface {
	Send(m wire.Message) error
}
