package gateway

import (
	"context"

	"github.com/auburnbend/auburnbend/gateway/upstream"
)

// lingeringExchange is an exchange whose response has been read, and whose server has not
// taken the whole request yet.
type lingeringExchange struct {
	conn *upstream.Exchange
	// request is the ID of the request, bytes the length of its body.
	request string
	bytes   int
	// server and address are the ID and the address of the server.
	server, address string
	// end ends the exchange with a cause.
	end context.CancelCauseFunc
}
