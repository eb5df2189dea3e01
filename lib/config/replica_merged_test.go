package config_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/config"
)

// history returns a chain of revisions. From the index fork on, chains with
// different names differ.
func history(name string, fork, count int) (encoded [][]byte, heads []config.Head) {
	head, current := config.Head{}, &config.Config{}
	for i := range count {
		next := sampleConfig(2, i%4)
		if i >= fork {
			next.Tenants[0].MaxQueued = 500 + i
		}
		next.Services[0].Timeout = time.Duration(i+1) * time.Second
		// The last changes leave these values alone, so that a merged revision
		// has to carry them in the delta of its earlier changes.
		next.Services[1].Timeout = time.Duration(min(i, 5)+1) * time.Second
		next.Classes[0].Priority = min(i, 4)
		next = next.Canonical()
		delta, err := config.NewDelta(current, next)
		Expect(err).NotTo(HaveOccurred())
		author := "ops"
		if i >= fork {
			author = name
		}
		r, err := config.NewRevision(head, config.Change{Author: author, Operation: "op", UnixMillis: int64(i), Delta: delta})
		Expect(err).NotTo(HaveOccurred())
		data, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		encoded, heads, head, current = append(encoded, data), append(heads, r.Head()), r.Head(), next
	}
	return encoded, heads
}

var _ = Describe("a merged revision", func() {
	start := time.Unix(1_800_000_000, 0)
	const count = 8
	var encoded [][]byte
	var heads []config.Head

	replicaWith := func(encoded [][]byte) *config.Replica {
		r := config.NewReplica(config.ReplicaConfig{}, start)
		Expect(r.Apply(encoded, start)).To(Equal(len(encoded)))
		r.EndStartWindow()
		return r
	}
	merged := func(r *config.Replica, after uint64) []byte {
		served, err := r.RevisionsAfter(after)
		Expect(err).NotTo(HaveOccurred())
		Expect(served).To(HaveLen(1))
		revision, err := config.DecodeRevision(served[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(revision.IsMerged()).To(BeTrue())
		return served[0]
	}

	BeforeEach(func() { encoded, heads = history("ops", count, count) })

	// Guards against merged revisions that yield a different configuration than the
	// individual revisions, for all distances and for sources that hold only merged
	// steps themselves.
	It("yields the same configuration as the individual revisions", func() {
		source := replicaWith(encoded)
		for after := 1; after < count-1; after++ {
			r := replicaWith(encoded[:after])
			Expect(r.Apply([][]byte{merged(source, uint64(after))}, start)).To(Equal(1))
			Expect(r.Current()).To(Equal(source.Current()))
			for behind := 1; behind < count-1; behind++ {
				next := replicaWith(encoded[:behind])
				served, err := r.RevisionsAfter(uint64(behind))
				Expect(err).NotTo(HaveOccurred())
				Expect(next.Apply(served, start)).To(Equal(1), "replica at %d, source received a merged revision on base %d", behind, after)
				Expect(next.Current()).To(Equal(source.Current()))
			}
		}
	})

	// Guards against sources that cannot serve a new replica after they received a
	// merged revision themselves.
	It("is sent as a snapshot to a new replica", func() {
		r := replicaWith(encoded[:2])
		Expect(r.Apply([][]byte{merged(replicaWith(encoded), 2)}, start)).To(Equal(1))
		served, err := r.RevisionsAfter(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(replicaWith(served).Current()).To(Equal(r.Current()))
	})

	// Guards against damaged data that is put in force.
	It("is never put in force with a flipped bit", func() {
		source := replicaWith(encoded)
		data := merged(source, 2)
		accepted := 0
		for i := range data {
			for bit := range 8 {
				r := replicaWith(encoded[:2])
				damaged := append([]byte(nil), data...)
				damaged[i] ^= 1 << bit
				applied, err := r.Apply([][]byte{damaged}, start)
				// A bit outside of the data that the digests cover has no effect.
				if applied == 1 {
					accepted++
					Expect(r.Current()).To(Equal(source.Current()), "byte %d", i)
				} else {
					Expect(r.Current().Head).To(Equal(heads[1]), "byte %d: %v", i, err)
				}
			}
		}
		Expect(accepted).To(BeNumerically("<", 8*len(data)/10))
	})

	// Guards against a source whose different history replaces that of the replica.
	It("is rejected if its base belongs to a different history", func() {
		foreign, _ := history("foreign", 3, count)
		data := merged(replicaWith(foreign), 5)
		r := replicaWith(encoded[:5])
		applied, err := r.Apply([][]byte{data}, start)
		Expect(applied).To(BeZero())
		Expect(config.IsDamaged(err)).To(BeTrue())
		Expect(r.Head()).To(Equal(heads[4]))
	})

	// Guards against a forged chain digest on a change whose state digest is
	// correct.
	It("is rejected if its chain digest does not match its change", func() {
		revision, err := config.DecodeRevision(merged(replicaWith(encoded), 2))
		Expect(err).NotTo(HaveOccurred())
		revision.Digest[0] ^= 1
		data, err := revision.Encode()
		Expect(err).NotTo(HaveOccurred())
		r := replicaWith(encoded[:2])
		_, err = r.Apply([][]byte{data}, start)
		Expect(config.IsDamaged(err)).To(BeTrue())
		Expect(r.Head()).To(Equal(heads[1]))
	})

	It("has no effect on a replica that is ahead and reports a gap on one that is behind its base", func() {
		data := merged(replicaWith(encoded[:6]), 3)
		ahead := replicaWith(encoded)
		Expect(ahead.Apply([][]byte{data}, start)).To(BeZero())
		Expect(ahead.Head()).To(Equal(heads[count-1]))
		behind := replicaWith(encoded[:2])
		_, err := behind.Apply([][]byte{data}, start)
		Expect(err).To(MatchError(config.ErrRevisionGap))
		Expect(behind.Head()).To(Equal(heads[1]))
	})
})
