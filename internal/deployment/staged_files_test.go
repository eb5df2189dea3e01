package deployment_test

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/model"
)

// spoilFile changes a random staged file of an agent. It ignores errors: the file may be
// gone already.
func spoilFile(rng *rand.Rand, a *deployment.AgentProcess) {
	files, _ := filepath.Glob(filepath.Join(a.StagingDir(), "*.chunk"))
	if len(files) == 0 {
		return
	}
	file := files[rng.Intn(len(files))]
	switch rng.Intn(5) {
	case 0: // corrupt in place
		data, _ := os.ReadFile(file)
		if len(data) > 0 {
			data[rng.Intn(len(data))] ^= 1
			_ = os.WriteFile(file, data, 0o600)
		}
	case 1:
		_ = os.Truncate(file, 1000)
	case 2:
		_ = os.Remove(file)
	case 3: // replaced by another chunk
		data, _ := os.ReadFile(files[rng.Intn(len(files))])
		_ = os.WriteFile(file, data, 0o600)
	case 4: // corrupt for a moment
		data, err := os.ReadFile(file)
		if err != nil || len(data) == 0 {
			return
		}
		data[0] ^= 1
		_ = os.WriteFile(file, data, 0o600)
		time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
		data[0] ^= 1
		_ = os.WriteFile(file, data, 0o600)
	}
}

var _ = Describe("Staged files", func() {
	// Guards against weights that are served because their files were intact at some
	// moment before the engine read them.
	It("that are spoilt at any moment never lead to an answer from other bytes than those of a version", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		DeferCleanup(cancel)
		d, v := startLive(ctx, deployment.Options{
			Domains: []model.FailureDomain{"kigali", "huye"}, EntriesPerDomain: 1, AgentsPerDomain: 3,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second,
			EngineTimeScale: 0.1, EngineRestartDelay: 200 * time.Millisecond,
			Seed: 3,
		})
		versions := []deployment.Version{v}

		// call sends drafts until ctx ends. Published versions are compared afterwards.
		type exchange struct{ body, answer []byte }
		var (
			mu        sync.Mutex
			completed []exchange
			callers   sync.WaitGroup
		)
		calling, stopCalling := context.WithCancel(ctx)
		defer callers.Wait()
		defer stopCalling()
		for i := range 4 {
			callers.Go(func() {
				client, rng := deployment.NewClient(), rand.New(rand.NewSource(int64(i)))
				defer client.Close()
				for n := 0; calling.Err() == nil; n++ {
					body := deployment.DraftBody(rng, 4)
					a := client.Send(calling, d.Entries[i%len(d.Entries)].URL, deployment.Call{
						Service: deployment.DraftService, Tenant: deployment.TenantSmall,
						RequestID: fmt.Sprintf("draft-%d-%d", i, n), Body: body, Stream: true,
					})
					if a.Outcome == "completed" {
						mu.Lock()
						completed = append(completed, exchange{body, a.Body})
						mu.Unlock()
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}

		for _, name := range []string{"v2", "v3"} {
			v, err := d.PublishAndPlace(ctx, name)
			Expect(err).NotTo(HaveOccurred())
			versions = append(versions, v)
			spoiling, stop := context.WithTimeout(ctx, 4*time.Second)
			var spoilers sync.WaitGroup
			for i, a := range d.ModelAgents() {
				spoilers.Go(func() {
					rng := rand.New(rand.NewSource(int64(i)))
					for spoiling.Err() == nil {
						time.Sleep(time.Duration(rng.Intn(400)) * time.Millisecond)
						spoilFile(rng, a)
					}
				})
			}
			spoilers.Wait()
			stop()
			Expect(d.WaitLive(ctx, v, 50*time.Millisecond, nil)).To(Succeed())
		}
		stopCalling()
		callers.Wait()

		Expect(len(completed)).To(BeNumerically(">", 50))
		for _, e := range completed {
			_, complete := d.VersionOfAnswer(e.answer, e.body)
			Expect(complete).To(BeTrue(), "answer %.80s", e.answer)
		}
		Expect(d.WrongContentRuns()).To(BeZero())
		for _, a := range d.ModelAgents() {
			Expect(a.Engine.LoadedDigest()).To(Equal(versions[len(versions)-1].ContentDigest))
		}
	})
})
