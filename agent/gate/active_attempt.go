package gate

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/model"
)

// activeAttempt holds the connection over which the response of an attempt is sent. All
// fields but the channels are guarded by Gate.mu.
type activeAttempt struct {
	id     model.AttemptID
	cancel context.CancelFunc
	// aborted is true if the attempt must not end as a success.
	aborted bool
	sender  Sender // nil while detached
	// cursor is the sequence number of the next message to send. If it is greater than
	// the number of frames, the end was sent.
	cursor uint64
	// connEpoch changes whenever sender changes, so that a Send on an old connection
	// that returns late does not advance the cursor.
	connEpoch uint64

	sendReady   chan struct{} // a message can be sent, or the record was removed
	bufferSpace chan struct{} // the replay buffer may have space
}

func newActiveAttempt(attempt model.AttemptID, sender Sender, cancel context.CancelFunc) *activeAttempt {
	return &activeAttempt{
		id:          attempt,
		cancel:      cancel,
		sender:      sender,
		sendReady:   make(chan struct{}, 1),
		bufferSpace: make(chan struct{}, 1),
	}
}

// notify sends to a channel with a buffer of 1, and does nothing if the buffer is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
