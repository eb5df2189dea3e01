package claim

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// phase is the state of a claim row.
type phase uint8

const (
	phaseClaimed   phase = 1
	phaseCompleted phase = 2
	// phaseReleased marks a request that was proved not run. The row is kept, so
	// that a delayed write of its claim conflicts with it and fails.
	phaseReleased phase = 3
)

// record is the stored value of a claim row.
type record struct {
	Phase       phase             `msgpack:"p"`
	Attempt     model.AttemptID   `msgpack:"a"`
	Fingerprint model.Fingerprint `msgpack:"f"`
	ClaimedAt   int64             `msgpack:"t"` // Unix time in milliseconds
	Result      *Result           `msgpack:"r"`
}

func (r record) encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	return b, merry.Wrap(err)
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := msgstream.Unmarshal(value, &r); err != nil {
		return record{}, merry.Prepend(err, "decoding claim row")
	}
	return r, nil
}

// olderThan reports whether the claim is older than age. It uses the wall
// clock, because rows outlive the process that wrote them.
func (r record) olderThan(now time.Time, age time.Duration) bool {
	return now.UnixMilli()-r.ClaimedAt > age.Milliseconds()
}
