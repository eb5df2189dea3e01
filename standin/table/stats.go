package table

// Stats counts the calls that were not stopped by an injected fault.
type Stats struct {
	// Reads is the number of Get and Scan calls.
	Reads int64 `json:"reads"`
	// Commits is the number of transactions, whether applied or not.
	Commits int64 `json:"commits"`
	// Writes is the number of rows written or deleted by applied transactions.
	Writes int64 `json:"writes"`
}
