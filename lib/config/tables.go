package config

import (
	"fmt"
	"math"
)

const (
	// Table holds the head, the revisions and the snapshots.
	Table = "config"
	// OperationTable holds one row per operation id.
	OperationTable = "config-operations"
	// RevisionsPerSnapshot is the number of revisions between two snapshots.
	RevisionsPerSnapshot = 64

	headKey        = "head"
	revisionPrefix = "revision/"
	snapshotPrefix = "snapshot/"

	// pollPage is the number of revisions that one poll reads at most.
	pollPage = 128
)

// RevisionKey returns the key of a revision row. Keys sort in ascending order.
func RevisionKey(number uint64) string { return fmt.Sprintf("%s%020d", revisionPrefix, number) }

// snapshotKey sorts snapshots in descending order, so that the first row of a
// scan is the newest.
func snapshotKey(number uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, math.MaxUint64-number)
}
