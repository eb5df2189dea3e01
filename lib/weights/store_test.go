package weights_test

import (
	"bytes"
	"context"
	"math/rand"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

var _ = Describe("Store", func() {
	ctx := context.Background()
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

	// Guards against a check after a load that misses what the engine has read.
	DescribeTable("detects each change of the staged files since they were verified", func(change func(file string), want error) {
		dir := GinkgoT().TempDir()
		storage, err := weights.NewDirectoryStorage(dir)
		Expect(err).NotTo(HaveOccurred())
		m, s := build(data), weights.NewStore(weights.StoreConfig{Storage: storage})
		fill(s, m, data)
		seal, err := s.Seal(ctx, m)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.CheckSeal(ctx, m, seal)).To(Succeed())
		Expect(s.CheckSeal(ctx, m, weights.Seal{})).To(MatchError(weights.ErrChunkChanged))
		time.Sleep(20 * time.Millisecond) // the times of files advance in steps
		change(filepath.Join(dir, weights.ChunkFile(m.Chunks[5].Digest)))
		Expect(s.CheckSeal(ctx, m, seal)).To(MatchError(want))
		fill(s, m, data)
		_, err = s.Seal(ctx, m)
		Expect(err).NotTo(HaveOccurred(), "the version can be used again")
	},
		Entry("corrupt", func(file string) { Expect(os.WriteFile(file, bytes.Repeat([]byte{1}, 1000), 0o600)).To(Succeed()) }, weights.ErrChunkCorrupt),
		Entry("truncated", func(file string) { Expect(os.Truncate(file, 999)).To(Succeed()) }, weights.ErrChunkCorrupt),
		Entry("deleted", func(file string) { Expect(os.Remove(file)).To(Succeed()) }, weights.ErrIncomplete),
		Entry("replaced by another chunk", func(file string) {
			Expect(os.WriteFile(file+".new", data[:1000], 0o600)).To(Succeed())
			Expect(os.Rename(file+".new", file)).To(Succeed())
		}, weights.ErrChunkCorrupt),
		Entry("corrupt and restored, with its time of modification", func(file string) {
			info, err := os.Stat(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(file, []byte("corrupt"), 0o600)).To(Succeed())
			Expect(os.WriteFile(file, data[5000:6000], 0o600)).To(Succeed())
			Expect(os.Chtimes(file, info.ModTime(), info.ModTime())).To(Succeed())
		}, weights.ErrChunkChanged),
		Entry("replaced and restored", func(file string) {
			Expect(os.Rename(file, file+".old")).To(Succeed())
			Expect(os.WriteFile(file, []byte("corrupt"), 0o600)).To(Succeed())
			Expect(os.Rename(file+".old", file)).To(Succeed())
		}, weights.ErrChunkChanged),
	)

	// Guards against a staging directory that fills up beyond its limit with files that
	// no process counts: chunks of earlier processes and files that they did not finish.
	It("starts with an empty staging directory after a process that stopped while writing", func() {
		dir := GinkgoT().TempDir()
		storage, err := weights.NewDirectoryStorage(dir)
		Expect(err).NotTo(HaveOccurred())
		m := build(data)
		fill(weights.NewStore(weights.StoreConfig{Storage: storage}), m, data)
		partial := filepath.Join(dir, "incoming-123")
		other := filepath.Join(dir, "loaded.json")
		Expect(os.WriteFile(partial, data[:100], 0o600)).To(Succeed())
		Expect(os.WriteFile(other, []byte("{}"), 0o600)).To(Succeed())

		storage, err = weights.NewDirectoryStorage(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(filepath.Glob(filepath.Join(dir, "*"))).To(Equal([]string{other}))
		s := weights.NewStore(weights.StoreConfig{Storage: storage})
		Expect(s.Have(m).Count()).To(BeZero())
		fill(s, m, data)
		Expect(s.Verify(m)).To(Succeed())
	})

	// Guards against a chunk that counts as held although its file could not be written.
	It("holds no chunk that could not be written, and takes it once there is room", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "staging")
		storage, err := weights.NewDirectoryStorage(dir)
		Expect(err).NotTo(HaveOccurred())
		m, s := build(data), weights.NewStore(weights.StoreConfig{Storage: storage})
		Expect(os.Remove(dir)).To(Succeed()) // each write fails, as on a full disk
		Expect(s.Put(m.Chunks[0], data[:1000])).NotTo(Succeed())
		Expect(s.Have(m).Count()).To(BeZero())
		Expect(s.Bytes()).To(BeZero())
		Expect(os.Mkdir(dir, 0o700)).To(Succeed())
		fill(s, m, data)
		Expect(s.Verify(m)).To(Succeed())
	})

	// Guards against a process that cannot stop while it verifies a large version, and
	// against a verification that counts although it did not read everything.
	It("ends a verification with its context and drops nothing", func() {
		m, s := build(data), weights.NewStore(weights.StoreConfig{})
		fill(s, m, data)
		seal, err := s.Seal(ctx, m)
		Expect(err).NotTo(HaveOccurred())
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = s.Seal(canceled, m)
		Expect(err).To(MatchError(context.Canceled))
		Expect(s.CheckSeal(canceled, m, seal)).To(MatchError(context.Canceled))
		Expect(s.CheckSeal(ctx, m, seal)).To(Succeed())
	})

	// Guards against a staging directory with many corrupt files, each of which would
	// cost a verification of the whole version.
	It("drops all corrupt chunks at once", func() {
		dir := GinkgoT().TempDir()
		storage, err := weights.NewDirectoryStorage(dir)
		Expect(err).NotTo(HaveOccurred())
		m, s := build(data), weights.NewStore(weights.StoreConfig{Storage: storage})
		fill(s, m, data)
		for _, c := range m.Chunks[:4] {
			Expect(os.Truncate(filepath.Join(dir, weights.ChunkFile(c.Digest)), 10)).To(Succeed())
		}
		Expect(s.Verify(m)).To(MatchError(weights.ErrChunkCorrupt))
		Expect(s.Have(m).Count()).To(Equal(len(m.Chunks) - 4))
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
