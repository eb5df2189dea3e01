package spread

import "time"

// Config holds the limits of a Scheduler. Zero fields take the defaults.
type Config struct {
	// PeerRequests bounds the pieces that are asked of peers at the same time. All of
	// them may arrive at once, and live requests wait behind them on the
	// instance's link.
	PeerRequests int
	// OriginRequests is the same for the origin.
	OriginRequests int
	// RequestTimeout is the time after which a piece is asked of another source too.
	RequestTimeout time.Duration
	// OverdueAfter is the time after its turn in which a piece must have been seen.
	// After it, the member that should bring it in is looked for.
	OverdueAfter time.Duration
	// OriginIdleAfter is the time without a new piece after which the origin's link counts as
	// free. Members then bring pieces in that are overdue, one after another.
	OriginIdleAfter time.Duration
	// OriginPieceTime is the time that the origin's link takes for one piece. Pieces
	// are asked of the origin in turn, so that each of them arrives in that time
	// and can spread while the next one is on its way. Zero asks at once.
	OriginPieceTime time.Duration
	// TakeoverStagger is the time between members that take over from each other.
	TakeoverStagger time.Duration
}

const (
	// defaultPeerAsks keep a link of 7 Mbit/s busy: three pieces of 24 KiB take
	// 80 ms, which is more than the way to a peer and its queue.
	defaultPeerAsks   = 5
	defaultOriginAsks = 1
	// defaultAskTimeout is several times the transfer of a piece over a link that
	// is shared by all members of a region.
	defaultAskTimeout = 1500 * time.Millisecond
	// defaultOverdue is longer than the way of a piece through busy links.
	defaultOverdue = 800 * time.Millisecond
	// defaultQuiet and quietPieces bound the silence from below: news of a piece
	// take up to 50 ms, and pieces arrive one by one.
	defaultQuiet   = 200 * time.Millisecond
	quietPieces    = 8
	defaultStagger = 200 * time.Millisecond
)

func (c Config) applyDefaults() Config {
	duration := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	number := func(v *int, fallback int) {
		if *v <= 0 {
			*v = fallback
		}
	}
	number(&c.PeerRequests, defaultPeerAsks)
	number(&c.OriginRequests, defaultOriginAsks)
	duration(&c.RequestTimeout, defaultAskTimeout)
	duration(&c.OverdueAfter, defaultOverdue)
	duration(&c.OriginIdleAfter, defaultQuiet)
	duration(&c.TakeoverStagger, defaultStagger)
	return c
}
