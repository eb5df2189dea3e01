package distribute

import "github.com/auburnbend/auburnbend/lib/wire"

// AnnounceReport is what an announcement showed that operators may want to know.
type AnnounceReport struct {
	// CorruptSources lists the sources of chunks that did not match their digest.
	CorruptSources []string
	// FailedSources lists the sources of transfers that failed otherwise.
	FailedSources []string
	// OutdatedResults counts results of grants that had expired. They are used: the
	// agent verified the chunk.
	OutdatedResults int
}

// Stats counts what a tracker did.
type Stats struct {
	OriginGrants  int
	ExpiredGrants int
}

// AgentAssign is a message for one agent, named by its address.
type AgentAssign struct {
	Address string
	Assign  *wire.Assign
}
