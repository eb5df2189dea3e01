package replica

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/peerlink"
)

// Config holds what a Replica needs from its process.
type Config struct {
	// EngineAddress is the IP address and port of the engine on this instance.
	EngineAddress string
	// Region is the region of the instance.
	Region string
	Engine Engine
	// Origin returns the origin that the live configuration names; nil if there
	// is none yet.
	Origin func() Origin
	// OriginPieceTime returns the time that the origin's link takes for one piece, zero
	// if it is not known.
	OriginPieceTime func() time.Duration
	// Peers returns the engines of the same service as they are registered now.
	Peers func() ([]Peer, error)
	// OnTarget is called with each target that an entry announces; nil ignores them.
	OnTarget func(*peerlink.Target)
	// PeerPort is the port on which all agents serve pieces.
	PeerPort int
	// Listen is the IP address on which this one serves.
	Listen string
	// MaxRolloutTime is the time in which a declared version must serve everywhere.
	MaxRolloutTime time.Duration
	// LinkRate is the bandwidth of the instance's link in bytes per second, zero
	// if it is not known.
	LinkRate float64
	Clock    clock.Clock
	Log      *eventlog.Logger
}

// Peer is another engine of the service.
type Peer struct {
	// Address is the IP address and port of the engine.
	Address string
	Region  string
}

const (
	// engineInterval is how often the engine's state is read. Calls on the same
	// instance are free, and about one request starts in this time.
	engineInterval = 100 * time.Millisecond
	// engineTimeout bounds a call of the engine on the same instance.
	engineTimeout = time.Second
	// originTimeout bounds one call of the origin; a piece takes 30 ms on its
	// idle link, and many agents share it.
	originTimeout = 4 * time.Second
	// retryPause is the pause after a failed step; for failed fetches it doubles up
	// to maxRetryPause. Few instances ask a lost origin, which takes few connections,
	// and all wait for these when it returns.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// firstOrderShare and lastOrderShare are the parts of VersionTime between
	// which engines change their weights one after another, so that the rest
	// keeps serving.
	firstOrderShare = 0.40
	lastOrderShare  = 0.88
	// sameStart is the time after a declaration in which all agents have begun to
	// fetch, unless they were occupied.
	sameStart = time.Second
	// finishShare is the part of a version that must be staged for it to be
	// finished when a newer one is declared meanwhile.
	finishShare = 0.5
	// finishTime is the part of VersionTime that the last pieces take to reach all
	// instances, an engine to load them and its requests to begin. An older version
	// that would be served after that, when a newer one must serve, only delays it.
	finishTime = 0.3
	// closeBefore is how long before the order the entries are told to send no
	// more requests: a report takes a few milliseconds.
	closeBefore = 50 * time.Millisecond
	// queueLimit bounds the wait for the requests in the engine's queue. They are
	// worth little after the target latency of usual routes, 400 ms.
	queueLimit = 400 * time.Millisecond
)

// newBackoff returns the pauses between calls of a source that fails. They are
// spread by half, so that instances that failed together do not try together.
func newBackoff(first, longest time.Duration) *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: first, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: longest}
}
