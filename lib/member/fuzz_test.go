package member_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// oracle tracks which generations connected and what they reported, independently
// of the view.
type oracle struct {
	view     *member.View
	now      time.Time
	nextConn member.ConnID
	nextGen  model.Generation
	current  map[model.InstanceID]model.Generation
	replaced map[string]bool
	conns    map[member.ConnID]string // instance/generation of accepted connections
	draining map[string]bool
	lastBeat map[string]time.Time
}

var names = []model.InstanceID{"a", "b", "c", "d"}

func generationName(id model.InstanceID, g model.Generation) string {
	return fmt.Sprintf("%s/%d", id, g)
}

func (o *oracle) connect(t *rapid.T) {
	id := rapid.SampledFrom(names).Draw(t, "instance")
	g := model.Generation(rapid.Uint64Range(1, uint64(o.nextGen)+1).Draw(t, "generation"))
	o.nextGen = max(o.nextGen, g)
	o.nextConn++
	_, err := o.view.Connected(o.now, o.nextConn, agentHello(id, g, ""))
	name := generationName(id, g)
	if (err != nil) != o.replaced[name] {
		t.Fatalf("%s: error %v, previously replaced: %v", name, err, o.replaced[name])
	}
	if err != nil {
		return
	}
	if old, ok := o.current[id]; ok && old != g {
		o.replaced[generationName(id, old)] = true
	}
	o.current[id] = g
	o.conns[o.nextConn] = name
}

func (o *oracle) heartbeat(t *rapid.T) {
	conn := member.ConnID(rapid.Uint64Range(1, uint64(o.nextConn)+1).Draw(t, "conn"))
	draining := rapid.IntRange(0, 5).Draw(t, "draining") == 0
	name := o.conns[conn]
	before := o.members()
	o.view.Heartbeat(o.now, conn, wire.Heartbeat{Sequence: uint64(o.now.UnixMilli()), Draining: draining})
	if name == "" || o.replaced[name] {
		if o.members() != before {
			t.Fatalf("a heartbeat from %q on connection %d changed the view", name, conn)
		}
		return
	}
	o.lastBeat[name] = o.now
	// The view may have dropped the connection and ignored the heartbeat.
	if m := o.member(name); m.Draining {
		o.draining[name] = true
	}
}

func (o *oracle) member(name string) member.Member {
	for _, id := range names {
		if m, ok := o.view.Member(id); ok && generationName(id, m.Identity.Generation) == name {
			return m
		}
	}
	return member.Member{}
}

func (o *oracle) members() string {
	out := ""
	for _, id := range names {
		m, ok := o.view.Member(id)
		out += fmt.Sprintln(m, ok)
	}
	return out
}

func (o *oracle) check(t *rapid.T) {
	for _, id := range names {
		m, ok := o.view.Member(id)
		if !ok {
			continue
		}
		name := generationName(id, m.Identity.Generation)
		if o.replaced[name] && m.State != member.StateGone {
			t.Fatalf("the view contains the replaced generation %s", name)
		}
		if !m.Usable(o.now) {
			continue
		}
		if o.draining[name] {
			t.Fatalf("%s is usable after it reported draining", name)
		}
		if o.now.Sub(o.lastBeat[name]) > member.IdleInterval {
			t.Fatalf("%s is usable, last heartbeat %s ago", name, o.now.Sub(o.lastBeat[name]))
		}
	}
}

var _ = Describe("View with events in any order", func() {
	It("never accepts a replaced generation and never uses a draining or silent one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			o := &oracle{
				view: member.New(member.Config{}), now: time.Unix(0, 0),
				current: map[model.InstanceID]model.Generation{}, replaced: map[string]bool{},
				conns: map[member.ConnID]string{}, draining: map[string]bool{}, lastBeat: map[string]time.Time{},
			}
			instance := func() model.InstanceID { return rapid.SampledFrom(names).Draw(t, "instance") }
			conn := func() member.ConnID {
				return member.ConnID(rapid.Uint64Range(1, uint64(o.nextConn)+1).Draw(t, "conn"))
			}
			t.Repeat(map[string]func(*rapid.T){
				"":          o.check,
				"connect":   o.connect,
				"heartbeat": o.heartbeat,
				"closed":    func(*rapid.T) { o.view.Closed(o.now, conn()) },
				"dial":      func(*rapid.T) { o.view.DialFailed(o.now, instance()) },
				"busy":      func(t *rapid.T) { o.view.SetInFlight(o.now, conn(), rapid.IntRange(0, 2).Draw(t, "requests")) },
				"tick": func(t *rapid.T) {
					o.now = o.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
					o.view.Tick(o.now)
				},
				"seed": func(*rapid.T) {
					o.view.ApplyList(o.now, []backing.Instance{{ID: instance(), Role: backing.RoleAgent, Leaving: rapid.Bool().Draw(t, "leaving")}})
				},
			})
		})
	})
})
