package table

// Stats counts the calls that reached the service.
type Stats struct {
	// Reads counts Get and Scan calls.
	Reads int64 `json:"reads"`
	// Commits counts transactions, whether applied or not.
	Commits int64 `json:"commits"`
	// Writes counts the rows written by applied transactions.
	Writes int64 `json:"writes"`
}
