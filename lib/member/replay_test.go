package member_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// step is one line of a trace. Events and Usable are the expected results; they are
// checked only where the trace contains them.
type step struct {
	Note       string
	At         int64 // milliseconds
	Do         string
	Conn       member.ConnID
	Instance   model.InstanceID
	Generation model.Generation
	Address    string
	Seq        uint64
	Draining   bool
	Requests   int
	Instances  []model.InstanceID
	Refused    bool
	Events     *[]string
	Usable     *[]string
}

func agentHello(id model.InstanceID, g model.Generation, address string) wire.Hello {
	if address == "" {
		address = string(id)
	}
	return wire.Hello{Role: wire.RoleAgent, Identity: model.Identity{Instance: id, Generation: g, Address: address}}
}

func describe(events []member.Event) []string {
	out := []string{}
	for _, e := range events {
		switch {
		case e.Instance == "":
			out = append(out, e.Kind.String())
		case e.Generation == 0:
			out = append(out, fmt.Sprintf("%s %s", e.Kind, e.Instance))
		default:
			out = append(out, fmt.Sprintf("%s %s/%d", e.Kind, e.Instance, e.Generation))
		}
	}
	return out
}

func apply(v *member.View, now time.Time, s step) (events []member.Event, err error) {
	switch s.Do {
	case "seed":
		var list []backing.Instance
		for _, id := range s.Instances {
			list = append(list, backing.Instance{ID: id, Role: backing.RoleAgent, Address: string(id)})
		}
		return v.ApplyList(now, list), nil
	case "connect":
		return v.Connected(now, s.Conn, agentHello(s.Instance, s.Generation, s.Address))
	case "join":
		events, err = v.Connected(now, s.Conn, agentHello(s.Instance, 1, ""))
		return append(events, v.Heartbeat(now, s.Conn, wire.Heartbeat{Sequence: 1})...), err
	case "heartbeat":
		return v.Heartbeat(now, s.Conn, wire.Heartbeat{Sequence: s.Seq, Draining: s.Draining}), nil
	case "inflight":
		v.SetInFlight(now, s.Conn, s.Requests)
	case "closed":
		return v.Closed(now, s.Conn), nil
	case "dialfailed":
		return v.DialFailed(now, s.Instance), nil
	case "tick":
		return v.Tick(now), nil
	default:
		Fail("unknown step " + s.Do)
	}
	return nil, nil
}

var _ = Describe("View with recorded traces", func() {
	files, _ := filepath.Glob("testdata/*.jsonl")
	It("finds the trace files", func() { Expect(len(files)).To(BeNumerically(">=", 6)) })
	for _, name := range files {
		It("replays "+filepath.Base(name), func() {
			f, err := os.Open(name)
			Expect(err).NotTo(HaveOccurred())
			defer f.Close()
			v := member.New(member.Config{})
			lines := bufio.NewScanner(f)
			for n := 1; lines.Scan(); n++ {
				var s step
				Expect(json.Unmarshal(lines.Bytes(), &s)).To(Succeed())
				if s.Do == "" {
					continue
				}
				now := time.UnixMilli(s.At)
				events, err := apply(v, now, s)
				if s.Refused {
					Expect(err).To(MatchError(member.ErrGenerationReplaced), "line %d", n)
				} else {
					Expect(err).NotTo(HaveOccurred(), "line %d", n)
				}
				if s.Events != nil {
					Expect(describe(events)).To(Equal(*s.Events), "line %d", n)
				}
				if s.Usable != nil {
					usable := []string{}
					for _, m := range v.Members(backing.RoleAgent) {
						if m.Usable(now) {
							usable = append(usable, fmt.Sprintf("%s/%d", m.Identity.Instance, m.Identity.Generation))
						}
					}
					Expect(usable).To(Equal(*s.Usable), "line %d", n)
				}
			}
			Expect(lines.Err()).NotTo(HaveOccurred())
		})
	}
})
