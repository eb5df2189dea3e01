package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/watch"
)

// serverList is a directory of servers, one for each row of a table.
type serverList struct {
	mu        sync.Mutex
	directory *directory.Directory
}

func (l *serverList) Replace(rows watch.Rows, recovered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var servers []*directory.Server
	for _, row := range rows.Rows {
		if !row.Deleted {
			servers = append(servers, serverOf(row))
		}
	}
	l.directory.Replace(servers, recovered, time.Now())
}

func (l *serverList) Apply(rows watch.Rows, recovered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []directory.Change
	for _, row := range rows.Rows {
		change := directory.Change{ID: row.Key}
		if !row.Deleted {
			change.Server = serverOf(row)
		}
		changes = append(changes, change)
	}
	l.directory.Apply(changes, recovered, time.Now())
}

func (l *serverList) Lost(error) {}

// markDraining records that a server has said that it drains.
func (l *serverList) markDraining(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.directory.MarkDraining(directory.Key{ID: id}, directory.SourceResponse, time.Now())
}

func serverOf(row watch.Row) *directory.Server {
	return &directory.Server{ID: row.Key, Service: "orders", Domain: "north", Revision: row.Revision}
}

// lists reports whether a server is listed now.
func (l *serverList) lists(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.directory.Expire(time.Now())
	return l.directory.Get(directory.Key{ID: id}) != nil
}

var _ = Describe("An instance that follows another one and returns from a cut", func() {
	const (
		propagation = 400 * time.Millisecond
		cutTime     = 600 * time.Millisecond
		// bound is how long after the deletion of a row, or the return of the instance, the
		// server may be listed. It is less than directory.ExpiryGrace.
		bound = 1500 * time.Millisecond
	)
	config := Config{MaxPropagation: propagation, LongPollTimeout: 2 * time.Second}

	// listen returns an instance at which connections wait to be accepted.
	listen := func() *instance {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		return &instance{ln: ln}
	}

	// cutTrial is what happens beside the deletion of a row.
	type cutTrial struct {
		// leaderCut is set if the other instance cannot reach the store either.
		leaderCut bool
		// fullRead is set if the history of the table is lost before the return.
		fullRead bool
		// allLeave is set if the rows of all servers are deleted.
		allLeave bool
		// announced is set if the server that leaves has said so in a response.
		announced bool
	}

	// play deletes the row of a server at a time relative to the return, and returns whether
	// the server was still listed after bound.
	play := func(ctx context.Context, offset time.Duration, trial cutTrial) (listedLate, otherLost bool) {
		c := newContent()
		c.put("leaves", nil, false)
		c.put("stays", nil, false)
		leader := &store{content: c}
		leaderCache := NewCache(config)
		served := listen()
		go NewServer(map[string]*Cache{"t": leaderCache}, func() bool { return false }).Run(ctx, served.ln)
		ignore := func(netip.AddrPort, error) {}
		go watch.New(watch.Config{LongPollTimeout: config.LongPollTimeout}, NewSource("t", leader, leaderCache, func() Role { return Role{HasFollowers: true} }, ignore), &recorder{}).Run(ctx)

		follower, list := &store{content: c}, &serverList{directory: directory.New()}
		silent := listen()
		var cut atomic.Bool
		role := func() Role {
			if cut.Load() {
				return Role{Upstream: silent.address()}
			}
			return Role{Upstream: served.address()}
		}
		go watch.New(watch.Config{LongPollTimeout: config.LongPollTimeout}, NewSource("t", follower, NewCache(config), role, ignore), list).Run(ctx)
		Eventually(list.lists, 5*time.Second).WithArguments("stays").Should(BeTrue())

		cut.Store(true)
		follower.setFaults(false, true)
		if trial.announced {
			list.markDraining("leaves")
		}
		if trial.leaderCut {
			leader.setFaults(false, true)
		}
		returns := time.Now().Add(cutTime)
		deleted := returns.Add(offset)
		var steps sync.WaitGroup
		steps.Go(func() {
			time.Sleep(time.Until(returns))
			if trial.fullRead {
				c.loseHistory()
			}
			leader.setFaults(false, false)
			follower.setFaults(false, false)
			cut.Store(false)
		})
		steps.Go(func() {
			time.Sleep(time.Until(deleted))
			c.put("leaves", nil, true)
			if trial.allLeave {
				c.put("stays", nil, true)
			}
		})
		steps.Wait()
		time.Sleep(bound)
		if trial.announced {
			return list.lists("leaves"), false
		}
		return list.lists("leaves"), list.lists("stays") == trial.allLeave
	}

	DescribeTable("drops a server whose row is deleted around that moment",
		// Guards against requests to a server that has stopped: a row that is deleted in the
		// moment in which an instance returns was taken for one that expired in an outage, and
		// the server stayed in use for another two seconds.
		func(trial cutTrial) {
			ctx, stop := context.WithCancel(context.Background())
			DeferCleanup(stop)
			var plays sync.WaitGroup
			for offset := -300 * time.Millisecond; offset <= 300*time.Millisecond; offset += 10 * time.Millisecond {
				plays.Go(func() {
					defer GinkgoRecover()
					listedLate, otherLost := play(ctx, offset, trial)
					Expect(listedLate).To(BeFalse(), "row deleted %v after the return", offset)
					Expect(otherLost).To(BeFalse(), "row deleted %v after the return", offset)
				})
			}
			plays.Wait()
		},
		Entry("only this instance was cut off", cutTrial{}),
		Entry("the other one could not reach the store either", cutTrial{leaderCut: true}),
		Entry("only this instance was cut off, and all servers leave", cutTrial{allLeave: true}),
		Entry("the table is read in full", cutTrial{leaderCut: true, fullRead: true}),
		Entry("the table is read in full without any row of before, and the server had said that it drains", cutTrial{leaderCut: true, fullRead: true, allLeave: true, announced: true}),
		Entry("no row of before is left, and the server had said that it drains", cutTrial{leaderCut: true, allLeave: true, announced: true}),
	)
})
