package processes_test

import (
	"context"
	"fmt"
	"io"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/engine"
	"github.com/auburnbend/auburnbend/standin/pki"
)

const (
	draftPool = "crest"
	orderPool = "orders"
)

// fleet is a deployment of separate processes on loopback.
type fleet struct {
	dir     string
	domains []string
	ports   *ports
	// authority signs certificates; nil means plaintext.
	authority    *pki.Authority
	certificates map[string]pki.Files
	platform     platformClient
	entries      []*daemon
	agents       []*daemon
	versions     []version
	callers      *deployment.Client
	sent         int // requests so far
}

// newFleet starts the stand-ins and, in each failure domain, an entry, agents of
// model engines and the agent of a plain service, and adds them to the instance list.
func newFleet(authority *pki.Authority, engines int, domains ...string) *fleet {
	f := &fleet{
		dir: GinkgoT().TempDir(), domains: domains, ports: newPorts(),
		authority: authority, certificates: make(map[string]pki.Files),
		callers: deployment.NewClient(),
	}
	DeferCleanup(f.callers.Close)
	backends := f.startStandins(len(domains)*engines, len(domains))
	for i, domain := range domains {
		f.startEntry(domain)
		for n := range engines {
			f.startAgent(domain, draftPool, n, backends[i*engines+n])
		}
		f.startAgent(domain, orderPool, 0, backends[len(domains)*engines+i])
	}
	for _, d := range f.all() {
		d.awaitStart()
		f.platform.register(d.instance)
	}
	return f
}

// startStandins starts the stand-ins in one process. It returns the addresses of the
// engines, followed by those of the services.
func (f *fleet) startStandins(engines, services int) []string {
	var backends []string
	// The rate of the origin's link makes a rollout last long enough to kill an
	// agent during it.
	arguments := []string{"--listen", "127.0.0.1:0", "--origin-link", fmt.Sprint(modelBytes / 2)}
	for i := range engines + services {
		kind := "--engine"
		if i >= engines {
			kind = "--service"
		}
		backends = append(backends, f.ports.take())
		arguments = append(arguments, kind, backends[i])
	}
	session := start(programs.standins, arguments...)
	Eventually(session.Out).WithTimeout(settleTime).Should(gbytes.Say(`listening on \S+\n`))
	f.platform.url = string(regexp.MustCompile(`http://\S+`).Find(session.Out.Contents()))
	return backends
}

func (f *fleet) daemon(role backing.InstanceRole, domain, name string) *daemon {
	return &daemon{
		instance: backing.Instance{
			ID: model.InstanceID(domain + "-" + name), Role: role, Address: f.ports.take(),
			Location: model.Location{Region: model.Region(domain), FailureDomain: model.FailureDomain(domain)},
		},
		metrics: f.ports.take(),
	}
}

func (f *fleet) startEntry(domain string) {
	d := f.daemon(backing.RoleEntry, domain, "entry")
	d.callers, d.operators = f.ports.take(), f.ports.take()
	d.session = startLimited(programs.entry, "--config", f.settingsFile(d, ""))
	f.entries = append(f.entries, d)
}

func (f *fleet) startAgent(domain, pool string, n int, backend string) {
	d := f.daemon(backing.RoleAgent, domain, fmt.Sprintf("%s-%d", pool, n))
	d.pool = pool
	d.session = startLimited(programs.agent, "--config", f.settingsFile(d, backend))
	f.agents = append(f.agents, d)
}

func (f *fleet) all() []*daemon { return append(append([]*daemon(nil), f.entries...), f.agents...) }

func (f *fleet) agent(id string) *daemon {
	for _, a := range f.agents {
		if string(a.instance.ID) == id {
			return a
		}
	}
	Fail("the fleet has no agent " + id)
	return nil
}

// draft sends a streamed request to an entry and returns its body and the answer.
func (f *fleet) draft(entry, tokens int) ([]byte, deployment.Answer) {
	f.sent++
	id := fmt.Sprintf("draft-%d", f.sent)
	body := fmt.Appendf(nil, `{"max_tokens":%d,"prompt":"blazon %s"}`, tokens, id)
	return body, f.callers.Send(context.Background(), "http://"+f.entries[entry].callers, deployment.Call{
		Service: "drafts", Tenant: "engravers", RequestID: id, Body: body, Stream: true,
	})
}

// order sends a non-repeatable request with an idempotency key to an entry and
// returns its body and the answer.
func (f *fleet) order(entry int, key string) ([]byte, deployment.Answer) {
	f.sent++
	body := []byte(`{"plate":"` + key + `"}`)
	return body, f.callers.Send(context.Background(), "http://"+f.entries[entry].callers, deployment.Call{
		Service: "orders", Tenant: "engravers", RequestID: fmt.Sprintf("order-%d", f.sent), IdempotencyKey: key, Body: body,
	})
}

// expectDrafts sends a draft request to each entry and expects complete answers from
// the version v only.
func (f *fleet) expectDrafts(v version) {
	for i := range f.entries {
		body, a := f.draft(i, 20)
		ExpectWithOffset(1, a.Outcome).To(Equal("completed"), a.Reason)
		ExpectWithOffset(1, string(a.Body)).To(Equal(string(engine.ExpectedResponse(v.content, body))))
	}
}

// metricsOf returns the metrics page of a daemon.
func (f *fleet) metricsOf(d *daemon) string {
	response, err := httpGet("http://" + d.metrics + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}
