package relay

// query asks for the rows of a table, or for those that have changed.
type query struct {
	Table string `msgpack:"t"`
	// Since is the revision that the asker knows; negative asks for all rows.
	Since int64 `msgpack:"s"`
	// WaitMillis is how long to wait for a change.
	WaitMillis int64 `msgpack:"w,omitempty"`
	// Direct asks only an instance that reads the store itself.
	Direct bool `msgpack:"d,omitempty"`
}

// answer answers a query, or tells that the instance is there while it waits.
type answer struct {
	Alive bool `msgpack:"a,omitempty"`
	// Stale tells that the instance must not be followed.
	Stale bool `msgpack:"x,omitempty"`
	// HistoryLost tells that all rows have to be read.
	HistoryLost bool  `msgpack:"h,omitempty"`
	Rows        []row `msgpack:"r,omitempty"`
	Revision    int64 `msgpack:"v,omitempty"`
	// AfterOutage tells that the store was away before these changes.
	AfterOutage bool `msgpack:"o,omitempty"`
}

// row is one row of a table.
type row struct {
	Key string `msgpack:"k"`
	// Data is compressed if Packed.
	Data     []byte `msgpack:"d,omitempty"`
	Packed   bool   `msgpack:"p,omitempty"`
	Deleted  bool   `msgpack:"x,omitempty"`
	Revision int64  `msgpack:"r"`
}
