package explain_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/operator/explain"
)

const logs = `half of a line total_ms=3
ts=2026-12-04T05:00:00.000Z instance=edge-1 event=7001 level=info msg="live configuration in force" config=7
ts=2026-12-04T05:00:09.000Z instance=edge-1 event=7104 level=warn msg="backend server ejected temporarily" server=i-1
ts=2026-12-04T05:00:09.500Z instance=side-1 event=7302 level=info msg="engine ordered to load a version" version=2
ts=2026-12-04T05:00:10.100Z instance=edge-1 event=7201 level=info msg="request ended" request=b outcome=answered server=i-2
ts=2026-12-04T05:00:10.000Z instance=edge-1 event=7202 level=info msg="request retried on another backend server" request=a server=i-1 reason="no answer"
ts=2026-12-04T05:00:10.200Z instance=edge-1 event=7201 level=info msg="request ended" request=a outcome=unknown reason="time over" server=i-3 total_ms=400
ts=2026-12-04T05:00:11.000Z instance=edge-2 event=7103 level=info msg="row of a backend server was removed" server=i-3
ts=2026-12-04T05:00:30.000Z instance=edge-1 event=7004 level=warn msg="store does not answer this instance"
`

var _ = Describe("FindRequest", func() {
	lines, err := explain.ReadLines(strings.NewReader(logs))

	It("orders the lines of a request and adds related events", func() {
		// Guards against a timeline without the event that caused the failure.
		Expect(err).NotTo(HaveOccurred())
		t := explain.FindRequest("a", lines)
		Expect(t.Lines).To(HaveLen(2))
		Expect(t.Lines[0].Event).To(Equal(7202))
		Expect(t.Lines[1].Get("reason")).To(Equal("time over"))
		var events []int
		for _, l := range t.Context {
			events = append(events, l.Event)
		}
		Expect(events).To(Equal([]int{7104, 7103}))
	})

	It("adds older events of the same content and the last states of servers that were left out", func() {
		// Guards against a refusal whose cause was logged long before the request.
		const older = `ts=2026-12-04T05:00:00.000Z instance=edge-2 event=7205 level=warn msg="backend server crashed while running requests" server=i-9 content=c0ffee
ts=2026-12-04T05:00:01.000Z instance=edge-1 event=7206 level=warn msg="content quarantined: backend servers crashed while running it" content=c0ffee
ts=2026-12-04T05:00:02.000Z instance=edge-1 event=7206 level=warn msg="content quarantined: backend servers crashed while running it" content=other
ts=2026-12-04T05:00:03.000Z instance=edge-1 event=7210 level=info msg="backend server stated or lifted a limit of its request rate" server=i-1 per_second=2
ts=2026-12-04T05:00:04.000Z instance=edge-1 event=7210 level=info msg="backend server stated or lifted a limit of its request rate" server=i-1 per_second=1
ts=2026-12-04T05:00:05.000Z instance=edge-1 event=7209 level=info msg="backend server asked this entry to pause sending requests" server=i-2 for_ms=60000
ts=2026-12-04T05:00:06.000Z instance=edge-1 event=7208 level=info msg="backend server is draining and gets no new requests" server=i-7
ts=2026-12-04T05:00:40.000Z instance=edge-1 event=7201 level=info msg="request ended" request=a outcome=refused reason=rate_limited content=c0ffee server= left_out="i-1: limited to 1/s, i-2: paused for 9 ms"
ts=2026-12-04T05:00:50.000Z instance=edge-1 event=7210 level=info msg="backend server stated or lifted a limit of its request rate" server=i-1 per_second=0
`
		lines, err := explain.ReadLines(strings.NewReader(older))
		Expect(err).NotTo(HaveOccurred())
		var found []string
		for _, l := range explain.FindRequest("a", lines).Context {
			found = append(found, l.Time.Format("05"))
		}
		Expect(found).To(Equal([]string{"00", "01", "04", "05"}))
	})

	DescribeTable("describes a server that was left out",
		// Guards against durations that the reader must add to the time of the line.
		func(leftOut, want string) {
			l := explain.Line{Time: time.Date(2026, 12, 4, 5, 0, 40, 0, time.UTC), Fields: []explain.Field{{Key: "left_out", Value: leftOut}}}
			Expect(strings.Join(explain.LeftOut(&l), ", ")).To(Equal(want))
		},
		Entry("leaving, with its evidence", "i-1: leaving for 1500 ms (answer)", "i-1: leaving since 05:00:38.500 (answer)"),
		Entry("paused and leaving", "i-2: paused for 300 ms, i-1: leaving", "i-2: paused until 05:00:40.300, i-1: leaving"),
		Entry("another state", "i-3: limited to 1/s", "i-3: limited to 1/s"),
		Entry("nothing", "", ""),
	)

	It("skips lines that are not event lines", func() {
		// Guards against logs that cannot be read because of a line of another program.
		read, err := explain.ReadLines(strings.NewReader("worth 0.6 = all (weight 0.3), \"half\n" + logs + "fatal error: a=b=c=\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(HaveLen(len(lines)))
	})

	It("returns an empty timeline for an unknown request", func() {
		Expect(explain.FindRequest("zz", lines).Lines).To(BeEmpty())
	})

	It("describes known reasons", func() {
		Expect(explain.DescribeReason("overloaded")).NotTo(BeEmpty())
		Expect(explain.DescribeReason("never heard of")).To(BeEmpty())
	})
})
