package relay

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/watch"
)

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
	// StandIn asks an instance that follows another one to read the store: the sender
	// cannot follow those before it. Instances of earlier releases answer that they
	// must not be followed.
	StandIn bool `msgpack:"b,omitempty"`
	// HoldMillis is how long the instance may take to become up to date before it answers
	// that it must not be followed, in milliseconds.
	HoldMillis int64 `msgpack:"u,omitempty"`
	// Number is the number of the query on its connection, from one.
	Number uint64 `msgpack:"n,omitempty"`
	// NextEra is one more than the era that the sender knows. Instances of earlier releases,
	// which know no eras, leave it out.
	NextEra int64 `msgpack:"i,omitempty"`
}

// since returns the state that the sender knows. An instance that knows no eras is answered
// by revision alone.
func (q *query) since(known watch.Position) watch.Position {
	if q.NextEra <= 0 {
		return watch.Position{Era: known.Era, Revision: q.Since}
	}
	return watch.Position{Era: q.NextEra - 1, Revision: q.Since}
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
	// Era is that of Revision. Instances of earlier releases leave it out.
	Era int64 `msgpack:"i,omitempty"`
	// AfterOutage means that there was an outage of the store before these
	// changes.
	AfterOutage bool `msgpack:"o,omitempty"`
	// OutageEnd is the revision of the first answer of the store after that outage. Instances
	// of earlier releases leave it out.
	OutageEnd int64 `msgpack:"e,omitempty"`
	// Age bounds the time since the revision was current.
	Age rowAge `msgpack:"g,omitempty"`
	// Confirmed is the time since the store has confirmed the rows, in keep-alive messages of an
	// instance that may be followed and in answers with Stale.
	Confirmed rowAge `msgpack:"c,omitempty"`
}

// row is one row of a table.
type row struct {
	Key string `msgpack:"k"`
	// Data is compressed with DEFLATE if Compressed is true.
	Data       []byte `msgpack:"d,omitempty"`
	Compressed bool   `msgpack:"p,omitempty"`
	Deleted    bool   `msgpack:"x,omitempty"`
	Revision   int64  `msgpack:"r"`
	// Age bounds the time since the row was written.
	Age rowAge `msgpack:"g,omitempty"`
	// writtenAfter is that time where the row is kept.
	writtenAfter time.Time
}

// rowAge is one more than a number of milliseconds, or zero if it is unknown. Instances of
// earlier releases leave it out.
type rowAge int64

// ageAt returns the age at a time of what is not older than since, rounded up.
func ageAt(now, since time.Time) rowAge {
	if since.IsZero() || now.IsZero() {
		return 0
	}
	return rowAge(max(0, now.Sub(since).Milliseconds()+1) + 1)
}

// ageOf returns the age of what is as old as d.
func ageOf(d time.Duration) rowAge { return rowAge(max(0, d.Milliseconds()) + 1) }

// duration returns the age, or fallback if it is unknown.
func (a rowAge) duration(fallback time.Duration) time.Duration {
	if a <= 0 {
		return fallback
	}
	return time.Duration(a-1) * time.Millisecond
}

// since returns the time that lies the age before arrival, or zero if it is unknown.
func (a rowAge) since(arrival time.Time) time.Time {
	if a <= 0 || arrival.IsZero() {
		return time.Time{}
	}
	return arrival.Add(-time.Duration(a-1) * time.Millisecond)
}
