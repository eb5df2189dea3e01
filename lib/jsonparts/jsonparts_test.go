package jsonparts_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/jsonparts"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jsonparts")
}

var _ = Describe("Parts", func() {
	values := func(members []jsonparts.Member) []string {
		var out []string
		for _, m := range members {
			out = append(out, m.Name+"="+string(m.Value))
		}
		return out
	}

	It("are the members of an object", func() {
		members, err := jsonparts.Object([]byte(" {\"a\" : 1, \"b\":\"x,}\\\"]\" ,\"c\":{\"d\":[1,{}]},\"\\u0061\":null}\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(values(members)).To(Equal([]string{"a=1", `b="x,}\"]"`, `c={"d":[1,{}]}`, "a=null"}))
	})

	It("are the items of an array", func() {
		items, err := jsonparts.Array([]byte(`[1, NaN ,"]", [ 2 ],{}]`))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Join(items, []byte("|"))).To(Equal([]byte(`1|NaN|"]"|[ 2 ]|{}`)))
	})

	It("are found beside one that is nested 100,000 times", func() {
		// Guards against one item that makes the whole list unreadable.
		deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
		text := []byte(`[1,` + deep + `,2]`)
		Expect(json.Valid(text)).To(BeFalse())
		items, err := jsonparts.Array(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(items).To(HaveLen(3))
		Expect(string(items[2])).To(Equal("2"))
	})

	DescribeTable("are not found in other text",
		func(text string) {
			_, errObject := jsonparts.Object([]byte(text))
			_, errArray := jsonparts.Array([]byte(text))
			Expect(errObject).To(MatchError(jsonparts.ErrNotObject))
			Expect(errArray).To(MatchError(jsonparts.ErrNotArray))
		},
		Entry("empty", ""),
		Entry("number", "1"),
		Entry("cut off object", `{"a":1`),
		Entry("cut off array", `[1`),
		Entry("cut off text", `["a`),
		Entry("cut off escape", `["a\`),
		Entry("no comma", `{"a":1"b":2}`),
		Entry("no comma in an array", `[1 2]`),
		Entry("no value", `{"a":}`),
		Entry("name that is no text", `{1:1}`),
		Entry("comma first", `{,"a":1}`),
		Entry("comma last", `[1,]`),
		Entry("more after it", `{}{}`),
		Entry("closed too often", `[]]`),
	)
})

// FuzzParts compares the parts of valid JSON with what encoding/json decodes.
func FuzzParts(f *testing.F) {
	for _, seed := range []string{
		`{"a":1,"b":[true,{"c":"\"}"}]}`, `[1,"x",null,{}]`, `{}`, `[]`, `{"a":1,"a":2}`, ` [ "\\" , -1.5e3 ] `, `{"\u0061":[[]]}`, `[`, `{"a"`, "[\xff]", `[""""]`, `{"a":1 2}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		members, errObject := jsonparts.Object(data)
		items, errArray := jsonparts.Array(data)
		if !json.Valid(data) {
			return
		}
		var wantItems []json.RawMessage
		if isArray := json.Unmarshal(data, &wantItems) == nil && wantItems != nil; isArray != (errArray == nil) || len(items) != len(wantItems) {
			t.Fatalf("array of %d items, want %d: %v", len(items), len(wantItems), errArray)
		}
		for i, item := range items {
			if !bytes.Equal(item, wantItems[i]) {
				t.Fatalf("item %d is %q, want %q", i, item, wantItems[i])
			}
		}
		var wantMembers map[string]json.RawMessage
		if isObject := json.Unmarshal(data, &wantMembers) == nil && wantMembers != nil; isObject != (errObject == nil) {
			t.Fatalf("object: %v, want %v", errObject, isObject)
		}
		last := make(map[string][]byte)
		for _, m := range members {
			last[m.Name] = m.Value
		}
		if len(last) != len(wantMembers) {
			t.Fatalf("%d names, want %d", len(last), len(wantMembers))
		}
		for name, value := range wantMembers {
			if !bytes.Equal(last[name], value) {
				t.Fatalf("%q is %q, want %q", name, last[name], value)
			}
		}
	})
}
