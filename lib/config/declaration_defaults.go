package config

import "time"

// Defaults for keys that the declaration file omits. No default grants a
// permission that operators have to declare explicitly; for example, services
// are not repeatable.
const (
	defaultTimeWeight     = 0.5
	defaultOriginCopies   = 2
	defaultTransferShare  = 0.5
	defaultClaimRetention = 24 * time.Hour
	defaultTimeout        = 30 * time.Second
	defaultMaxBodyBytes   = 1 << 20
	defaultShare          = 1
	defaultMaxQueued      = 100
	defaultRetryShare     = 0.1
	defaultFirstToken     = 1400 * time.Millisecond
)

func defaultDeployment() Deployment {
	return Deployment{
		TimeWeight:     defaultTimeWeight,
		OriginCopies:   defaultOriginCopies,
		TransferShare:  defaultTransferShare,
		ClaimRetention: defaultClaimRetention,
	}
}
