package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/sse"
)

// attempt is one request to one backend server, from its placement to its end.
type attempt struct {
	lease *placement.Lease
	// granted is the lease that another entry has granted; nil if the request was placed
	// by this entry. placedBy is the address of that entry.
	granted  *grant
	placedBy string

	// conn is the connection to the server; nil until it is open.
	conn     *upstream.Exchange
	openedAt time.Time
	// opening is how long the connection took to open.
	opening time.Duration
	// model is the model that the server runs the request with. weightsDeadline is when the
	// request is taken back unless it has begun; zero if its weights do not expire.
	// readDeadline is when it is taken back in any case; zero for never. The Gateway's mutex
	// guards them while the attempt is in Gateway.waiting.
	model                         string
	weightsDeadline, readDeadline time.Time
	resp                          *http.Response
	reply                         ResponseInfo
	// events are the events of a stream; nil for other responses. next is the first of
	// them that was not passed on, if it was read already.
	events *sse.Reader
	next   *sse.Event
	// held are the comments before the first event.
	held []byte
	// buffered is the whole response if it is not a stream, room the memory that it takes.
	buffered *bufferedResponse
	room     *memory.Reservation
	// cancel ends the context of a standby's attempt; nil for others.
	cancel context.CancelFunc
	// ended is set once endExchange was called.
	ended bool
}

// readFirstEvent reads the first event of a stream that is no comment.
func (a *attempt) readFirstEvent() (sse.Event, error) {
	for {
		event, err := a.events.Next()
		if err != nil || !event.IsIgnorable {
			return event, err
		}
		if a.held = append(a.held, event.Raw...); len(a.held) > maxHeldBytes {
			return event, errTooManyComments
		}
	}
}

// release frees what the attempt holds, except for its connection.
func (a *attempt) release() {
	if a.cancel != nil {
		a.cancel()
	}
	if a.events != nil {
		a.events.Close()
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	result placement.Result
	// delivered is set if the caller has the whole response, callerGone if it no longer
	// accepts one.
	delivered, callerGone bool
	// sent is set if the request was sent to the server.
	sent bool
	// mayHaveRun is set if the server may have run the request.
	mayHaveRun bool
	reason     string
	// successor is the attempt at another server that has begun to respond in place of
	// this one; nil if there is none.
	successor *attempt
}
