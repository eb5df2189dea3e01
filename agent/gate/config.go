package gate

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

const (
	defaultCapacity    = 32
	defaultReplayBytes = 1 << 20
	// defaultMaxBodyBytes and defaultMaxResponseBytes are for agents without settings.
	defaultMaxBodyBytes     = 64 << 20
	defaultMaxResponseBytes = 32 << 20
	// otherTenantsShare is the part of MaxBodyBytes that the bodies of one tenant leave to
	// others: an eighth.
	otherTenantsShare = 8
	// freeReplayBytes is what the unconfirmed frames of one attempt take in any case.
	freeReplayBytes = 16 << 10
	// defaultDuplicateWindow is twice the time for which entries rely on the statement
	// that an attempt was never seen.
	defaultDuplicateWindow = 10 * time.Minute
	// defaultMaxWindowIDs limits the window to about 13 MB, at about 100 bytes per ID.
	defaultMaxWindowIDs      = 128 << 10
	defaultReattachTimeout   = 10 * time.Second
	defaultResponseRetention = 30 * time.Second
	defaultRetryAfter        = 500 * time.Millisecond
	// crashedRetention is the time for which the fingerprints of attempts that failed in a
	// crash are kept until the crash is reported.
	crashedRetention = 5 * time.Second
	// maxFrameData is the maximum size of the data of one frame in bytes.
	maxFrameData = 256 << 10
)

// Config configures a gate. Zero values are replaced by defaults.
type Config struct {
	// Capacity is the maximum number of concurrent requests.
	Capacity int
	// ReplayBytes is the maximum size of the unconfirmed frames of one attempt in bytes.
	ReplayBytes int
	// MaxBodyBytes and MaxResponseBytes limit the memory of the long bodies of requests, and
	// of the unconfirmed frames of responses, each for all attempts together, in bytes.
	MaxBodyBytes, MaxResponseBytes int64
	// DuplicateWindow is the time for which attempt IDs are remembered, in order to
	// recognize duplicates.
	DuplicateWindow time.Duration
	// MaxWindowIDs is the maximum number of remembered attempt IDs.
	MaxWindowIDs int
	// ReattachTimeout is the time after the loss of a connection within which an entry
	// must reattach before its repeatable attempts are canceled.
	ReattachTimeout time.Duration
	// ResponseRetention is the time for which the response of an ended attempt is kept for
	// an entry that has not confirmed it.
	ResponseRetention time.Duration
	// RetryAfter is the delay recommended with refusals for lack of capacity.
	RetryAfter time.Duration
	// OnChange is called after the set of admitted weights changed, so that entries can
	// be notified before their next heartbeat. No locks are held. It may be nil.
	OnChange func()
	// OnRefusal is called for each refusal. No locks are held. It may be nil.
	OnRefusal func(outcome.Reason)
}

func (c Config) applyDefaults() Config {
	setInt := func(v *int, value int) {
		if *v <= 0 {
			*v = value
		}
	}
	setBytes := func(v *int64, value int64) {
		if *v <= 0 {
			*v = value
		}
	}
	setDuration := func(v *time.Duration, value time.Duration) {
		if *v <= 0 {
			*v = value
		}
	}
	if c.OnRefusal == nil {
		c.OnRefusal = func(outcome.Reason) {}
	}
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	setInt(&c.Capacity, defaultCapacity)
	setInt(&c.ReplayBytes, defaultReplayBytes)
	setBytes(&c.MaxBodyBytes, defaultMaxBodyBytes)
	setBytes(&c.MaxResponseBytes, defaultMaxResponseBytes)
	setInt(&c.MaxWindowIDs, defaultMaxWindowIDs)
	setDuration(&c.DuplicateWindow, defaultDuplicateWindow)
	setDuration(&c.ReattachTimeout, defaultReattachTimeout)
	setDuration(&c.ResponseRetention, defaultResponseRetention)
	setDuration(&c.RetryAfter, defaultRetryAfter)
	return c
}
