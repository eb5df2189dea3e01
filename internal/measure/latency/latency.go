// Package latency measures what entry and agent add to a request, against a
// direct call of the same backend server in the same run.
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

// maxAddedMedianMicros is the target for the added time at the median, in microseconds.
const maxAddedMedianMicros = 300

type options struct {
	requests, callers int
	seed              int64
}

// New returns the command.
func New() *cobra.Command {
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
	c.Flags().IntVar(&o.requests, "requests", 3000, "requests that are sent each way")
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
	through := func(i int) error { return sendThroughEntry(ctx, client, d, i) }
	if err := waitReady(ctx, through); err != nil {
		return err
	}
	direct := func(int) error { return sendDirect(ctx, d.Agents[0].Service.URL()+"/"+deployment.OrderService) }
	before, err := measureTimes(o.requests, direct)
	if err != nil {
		return err
	}
	after, err := measureTimes(o.requests, through)
	if err != nil {
		return err
	}
	rate, err := measureRequestsPerCore(o, through)
	if err != nil {
		return err
	}
	return report(p, before, after, rate)
}

func report(p *figure.Printer, direct, through []time.Duration, rate float64) error {
	for _, q := range []struct {
		name  string
		at    float64
		bound *figure.Bound
	}{{"added_time_median", 0.5, figure.AtMost(maxAddedMedianMicros)}, {"added_time_p99", 0.99, nil}} {
		base := micros(quantile(direct, q.at))
		f := figure.Figure{Name: q.name, Value: micros(quantile(through, q.at)) - base, Unit: "us", Bound: q.bound, Baseline: &base}
		if err := p.Print(f); err != nil {
			return err
		}
	}
	if err := p.Print(figure.Figure{Name: "requests_per_core", Value: rate, Unit: "1/s"}); err != nil {
		return err
	}
	return p.Err()
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// waitReady waits until the path works.
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

// measureTimes sends requests one after another and returns their sorted times.
func measureTimes(n int, send func(int) error) ([]time.Duration, error) {
	times := make([]time.Duration, 0, n)
	for i := range n {
		begun := time.Now()
		if err := send(i); err != nil {
			return nil, err
		}
		times = append(times, time.Since(begun))
	}
	slices.Sort(times)
	return times, nil
}

// measureRequestsPerCore returns the requests per second and core of the whole process: callers,
// entry, agent and backend server together, so it is a lower bound for an entry.
func measureRequestsPerCore(o options, send func(int) error) (float64, error) {
	var callers sync.WaitGroup
	errs := make(chan error, o.callers)
	cpu := measurerun.CPUTime()
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
	return float64(o.requests) / (measurerun.CPUTime() - cpu).Seconds(), nil
}

func sendThroughEntry(ctx context.Context, client *deployment.Client, d *deployment.Deployment, i int) error {
	a := client.Send(ctx, d.Entries[0].URL, deployment.Call{
		Service: deployment.OrderService, Tenant: deployment.TenantLarge,
		RequestID: fmt.Sprintf("request-%d", i), Body: []byte("{}"),
	})
	if a.Outcome != "completed" {
		return merry.Errorf("request was %s: %s", a.Outcome, a.Reason)
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
