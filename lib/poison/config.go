package poison

import "time"

const (
	// defaultTTL is the time after which a crash is forgotten.
	defaultTTL = 10 * time.Minute
	// defaultSettle is twice the time that an update takes between live entries,
	// with a large margin over the 2 ms between regions.
	defaultSettle = 500 * time.Millisecond
	// defaultPause is the wait before a held request is asked about again.
	defaultPause = 100 * time.Millisecond
	// defaultRunTTL is the time for which another entry's announcement counts.
	// Tick repeats announcements well within it.
	defaultRunTTL = 30 * time.Second
	// defaultLostHold is the time for which a suspect whose attempt was lost
	// still counts as running: the crash report may be on its way.
	defaultLostHold = 5 * time.Second
	// defaultMaxSuspects bounds the fingerprints that are remembered.
	defaultMaxSuspects = 4096
	// defaultMaxProven bounds the answered fingerprints that are remembered, about
	// 100 bytes each.
	defaultMaxProven = 16 << 10

	// defaultCredit lets an earlier answer clear one crash.
	defaultCredit = 1
	// defaultQuarantineCrashes is the number of different backend servers after
	// whose crashes a fingerprint is quarantined.
	defaultQuarantineCrashes = 2
	// maxIncidents bounds the crashes per fingerprint that are remembered.
	maxIncidents = 16
	// maxRuns bounds the entries per fingerprint that are remembered.
	maxRuns = 64
)

// Config holds the limits of a Monitor. Zero values take defaults.
type Config struct {
	TTL          time.Duration
	Settle       time.Duration
	RecheckDelay time.Duration
	RunTTL       time.Duration
	LostHold     time.Duration
	MaxSuspects  int
	MaxKnownGood int
	// MaxCredit bounds the crashes that earlier answers to a fingerprint clear.
	MaxCredit int
	// QuarantineCrashes is the number of different backend servers after whose
	// crashes a fingerprint is quarantined.
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
	set(&c.RecheckDelay, defaultPause)
	set(&c.RunTTL, defaultRunTTL)
	set(&c.LostHold, defaultLostHold)
	if c.MaxSuspects <= 0 {
		c.MaxSuspects = defaultMaxSuspects
	}
	if c.MaxKnownGood <= 0 {
		c.MaxKnownGood = defaultMaxProven
	}
	if c.MaxCredit <= 0 {
		c.MaxCredit = defaultCredit
	}
	if c.QuarantineCrashes <= 0 {
		c.QuarantineCrashes = defaultQuarantineCrashes
	}
	return c
}
