package spread

import "time"

// Config holds the limits of a Scheduler. Zero fields take their defaults.
type Config struct {
	// PeerRequests bounds the concurrent piece requests to peers. All of the pieces
	// may arrive at once, and live requests queue behind them on the instance's
	// link. Fewer are open while the link delivers them slowly.
	PeerRequests int
	// OriginRequests bounds the concurrent piece requests to the origin.
	OriginRequests int
	// RequestTimeout is the time after which a piece is also requested from another
	// source.
	RequestTimeout time.Duration
	// OverdueAfter is the time after a piece is due at the origin within which it
	// must have appeared at some member. After that, the member responsible for it
	// is checked.
	OverdueAfter time.Duration
	// OriginIdleAfter is the time without a new piece after which the origin's link
	// counts as idle. Other members then fetch overdue pieces one after another.
	OriginIdleAfter time.Duration
	// OriginPieceTime is the time that one piece takes on the origin's link. Pieces
	// are requested from the origin at this interval, so that each spreads while
	// the next one is being sent. With zero, all are due at once.
	OriginPieceTime time.Duration
	// TakeoverStagger is the delay between successive members that take over an
	// overdue piece.
	TakeoverStagger time.Duration
}

const (
	// defaultPeerRequests keeps a link of 7 Mbit/s busy: three pieces of 24 KiB
	// take 80 ms, which is longer than the round trip to a peer and its queue.
	defaultPeerRequests   = 5
	defaultOriginRequests = 1
	// defaultRequestTimeout is several times the transfer time of a piece on a link
	// that all members of a region share.
	defaultRequestTimeout = 1500 * time.Millisecond
	// defaultOverdueAfter is longer than a piece takes over busy links.
	defaultOverdueAfter = 800 * time.Millisecond
	// defaultOriginIdleAfter and originIdlePieces are the minimum idle time, as a
	// duration and in pieces: an announcement of a piece takes up to 50 ms, and
	// pieces arrive one by one.
	defaultOriginIdleAfter = 200 * time.Millisecond
	originIdlePieces       = 8
	// overtakingPieces is the number of later pieces after which a piece counts as
	// overtaken. They come from several members, so that one slow member is no reason.
	overtakingPieces       = 8
	defaultTakeoverStagger = 200 * time.Millisecond
)

func (c Config) applyDefaults() Config {
	duration := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	integer := func(v *int, fallback int) {
		if *v <= 0 {
			*v = fallback
		}
	}
	integer(&c.PeerRequests, defaultPeerRequests)
	integer(&c.OriginRequests, defaultOriginRequests)
	duration(&c.RequestTimeout, defaultRequestTimeout)
	duration(&c.OverdueAfter, defaultOverdueAfter)
	duration(&c.OriginIdleAfter, defaultOriginIdleAfter)
	duration(&c.TakeoverStagger, defaultTakeoverStagger)
	return c
}
