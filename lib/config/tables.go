package config

import (
	"fmt"
	"math"
)

const (
	// Table is the name of the table with the head, the revisions and the
	// snapshots.
	Table = "config"
	// OperationTable is the name of the table with one row per operation ID.
	OperationTable = "config-operations"
	// RevisionsPerSnapshot is the number of revisions per snapshot.
	RevisionsPerSnapshot = 64

	headKey        = "head"
	revisionPrefix = "revision/"
	snapshotPrefix = "snapshot/"

	// pollPageSize is the maximum number of revisions in one scan.
	pollPageSize = 128
)

// RevisionKey returns the row key of a revision. Keys sort in ascending order of
// revision numbers.
func RevisionKey(number uint64) string { return fmt.Sprintf("%s%020d", revisionPrefix, number) }

// snapshotKey returns the row key of a snapshot. Keys sort in descending order of
// revision numbers, so that the first row of a scan is the newest snapshot.
func snapshotKey(number uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, math.MaxUint64-number)
}
