package msgstream_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/msgstream"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "msgstream")
}

type message struct {
	Numbers []int          `msgpack:"h"`
	Data    []byte         `msgpack:"d"`
	Names   []string       `msgpack:"n"`
	Parts   []part         `msgpack:"p"`
	Counts  map[string]int `msgpack:"m"`
	Ratio   float64        `msgpack:"f"`
	Nested  *message       `msgpack:"x"`
}

type part struct {
	Key    string `msgpack:"k"`
	Number int64  `msgpack:"b"`
}

const limit = 64 << 10

var _ = Describe("Messages", func() {
	It("are read one after another", func() {
		var b bytes.Buffer
		for i := range 3 {
			Expect(msgstream.Encode(&b, &message{Numbers: []int{i}, Data: bytes.Repeat([]byte{byte(i)}, 50_000)})).To(Succeed())
		}
		d := msgstream.NewDecoder(&b, 1<<10, limit)
		for i := range 3 {
			var m message
			Expect(d.Decode(&m)).To(Succeed())
			Expect(m.Numbers).To(Equal([]int{i}))
			Expect(m.Data).To(HaveLen(50_000))
		}
		Expect(d.Decode(&message{})).To(MatchError(io.EOF))
	})

	It("of any content are accepted", func() {
		// Guards against rejecting valid messages.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			long := rapid.SampledFrom([]int{0, 1, 15, 16, 31, 32, 255, 256, 70_000})
			m := message{
				Numbers: rapid.SliceOfN(rapid.Int(), 0, 40).Draw(t, "have"), Data: make([]byte, long.Draw(t, "data")),
				Ratio: rapid.Float64().Draw(t, "share"), Counts: rapid.MapOfN(rapid.String(), rapid.Int(), 0, 20).Draw(t, "by"),
			}
			for range rapid.IntRange(0, 20).Draw(t, "parts") {
				m.Parts = append(m.Parts, part{Key: strings.Repeat("x", long.Draw(t, "key")), Number: rapid.Int64().Draw(t, "born")})
			}
			m.Nested = &message{Names: []string{rapid.String().Draw(t, "name")}}
			data, err := msgpack.Marshal(&m)
			if err != nil {
				t.Fatal(err)
			}
			var got message
			if err := msgstream.Unmarshal(data, &got); err != nil {
				t.Fatal(err)
			}
			if len(got.Parts) != len(m.Parts) || len(got.Data) != len(m.Data) || len(got.Counts) != len(m.Counts) {
				t.Fatalf("got %+v", got)
			}
			cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
			if msgstream.Unmarshal(data[:cut], &got) == nil {
				t.Fatal("a truncated message was accepted")
			}
		})
	})

	DescribeTable("that declare more than they contain are rejected without large allocations",
		// Guards against a few bytes from a peer exhausting the memory: the library
		// allocates the declared length of an array.
		func(data string) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			Expect(msgstream.Unmarshal([]byte(data), &message{})).To(MatchError(msgstream.ErrMalformed))
			runtime.ReadMemStats(&after)
			Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 1<<20))
		},
		Entry("no data", ""),
		Entry("bytes of 4 GB", "\x81\xa1d\xc6\xff\xff\xff\xff"),
		Entry("an array of 4 billion numbers", "\x81\xa1h\xdd\xff\xff\xff\xff\x01"),
		Entry("an array of 4 billion parts", "\x81\xa1p\xdd\xff\xff\xff\xff\x81\xa1b\x01"),
		Entry("a map of 4 billion keys", "\x81\xa1m\xdf\xff\xff\xff\xff\xa1x\x01"),
		Entry("a reserved byte", "\xc1"),
		Entry("nesting without an end", "\x81\xa1z"+strings.Repeat("\x91", 60_000)),
	)

	It("over the size limit are rejected", func() {
		header := binary.BigEndian.AppendUint32(nil, 1<<31)
		d := msgstream.NewDecoder(bytes.NewReader(header), 1<<10, limit)
		Expect(d.Decode(&message{})).To(MatchError(msgstream.ErrTooLong))
	})
})

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte("\x81\xa1d\xc4\x01x"))
	f.Add([]byte("\x81\xa1h\xdd\xff\xff\xff\xff\x01"))
	f.Add([]byte("\xdf\x00\x00\x00\x01\xa1p\x91\x82\xa1k\xd9\x01x\xa1b\xd3\x00\x00\x00\x00\x00\x00\x00\x01"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Must neither panic nor allocate more than the message contains.
		_ = msgstream.Unmarshal(data, &message{})
	})
}
