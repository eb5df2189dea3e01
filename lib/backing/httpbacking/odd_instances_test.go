package httpbacking_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing/httpbacking"
)

var _ = Describe("The instance list with an odd item", func() {
	item := func(id, address string) string {
		return `{"id":"` + id + `","role":"agent","location":{"region":"r","failure_domain":"d"},"address":"` + address + `","leaving":false,"pool":"p"}`
	}
	var body atomic.Value
	var invalid []string
	var list *httpbacking.Instances
	BeforeEach(func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body.Load().(string))) }))
		DeferCleanup(server.Close)
		invalid = nil
		list = httpbacking.NewInstances(httpbacking.Config{URL: server.URL})
		list.OnInvalid = func(id string, err error) {
			Expect(len(err.Error())).To(BeNumerically("<", 300))
			Expect(len(id)).To(BeNumerically("<=", 200))
			invalid = append(invalid, id)
		}
	})
	read := func(items ...string) []string {
		body.Store("[" + strings.Join(items, ",") + "]")
		instances, err := list.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		ids := make([]string, 0, len(instances))
		for _, i := range instances {
			ids = append(ids, string(i.ID))
		}
		return ids
	}
	a, b := item("a", "10.0.0.1:80"), item("b", "[fd00::1]:80")

	DescribeTable("holds the other instances",
		// Guards against entries that no longer follow the list of instances.
		func(odd string) { Expect(read(a, odd, b)).To(Equal([]string{"a", "b"})) },
		Entry("nested", strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)),
		Entry("nested in a known field", strings.Replace(item("x", "10.0.0.3:80"), `"p"`, strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000), 1)),
		Entry("a number that is too large", strings.Replace(item("x", "10.0.0.3:80"), `"x"`, "1e400", 1)),
		Entry("NaN", "NaN"),
		Entry("null", "null"),
		Entry("a text", `"x"`),
		Entry("a list", "[1]"),
		Entry("no ID", item("", "10.0.0.3:80")),
		Entry("ID null", strings.Replace(item("x", "10.0.0.3:80"), `"x"`, "null", 1)),
		Entry("ID with a line break", item(`x\n`, "10.0.0.3:80")),
		Entry("ID of 64 KB", item(strings.Repeat("x", 64<<10), "10.0.0.3:80")),
		Entry("ID of another instance", item("a", "10.0.0.3:80")),
		Entry("invalid UTF-8", item("x\xff", "10.0.0.3:80")),
		Entry("unknown role", strings.Replace(item("x", "10.0.0.3:80"), "agent", "odd", 1)),
		Entry("leaving of another type", strings.Replace(item("x", "10.0.0.3:80"), "false", "1", 1)),
		Entry("location of another type", strings.Replace(item("x", "10.0.0.3:80"), `{"region":"r","failure_domain":"d"}`, `["r","d"]`, 1)),
		Entry("no location", strings.Replace(item("x", "10.0.0.3:80"), `{"region":"r","failure_domain":"d"}`, `{}`, 1)),
		Entry("pool of 64 KB", strings.Replace(item("x", "10.0.0.3:80"), `"p"`, `"`+strings.Repeat("p", 64<<10)+`"`, 1)),
		Entry("port 0", item("x", "10.0.0.3:0")),
		Entry("port 65536", item("x", "10.0.0.3:65536")),
		Entry("named port", item("x", "10.0.0.3:http")),
		Entry("name", item("x", "agent-1:80")),
		Entry("no host", item("x", ":80")),
		Entry("no address", item("x", "")),
	)

	It("reports the item once for each change", func() {
		odd := item("x", "10.0.0.3:99999")
		for range 3 {
			Expect(read(a, odd, b)).To(Equal([]string{"a", "b"}))
		}
		Expect(invalid).To(Equal([]string{"x"}))
		Expect(read(a, item("x", "10.0.0.3:99998"))).To(Equal([]string{"a"}))
		Expect(invalid).To(HaveLen(2))
		Expect(read(a, item("x", "10.0.0.3:80"))).To(Equal([]string{"a", "x"}))
		Expect(read(a, odd)).To(Equal([]string{"a"}))
		Expect(invalid).To(HaveLen(3))
	})

	It("is an error if it is no list", func() {
		for _, text := range []string{"", "{}", "[" + a, "1", strings.Repeat("[", 100_000)} {
			body.Store(text)
			_, err := list.List(context.Background())
			Expect(err).To(HaveOccurred())
		}
		body.Store("null")
		Expect(list.List(context.Background())).To(BeEmpty())
	})
})
