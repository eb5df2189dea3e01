package weights_test

import (
	"bytes"
	"math/rand"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

var _ = Describe("Store", func() {
	data := make([]byte, 10_500)
	rand.New(rand.NewSource(1)).Read(data)
	build := func(data []byte) *weights.Manifest {
		m, err := weights.BuildBytes(data, "object", model.Digest{}, 1000)
		Expect(err).NotTo(HaveOccurred())
		return m
	}
	fill := func(s *weights.Store, m *weights.Manifest, data []byte) {
		for i, c := range m.Chunks {
			Expect(s.Put(c, data[m.Offset(i):m.Offset(i)+int64(c.Size)])).To(Succeed())
		}
	}

	It("assembles what was built, and rejects an incomplete or corrupt set (guards against loading partial weights)", func() {
		m, s := build(data), weights.NewStore(weights.StoreConfig{})
		Expect(m.TotalSize()).To(BeEquivalentTo(len(data)))
		Expect(s.Verify(m)).To(MatchError(weights.ErrIncomplete))
		Expect(s.Put(m.Chunks[0], data[1:1001])).To(MatchError(weights.ErrChunkCorrupt))
		fill(s, m, data)
		var out bytes.Buffer
		Expect(s.Assemble(m, &out)).To(Succeed())
		Expect(out.Bytes()).To(Equal(data))
	})

	It("detects corruption in the staging directory right before a load (guards against data that changed after the transfer)", func() {
		dir := GinkgoT().TempDir()
		storage, err := weights.NewDirectoryStorage(dir)
		Expect(err).NotTo(HaveOccurred())
		m, s := build(data), weights.NewStore(weights.StoreConfig{Storage: storage})
		fill(s, m, data)
		Expect(s.Verify(m)).To(Succeed())
		name := filepath.Join(dir, m.Chunks[3].Digest.String()+".chunk")
		Expect(os.WriteFile(name, []byte("corrupt"), 0o600)).To(Succeed())
		Expect(s.Verify(m)).To(MatchError(weights.ErrChunkCorrupt))
		Expect(s.Have(m).Get(3)).To(BeFalse(), "a corrupt chunk is not offered to peers")
		fill(s, m, data)
		Expect(s.Verify(m)).To(Succeed())
	})

	It("shares chunks between versions and drops only those that no retained version uses (guards against a staging area that fills up)", func() {
		other := append(append([]byte(nil), data[:5000]...), make([]byte, 4000)...)
		m, n := build(data), build(other)
		s := weights.NewStore(weights.StoreConfig{MaxBytes: 13_000})
		s.SetRetained(m)
		fill(s, m, data)
		Expect(s.Have(n).Count()).To(Equal(5))
		s.SetRetained(m, n)
		Expect(s.Prune()).To(Succeed())
		Expect(s.Verify(m)).To(Succeed())
		fill(s, n, other) // the 4 chunks of zeros are identical
		Expect(s.Verify(m)).To(Succeed())
		Expect(s.Verify(n)).To(Succeed())
		extra := bytes.Repeat([]byte{7}, 2000)
		x := build(append(extra[:1000:1000], bytes.Repeat([]byte{8}, 1000)...))
		Expect(s.Put(x.Chunks[0], extra[:1000])).To(Succeed())
		Expect(s.Put(x.Chunks[1], bytes.Repeat([]byte{8}, 1000))).To(Succeed(), "x's first chunk is not retained and makes room")
		s.SetRetained(n)
		Expect(s.Prune()).To(Succeed())
		Expect(s.Verify(n)).To(Succeed())
		Expect(s.Bytes()).To(BeEquivalentTo(6000))
	})

	It("rejects a manifest with another digest or outside the limits (guards against a corrupt manifest)", func() {
		encoded, err := build(data).Encode()
		Expect(err).NotTo(HaveOccurred())
		digest := model.Sum(encoded)
		encoded[10] ^= 1
		_, err = weights.Decode(encoded, digest)
		Expect(err).To(MatchError(weights.ErrManifestDigest))
		_, err = weights.BuildBytes(nil, "object", model.Digest{}, 1000)
		Expect(err).To(MatchError(weights.ErrManifestInvalid))
	})
})
