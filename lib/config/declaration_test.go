package config_test

import (
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/config"
)

var _ = Describe("the declaration file", func() {
	valid := string(config.Format(sampleConfig(2, 0)))

	// Guards against mistakes that are accepted silently. Each violation must
	// report the line, the value and the allowed values.
	DescribeTable("rejects", func(old, replacement, line, mention, allowed string) {
		Expect(valid).To(ContainSubstring(old))
		_, err := config.Parse([]byte(strings.Replace(valid, old, replacement, 1)))
		var invalid *config.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring(line))
		Expect(err.Error()).To(ContainSubstring(mention))
		Expect(err.Error()).To(ContainSubstring(allowed))
	},
		Entry("an unknown key", "time_weight = 0.5", "time_wait = 0.5", "line 2", "deployment: time_wait", "a key that [deployment] has"),
		Entry("an unknown section", "[tenant engravers]", "[team engravers]", "line ", "team engravers", "[tenant NAME]"),
		Entry("a size with a bad unit", "bytes = 14GiB", "bytes = 14GB", "line 10", "14GB", "KiB, MiB, GiB"),
		Entry("a duration without a unit", "claim_retention = 24h0m0s", "claim_retention = 24", "line 5", `"24"`, "a duration with a unit"),
		Entry("a value out of range", "origin_copies = 2", "origin_copies = 65", "line 3", `"65"`, "1 to 64"),
		Entry("a value that is not a number", "time_weight = 0.5", "time_weight = NaN", "line 2", "NaN", "0 to 1"),
		Entry("a repeated key", "origin_copies = 2", "origin_copies = 2\norigin_copies = 3", "line 4", "origin_copies", "once"),
		Entry("a repeated section", "[class interactive]", "[deployment]", "line ", "deployment", "once"),
		Entry("a key without a value", "origin_copies = 2", "origin_copies", "line 3", "origin_copies", "key = value"),
		Entry("a route to a model that is not declared", "version = v1.0\nrepeatable", "version = v9\nrepeatable", "line ", "crest0 v9", "a declared model and version"),
		Entry("a model on a plain service", "kind = plain", "kind = plain\nmodel = crest0", "line ", "orders: model", "no model"),
		Entry("an unknown kind", "kind = plain", "kind = other", "line ", "other", "model or plain"),
		Entry("a rollout that could never start", "min_live = 1", "min_live = 3", "line ", "min_live", "0 to 2"),
		Entry("an unknown role", "role = mixed", "role = spare", "line ", "spare", "mixed, prefill or decode"),
		Entry("a service without mixed instances", "role = mixed", "role = decode", "line ", "crest0", "a mixed placement"),
		Entry("a base without base_version", "bytes = 14GiB", "bytes = 14GiB\nbase = crest1", "line ", "crest1", "declared model and version"),
		Entry("a digest that is too short", "manifest = ", "manifest = ab\n#", "line 8", `"ab"`, "64 hexadecimal digits"),
	)

	It("reports all violations at once", func() {
		_, err := config.Parse([]byte("[deployment]\norigin_copies = 0\ntransfer_share = 2\n[tenant A]\nshare = 0\n"))
		var invalid *config.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Violations).To(HaveLen(4))
	})
})
