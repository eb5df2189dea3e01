package route_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/route"
)

var (
	oldWeights = model.Weights{Base: model.Sum([]byte("old"))}
	newWeights = model.Weights{Base: model.Sum([]byte("new"))}
	start      = time.Unix(1000, 0)
)

func newPicker(cfg route.Config) *route.Picker {
	cfg.Domain, cfg.Region = "d1", "r1"
	return route.New(cfg, rand.New(rand.NewPCG(1, 2)))
}

func instance(id string, w ...model.Weights) route.Instance {
	return route.Instance{
		ID: model.InstanceID(id), Generation: 1, Pool: "model", Live: w,
		Location: model.Location{Region: "r1", FailureDomain: "d1"},
	}
}

func keyOf(id string) route.Key { return route.Key{Instance: model.InstanceID(id), Generation: 1} }

// instanceModel is the reference model of an instance.
type instanceModel struct {
	live         []model.Weights
	draining     bool
	ejectedUntil time.Time
	pool         string
	role         route.Role
	started      int
}

var _ = Describe("Picker under random operations", func() {
	It("picks only eligible instances and respects the maximum of ejections", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p := newPicker(route.Config{EjectThreshold: 2})
			now := start
			state := make(map[route.Key]*instanceModel)
			weights := rapid.SampledFrom([]model.Weights{oldWeights, newWeights})
			pools := rapid.SampledFrom([]string{"model", "booking"})
			roles := rapid.SampledFrom([]route.Role{route.RoleAny, route.RolePrefill, route.RoleDecode})
			key := func() route.Key {
				return route.Key{
					Instance:   model.InstanceID(fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "instance"))),
					Generation: model.Generation(rapid.IntRange(1, 2).Draw(t, "generation")),
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"": func(t *rapid.T) {
					for _, pool := range []string{"model", "booking"} {
						if ejected, limit := p.Ejected(now, pool); ejected > limit {
							t.Fatalf("%d instances of pool %s are ejected, maximum %d", ejected, pool, limit)
						}
					}
				},
				"update": func(t *rapid.T) {
					k := key()
					s := state[k]
					if s == nil {
						s = &instanceModel{pool: pools.Draw(t, "pool"), role: roles.Draw(t, "role")}
						state[k] = s
					}
					s.live = rapid.SliceOfN(weights, 0, 2).Draw(t, "live")
					draining := rapid.IntRange(0, 6).Draw(t, "draining") == 0
					s.draining = s.draining || draining
					p.Update(now, route.Instance{ID: k.Instance, Generation: k.Generation, Pool: s.pool, Role: s.role, Live: s.live, Draining: draining})
				},
				"remove": func(*rapid.T) {
					k := key()
					p.Remove(now, k)
					delete(state, k)
				},
				"drain": func(*rapid.T) {
					k := key()
					p.Drain(k)
					if s := state[k]; s != nil {
						s.draining = true
					}
				},
				"report": func(t *rapid.T) {
					p.RecordLoad(now, key(), route.LoadReport{Running: rapid.IntRange(0, 99).Draw(t, "running"), Age: time.Second})
				},
				"cache": func(t *rapid.T) {
					p.ApplyCacheEvent(now, key(), route.CacheEvent{Sequence: rapid.Uint64Range(1, 9).Draw(t, "seq"), Stored: []uint64{1, 2}, Removed: []uint64{3}})
				},
				"wait": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
				},
				"finish": func(t *rapid.T) {
					var busy []route.Key
					for k, s := range state {
						if s.started > 0 {
							busy = append(busy, k)
						}
					}
					if len(busy) == 0 {
						return
					}
					slices.SortFunc(busy, func(a, b route.Key) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
					k := rapid.SampledFrom(busy).Draw(t, "key")
					s := state[k]
					s.started--
					result := rapid.SampledFrom([]route.Result{route.ResultOK, route.ResultError, route.ResultError, route.ResultNeutral}).Draw(t, "result")
					if p.Finished(now, k, result) {
						// Minimum duration of an ejection; enforcing the maximum may
						// readmit the instance earlier.
						s.ejectedUntil = now.Add(5 * time.Second)
					}
					if got := p.Outstanding(k); got != s.started {
						t.Fatalf("%v has %d outstanding requests, Outstanding() = %d", k, s.started, got)
					}
				},
				"pick": func(t *rapid.T) {
					r := &route.Request{Pool: pools.Draw(t, "pool"), Role: roles.Draw(t, "role"), Weights: weights.Draw(t, "weights"), Prefix: []uint64{1, 2, 3}, AffinityBlocks: 2}
					excluded := key()
					r.Allowed = func(k route.Key) bool { return k != excluded }
					choice, err := p.Pick(now, r)
					if err != nil {
						checkRefusal(t, state, r, excluded, now, err)
						return
					}
					s := state[choice.Key]
					if s == nil || s.draining || s.pool != r.Pool || choice.Key == excluded {
						t.Fatalf("picked ineligible instance %v: %+v", choice.Key, s)
					}
					if !serves(s, r) {
						t.Fatalf("picked instance %v, which does not serve the request: %+v", choice.Key, s)
					}
					if ejected, _ := p.Ejected(now, s.pool); now.Before(s.ejectedUntil) && ejected >= countEjected(state, s.pool, now) {
						t.Fatalf("picked ejected instance %v", choice.Key)
					}
					p.Started(now, choice.Key, r.Prefix)
					s.started++
				},
			})
		})
	})
})

func serves(s *instanceModel, r *route.Request) bool {
	if s.role != route.RoleAny && s.role != r.Role {
		return false
	}
	for _, w := range s.live {
		if w == r.Weights {
			return true
		}
	}
	return false
}

func countEjected(state map[route.Key]*instanceModel, pool string, now time.Time) int {
	n := 0
	for _, s := range state {
		if s.pool == pool && now.Before(s.ejectedUntil) {
			n++
		}
	}
	return n
}

// checkRefusal fails the test if an instance could have run the request.
func checkRefusal(t *rapid.T, state map[route.Key]*instanceModel, r *route.Request, excluded route.Key, now time.Time, err error) {
	refusal := new(route.Refusal)
	if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		t.Fatalf("error %v is not a *Refusal with RetryAfter", err)
	}
	matching := false
	for k, s := range state {
		if s.pool != r.Pool || s.draining || !serves(s, r) {
			continue
		}
		matching = true
		if k != excluded && s.ejectedUntil.IsZero() {
			t.Fatalf("refused with reason %s, but instance %v can run the request", refusal.Reason, k)
		}
	}
	if matching != (refusal.Reason == outcome.ReasonOverloaded) {
		t.Fatalf("refused with reason %s; an instance that serves the request exists: %v", refusal.Reason, matching)
	}
}
