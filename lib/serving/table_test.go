package serving_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("Table", func() {
	table := serving.NewTable(&serving.Config{
		Routes: []serving.Route{
			{Name: "root", Host: "a.example", Prefix: "/"},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Teams: []serving.Team{{Name: "carvers", APIKeys: []string{"k1", "k2"}}},
	})

	DescribeTable("chooses the longest prefix of the path on the host",
		// Guards against requests running on a service that is not a target of their
		// route.
		func(host, path, want string) {
			route := table.Route(host, path)
			if want == "" {
				Expect(route).To(BeNil())
				return
			}
			Expect(route).NotTo(BeNil())
			Expect(route.Name).To(Equal(want))
		},
		Entry("exact", "a.example", "/x/y/", "deep"),
		Entry("below", "a.example", "/x/y/z", "deep"),
		Entry("shorter prefix", "a.example", "/x/z", "root"),
		Entry("prefix without its slash", "a.example", "/x/y", "root"),
		Entry("no slash at all", "a.example", "x", ""),
		Entry("no prefix on the host", "b.example", "/", ""),
		Entry("unknown host", "c.example", "/x/", ""),
	)

	It("finds a team by each of its API keys and by no other key", func() {
		Expect(table.TeamByKey("k2").Name).To(Equal("carvers"))
		Expect(table.TeamByKey("k3")).To(BeNil())
		Expect(table.TeamByKey("")).To(BeNil())
	})

	It("returns the lowest target latency of the routes to a service", func() {
		// Guards against requests with a longer latency target taking all slots of an
		// overloaded service.
		route := func(service string, target time.Duration) serving.Route {
			return serving.Route{Host: "h", Prefix: "/", TargetLatency: target, Targets: []serving.Target{{Service: service}}}
		}
		table := serving.NewTable(&serving.Config{Routes: []serving.Route{
			route("drafts", 500*time.Millisecond), route("drafts", 400*time.Millisecond), route("drafts", 0), route("desk", time.Second),
		}})
		Expect(table.MinTargetLatency("drafts")).To(Equal(400 * time.Millisecond))
		Expect(table.MinTargetLatency("desk")).To(Equal(time.Second))
		Expect(table.MinTargetLatency("other")).To(BeZero())
	})

	It("distributes requests by the declared weights", func() {
		// Guards against sending requests to a target with weight zero.
		route := serving.Route{Targets: []serving.Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "off"}}}
		rng := rand.New(rand.NewPCG(1, 1))
		counts := make(map[string]int)
		for range 10000 {
			counts[route.PickService(rng)]++
		}
		Expect(counts["off"]).To(BeZero())
		Expect(counts["new"]).To(BeNumerically("~", 1000, 150))
	})

	DescribeTable("reports which requests may run more than once",
		// Guards against running a non-repeatable request twice.
		func(route serving.Route, want bool) { Expect(route.Repeatable()).To(Equal(want)) },
		Entry("not idempotent", serving.Route{Kind: serving.NonIdempotent}, false),
		Entry("not idempotent although resumable", serving.Route{Kind: serving.NonIdempotent, Resumable: true}, false),
		Entry("idempotent", serving.Route{Kind: serving.Idempotent}, true),
		Entry("stream", serving.Route{Kind: serving.Streaming}, false),
		Entry("resumable stream", serving.Route{Kind: serving.Streaming, Resumable: true}, true),
	)
})
