package versions_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/versions"
)

// oracle holds the declarations that a Registry must know.
type oracle struct {
	timeLimit time.Duration
	declared  []declared
}

type declared struct {
	version int
	at      time.Time
	// from is since when older versions must not serve, if the age is unknown.
	from time.Time
}

func (o *oracle) declare(d declared) {
	for _, known := range o.declared {
		if known.version >= d.version {
			return
		}
	}
	o.declared = append(o.declared, d)
}

// deadline returns the earliest time limit of a newer version, or zero if there is none.
func (o *oracle) deadline(version int) time.Time {
	var earliest time.Time
	for _, d := range o.declared {
		due := d.from
		if due.IsZero() {
			due = d.at.Add(o.timeLimit)
		}
		if o.timeLimit > 0 && d.version > version && (earliest.IsZero() || due.Before(earliest)) {
			earliest = due
		}
	}
	return earliest
}

// mayServe reports whether weights with a deadline may serve at a time.
func mayServe(deadline, now time.Time) bool { return deadline.IsZero() || now.Before(deadline) }

var _ = Describe("A sequence of declarations", func() {
	const newest = 12
	start := time.Unix(1000, 0)
	limits := rapid.SampledFrom([]time.Duration{0, 8 * time.Second, 13400 * time.Millisecond})
	millis := func(t *rapid.T, label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}

	It("bars a version from the first time limit of a newer one on", func() {
		// Guards against a deadline that is forgotten, or taken for a later one, when several
		// versions are declared within their time limits, out of order or with unknown ages, or
		// when the time limit changes.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			o := oracle{timeLimit: limits.Draw(t, "limit")}
			r := versions.NewRegistry(o.timeLimit)
			now := start
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				now = now.Add(millis(t, "pass", 0, 6000))
				version := rapid.IntRange(1, newest).Draw(t, "version")
				switch rapid.SampledFrom([]string{"declare", "declare", "declare", "before", "elapse", "limit"}).Draw(t, "step") {
				case "declare":
					at := now.Add(-millis(t, "age", 0, 9000))
					o.declare(declared{version: version, at: at})
					r.Declare("m", version, at)
				case "before":
					from := start.Add(millis(t, "from", 0, 5000))
					o.declare(declared{version: version, from: from})
					r.DeclareBefore("m", version, from)
				case "elapse":
					suspended := millis(t, "suspended", 0, 5000)
					for i := range o.declared {
						if d := &o.declared[i]; d.from.IsZero() {
							d.at = d.at.Add(-suspended)
						} else {
							d.from = d.from.Add(-suspended)
						}
					}
					r.Elapse(suspended)
				case "limit":
					o.timeLimit = limits.Draw(t, "new limit")
					r.SetTimeLimit(o.timeLimit)
				}
				minVersion, due := r.MinVersion("m", now), r.Deadlines("m", now)
				for version := range newest + 1 {
					want := o.deadline(version)
					if got := r.Deadline("m", version); !got.Equal(want) {
						t.Fatalf("Deadline of %d is %v instead of %v", version, got, want)
					}
					if (version >= minVersion) != mayServe(want, now) {
						t.Fatalf("MinVersion is %d, but %d may serve until %v, and it is %v", minVersion, version, want, now)
					}
					if got := due.Of(version); version >= minVersion && !got.Equal(want) {
						t.Fatalf("Deadlines have %v for %d instead of %v", got, version, want)
					}
				}
				for i, d := range due {
					if !d.At.After(now) || i > 0 && (!d.At.After(due[i-1].At) || d.Version <= due[i-1].Version) {
						t.Fatalf("Deadlines %v have passed, or are not in order", due)
					}
				}
			}
		})
	})

	It("has no later deadline for any version in a limited or merged list", func() {
		// Guards against a placer that allows weights for longer than the entry that asks it, or
		// than it knows itself.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			draw := func(label string) versions.Deadlines {
				r := versions.NewRegistry(8 * time.Second)
				for _, version := range rapid.SliceOfN(rapid.IntRange(1, newest), 0, 8).Draw(t, label) {
					r.Declare("m", version, start.Add(millis(t, "at", 0, 3)))
				}
				return r.Deadlines("m", start)
			}
			a, b := draw("a"), draw("b")
			before := [2]versions.Deadlines{slices.Clone(a), slices.Clone(b)}
			n := rapid.IntRange(1, 4).Draw(t, "n")
			limited, merged := a.Limit(n), a.Merge(b)
			if len(limited) > n || !slices.Equal(a, before[0]) || !slices.Equal(b, before[1]) {
				t.Fatalf("%v of %v, %v", limited, a, b)
			}
			for version := range newest + 1 {
				ofA, ofB := a.Of(version), b.Of(version)
				if got := limited.Of(version); got.After(ofA) || got.IsZero() != ofA.IsZero() {
					t.Fatalf("%v for %d after Limit instead of %v", got, version, ofA)
				}
				want := ofA
				if want.IsZero() || !ofB.IsZero() && ofB.Before(want) {
					want = ofB
				}
				if got := merged.Of(version); !got.Equal(want) {
					t.Fatalf("%v for %d after Merge instead of %v", got, version, want)
				}
			}
		})
	})
})
