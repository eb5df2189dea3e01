package processes_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/settings"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/pki"
)

// entryName is the name in the certificates of entries.
const entryName = "entry.test"

// The specs depend on each other: each continues with the fleet as the previous one
// left it.
var _ = Describe("Separate processes over TLS", Ordered, func() {
	var f *fleet
	var v1 version

	BeforeAll(func() {
		authority, err := pki.New()
		Expect(err).NotTo(HaveOccurred())
		f = newFleet(authority, 2, "leinster", "munster")
		v1 = f.publish("v1", 1)
	})

	// Guards against connections that work only in plaintext: operator to entry,
	// entry to entry, entry to agent, agent to entry and agent to agent.
	It("roll out a version and answer callers", func() {
		f.apply(f.declaration("v1", 1), 0)
		f.awaitRollout(v1)
		for i := range f.entries {
			Eventually(func() string {
				_, a := f.draft(i, 5)
				return a.Outcome
			}).WithTimeout(settleTime).Should(Equal("completed"))
		}
		f.expectDrafts(v1)
		for _, d := range f.all() {
			Expect(d.events(eventlog.PeerRefused)).To(BeZero(), string(d.instance.ID))
		}
	})

	// Guards against an agent that accepts requests from anyone who can reach its
	// port.
	It("refuse a connection to an agent without the certificate of an entry", func() {
		otherAuthority, err := pki.New()
		Expect(err).NotTo(HaveOccurred())
		untrusted, err := otherAuthority.WriteFiles(GinkgoT().TempDir(), entryName)
		Expect(err).NotTo(HaveOccurred())
		// The client trusts the agent's authority, so that only the agent's check can
		// fail.
		untrusted.CA = f.certificate(entryName).CA
		refused := map[string]func(address string) net.Conn{
			"a name that is not authorised":                  f.connect(f.certificate("stranger.test")),
			"the name of an operator":                        f.connect(f.certificate(operatorName)),
			"a certificate of another authority":             f.connect(untrusted),
			"the name of an agent with the role of an entry": f.connect(f.certificate("agent.test")),
			"plaintext": func(address string) net.Conn {
				conn, err := net.Dial("tcp", address)
				Expect(err).NotTo(HaveOccurred())
				return conn
			},
		}
		agent := f.agents[0]
		for name, connect := range refused {
			By(name)
			before := agent.events(eventlog.PeerRefused)
			Expect(f.handshake(connect(agent.instance.Address))).NotTo(Succeed())
			Eventually(func() int { return agent.events(eventlog.PeerRefused) }).
				WithTimeout(settleTime).Should(Equal(before + 1))
		}
		By("the name of an entry")
		before := agent.events(eventlog.PeerRefused)
		Expect(f.handshake(f.connect(f.certificate(entryName))(agent.instance.Address))).To(Succeed())
		Expect(agent.events(eventlog.PeerRefused)).To(Equal(before))
	})

	It("refuse an operator whose name is not authorised", func() {
		original := f.certificates[operatorName]
		DeferCleanup(func() { f.certificates[operatorName] = original })
		f.certificates[operatorName] = f.certificate("stranger.test")
		code, out := f.ctl("config", "get")
		Expect(code).To(Equal(exitUnavailable), out)
	})

	It("stop on SIGTERM", func() {
		for _, d := range f.all() {
			d.session.Terminate()
		}
		for _, d := range f.all() {
			d.awaitStop()
		}
	})
})

// connect returns a function that opens a TLS connection with a certificate.
func (f *fleet) connect(files pki.Files) func(address string) net.Conn {
	return func(address string) net.Conn {
		policy, err := security.New(settings.Transport{
			Kind: settings.TransportTLS, Certificate: files.Certificate, Key: files.Key, CA: files.CA,
			AgentNames: []string{"agent.test"},
		})
		Expect(err).NotTo(HaveOccurred())
		conn, err := policy.Dial(context.Background(), address, security.RoleAgent)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}
}

// handshake performs the protocol handshake as an entry and waits for a heartbeat,
// which an agent sends only to an entry that it accepts.
func (f *fleet) handshake(nc net.Conn) error {
	Expect(nc.SetDeadline(time.Now().Add(settleTime))).To(Succeed())
	conn, _, err := wire.Handshake(nc, wire.Hello{
		Role:     wire.RoleEntry,
		Identity: model.Identity{Instance: "test-entry", Generation: 1, Location: f.entries[0].instance.Location},
	})
	if err != nil {
		_ = nc.Close()
		return err
	}
	defer func() { _ = conn.Close() }()
	for {
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		if _, ok := m.(*wire.Heartbeat); ok {
			return nil
		}
	}
}
