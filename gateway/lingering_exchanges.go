package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

const (
	// defaultMaxLingering is the default of Config.MaxLingering.
	defaultMaxLingering = 64
	// lingeringServerShare is the part of it that the exchanges of one server may take: a half,
	// so that a server that does not read leaves the connections of others.
	lingeringServerShare = 2
	// lingeringPollInterval is how often a stop checks whether exchanges linger.
	lingeringPollInterval = 5 * time.Millisecond
)

var errTooManyLingering = errors.New("too many exchanges linger")

// lingeringExchanges finishes exchanges whose responses have been read: a server may respond
// before it has read a long request, and read on later. The caller has its answer, so that
// nobody would send again what the server does not get. The number of exchanges is bounded, as
// they take descriptors; their bodies keep the memory that their requests have reserved. It is
// safe for concurrent use.
type lingeringExchanges struct {
	limit int
	log   *eventlog.Logger

	mu sync.Mutex
	// byAddress holds the exchanges by the address of their server, in the order in which they
	// began to linger; count is their number.
	byAddress map[string][]*lingeringExchange
	count     int
	// cut counts the exchanges that have ended before the server had the whole request.
	cut int64
}

func newLingeringExchanges(limit int, log *eventlog.Logger) *lingeringExchanges {
	if limit <= 0 {
		limit = defaultMaxLingering
	}
	return &lingeringExchanges{limit: limit, log: log, byAddress: make(map[string][]*lingeringExchange)}
}

// finish finishes an exchange in the background.
func (l *lingeringExchanges) finish(e *lingeringExchange) {
	ctx, end := context.WithCancelCause(context.Background())
	e.end = end
	l.add(e)
	go func() {
		defer end(nil)
		err := e.conn.Finish(ctx)
		if err != nil {
			l.log.Log(eventlog.RequestNotTaken, "request", e.request, "server", e.server, "bytes", e.bytes, "err", err)
		}
		l.remove(e, err != nil)
	}()
}

// add adds an exchange. If there are too many, the one that has lingered longest at the same
// server, or at the server with most of them, ends.
func (l *lingeringExchanges) add(e *lingeringExchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress[e.address] = append(l.byAddress[e.address], e)
	l.count++
	switch {
	case len(l.byAddress[e.address]) > max(1, l.limit/lingeringServerShare):
		l.evict(l.byAddress[e.address][0])
	case l.count > l.limit:
		l.evict(l.longestQueue()[0])
	}
}

// evict ends an exchange. The caller holds mu.
func (l *lingeringExchanges) evict(e *lingeringExchange) {
	l.drop(e)
	e.end(errTooManyLingering)
}

// longestQueue returns the exchanges of the server that has most of them. The caller holds mu.
func (l *lingeringExchanges) longestQueue() (longest []*lingeringExchange) {
	for _, queue := range l.byAddress {
		if len(queue) > len(longest) {
			longest = queue
		}
	}
	return longest
}

func (l *lingeringExchanges) remove(e *lingeringExchange, wasCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(e)
	if wasCut {
		l.cut++
	}
}

// drop takes an exchange off the list; nothing happens if it is not there any more. The caller
// holds mu.
func (l *lingeringExchanges) drop(e *lingeringExchange) {
	queue := l.byAddress[e.address]
	i := slices.Index(queue, e)
	if i < 0 {
		return
	}
	l.count--
	if queue = slices.Delete(queue, i, i+1); len(queue) == 0 {
		delete(l.byAddress, e.address)
		return
	}
	l.byAddress[e.address] = queue
}

// counts returns the number of exchanges that linger, and of those that were cut.
func (l *lingeringExchanges) counts() (lingering int, cut int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, l.cut
}

// drain returns when no exchange lingers any more. Those that do when ctx ends are cut.
func (l *lingeringExchanges) drain(ctx context.Context) {
	for {
		if lingering, _ := l.counts(); lingering == 0 {
			return
		}
		if ctx.Err() != nil {
			l.cutAll()
		}
		time.Sleep(lingeringPollInterval)
	}
}

func (l *lingeringExchanges) cutAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, queue := range l.byAddress {
		for _, e := range queue {
			e.end(errDrainEnded)
		}
	}
}

// DrainExchanges waits until the servers that have responded have taken the whole of their
// requests. When ctx ends, it closes the connections to the others. It is called after the last
// request has ended.
func (g *Gateway) DrainExchanges(ctx context.Context) { g.lingering.drain(ctx) }
