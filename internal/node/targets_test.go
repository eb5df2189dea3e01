package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/peerlink"
	"github.com/auburnbend/auburnbend/replica"
)

// operatorTable is the operator's table with one version of model m.
type operatorTable struct {
	// reads counts full reads, followed calls that wait for changes.
	reads, followed atomic.Int64
}

func (o *operatorTable) Snapshot(context.Context) (watch.Rows, error) {
	o.reads.Add(1)
	row := func(key string, value any) watch.Row {
		data, err := json.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		return watch.Row{Key: key, Data: data, Revision: 9}
	}
	return watch.Rows{Revision: 9, Rows: []watch.Row{
		row("config", body{"version": 4, "services": []body{
			{"name": "models", "engine_params": body{"chunk_bytes": 1000, "model_list": []body{{"name": "m"}}}},
			{"name": "origin", "origin": "127.0.0.1:99", "bandwidth_mbps": 8},
		}}),
		row("version/m", body{"model_id": "m", "version": 3}),
		row("version/other", body{"model_id": "other", "version": 8}),
	}}, nil
}

func (o *operatorTable) Changes(context.Context, int64, time.Duration) (watch.Rows, error) {
	o.followed.Add(1)
	return watch.Rows{}, errors.New("agents read this table in full only")
}

var _ = Describe("What an agent's engine must serve", func() {
	var (
		table   *operatorTable
		targets *replicaTargets
	)

	BeforeEach(func() {
		table = &operatorTable{}
		targets = &replicaTargets{service: "models", source: table, log: eventlog.Discard()}
		targets.replica = replica.New(replica.Config{Clock: clock.System{}, Log: eventlog.Discard()})
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go targets.run(ctx)
	})

	AfterEach(func() { Expect(table.followed.Load()).To(BeZero()) })

	version := func() int {
		targets.mu.Lock()
		defer targets.mu.Unlock()
		return targets.version
	}

	It("comes from entries, without a read of the store", func() {
		// Guards against agents that read a configuration of half a megabyte each over
		// a link that their region shares: entries then missed it for seconds.
		Consistently(func() int64 {
			targets.announced(&peerlink.Target{ConfigVersion: 2, Model: "m", Version: 2, Origin: "127.0.0.1:98", OriginPieceMicros: 500})
			return table.reads.Load()
		}, 2*firstEntryTimeout, 100*time.Millisecond).Should(BeZero())
		Expect(version()).To(Equal(2))
		Expect(targets.originTime()).To(Equal(500 * time.Microsecond))
		Expect(targets.currentOrigin()).NotTo(BeNil())
	})

	It("comes from the store while no entry sends anything", func() {
		// Guards against an engine that stays behind because no entry announces anything.
		Eventually(version).WithTimeout(3 * time.Second).Should(Equal(3))
		Expect(targets.originTime()).To(Equal(time.Millisecond))
	})

	It("does not fall back to an older configuration or version", func() {
		// Guards against entries that missed a change.
		targets.announced(&peerlink.Target{ConfigVersion: 5, Model: "m", Version: 4, Origin: "127.0.0.1:98"})
		targets.announced(&peerlink.Target{ConfigVersion: 4, Model: "m", Version: 3, Origin: "127.0.0.1:97"})
		Expect(version()).To(Equal(4))
		Expect(targets.origin.Address()).To(Equal("127.0.0.1:98"))
	})
})
