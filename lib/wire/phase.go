package wire

// Phase is the state of a version on an instance.
type Phase uint8

// Phases of a version on an instance, in order.
const (
	PhaseIdle Phase = iota
	PhaseFetching
	PhaseVerified
	PhaseQuiescing
	PhaseLoading
	PhaseLive
	PhaseFailed
)

// String returns the name that is used in tables and metrics.
func (p Phase) String() string {
	names := [...]string{"idle", "fetching", "verified", "quiescing", "loading", "live", "failed"}
	if int(p) < len(names) {
		return names[p]
	}
	return "invalid"
}
