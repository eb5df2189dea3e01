package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/settings"
)

const examples = "../../docs/examples"

func example(name string) string {
	text, err := os.ReadFile(filepath.Join(examples, name))
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// violationsOf parses an example after replacing texts in it, given as pairs of old
// and new text, and returns the violations as lines.
func violationsOf(name string, changes ...string) []string {
	text := example(name)
	for i := 0; i < len(changes); i += 2 {
		Expect(text).To(ContainSubstring(changes[i]))
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	var err error
	if name == "entry.ini" {
		_, err = settings.ParseEntry("x.ini", text)
	} else {
		_, err = settings.ParseAgent("x.ini", text)
	}
	var invalid *settings.InvalidError
	Expect(errors.As(err, &invalid)).To(BeTrue())
	return strings.Split(invalid.Error(), "\n")
}

var _ = Describe("settings", func() {
	It("loads every committed example", func() {
		e, err := settings.LoadEntry(filepath.Join(examples, "entry.ini"))
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Transport.OperatorNames).To(Equal([]string{"ops.umurage", "ci.umurage"}))
		Expect(e.Drain.Timeout).To(Equal(2 * time.Minute))
		Expect(e.Memory.Limit).To(Equal(1 * settings.GiB))
		a, err := settings.LoadAgent(filepath.Join(examples, "agent-engine.ini"))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Transfer.StagingBytes).To(Equal(48 * settings.GiB))
		Expect(a.Transfer.LinkRate.BytesPerSecond()).To(Equal(25e6))
		Expect(a.Backend.Fencing).To(Equal(settings.FencingIgnored))
		p, err := settings.LoadAgent(filepath.Join(examples, "agent-plain.ini"))
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Listen.Advertise).To(Equal(p.Listen.Peers))
		Expect(p.Log.Level).To(Equal("info"))
	})

	DescribeTable("derives the memory limit that is not set",
		// Guards against an agent whose requests alone take more than its default.
		func(capacity string, want settings.Bytes) {
			a, err := settings.ParseAgent("x.ini", strings.Replace(example("agent-plain.ini"), "capacity = 32", capacity, 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Memory.Limit).To(Equal(want))
			Expect(a.Memory.BodyBytes()).To(BeEquivalentTo(want / 3))
			Expect(a.Memory.ResponseBytes()).To(BeEquivalentTo(want / 8))
		},
		Entry("with the default capacity", "", 256*settings.MiB),
		Entry("with the largest capacity", "capacity = 4096", 512*settings.MiB),
	)

	// Guards against violations that are reported one at a time, which would cost the
	// operator one restart of the daemon each.
	It("reports all violations together with line, key, value and allowed values", func() {
		lines := violationsOf("agent-engine.ini", "48GiB", "48GB", "200Mbit/s", "200", "capacity = 16", "capacity = 0", "level  = warn", "level  = chatty")
		Expect(lines).To(ConsistOf(
			`x.ini:24: [backend] capacity = "0": value is out of range; allowed: a whole number from 1 to 4096`,
			`x.ini:28: [transfer] staging_bytes = "48GB": value is not a size with a unit; allowed: a size with a unit, such as 64MiB, from 4MiB to 64TiB`,
			`x.ini:29: [transfer] link_rate = "200": value is not a rate with a unit; allowed: a rate with a unit, such as 20Mbit/s, from 100kbit/s to 800Gbit/s`,
			`x.ini:41: [log] level = "chatty": value is unknown; allowed: info, warn, error`,
		))
	})

	DescribeTable("rejects", func(name, from, to, want string) {
		Expect(violationsOf(name, from, to)).To(ContainElement(ContainSubstring(want)))
	},
		Entry("unknown key", "entry.ini", "peers     =", "pears     =", "[listen] pears = \"10.20.1.11:7400\": key is unknown; allowed: callers, operators, peers, advertise, metrics"),
		Entry("missing key", "entry.ini", "peers     =", "pears     =", "[listen] peers: required key is missing"),
		Entry("unknown section", "entry.ini", "[log]", "[logs]", "[logs]: section is unknown; allowed: drain, instance"),
		Entry("section of the other daemon", "entry.ini", "[drain]", "[backend]", "[backend]: section is unknown"),
		Entry("key before the first section", "entry.ini", "[instance]", "stray = 1\n[instance]", "key is before the first section"),
		Entry("repeated key", "entry.ini", "level  = info", "level  = info\nlevel = warn", "given more than once"),
		Entry("host name instead of an IP address", "entry.ini", "10.20.1.11:8080", "entry-1:8080", "not an IP address and port"),
		Entry("two listeners on one address", "entry.ini", "10.20.1.11:7410", "10.20.1.11:8080", "already used by callers"),
		Entry("wildcard without an advertised address", "agent-engine.ini", "advertise = 10.20.2.23:7400", "", "wildcard"),
		Entry("duration without a unit", "entry.ini", "timeout = 2m", "timeout = 120", "not a duration"),
		Entry("duration out of range", "entry.ini", "timeout = 2m", "timeout = 100h", "out of range"),
		Entry("certificates with plaintext", "entry.ini", "= tls", "= plaintext", "conflicts with transport = plaintext"),
		Entry("tls without certificates", "agent-plain.ini", "transport = plaintext", "transport = tls", "[transport] ca: required key"),
		Entry("plaintext that is not set explicitly", "agent-plain.ini", "transport = plaintext", "", "[transport] key: required key"),
		Entry("fencing of a plain service", "agent-plain.ini", "capacity = 32", "fencing = checked", "conflicts with kind = plain"),
		Entry("staging of a plain service", "agent-plain.ini", "[transport]", "[transfer]\nstaging = /x\n[transport]", "plain services have no weights"),
		Entry("address that is not HTTP", "entry.ini", "http://10.20.0.5:8500", "10.20.0.5:8500", "not an HTTP address"),
		Entry("memory without a unit", "entry.ini", "limit = 1GiB", "limit = 1073741824", "[memory] limit = \"1073741824\": value is not a size with a unit; allowed: a size with a unit, such as 64MiB, from 128MiB to 1TiB"),
		Entry("memory in an unknown unit", "entry.ini", "limit = 1GiB", "limit = 1GB", "[memory] limit = \"1GB\": value is not a size with a unit"),
		Entry("too little memory", "entry.ini", "limit = 1GiB", "limit = 127MiB", "[memory] limit = \"127MiB\": value is out of range"),
		Entry("memory beyond any machine", "entry.ini", "limit = 1GiB", "limit = 2TiB", "[memory] limit = \"2TiB\": value is out of range"),
		Entry("unknown key of the memory", "entry.ini", "limit = 1GiB", "limits = 1GiB", "[memory] limits = \"1GiB\": key is unknown; allowed: limit"),
		Entry("memory that is too little for the capacity", "agent-engine.ini", "capacity = 16", "capacity = 4096\n[memory]\nlimit = 256MiB", "x.ini:26: [memory] limit = \"256MiB\": value conflicts with capacity = 4096 of [backend]; allowed: at least 512MiB for this capacity, or a capacity of at most 2048"),
		Entry("broken line", "entry.ini", "level  = info", "level info", "key-value delimiter not found"),
	)
})

// Guards against sizes printed in violations that are not accepted as input.
func TestUnitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := settings.Bytes(rapid.Int64Range(0, 1<<62).Draw(t, "bytes"))
		got, err := settings.ParseBytes(b.String())
		if err != nil || got != b {
			t.Fatalf("%d is formatted as %s and parsed as %d, %v", b, b, got, err)
		}
		text := rapid.StringMatching(`[0-9]{1,25}(B|KB|KiB|MiB|GB| TiB)?`).Draw(t, "text")
		if got, err := settings.ParseBytes(text); err == nil && got < 0 {
			t.Fatalf("%q overflows to %d", text, got)
		}
	})
}
