package distribute

import "github.com/auburnbend/auburnbend/lib/wire"

// AnnounceReport lists problems that an announcement revealed and that are
// worth logging.
type AnnounceReport struct {
	// CorruptSources lists the sources of chunks that did not match their
	// digest.
	CorruptSources []string
	// FailedSources lists the sources of transfers that failed in any other
	// way.
	FailedSources []string
	// OutdatedResults is the number of results for grants that had already
	// expired. Chunks delivered this way are used, because the agent verified
	// them.
	OutdatedResults int
}

// Stats holds the cumulative counters of a Tracker.
type Stats struct {
	OriginGrants  int
	ExpiredGrants int
}

// AgentAssign is a message for the agent with the given address.
type AgentAssign struct {
	Address string
	Assign  *wire.Assign
}
