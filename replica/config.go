package replica

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/peerlink"
)

// Config holds the parameters and dependencies of a Replica.
type Config struct {
	// EngineAddress is the IP address and port of the engine on this instance.
	EngineAddress string
	// Region is the region of this instance.
	Region string
	Engine Engine
	// Origin returns the origin that the live configuration names, or nil before
	// there is one.
	Origin func() Origin
	// OriginPieceTime returns the time that one piece takes on the origin's link,
	// or zero if it is unknown.
	OriginPieceTime func() time.Duration
	// Layers returns the number of layers of the model, or zero if it is unknown. It may
	// be nil.
	Layers func() int
	// Pieces returns the number of pieces of the model, or zero if it is unknown. It may
	// be nil.
	Pieces func() int
	// Peers returns the currently registered engines of the same service.
	Peers func() ([]Peer, error)
	// OnTarget is called with each target that an entry announces. It may be nil.
	OnTarget func(*peerlink.Target)
	// PeerPort is the port on which all agents serve pieces.
	PeerPort int
	// Listen is the IP address on which this agent serves pieces.
	Listen string
	// MaxRolloutTime is the time within which a declared version must serve on all
	// instances.
	MaxRolloutTime time.Duration
	// LinkRate is the bandwidth of the instance's link in bytes per second, or zero
	// if it is unknown.
	LinkRate float64
	// MaxPeerConns bounds the connections from peers, each of which uses a buffer. Zero means
	// 256.
	MaxPeerConns int
	Clock        clock.Clock
	Log          *eventlog.Logger
}

// Peer is another engine of the service.
type Peer struct {
	// Address is the IP address and port of the engine.
	Address string
	Region  string
}

const (
	// enginePollInterval is how often the engine's state is read. Calls within the
	// instance are free, and about one request starts in this time.
	enginePollInterval = 100 * time.Millisecond
	// loadPollInterval is the same while the engine loads. It gets no requests until the
	// end of the load has been seen.
	loadPollInterval = 20 * time.Millisecond
	// engineCallTimeout bounds a call to the engine, which is on the same instance.
	engineCallTimeout = time.Second
	// stageCallTimeout bounds a transfer of a piece to or from the engine.
	stageCallTimeout = 4 * time.Second
	// loadStepTime bounds one step of a load. The engine's state is read and reported
	// between the steps.
	loadStepTime = 100 * time.Millisecond
	// unverifiedLogDelay is the time without a verification after which it is logged that
	// an engine which an earlier process had loaded gets no requests.
	unverifiedLogDelay = 3 * time.Second
	// maxVerificationAge is the time within which an order follows the verification of
	// the staged pieces. Users tolerate pieces that became corrupt less than 3 s before.
	maxVerificationAge = time.Second
	// originCallTimeout bounds a call to the origin. A piece takes 30 ms on its
	// idle link, which many agents share.
	originCallTimeout = 4 * time.Second
	// retryDelay is the pause after a failed step. For failed fetches it doubles up
	// to maxRetryDelay. It can be short because only a few instances call an
	// unreachable origin, and all the others wait for them when it returns.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// firstLoadShare and lastLoadShare are the parts of MaxRolloutTime between
	// which the engines load new weights one after another while the others keep
	// serving.
	firstLoadShare = 0.40
	lastLoadShare  = 0.88
	// fetchStartWindow is the time after a declaration within which all agents have
	// started to fetch, unless they were busy.
	fetchStartWindow = time.Second
	// minFinishShare is the part of an older version's pieces that must be held for
	// its fetch to continue after a newer version is declared.
	minFinishShare = 0.5
	// loadTimeShare is the part of MaxRolloutTime needed to spread the last pieces
	// to all instances, load them and start serving. An older version that arrives
	// within this part of the newer version's time only delays that one.
	loadTimeShare = 0.3
	// queuePollInterval is how often the engine's queue is read before a load
	// order. It also gives entries, which receive a report within a few
	// milliseconds, time to stop sending requests.
	queuePollInterval = 50 * time.Millisecond
	// maxQueueWait bounds the wait for the engine's queue to empty. Requests that
	// wait longer than 400 ms miss the usual latency target.
	maxQueueWait = 400 * time.Millisecond
)

// newBackoff returns exponential delays between calls to a failing source. They
// are randomized by half, so that instances that failed together don't retry
// together.
func newBackoff(first, longest time.Duration) *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: first, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: longest}
}
