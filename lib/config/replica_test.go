package config_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/config"
)

var _ = Describe("Replica", func() {
	start := time.Unix(1_800_000_000, 0)
	var encoded [][]byte
	var heads []config.Head
	BeforeEach(func() {
		encoded, heads = nil, nil
		head, current := config.Head{}, &config.Config{}
		for i := range 5 {
			next := sampleConfig(1, i).Canonical()
			delta, err := config.NewDelta(current, next)
			Expect(err).NotTo(HaveOccurred())
			r, err := config.NewRevision(head, config.Change{Author: "ops", Operation: "op", UnixMillis: int64(i), Delta: delta})
			Expect(err).NotTo(HaveOccurred())
			data, err := r.Encode()
			Expect(err).NotTo(HaveOccurred())
			encoded, heads, head, current = append(encoded, data), append(heads, r.Head()), r.Head(), next
		}
	})

	// Guards against damaged data that is put in force.
	It("never puts a revision with a damaged byte in force", func() {
		intact := config.NewReplica(config.ReplicaConfig{}, start)
		Expect(intact.Apply(encoded[:2], start)).To(Equal(2))
		intact.EndStartWindow()
		for i := range encoded[1] {
			r := config.NewReplica(config.ReplicaConfig{}, start)
			Expect(r.Apply(encoded[:1], start)).To(Equal(1))
			damaged := append([]byte(nil), encoded[1]...)
			damaged[i] ^= 1
			applied, err := r.Apply([][]byte{damaged}, start)
			r.EndStartWindow()
			// Damage outside of the data that the chain covers has no effect. A
			// damaged number may look like a revision that is already held.
			if applied == 1 {
				Expect(r.Current()).To(Equal(intact.Current()), "byte %d", i)
			} else {
				Expect(r.Head()).To(Equal(heads[0]), "byte %d: %v", i, err)
			}
		}
	})

	// Guards against a restarted process that puts an older revision in force
	// although a peer has reported a newer one.
	It("waits for the highest reported revision during the start window", func() {
		r := config.NewReplica(config.ReplicaConfig{StartWindow: time.Second}, start)
		Expect(r.ObserveHead(heads[4], 0, start)).To(BeTrue())
		Expect(r.Apply(encoded[:2], start)).To(Equal(2))
		r.Tick(start.Add(2 * time.Second))
		Expect(r.Current()).To(BeNil())
		Expect(r.Apply(encoded[2:], start.Add(2*time.Second))).To(Equal(3))
		Expect(r.Current().Head).To(Equal(heads[4]))

		r = config.NewReplica(config.ReplicaConfig{StartWindow: time.Second}, start)
		Expect(r.ObserveHead(heads[4], 0, start)).To(BeTrue())
		Expect(r.Apply(encoded[:2], start)).To(Equal(2))
		r.Tick(start.Add(3 * time.Second))
		Expect(r.Current().Head).To(Equal(heads[1]))
	})

	It("reports gaps, different histories and its age", func() {
		r := config.NewReplica(config.ReplicaConfig{}, start)
		Expect(r.Apply(encoded[:1], start)).To(Equal(1))
		_, err := r.Apply(encoded[3:], start)
		Expect(err).To(MatchError(config.ErrRevisionGap))
		_, err = r.ObserveHead(config.Head{Number: 1}, 0, start)
		Expect(config.IsDamaged(err)).To(BeTrue())
		Expect(r.ObserveHead(heads[0], 2*time.Second, start.Add(5*time.Second))).To(BeFalse())
		Expect(r.Age(start.Add(6 * time.Second))).To(Equal(3 * time.Second))
	})
})
