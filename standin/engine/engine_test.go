package engine_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/engine"
)

func weightsOf(name string) model.Weights { return model.Weights{Base: model.Sum([]byte(name))} }

// stageFiles writes the files of a version and returns the order to load it and its
// content digest.
func stageFiles(name string, sequence uint64, files int) (api.Order, model.Digest) {
	dir := GinkgoT().TempDir()
	digests := make([]model.Digest, files)
	for i := range files {
		data := fmt.Appendf(nil, "%s %d", name, i)
		digests[i] = model.Sum(data)
		Expect(os.WriteFile(filepath.Join(dir, fmt.Sprintf("%03d", i)), data, 0o600)).To(Succeed())
	}
	o := api.Order{Kind: api.OrderLoad, Weights: weightsOf(name), Base: api.StagedFiles{Directory: dir}, Fence: api.Fence{Epoch: 1, Sequence: sequence}}
	return o, engine.ContentDigest(digests...)
}

func start(cfg engine.Config) (*engine.Server, *api.Client) {
	s, err := engine.Start(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	c, err := api.NewClient(api.Config{Address: s.URL()})
	Expect(err).NotTo(HaveOccurred())
	return s, c
}

// readAll sends a request and returns its response.
func readAll(c *api.Client, req api.Request) (string, error) {
	s, err := c.Generate(context.Background(), req)
	if err != nil {
		return "", err
	}
	defer s.Close()
	var b bytes.Buffer
	for {
		f, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.Write(f.Data)
	}
}

var _ = Describe("Server", func() {
	ctx := context.Background()

	// All system tests depend on this: partial or mixed weights must be visible in
	// the responses.
	It("shows partial weights in its responses", func() {
		_, c := start(engine.Config{TimeScale: 0.01})
		o, whole := stageFiles("v1", 1, 4)
		Expect(os.Remove(filepath.Join(o.Base.Directory, "002"))).To(Succeed())
		r, err := c.Order(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Failure).To(BeEmpty())
		got, err := readAll(c, api.Request{ID: "r", Stream: "r", Weights: o.Weights, Body: []byte("x")})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).NotTo(Equal(string(engine.ExpectedResponse(whole, []byte("x")))))
		content, err := engine.ResponseContent([]byte(got))
		Expect(err).NotTo(HaveOccurred())
		Expect(content).NotTo(Equal(whole))
	})

	It("mixes weights when two loads overlap, unless it enforces fencing", func() {
		s, c := start(engine.Config{TimeScale: 0.02, LoadTime: 20 * time.Second, IgnoreFencing: true})
		first, firstDigest := stageFiles("v1", 1, 10)
		second, secondDigest := stageFiles("v2", 2, 4)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = c.Order(ctx, first)
		}()
		Eventually(func() bool { return s.State().Busy }).Should(BeTrue())
		_, err := c.Order(ctx, second)
		Expect(err).NotTo(HaveOccurred())
		<-done
		maxConcurrent, _ := s.OrderStats()
		Expect(maxConcurrent).To(Equal(2))
		Expect(s.LoadedDigest()).NotTo(BeElementOf(firstDigest, secondDigest))

		s, c = start(engine.Config{TimeScale: 0.02, LoadTime: 20 * time.Second})
		done = make(chan struct{})
		go func() {
			defer close(done)
			_, _ = c.Order(ctx, first)
		}()
		Eventually(func() bool { return s.State().Busy }).Should(BeTrue())
		_, err = c.Order(ctx, second)
		Expect(api.NotStarted(err)).To(BeTrue())
		<-done
		Expect(s.LoadedDigest()).To(Equal(firstDigest))
	})

	It("mixes weights in a response that is generated during a load", func() {
		_, c := start(engine.Config{TimeScale: 0.01, IgnoreWeights: true})
		first, _ := stageFiles("v1", 1, 4)
		_, err := c.Order(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		body := []byte(`{"max_tokens":300}`)
		got := make(chan string, 1)
		go func() {
			text, _ := readAll(c, api.Request{ID: "r", Stream: "r", Weights: first.Weights, Body: body})
			got <- text
		}()
		Eventually(func() int {
			r, _ := c.Load(ctx)
			return r.Running
		}).Should(Equal(1))
		second, _ := stageFiles("v2", 2, 4)
		_, err = c.Order(ctx, second)
		Expect(err).NotTo(HaveOccurred())
		text := <-got
		content, err := engine.ResponseContent([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).NotTo(Equal(string(engine.ExpectedResponse(content, body))))
	})

	It("starts waiting requests by priority", func() {
		_, c := start(engine.Config{TimeScale: 0.01, Capacity: 1})
		order := make(chan string, 4)
		busy, err := c.Generate(ctx, api.Request{ID: "busy", Stream: "busy", Body: []byte(`{"max_tokens":500}`)})
		Expect(err).NotTo(HaveOccurred())
		_, err = busy.Next()
		Expect(err).NotTo(HaveOccurred())
		for _, p := range []int{1, 3, 2} {
			name := fmt.Sprint("p", p)
			stream, err := c.Generate(ctx, api.Request{ID: model.RequestID(name), Stream: name, Priority: p, Body: []byte(name)})
			Expect(err).NotTo(HaveOccurred())
			go func() {
				_, _ = stream.Next()
				order <- name
				for err := error(nil); err == nil; {
					_, err = stream.Next()
				}
			}()
		}
		Expect(c.Cancel(ctx, "busy")).To(Succeed())
		Expect([]string{<-order, <-order, <-order}).To(Equal([]string{"p3", "p2", "p1"}))
	})

	It("rejects a request that it cannot start before its deadline", func() {
		_, c := start(engine.Config{TimeScale: 0.01, Capacity: 1})
		busy, err := c.Generate(ctx, api.Request{ID: "busy", Stream: "busy", Body: []byte(`{"max_tokens":100000}`)})
		Expect(err).NotTo(HaveOccurred())
		_, err = busy.Next()
		Expect(err).NotTo(HaveOccurred())
		_, err = readAll(c, api.Request{ID: "late", Stream: "late", RemainingMillis: 20, Body: []byte("x")})
		Expect(api.NotStarted(err)).To(BeTrue())
	})

	It("restarts after a crash without weights and with a new incarnation", func() {
		s, c := start(engine.Config{TimeScale: 0.01})
		o, _ := stageFiles("v1", 1, 2)
		_, err := c.Order(ctx, o)
		Expect(err).NotTo(HaveOccurred())
		before := s.State()
		_, err = readAll(c, api.Request{ID: "r", Stream: "r", Weights: o.Weights, Body: []byte("please " + engine.DefaultCrashMarker)})
		Expect(api.NotStarted(err)).To(BeFalse())
		Eventually(func() error { _, err := c.State(ctx); return err }, 5*time.Second).Should(Succeed())
		after, err := c.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Incarnation).NotTo(Equal(before.Incarnation))
		Expect(after.Weights.IsZero()).To(BeTrue())
		Expect(s.RunCount("r")).To(Equal(1))
	})

	It("takes longer per token the more requests are running", func() {
		s, c := start(engine.Config{TimeScale: 0.05, TokenTime: 20 * time.Millisecond, TimePerExtraRequest: 20 * time.Millisecond, LoadLag: time.Millisecond})
		between := func(running int) func() float64 {
			return func() float64 {
				r, err := c.Load(ctx)
				if err != nil || r.Running != running {
					return 0
				}
				return r.BetweenTokensMillis
			}
		}
		for i := range 8 {
			id := fmt.Sprint("r", i)
			_, err := c.Generate(ctx, api.Request{ID: model.RequestID(id), Stream: id, Body: []byte(`{"max_tokens":100000}`)})
			Expect(err).NotTo(HaveOccurred())
			want := float64(i+1) * 1.0 // 20 ms scaled, for each running request
			Eventually(between(i + 1)).Should(BeNumerically("~", want, 0.01))
		}
		Expect(s.RunCount("r7")).To(Equal(1))
	})
})
