package httpbacking_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing/httpbacking"
)

var _ = Describe("A scan of a table with an odd row", func() {
	scan := func(body string) ([]string, error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer server.Close()
		rows, err := httpbacking.NewTable(httpbacking.Config{URL: server.URL}).Scan(context.Background(), "t", "", "", 10)
		var read []string
		for _, row := range rows {
			read = append(read, row.Key+"="+string(row.Value))
		}
		return read, err
	}
	const a, b = `{"table":"t","key":"a","version":1,"value":"YQ=="}`, `{"table":"t","key":"b","version":2,"value":"Yg=="}`

	DescribeTable("holds the other rows",
		// Guards against a configuration that is no longer followed.
		func(odd, want string) {
			read, err := scan("[" + a + "," + odd + "," + b + "]")
			Expect(err).NotTo(HaveOccurred())
			Expect(strings.Join(read, " ")).To(Equal(want))
		},
		Entry("value that is not base64", `{"key":"odd","version":1,"value":"%"}`, "a=a odd= b=b"),
		Entry("value that is nested", `{"key":"odd","version":1,"value":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000)+`}`, "a=a odd= b=b"),
		Entry("version out of range", `{"key":"odd","version":1e400,"value":""}`, "a=a odd= b=b"),
		Entry("negative version", `{"key":"odd","version":-1,"value":""}`, "a=a odd= b=b"),
		Entry("key that is a number", `{"key":1,"version":1,"value":""}`, "a=a b=b"),
		Entry("no key", `{"version":1,"value":""}`, "a=a b=b"),
		Entry("nested", strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000), "a=a b=b"),
		Entry("null", "null", "a=a b=b"),
		Entry("a number", "1e400", "a=a b=b"),
		Entry("no JSON", "NaN", "a=a b=b"),
	)

	It("is an error if the response is no list", func() {
		for _, body := range []string{"", "{}", "[" + a, "1"} {
			_, err := scan(body)
			Expect(err).To(HaveOccurred(), body)
		}
		Expect(scan("null")).To(BeEmpty())
	})
})
