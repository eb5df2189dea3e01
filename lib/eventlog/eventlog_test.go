package eventlog_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/settings"
)

var _ = Describe("catalogue", func() {
	It("matches docs/events.md; run go generate ./lib/eventlog after a change", func() {
		page, err := os.ReadFile("../../docs/events.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(eventlog.Markdown()))
	})

	// Operators' alerts refer to numbers, so two events must not share one.
	It("has unique numbers, each in the range of its file and listed", func() {
		listed := map[int]bool{}
		for _, e := range eventlog.Catalogue() {
			Expect(listed).NotTo(HaveKey(e.Number))
			listed[e.Number] = true
			Expect(e.Message).NotTo(BeEmpty())
			Expect(e.Action).To(HaveSuffix("."))
		}
		files, err := filepath.Glob("events_*.go")
		Expect(err).NotTo(HaveOccurred())
		declared := 0
		for _, file := range files {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			var low, high int
			bounds := regexp.MustCompile(`Events \d+ to \d+`).Find(text)
			_, err = fmt.Sscanf(string(bounds), "Events %d to %d", &low, &high)
			Expect(err).NotTo(HaveOccurred(), file)
			for _, m := range regexp.MustCompile(`Event\{(\d+),`).FindAllSubmatch(text, -1) {
				n, err := strconv.Atoi(string(m[1]))
				Expect(err).NotTo(HaveOccurred())
				Expect(n).To(And(BeNumerically(">=", low), BeNumerically("<=", high)), file)
				Expect(listed).To(HaveKey(n), file)
				declared++
			}
		}
		Expect(declared).To(Equal(len(listed)))
	})
})

var _ = Describe("Logger", func() {
	now := clock.NewFake(time.Date(2026, 5, 1, 14, 3, 9, 250e6, time.FixedZone("CEST", 7200)))

	DescribeTable("writes numbered events with UTC timestamps", func(format settings.LogFormat, want string) {
		var b bytes.Buffer
		l := eventlog.Open(settings.Log{Level: "warn", Format: format}, &b, now).With("instance", "huye-1")
		l.Log(eventlog.ProcessStarted)
		l.Log(eventlog.LoadFailed, "weights", "ab12")
		Expect(b.String()).To(Equal(want))
	},
		Entry("logfmt", settings.LogLogfmt, "ts=2026-05-01T12:03:09.250Z instance=huye-1 event=3102 level=warn msg=\"backend server did not load a version\" weights=ab12\n"),
		Entry("json", settings.LogJSON, "{\"event\":3102,\"instance\":\"huye-1\",\"level\":\"warn\",\"msg\":\"backend server did not load a version\",\"ts\":\"2026-05-01T12:03:09.250Z\",\"weights\":\"ab12\"}\n"),
	)

	It("limits the rate of a repeated event", func() {
		var b bytes.Buffer
		limited := eventlog.Open(settings.Log{}, &b, now).RateLimited(now, time.Minute)
		for range 5 {
			limited.Log(eventlog.StoreUnavailable)
		}
		now.Advance(time.Minute)
		limited.Log(eventlog.StoreUnavailable)
		Expect(bytes.Count(b.Bytes(), []byte("\n"))).To(Equal(2))
		Expect(b.String()).To(ContainSubstring("dropped=4"))
	})
})
