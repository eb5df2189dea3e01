package agent

import (
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("loadRecordFile", func() {
	record := backend.LoadRecord{
		Incarnation: 7, Accepted: engine.Fence{Epoch: 3, Sequence: 2},
		Weights: model.Weights{Base: model.Sum([]byte("base")), Adapter: model.Sum([]byte("adapter"))},
		Ordered: engine.Fence{Epoch: 3, Sequence: 4},
	}

	It("returns the last record that was written", func() {
		f := newLoadRecordFile(GinkgoT().TempDir())
		Expect(f.read()).To(BeZero())
		Expect(f.write(backend.LoadRecord{Incarnation: 1})).To(Succeed())
		Expect(f.write(record)).To(Succeed())
		Expect(f.read()).To(Equal(record))
		Expect(f.write(backend.LoadRecord{})).To(Succeed())
		Expect(f.read()).To(BeZero())
	})

	// Guards against an engine that loads its weights again because its agent was killed
	// while it replaced the record.
	It("has a record at any time while it is replaced", func() {
		f := newLoadRecordFile(GinkgoT().TempDir())
		Expect(f.write(record)).To(Succeed())
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			for range 500 {
				Expect(f.write(record)).To(Succeed())
			}
		}()
		for {
			select {
			case <-ended:
				return
			default:
				Expect(f.read()).To(Equal(record))
			}
		}
	})

	// Guards against a record that outlives the load that it is about because the next one
	// can't be written.
	It("returns no record after an error", func() {
		f := newLoadRecordFile(GinkgoT().TempDir())
		Expect(f.write(record)).To(Succeed())
		Expect(os.Mkdir(f.path+".incoming", 0o700)).To(Succeed())
		Expect(f.write(record)).NotTo(Succeed())
		Expect(f.read()).To(BeZero())
	})

	// Guards against weights that are served because of a record that is not complete.
	It("returns no record if the file is truncated", func() {
		f := newLoadRecordFile(GinkgoT().TempDir())
		Expect(f.write(record)).To(Succeed())
		info, err := os.Stat(f.path)
		Expect(err).NotTo(HaveOccurred())
		for size := range info.Size() {
			Expect(f.write(record)).To(Succeed())
			Expect(os.Truncate(f.path, size)).To(Succeed())
			Expect(f.read()).To(BeZero())
		}
	})
})
