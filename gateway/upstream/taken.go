package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/lib/sockopt"
)

const (
	// takeTimeout bounds the time for which a server that has sent its response may leave the
	// rest of the request in the connection, besides the time that minTakeRate allows.
	takeTimeout = 30 * time.Second
	// minTakeRate is the rate, in bytes per second, at which it must take the rest at least.
	minTakeRate = 64 << 10
	// takePollInterval is how often the acknowledgements of a server are checked, of which the
	// operating system gives no notice.
	takePollInterval = 20 * time.Millisecond
)

var (
	// errReset is the error of a connection whose own error has been reported before. Whether it
	// was reset or has timed out is no longer known.
	errReset    = fmt.Errorf("connection has ended: %w", syscall.ECONNRESET)
	errNotTaken = errors.New("server has not taken the whole request in time")
)

// takeLimit returns how long a server may take for a request of a number of bytes, once it
// has sent its response.
func takeLimit(bytes int) time.Duration {
	return takeTimeout + time.Duration(bytes)*time.Second/minTakeRate
}

// awaitTaken waits until the operating system of the server has acknowledged the whole
// request. It returns an error if the connection ends before that or if it takes too long, and
// the cause of the end of ctx.
func (x *Exchange) awaitTaken(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, takeLimit(x.bodyBytes), errNotTaken)
	defer cancel()
	select {
	case <-x.upload.done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if x.upload.err != nil {
		return x.upload.err
	}
	for {
		if taken, err := x.isAcknowledged(); taken || err != nil {
			return err
		}
		select {
		case <-time.After(takePollInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// isAcknowledged reports whether the operating system of the server has acknowledged the whole
// request, after the upload. It returns an error if the connection has ended. Where the state
// of a connection is not known, all that was written counts as acknowledged.
func (x *Exchange) isAcknowledged() (bool, error) {
	state, err := sockopt.ReadSendState(x.conn)
	switch {
	case errors.Is(err, net.ErrClosed):
		return false, err
	case err != nil:
		return true, nil
	case state.Ended:
		return false, errReset
	}
	return !state.Outstanding, nil
}
