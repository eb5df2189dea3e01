package node

import (
	"context"
	"fmt"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/pause"
	"github.com/auburnbend/auburnbend/lib/relay"
	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/platform/platformtest"
	"github.com/auburnbend/auburnbend/replica"
)

var _ = Describe("An odd row that stays in the store", func() {
	// Guards against a log that grows with each read of the table: agents read the list
	// of peers every 1.5 s of a fetch, and the operator's table every 2 s while no entry
	// announces targets.
	var (
		store   *platformtest.Store
		logs    *logBuffer
		logger  *eventlog.Logger
		invalid = func() int { return strings.Count(logs.String(), fmt.Sprintf("event=%d ", eventlog.RowInvalid.Number)) }
	)
	BeforeEach(func() {
		store = platformtest.NewStore()
		DeferCleanup(store.Close)
		logs = &logBuffer{}
		logger = eventlog.OpenPlain(logs, clock.System{})
	})

	It("is logged once by agents that read their peers, and again after a change", func() {
		source := platform.NewStore(store.Address()).Table(platform.TableServers)
		peers := &peerList{
			settings: &platform.Settings{EngineService: "engines", Regions: map[string]string{"north": "n"}}, log: logger,
			reader: relay.NewReader(platform.TableServers, source, func() []netip.AddrPort { return nil }),
		}
		put := func(key, address string) {
			store.Put(platform.TableServers, key, jsonObject{
				"service": "engines", "address": address, "zone": "north", "version": "v1", "capacity": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
			})
		}
		read := func() []string {
			list, err := peers.read()
			Expect(err).NotTo(HaveOccurred())
			var addresses []string
			for _, p := range list {
				addresses = append(addresses, p.Address)
			}
			return addresses
		}
		put("sound", "10.0.0.1:80")
		put("odd", "10.0.0.2:99999")
		for range 5 {
			Expect(read()).To(Equal([]string{"10.0.0.1:80"}))
		}
		Expect(invalid()).To(Equal(1))
		store.Put(platform.TableServers, "odd", []byte(nestedText))
		Expect(read()).To(Equal([]string{"10.0.0.1:80"}))
		Expect(invalid()).To(Equal(2))
		put("odd", "10.0.0.2:80")
		put("sound", "10.0.0.1:http")
		for range 2 {
			Expect(read()).To(Equal([]string{"10.0.0.2:80"}))
		}
		Expect(invalid()).To(Equal(3))
		put("sound", "10.0.0.1:80")
		Expect(read()).To(Equal([]string{"10.0.0.2:80", "10.0.0.1:80"}))
	})

	It("is logged once by agents that read the operator's table", func() {
		r := replica.New(replica.Config{Log: logger, Clock: clock.System{}})
		pauses := pause.NewMonitor(clock.System{}, clock.Boot{}, nil)
		t := &targetTracker{replica: r, pauses: pauses, ages: rowage.NewTracker(pauses), service: "engines", source: platform.NewStore(store.Address()).Table(platform.TableOperator), log: logger}
		store.Put(platform.TableOperator, "version/m", []byte(nestedText))
		for range 5 {
			t.readStore(context.Background())
		}
		Expect(invalid()).To(Equal(1))
		nines := strings.Repeat("9", 50_000)
		store.Put(platform.TableOperator, "config", []byte(`{"version":`+nines+`}`))
		for range 2 {
			t.readStore(context.Background())
		}
		Expect(invalid()).To(Equal(2))
		store.Put(platform.TableOperator, "config", []byte(`{"version":2,"routes":[{"priority":`+nines+`}]}`))
		t.readStore(context.Background())
		Expect(invalid()).To(Equal(2))
		Expect(logs.String()).To(ContainSubstring("config=2 "))
		Expect(len(logs.String())).To(BeNumerically("<", 2000))
	})
})

// nestedText is a row that is nested far more deeply than encoding/json accepts.
var nestedText = strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000)
