package config_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/config"
)

// history returns revisions that each change one value. Revisions after the
// fork differ between two names.
func history(name string, fork, count int) (encoded [][]byte, heads []config.Head) {
	head, current := config.Head{}, &config.Config{}
	for i := range count {
		next := sample(2, i%4)
		if i >= fork {
			next.Tenants[0].MaxQueued = 500 + i
		}
		next.Services[0].Timeout = time.Duration(i+1) * time.Second
		// The last change does not set these, so that a merged revision carries
		// them as earlier changes.
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

	holder := func(encoded [][]byte) *config.Replica {
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

	// Guards against merged values that lead to another state than the single
	// revisions, over every distance and over replicas that hold only merged
	// steps themselves.
	It("leads where the single revisions lead", func() {
		source := holder(encoded)
		for after := 1; after < count-1; after++ {
			r := holder(encoded[:after])
			Expect(r.Apply([][]byte{merged(source, uint64(after))}, start)).To(Equal(1))
			Expect(r.Current()).To(Equal(source.Current()))
			for behind := 1; behind < count-1; behind++ {
				next := holder(encoded[:behind])
				served, err := r.RevisionsAfter(uint64(behind))
				Expect(err).NotTo(HaveOccurred())
				Expect(next.Apply(served, start)).To(Equal(1), "held %d, source passed over %d", behind, after)
				Expect(next.Current()).To(Equal(source.Current()))
			}
		}
	})

	// Guards against new processes that get no configuration from a source whose
	// last step was merged.
	It("is sent as a snapshot to a new replica", func() {
		r := holder(encoded[:2])
		Expect(r.Apply([][]byte{merged(holder(encoded), 2)}, start)).To(Equal(1))
		served, err := r.RevisionsAfter(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(holder(served).Current()).To(Equal(r.Current()))
	})

	// Guards against a damaged copy that comes into force.
	It("never comes into force with a damaged bit", func() {
		source := holder(encoded)
		data := merged(source, 2)
		accepted := 0
		for i := range data {
			for bit := range 8 {
				r := holder(encoded[:2])
				damaged := append([]byte(nil), data...)
				damaged[i] ^= 1 << bit
				applied, err := r.Apply([][]byte{damaged}, start)
				// Damage outside of what the digests cover changes nothing.
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

	// Guards against another history that replaces the replica's own.
	It("is refused when its base is of another history", func() {
		foreign, _ := history("foreign", 3, count)
		data := merged(holder(foreign), 5)
		r := holder(encoded[:5])
		applied, err := r.Apply([][]byte{data}, start)
		Expect(applied).To(BeZero())
		Expect(config.IsDamaged(err)).To(BeTrue())
		Expect(r.Head()).To(Equal(heads[4]))
	})

	// Guards against a last change that carries the wanted state digest under a
	// chain digest that is not its own.
	It("is refused when its chain digest is not that of its change", func() {
		revision, err := config.DecodeRevision(merged(holder(encoded), 2))
		Expect(err).NotTo(HaveOccurred())
		revision.Digest[0] ^= 1
		data, err := revision.Encode()
		Expect(err).NotTo(HaveOccurred())
		r := holder(encoded[:2])
		_, err = r.Apply([][]byte{data}, start)
		Expect(config.IsDamaged(err)).To(BeTrue())
		Expect(r.Head()).To(Equal(heads[1]))
	})

	It("changes nothing on a replica that is ahead and reports a gap on one that is behind its base", func() {
		data := merged(holder(encoded[:6]), 3)
		ahead := holder(encoded)
		Expect(ahead.Apply([][]byte{data}, start)).To(BeZero())
		Expect(ahead.Head()).To(Equal(heads[count-1]))
		behind := holder(encoded[:2])
		_, err := behind.Apply([][]byte{data}, start)
		Expect(err).To(MatchError(config.ErrRevisionGap))
		Expect(behind.Head()).To(Equal(heads[1]))
	})
})
