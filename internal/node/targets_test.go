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
	"github.com/auburnbend/auburnbend/lib/pause"
	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/peerlink"
	"github.com/auburnbend/auburnbend/replica"
)

// operatorTable is a watch.Source of an operator's table that declares version 3 of
// model m.
type operatorTable struct {
	// snapshots and changesCalls count the calls of Snapshot and Changes.
	snapshots, changesCalls atomic.Int64
}

func (o *operatorTable) Snapshot(context.Context) (watch.Rows, error) {
	o.snapshots.Add(1)
	row := func(key string, value any) watch.Row {
		data, err := json.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		return watch.Row{Key: key, Data: data, Revision: 9}
	}
	return watch.Rows{Revision: 9, Rows: []watch.Row{
		row("config", jsonObject{"version": 4, "services": []jsonObject{
			{"name": "models", "engine_params": jsonObject{"chunk_bytes": 1000, "model_list": []jsonObject{{"name": "m"}}}},
			{"name": "origin", "origin": "127.0.0.1:99", "bandwidth_mbps": 8},
		}}),
		row("version/m", jsonObject{"model_id": "m", "version": 3}),
		row("version/other", jsonObject{"model_id": "other", "version": 8}),
	}}, nil
}

func (o *operatorTable) Changes(context.Context, watch.Position, time.Duration) (watch.Rows, error) {
	o.changesCalls.Add(1)
	return watch.Rows{}, errors.New("unexpected call of Changes: agents only read the whole table")
}

var _ = Describe("targetTracker", func() {
	var (
		table   *operatorTable
		targets *targetTracker
	)

	BeforeEach(func() {
		table = &operatorTable{}
		targets = &targetTracker{service: "models", source: table, log: eventlog.Discard()}
		targets.pauses = pause.NewMonitor(clock.System{}, clock.Boot{}, nil)
		targets.ages = rowage.NewTracker(targets.pauses)
		targets.replica = replica.New(replica.Config{Clock: clock.System{}, Log: eventlog.Discard()})
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go targets.run(ctx)
	})

	AfterEach(func() { Expect(table.changesCalls.Load()).To(BeZero()) })

	version := func() int {
		targets.mu.Lock()
		defer targets.mu.Unlock()
		return targets.version
	}

	It("does not read the store while entries send announcements", func() {
		// Guards against agents that each read a configuration of half a megabyte over
		// the shared link of their region. That delayed entries' reads by seconds.
		Consistently(func() int64 {
			targets.handleAnnouncement(&peerlink.Target{ConfigVersion: 2, Model: "m", Version: 2, Origin: "127.0.0.1:98", OriginPieceMicros: 500, Layers: 16, Pieces: 96})
			return table.snapshots.Load()
		}, 2*firstAnnouncementTimeout, 100*time.Millisecond).Should(BeZero())
		Expect(version()).To(Equal(2))
		Expect(targets.originPieceTime()).To(Equal(500 * time.Microsecond))
		Expect(targets.modelLayers()).To(Equal(16))
		Expect(targets.modelPieces()).To(Equal(96))
		Expect(targets.currentOrigin()).NotTo(BeNil())
	})

	It("reads the store while no announcements arrive", func() {
		// Guards against an engine that stays on an old version without announcements.
		Eventually(version).WithTimeout(3 * time.Second).Should(Equal(3))
		Expect(targets.originPieceTime()).To(Equal(time.Millisecond))
	})

	It("ignores an older configuration or version", func() {
		// Guards against announcements of entries that have missed a change.
		targets.handleAnnouncement(&peerlink.Target{ConfigVersion: 5, Model: "m", Version: 4, Origin: "127.0.0.1:98", Layers: 16, Pieces: 96})
		targets.handleAnnouncement(&peerlink.Target{ConfigVersion: 4, Model: "m", Version: 3, Origin: "127.0.0.1:97"})
		Expect(version()).To(Equal(4))
		Expect(targets.origin.Address()).To(Equal("127.0.0.1:98"))
		targets.handleAnnouncement(&peerlink.Target{ConfigVersion: 6, Model: "m", Version: 4, Origin: "127.0.0.1:98"})
		Expect(targets.modelLayers()).To(Equal(16), "an entry that doesn't know the layers must not hide them")
		Expect(targets.modelPieces()).To(Equal(96))
	})
})
