// Package latency measures the time that entry and agent add to a request. The
// baseline is a direct call to the same backend server in the same run.
package latency

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/internal/measure/figure"
	measurerun "github.com/auburnbend/auburnbend/internal/measure/run"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

// maxAddedMedianMicros is the target for the time added at the median.
const maxAddedMedianMicros = 300

type options struct {
	requests, callers int
	seed              int64
}

// NewCommand returns the latency subcommand.
func NewCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:     "latency",
		Short:   "Measure the time that entry and agent add to a request",
		Example: "  auburnbend-measure latency --requests 5000 --callers 16",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			hlog.SetLevel(hlog.LevelFatal)
			return run(c.Context(), o, figure.NewPrinter(c.OutOrStdout()))
		},
	}
	c.Flags().IntVar(&o.requests, "requests", 3000, "requests in each run")
	c.Flags().IntVar(&o.callers, "callers", 16, "callers in the run that measures requests per core")
	c.Flags().Int64Var(&o.seed, "seed", 1, "seed of all random choices")
	return c
}

func run(ctx context.Context, o options, p *figure.Printer) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	d, err := deployment.Start(deployment.Options{
		Domains: []model.FailureDomain{"kigali"}, EntriesPerDomain: 1, ServicesPerDomain: 1,
		TransferWindow: time.Second, StagingDir: os.TempDir(), Seed: o.seed,
	}, eventlog.Discard())
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.ApplyConfigWithoutModel(ctx); err != nil {
		return err
	}
	client := deployment.NewClient()
	defer client.Close()
	viaEntry := func(i int) error { return sendThroughEntry(ctx, client, d, i) }
	if err := waitReady(ctx, viaEntry); err != nil {
		return err
	}
	direct := func(int) error { return sendDirect(ctx, d.Agents[0].Service.URL()+"/"+deployment.OrderService) }
	directTimes, err := measureTimes(o.requests, direct)
	if err != nil {
		return err
	}
	viaEntryTimes, err := measureTimes(o.requests, viaEntry)
	if err != nil {
		return err
	}
	perCore, err := measureRequestsPerCore(o, viaEntry)
	if err != nil {
		return err
	}
	return report(p, directTimes, viaEntryTimes, perCore)
}

// report prints the figures. Both slices of times must be sorted.
func report(p *figure.Printer, direct, viaEntry []time.Duration, requestsPerCore float64) error {
	for _, row := range []struct {
		name  string
		q     float64
		bound *figure.Bound
	}{{"added_time_median", 0.5, figure.AtMost(maxAddedMedianMicros)}, {"added_time_p99", 0.99, nil}} {
		baseline := micros(quantile(direct, row.q))
		f := figure.Figure{Name: row.name, Value: micros(quantile(viaEntry, row.q)) - baseline, Unit: "us", Bound: row.bound, Baseline: &baseline}
		if err := p.Print(f); err != nil {
			return err
		}
	}
	if err := p.Print(figure.Figure{Name: "requests_per_core", Value: requestsPerCore, Unit: "1/s"}); err != nil {
		return err
	}
	return p.Err()
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// waitReady sends requests until one succeeds. If ctx ends first, it returns the
// error of the last request.
func waitReady(ctx context.Context, send func(int) error) error {
	for i := 0; ; i++ {
		err := send(-i)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return err
		}
	}
}

// measureTimes sends n requests one after another and returns their times, sorted.
func measureTimes(n int, send func(int) error) ([]time.Duration, error) {
	times := make([]time.Duration, 0, n)
	for i := range n {
		start := time.Now()
		if err := send(i); err != nil {
			return nil, err
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	return times, nil
}

// measureRequestsPerCore returns the requests per second of CPU time of the whole
// process. Callers, entry, agent and backend server share it, so the result is a
// lower bound for an entry.
func measureRequestsPerCore(o options, send func(int) error) (float64, error) {
	var callers sync.WaitGroup
	errs := make(chan error, o.callers)
	cpuBefore := measurerun.CPUTime()
	for c := range o.callers {
		callers.Go(func() {
			for i := range o.requests / o.callers {
				if err := send(c*o.requests + i); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	callers.Wait()
	close(errs)
	if err := <-errs; err != nil {
		return 0, err
	}
	return float64(o.requests) / (measurerun.CPUTime() - cpuBefore).Seconds(), nil
}

func sendThroughEntry(ctx context.Context, client *deployment.Client, d *deployment.Deployment, i int) error {
	response := client.Send(ctx, d.Entries[0].URL, deployment.Call{
		Service: deployment.OrderService, Tenant: deployment.TenantLarge,
		RequestID: fmt.Sprintf("request-%d", i), Body: []byte("{}"),
	})
	if response.Outcome != "completed" {
		return merry.Errorf("request ended with outcome %s: %s", response.Outcome, response.Reason)
	}
	return nil
}

func sendDirect(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("{}")))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
