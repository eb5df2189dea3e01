package spread

import "time"

// Config holds the limits of a Scheduler. Zero fields take the defaults.
type Config struct {
	// PeerAsks bounds the pieces that are asked of peers at the same time. All of
	// them may arrive at once, and live requests wait behind them on the
	// instance's link.
	PeerAsks int
	// OriginAsks is the same for the origin.
	OriginAsks int
	// AskTimeout is the time after which a piece is asked of another source too.
	AskTimeout time.Duration
	// Patience is the time in which some piece must arrive somewhere. After it,
	// members bring pieces in that are not theirs, one after another.
	Patience time.Duration
	// OriginTime is the time that the origin's link takes for one piece. Pieces
	// are asked of the origin in turn, so that each of them arrives in that time
	// and can spread while the next one is on its way. Zero asks at once.
	OriginTime time.Duration
	// Stagger is the time between these members.
	Stagger time.Duration
}

const (
	// defaultPeerAsks keep a link of 7 Mbit/s busy: three pieces of 24 KiB take
	// 80 ms, which is more than the way to a peer and its queue.
	defaultPeerAsks   = 5
	defaultOriginAsks = 1
	// defaultAskTimeout is several times the transfer of a piece over a link that
	// is shared by all members of a region.
	defaultAskTimeout = 1500 * time.Millisecond
	// defaultPatience is many times the transfer of a piece, and longer than the
	// time in which the members learn of a version.
	defaultPatience = 1500 * time.Millisecond
	defaultStagger  = 400 * time.Millisecond
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
	number(&c.PeerAsks, defaultPeerAsks)
	number(&c.OriginAsks, defaultOriginAsks)
	duration(&c.AskTimeout, defaultAskTimeout)
	duration(&c.Patience, defaultPatience)
	duration(&c.Stagger, defaultStagger)
	return c
}
