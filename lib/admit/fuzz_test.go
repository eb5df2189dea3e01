package admit_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/model"
)

// flowKey identifies a FIFO queue of one tenant and class.
type flowKey struct {
	tenant model.Tenant
	class  model.Class
}

// reference is a simple model of the queue.
type reference struct {
	queued  map[flowKey][]admit.Request
	tenants map[model.Tenant]int
	total   int
}

func (r *reference) remove(t *rapid.T, req admit.Request, mustBeFirst bool) {
	key := flowKey{req.Tenant, req.Class}
	list := r.queued[key]
	for i, w := range list {
		if w.ID != req.ID {
			continue
		}
		if mustBeFirst && i > 0 {
			t.Fatalf("%s was dequeued before %s of the same tenant and class", req.ID, list[0].ID)
		}
		r.queued[key] = append(append([]admit.Request{}, list[:i]...), list[i+1:]...)
		r.tenants[req.Tenant]--
		r.total--
		return
	}
	t.Fatalf("%s was dequeued but was not in the queue", req.ID)
}

var _ = Describe("Queue under random operations", func() {
	It("does not lose, duplicate or reorder requests and enforces its limits", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const maxQueued, tenantMax = 9, 6
			q := admit.New(admit.Config{MaxQueued: maxQueued, TenantMaxQueued: tenantMax})
			ref := &reference{queued: map[flowKey][]admit.Request{}, tenants: map[model.Tenant]int{}}
			now := time.Unix(0, 0)
			serial := 0
			tenants := rapid.SampledFrom([]model.Tenant{"a", "b", "c"})
			checkRefusal := func(refusal admit.Refusal) {
				if refusal.RetryAfter <= 0 || refusal.Reason == "" {
					t.Fatalf("refusal without RetryAfter or Reason: %+v", refusal)
				}
			}
			expire := func() {
				for _, refusal := range q.Expire(now) {
					checkRefusal(refusal)
					if !now.After(refusal.Request.StartBy) {
						t.Fatalf("%s expired before its StartBy", refusal.Request.ID)
					}
					ref.remove(t, refusal.Request, false)
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"": func(t *rapid.T) {
					if q.Len() != ref.total || ref.total > maxQueued {
						t.Fatalf("Len() = %d, model has %d, limit %d", q.Len(), ref.total, maxQueued)
					}
					for name, n := range ref.tenants {
						if q.Queued(name) != n || n > tenantMax {
							t.Fatalf("Queued() = %d for tenant %s, model has %d, limit %d", q.Queued(name), name, n, tenantMax)
						}
					}
				},
				"offer": func(t *rapid.T) {
					serial++
					r := admit.Request{
						ID: model.RequestID(fmt.Sprint(serial)), Tenant: tenants.Draw(t, "tenant"),
						Tokens: rapid.IntRange(0, 3000).Draw(t, "tokens"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					}
					r.Class = model.Class(fmt.Sprint("p", r.Priority))
					if rapid.Bool().Draw(t, "bounded") {
						r.StartBy = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
					}
					refusal, ok := q.Enqueue(now, r)
					full := ref.total == maxQueued || ref.tenants[r.Tenant] == tenantMax
					if !ok {
						checkRefusal(refusal)
						if r.StartBy.IsZero() && !full {
							t.Fatalf("%+v was refused although the queue has room: %s", r, refusal.Reason)
						}
						return
					}
					key := flowKey{r.Tenant, r.Class}
					ref.queued[key] = append(ref.queued[key], r)
					ref.tenants[r.Tenant]++
					ref.total++
				},
				"next": func(t *rapid.T) {
					expire()
					offered := 0
					placement := rapid.SampledFrom([]admit.Placement{admit.Placed, admit.Placed, admit.Deferred, admit.Blocked})
					r, ok := q.Next(now, func(admit.Request) admit.Placement {
						offered++
						return placement.Draw(t, "placement")
					})
					if ok {
						ref.remove(t, r, true)
					} else if offered == 0 && ref.total > 0 {
						t.Fatalf("%d requests queued, but none was offered to place", ref.total)
					}
				},
				"cancel": func(t *rapid.T) {
					id := model.RequestID(fmt.Sprint(rapid.IntRange(1, serial+1).Draw(t, "id")))
					for _, list := range ref.queued {
						for _, r := range list {
							if r.ID == id {
								ref.remove(t, r, false)
								if !q.Cancel(now, id) {
									t.Fatalf("%s is queued, but Cancel returned false", id)
								}
								return
							}
						}
					}
					if q.Cancel(now, id) {
						t.Fatalf("%s is not queued, but Cancel returned true", id)
					}
				},
				"wait": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
					expire()
				},
				"settle": func(t *rapid.T) {
					q.CorrectCharge(tenants.Draw(t, "tenant"), 100, rapid.IntRange(0, 500).Draw(t, "actual"))
				},
			})
		})
	})
})
