package watch

// Row is one row of a table, or the note that it was deleted.
type Row struct {
	Key     string
	Data    []byte
	Deleted bool
	// Revision is the transaction that wrote or deleted the row.
	Revision int64
}

// Rows are rows of one table as of one revision of the store.
type Rows struct {
	Rows     []Row
	Revision int64
	// AfterOutage tells that these are the first ones after the store was away.
	AfterOutage bool
}
