package config

import "time"

// Defaults of the declaration file. A default never allows more than the
// operator would have to write down: services are not repeatable.
const (
	defaultTimeWeight     = 0.5
	defaultOriginCopies   = 2
	defaultTransferShare  = 0.5
	defaultClaimRetention = 24 * time.Hour
	defaultTimeout        = 30 * time.Second
	defaultMaxBody        = 1 << 20
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
