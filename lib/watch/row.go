package watch

// Row is one row of a table, or the record of its deletion.
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
	// AfterOutage marks the first rows after an outage of the store.
	AfterOutage bool
}
