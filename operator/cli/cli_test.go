package cli_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/auburnbend/auburnbend/entry/operatorrpc"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/operator/cli"
	"github.com/auburnbend/auburnbend/standin/fault"
	"github.com/auburnbend/auburnbend/standin/table"
)

const declaration = `[deployment]
time_weight = 0.25
[service orders]
kind = plain
pool = orders
[tenant engravers]
share = SHARE
`

// fakeEntry implements operatorrpc.ConfigReplica and operatorrpc.FleetStatus.
type fakeEntry struct {
	mu      sync.Mutex
	replica *config.Replica
	polls   int
}

func (f *fakeEntry) InForce() (*config.View, time.Duration) {
	return f.replica.Current(), 1500 * time.Millisecond
}

func (f *fakeEntry) ApplyAccepted(encoded []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.replica.Apply([][]byte{encoded}, time.Now()); err != nil {
		panic(err)
	}
	f.replica.EndStartWindow()
}

func (f *fakeEntry) Domains() []operatorrpc.DomainStatus {
	return []operatorrpc.DomainStatus{{Domain: "kigali", Highest: config.Head{Number: 2}, Processes: 3}}
}

// Rollouts returns a rollout that progresses with each call and is complete at the third
// one.
func (f *fakeEntry) Rollouts() []operatorrpc.Rollout {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	r := operatorrpc.Rollout{Model: "crest", Version: "v4", Domain: "kigali", DesiredInstances: 2, TotalBytes: 3 << 20, PeerBytes: int64(f.polls) << 20}
	r.Phases = map[wire.Phase]int{wire.PhaseFetching: 2}
	if f.polls >= 3 {
		r.Phases = map[wire.Phase]int{wire.PhaseLive: 2}
	}
	return []operatorrpc.Rollout{r}
}

func (f *fakeEntry) Instances() []operatorrpc.Instance {
	location := model.Location{Region: "west", FailureDomain: "kigali"}
	return []operatorrpc.Instance{
		{Identity: model.Identity{Instance: "a1", Location: location}, Role: wire.RoleAgent, Pool: "crest", State: "live"},
		{Identity: model.Identity{Instance: "a2", Location: location}, Role: wire.RoleAgent, Pool: "orders", State: "draining"},
	}
}

