package poison

import "time"

const (
	// defaultTTL is the time after which a crash expires.
	defaultTTL = 10 * time.Minute
	// defaultSettle is twice the time that an update takes between live entries, with a
	// large margin over the 2 ms between regions.
	defaultSettle = 500 * time.Millisecond
	// defaultRecheckDelay is the time after which the verdict on a held request is
	// asked for again.
	defaultRecheckDelay = 100 * time.Millisecond
	// defaultRunTTL is the time for which the announcement of another entry is valid.
	// Tick renews announcements well within it.
	defaultRunTTL = 30 * time.Second
	// defaultLostHold is the time for which a suspect counts as running after its
	// attempt was lost, as the crash report may still arrive.
	defaultLostHold = 5 * time.Second
	// defaultMaxSuspects bounds the suspects that are remembered.
	defaultMaxSuspects = 4096
	// defaultMaxKnownGood bounds the fingerprints with responses that are remembered,
	// at about 100 bytes each.
	defaultMaxKnownGood = 16 << 10

	// defaultMaxCredit lets earlier responses clear one crash.
	defaultMaxCredit = 1
	// defaultQuarantineCrashes is the number of different backend servers that must
	// crash before a fingerprint is quarantined.
	defaultQuarantineCrashes = 2
	// maxIncidents bounds the crashes that are remembered per fingerprint.
	maxIncidents = 16
	// maxRuns bounds the entries whose runs are remembered per fingerprint.
	maxRuns = 64
)

// Config holds the limits of a Monitor. Zero values take defaults.
type Config struct {
	// TTL is the time after which a crash expires.
	TTL time.Duration
	// Settle is how long an entry waits for updates of others before it runs a suspect.
	Settle time.Duration
	// RecheckDelay is the time after which a held request asks for a verdict again.
	RecheckDelay time.Duration
	// RunTTL is the time for which the announcement of an entry is valid.
	RunTTL time.Duration
	// LostHold is the time for which a lost attempt of a suspect counts as running.
	LostHold time.Duration
	// MaxSuspects bounds the suspects that are remembered.
	MaxSuspects int
	// MaxKnownGood bounds the fingerprints with responses that are remembered.
	MaxKnownGood int
	// MaxCredit bounds the crashes that earlier responses to a fingerprint clear.
	MaxCredit int
	// SoundFor is the time after a response in which crashes do not count against its
	// fingerprint, however many there are; zero for none. It suits fingerprints that many
	// requests have, and that may be in flight on all backend servers.
	SoundFor time.Duration
	// QuarantineCrashes is the number of different backend servers that must crash
	// before a fingerprint is quarantined.
	QuarantineCrashes int
}

func (c Config) applyDefaults() Config {
	set := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	set(&c.TTL, defaultTTL)
	set(&c.Settle, defaultSettle)
	set(&c.RecheckDelay, defaultRecheckDelay)
	set(&c.RunTTL, defaultRunTTL)
	set(&c.LostHold, defaultLostHold)
	if c.MaxSuspects <= 0 {
		c.MaxSuspects = defaultMaxSuspects
	}
	if c.MaxKnownGood <= 0 {
		c.MaxKnownGood = defaultMaxKnownGood
	}
	if c.MaxCredit <= 0 {
		c.MaxCredit = defaultMaxCredit
	}
	if c.QuarantineCrashes <= 0 {
		c.QuarantineCrashes = defaultQuarantineCrashes
	}
	return c
}
