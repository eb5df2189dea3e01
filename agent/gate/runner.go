package gate

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/model"
)

// runner connects one attempt with the entry that it answers. Its fields are
// guarded by the Shell's mutex, but for the channels.
type runner struct {
	attempt model.AttemptID
	cancel  context.CancelFunc
	sender  Sender // nil while detached
	// cursor is the sequence number to send next; one beyond the number of
	// frames means that the end was sent.
	cursor uint64
	// epoch changes with each reattach, so that a send that ends late does not
	// move the cursor of a newer connection.
	epoch uint64

	wake  chan struct{} // something to send, or the record is gone
	space chan struct{} // the replay buffer may have room
}

func newRunner(attempt model.AttemptID, sender Sender, cancel context.CancelFunc) *runner {
	return &runner{
		attempt: attempt,
		cancel:  cancel,
		sender:  sender,
		wake:    make(chan struct{}, 1),
		space:   make(chan struct{}, 1),
	}
}

// signal leaves a token in a channel that holds at most one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
