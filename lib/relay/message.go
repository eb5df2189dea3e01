package relay

// query requests the rows of a table, or those that changed.
type query struct {
	Table string `msgpack:"t"`
	// Since is the revision that the sender knows; a negative one requests all
	// rows.
	Since int64 `msgpack:"s"`
	// WaitMillis is how long to wait for a change, in milliseconds.
	WaitMillis int64 `msgpack:"w,omitempty"`
	// Direct restricts the query to an instance that reads the store itself.
	Direct bool `msgpack:"d,omitempty"`
	// Number is the number of the query on its connection, from one.
	Number uint64 `msgpack:"n,omitempty"`
}

// answer is the answer to a query, or a keep-alive message while the query
// waits.
type answer struct {
	// Number is the number of the query, or zero if it had none.
	Number uint64 `msgpack:"n,omitempty"`
	// Alive marks a keep-alive message. The answer follows.
	Alive bool `msgpack:"a,omitempty"`
	// Stale means that the instance must not be followed.
	Stale bool `msgpack:"x,omitempty"`
	// HistoryLost means that the changes are not known and all rows must be
	// read.
	HistoryLost bool  `msgpack:"h,omitempty"`
	Rows        []row `msgpack:"r,omitempty"`
	Revision    int64 `msgpack:"v,omitempty"`
	// AfterOutage means that there was an outage of the store before these
	// changes.
	AfterOutage bool `msgpack:"o,omitempty"`
	// OutageEnd is the revision of the first answer of the store after that outage. Instances
	// of earlier releases leave it out.
	OutageEnd int64 `msgpack:"e,omitempty"`
}

// row is one row of a table.
type row struct {
	Key string `msgpack:"k"`
	// Data is compressed with DEFLATE if Compressed is true.
	Data       []byte `msgpack:"d,omitempty"`
	Compressed bool   `msgpack:"p,omitempty"`
	Deleted    bool   `msgpack:"x,omitempty"`
	Revision   int64  `msgpack:"r"`
}