var _ = Describe("auburnctl", func() {
	var (
		rows    *table.Service
		address string
		file    string
	)
	BeforeEach(func() {
		rows = table.New()
		store := config.NewStore(rows, config.StoreConfig{Sleep: func(context.Context, time.Duration) error { return nil }})
		entry := &fakeEntry{replica: config.NewReplica(config.ReplicaConfig{}, time.Now())}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := grpc.NewServer(operatorrpc.Options()...)
		operatorrpc.New(operatorrpc.Config{}, store, entry, entry).Register(server)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Stop)
		address = listener.Addr().String()
		file = filepath.Join(GinkgoT().TempDir(), "deployment.ini")
	})
	declare := func(share string) {
		Expect(os.WriteFile(file, []byte(strings.ReplaceAll(declaration, "SHARE", share)), 0o600)).To(Succeed())
	}
	run := func(arguments ...string) (int, string) {
		var out bytes.Buffer
		cmd := cli.New("v0")
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(append([]string{"--address", address, "--plaintext", "--author", "ops"}, arguments...))
		return cli.ReportError(&out, cmd.Execute()), out.String()
	}
	mustRun := func(arguments ...string) string {
		code, out := run(arguments...)
		ExpectWithOffset(1, code).To(BeZero(), out)
		return out
	}

	It("applies, prints, compares and rolls back configurations", func() {
		declare("1")
		Expect(mustRun("config", "apply", file, "--expect", "0")).To(ContainSubstring("accepted as revision 1"))
		declare("7")
		Expect(mustRun("config", "apply", file, "--expect", "1", "--dry-run")).To(ContainSubstring("~ [tenant engravers] share = 7 (was 1)"))
		mustRun("config", "apply", file, "--expect", "1")
		printed := mustRun("config", "get")
		Expect(os.WriteFile(file, []byte(printed), 0o600)).To(Succeed())
		Expect(mustRun("config", "apply", file, "--expect", "2")).To(ContainSubstring("unchanged, revision 2"))
		Expect(mustRun("config", "diff", "1")).To(ContainSubstring("share = 7 (was 1)"))
		mustRun("config", "rollback", "1", "--expect", "2")
		Expect(mustRun("config", "history")).To(MatchRegexp(`(?s)3 .*tenant engravers.*\n1 .*deployment`))
		Expect(mustRun("config", "get", "-o", "json")).To(ContainSubstring(`"timeWeight":0.25`))
		Expect(mustRun("config", "status")).To(ContainSubstring("revision 3, age 1.5s"))
		rows.Faults.Set(fault.Faults{Down: true})
		Expect(mustRun("config", "get", "--in-force")).To(ContainSubstring("share = 1"))
	})

	// Guards against scripts that cannot distinguish the outcomes of a change.
	It("returns a distinct exit code for each kind of failure", func() {
		expect := func(code int, mention string, arguments ...string) {
			got, out := run(arguments...)
			ExpectWithOffset(1, got).To(Equal(code), out)
			ExpectWithOffset(1, out).To(ContainSubstring(mention))
		}
		declare("0")
		expect(3, "line 7: tenant engravers: share", "config", "apply", file, "--expect", "0")
		declare("1")
		mustRun("config", "apply", file, "--expect", "0", "--operation", "first")
		declare("2")
		expect(4, "current is 1 by ops", "config", "apply", file, "--expect", "0")
		expect(4, "already used", "config", "apply", file, "--expect", "1", "--operation", "first")
		expect(7, "not found", "config", "get", "--revision", "9")
		expect(2, "expect", "config", "apply", file)
		expect(2, "unknown command", "deploy")
		expect(2, "unknown flag", "instances", "--zone", "x")
		rows.Faults.Set(fault.Faults{Down: true})
		expect(6, "unavailable", "config", "get")
		expect(5, "auburnctl operation status second", "config", "apply", file, "--expect", "1", "--operation", "second")
		rows.Faults.Set(fault.Faults{})
		Expect(mustRun("operation", "status", "second")).To(ContainSubstring("not found"))
		Expect(mustRun("operation", "status", "second", "--settle")).To(ContainSubstring("abandoned"))
		Expect(mustRun("operation", "status", "first")).To(ContainSubstring("applied as revision 1"))
		address = "127.0.0.1:1"
		expect(6, "unavailable", "config", "apply", file, "--expect", "1")
	})

	It("does not connect without TLS by default", func() {
		var out bytes.Buffer
		cmd := cli.New("v0")
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"--address", address, "config", "get"})
		Expect(cli.ReportError(&out, cmd.Execute())).To(Equal(6))
	})

	It("creates a manifest and prints its declaration", func() {
		out := filepath.Join(filepath.Dir(file), "m")
		Expect(os.WriteFile(file, make([]byte, 3000), 0o600)).To(Succeed())
		printed := mustRun("manifest", "create", file, "--object", "weights/crest", "--out", out, "--chunk-size", "1KiB")
		data, err := os.ReadFile(out)
		Expect(err).NotTo(HaveOccurred())
		Expect(printed).To(Equal("manifest = " + model.Sum(data).String() + "\nbytes = 3000\n"))
		code, _ := run("manifest", "create", file, "--object", "o", "--out", out, "--chunk-size", "5MiB")
		Expect(code).To(Equal(2))
	})

	It("watches a rollout until it is complete and lists instances", func() {
		out := mustRun("rollout", "status", "--until-complete", "--interval", "100ms", "-o", "json")
		Expect(strings.Count(out, "\n")).To(Equal(3))
		Expect(out).To(ContainSubstring(`"complete":true`))
		Expect(mustRun("rollout", "status")).To(ContainSubstring("live:2"))
		Expect(mustRun("instances", "--pool", "orders")).To(And(ContainSubstring("a2"), Not(ContainSubstring("a1"))))
	})

	// Guards against starting a rollout without knowing that the links are too slow for
	// its target time.
	It("estimates the rollout of a version before it is applied", func() {
		placed := "[model crest v1]\nmanifest = " + model.Sum([]byte("m")).String() + "\nmanifest_object = m\nbytes = 100MiB\n" +
			"[placement crest kigali]\nmodel = crest\nversion = v1\n"
		Expect(os.WriteFile(file, []byte(strings.ReplaceAll(declaration, "SHARE", "1")+placed), 0o600)).To(Succeed())
		plan := func(target string) string {
			return mustRun("rollout", "plan", file, "--origin", "80Mbit/s", "--instance", "80Mbit/s", "--target", target)
		}
		Expect(plan("10m")).To(MatchRegexp(`crest +v1 +1 +1 +100\.0MiB .* true`))
		Expect(plan("5s")).To(MatchRegexp(`crest +v1 +1 +1 +100\.0MiB .* false`))
		code, out := run("rollout", "plan", file, "--origin", "fast", "--instance", "80Mbit/s")
		Expect(code).NotTo(BeZero())
		Expect(out).To(ContainSubstring("--origin"))
	})
})
