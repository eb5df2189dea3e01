package link

import (
	"context"
	"sync"
)

// Inbox is the queue of events of one attempt. The link adds events and one goroutine
// reads them. The length of the queue is limited by the agent, which stops sending
// when its replay buffer of unacknowledged frames is full. A slow caller therefore
// delays only its own answer.
type Inbox struct {
	mu     sync.Mutex
	events []Event
	ready  chan struct{}
}

func newInbox() *Inbox {
	return &Inbox{ready: make(chan struct{}, 1)}
}

func (i *Inbox) put(e Event) {
	i.mu.Lock()
	i.events = append(i.events, e)
	i.mu.Unlock()
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

// Next waits for the next event and returns it. If ctx ends first, it returns the
// error of ctx.
func (i *Inbox) Next(ctx context.Context) (Event, error) {
	for {
		if e, ok := i.take(); ok {
			return e, nil
		}
		select {
		case <-i.ready:
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
	}
}

func (i *Inbox) take() (Event, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.events) == 0 {
		return Event{}, false
	}
	e := i.events[0]
	i.events = i.events[1:]
	return e, true
}
