package engine_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	standin "github.com/auburnbend/auburnbend/standin/engine"
)

// stageFiles writes the files of a version and returns their location and the
// content digest that responses must carry.
func stageFiles(name string, files int) (engine.StagedFiles, model.Digest) {
	dir := GinkgoT().TempDir()
	digests := make([]model.Digest, files)
	for i := range files {
		data := fmt.Appendf(nil, "%s part %d", name, i)
		digests[i] = model.Sum(data)
		Expect(os.WriteFile(filepath.Join(dir, fmt.Sprintf("%04d", i)), data, 0o600)).To(Succeed())
	}
	return engine.StagedFiles{Directory: dir}, standin.ContentDigest(digests...)
}

func weightsOf(name string) model.Weights { return model.Weights{Base: model.Sum([]byte(name))} }

// startLoaded starts an engine and loads a version into it.
func startLoaded(cfg standin.Config, name string) (*standin.Server, *engine.Client, *engine.Guard, model.Digest) {
	if cfg.TimeScale == 0 {
		cfg.TimeScale = 0.01
	}
	server, err := standin.Start(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	client, err := engine.NewClient(engine.Config{Address: server.URL(), StallTimeout: 5 * time.Second})
	Expect(err).NotTo(HaveOccurred())
	guard := engine.NewGuard(engine.GuardConfig{PollInterval: time.Millisecond, SettleTime: 20 * time.Millisecond})
	staged, content := stageFiles(name, 4)
	result := runOrder(client, guard, engine.Order{Kind: engine.OrderLoad, Weights: weightsOf(name), Base: staged})
	Expect(result.Err).NotTo(HaveOccurred())
	return server, client, guard, content
}

func runOrder(client *engine.Client, guard *engine.Guard, o engine.Order) engine.Result {
	result, err := engine.RunOrder(context.Background(), clock.System{}, client, guard, o)
	Expect(err).NotTo(HaveOccurred())
	return result
}

func request(name, id, body string) engine.Request {
	return engine.Request{ID: model.RequestID(id), Stream: id, Weights: weightsOf(name), Prefix: engine.HashPrefix([]byte(body)), Body: []byte(body)}
}

// readFrames reads up to limit frames and returns their data.
func readFrames(s *engine.Stream, limit int) ([]byte, error) {
	var b bytes.Buffer
	for range limit {
		f, err := s.Next()
		if err != nil {
			return b.Bytes(), err
		}
		b.Write(f.Data)
	}
	return b.Bytes(), nil
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	It("receives a complete response from the loaded weights", func() {
		server, client, _, content := startLoaded(standin.Config{}, "v1")
		s, err := client.Generate(ctx, request("v1", "r1", "draft a report"))
		Expect(err).NotTo(HaveOccurred())
		response, err := readFrames(s, 1000)
		Expect(err).To(MatchError(io.EOF))
		Expect(response).To(Equal(standin.ExpectedResponse(content, []byte("draft a report"))))
		Expect(server.RunCount("r1")).To(Equal(1))
	})

	It("distinguishes a refused connection and a rejection from a lost response", func() {
		server, client, _, _ := startLoaded(standin.Config{}, "v1")
		_, err := client.Generate(ctx, request("v2", "r1", "x"))
		Expect(engine.NotStarted(err)).To(BeTrue())
		Expect(errors.Is(err, engine.ErrWeightsMismatch)).To(BeTrue())

		s, err := client.Generate(ctx, request("v1", "r2", standin.DefaultCrashMarker))
		if err == nil {
			_, err = readFrames(s, 1000)
		}
		Expect(engine.NotStarted(err)).To(BeFalse())
		Expect(errors.Is(err, engine.ErrMayHaveRun)).To(BeTrue())
		Expect(server.RunCount("r2")).To(Equal(1))

		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(ln.Close()).To(Succeed())
		client, err = engine.NewClient(engine.Config{Address: "http://" + ln.Addr().String()})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Generate(ctx, request("v1", "r3", "x"))
		Expect(engine.NotStarted(err)).To(BeTrue())
	})

	// Guards against a truncated response being reported as complete.
	It("reports a stalled stream as incomplete", func() {
		server, _, _, _ := startLoaded(standin.Config{}, "v1")
		client, err := engine.NewClient(engine.Config{Address: server.URL(), StallTimeout: 50 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		s, err := client.Generate(ctx, request("v1", "r1", `{"max_tokens":5000}`))
		Expect(err).NotTo(HaveOccurred())
		_, err = readFrames(s, 3)
		Expect(err).NotTo(HaveOccurred())
		server.SetStalled(true)
		_, err = readFrames(s, 5000)
		Expect(errors.Is(err, engine.ErrIncomplete)).To(BeTrue())
		Expect(engine.NotStarted(err)).To(BeFalse())
	})

	It("resumes a stream at its offset, but not under other weights", func() {
		_, client, guard, content := startLoaded(standin.Config{}, "v1")
		body := `{"max_tokens":40}`
		s, err := client.Generate(ctx, request("v1", "r1", body))
		Expect(err).NotTo(HaveOccurred())
		head, err := readFrames(s, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Resume(ctx, s)).To(Succeed())
		tail, err := readFrames(s, 1000)
		Expect(err).To(MatchError(io.EOF))
		Expect(string(head) + string(tail)).To(Equal(string(standin.ExpectedResponse(content, []byte(body)))))

		s, err = client.Generate(ctx, request("v1", "r2", body))
		Expect(err).NotTo(HaveOccurred())
		staged, _ := stageFiles("v2", 4)
		Expect(runOrder(client, guard, engine.Order{Kind: engine.OrderLoad, Weights: weightsOf("v2"), Base: staged}).Err).NotTo(HaveOccurred())
		err = client.Resume(ctx, s)
		Expect(errors.Is(err, engine.ErrWeightsMismatch)).To(BeTrue())
		Expect(engine.NotStarted(err)).To(BeFalse())
	})

	// Guards against an engine that ignores the weights named in a request: its
	// response must not be accepted as one from the requested weights.
	It("rejects a response from other weights if the engine does not check them", func() {
		_, client, _, _ := startLoaded(standin.Config{IgnoreWeights: true}, "v1")
		_, err := client.Generate(ctx, request("v2", "r1", "x"))
		Expect(errors.Is(err, engine.ErrWeightsMismatch)).To(BeTrue())
		Expect(engine.NotStarted(err)).To(BeFalse())
	})

	It("cancels a stream", func() {
		_, client, _, _ := startLoaded(standin.Config{}, "v1")
		s, err := client.Generate(ctx, request("v1", "r1", `{"max_tokens":100000}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Cancel(ctx, "r1")).To(Succeed())
		_, err = readFrames(s, 100000)
		Expect(err).To(MatchError(ContainSubstring("canceled")))
		Expect(client.Cancel(ctx, "unknown")).To(Succeed())
	})

	It("stops waiting when its context ends", func() {
		server, client, _, _ := startLoaded(standin.Config{}, "v1")
		server.SetStalled(true)
		short, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
		defer cancel()
		_, err := client.Generate(short, request("v1", "r1", "x"))
		Expect(errors.Is(err, engine.ErrMayHaveRun)).To(BeTrue())
	})

	It("moves a KV cache only to an engine with the same weights", func() {
		_, from, fromGuard, content := startLoaded(standin.Config{}, "v1")
		_, same, sameGuard, _ := startLoaded(standin.Config{}, "v1")
		_, other, otherGuard, _ := startLoaded(standin.Config{IgnoreWeights: true}, "v2")
		body := `{"max_tokens":400}`
		s, err := from.Generate(ctx, request("v1", "r1", body))
		Expect(err).NotTo(HaveOccurred())
		head, err := readFrames(s, 5)
		Expect(err).NotTo(HaveOccurred())
		out := runOrder(from, fromGuard, engine.Order{Kind: engine.OrderExportKV, Weights: weightsOf("v1"), Stream: "r1"})
		Expect(out.Err).NotTo(HaveOccurred())
		in := engine.Order{Kind: engine.OrderImportKV, Weights: weightsOf("v1"), KV: out.Reply.KV}
		Expect(errors.Is(runOrder(other, otherGuard, in).Err, engine.ErrWeightsMismatch)).To(BeTrue())
		Expect(runOrder(same, sameGuard, in).Err).NotTo(HaveOccurred())
		Expect(from.Cancel(ctx, "r1")).To(Succeed())
		Expect(same.Resume(ctx, s)).To(Succeed())
		tail, err := readFrames(s, 1000)
		Expect(err).To(MatchError(io.EOF))
		Expect(string(head) + string(tail)).To(Equal(string(standin.ExpectedResponse(content, []byte(body)))))
	})

	It("follows cache events and resynchronises after a gap", func() {
		_, client, _, _ := startLoaded(standin.Config{CacheEventLoss: 0.5, Seed: 3, CacheCapacity: 4}, "v1")
		var cursor engine.CacheCursor
		snapshot, err := client.Cache(ctx)
		Expect(err).NotTo(HaveOccurred())
		cursor.Reset(snapshot)
		resyncs := 0
		for i := range 12 {
			s, err := client.Generate(ctx, request("v1", fmt.Sprint("r", i), fmt.Sprint("prompt ", i)))
			Expect(err).NotTo(HaveOccurred())
			_, err = readFrames(s, 1000)
			Expect(err).To(MatchError(io.EOF))
			batch, err := client.CacheEvents(ctx, cursor.After())
			Expect(err).NotTo(HaveOccurred())
			if _, resync := cursor.Accept(batch); resync {
				resyncs++
				snapshot, err = client.Cache(ctx)
				Expect(err).NotTo(HaveOccurred())
				cursor.Reset(snapshot)
			}
		}
		Expect(resyncs).To(BeNumerically(">", 0))
		Expect(len(snapshot.Prefixes)).To(BeNumerically("<=", 4))
	})

	It("reads a load report with its age", func() {
		_, client, _, _ := startLoaded(standin.Config{Capacity: 2}, "v1")
		Eventually(func() bool {
			r, err := client.Load(ctx)
			return err == nil && r.Capacity == 2 && r.Age() >= 5*time.Millisecond
		}).Should(BeTrue())
	})
})
