package security_test

import (
	"context"
	"errors"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/settings"
	"github.com/auburnbend/auburnbend/standin/pki"
)

// newPolicy returns the policy of a process whose certificate has the given name.
func newPolicy(a *pki.Authority, name string) *security.Policy {
	f, err := a.WriteFiles(GinkgoT().TempDir(), name)
	Expect(err).NotTo(HaveOccurred())
	p, err := security.New(settings.Transport{
		Kind: settings.TransportTLS, Certificate: f.Certificate, Key: f.Key, CA: f.CA,
		EntryNames: []string{"entry.x"}, AgentNames: []string{"agent.x"}, OperatorNames: []string{"ops.x"},
	})
	Expect(err).NotTo(HaveOccurred())
	return p
}

// connect connects client to server. The client requires the role serverRole, the
// server one of clientRoles. It returns the client's roles and the error of each side.
func connect(server, client *security.Policy, serverRole security.Role, clientRoles ...security.Role) (roles []security.Role, atServer, atClient error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		nc, err := ln.Accept()
		if err != nil {
			atServer = err
			return
		}
		var conn net.Conn
		if conn, roles, atServer = server.ServerHandshake(nc, clientRoles...); atServer == nil {
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := client.Dial(ctx, ln.Addr().String(), serverRole)
	if err == nil {
		// With TLS 1.3 a rejection by the server shows up at the first read.
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	<-done
	return roles, atServer, err
}

var _ = Describe("Policy", func() {
	var authority *pki.Authority

	BeforeEach(func() {
		var err error
		authority, err = pki.New()
		Expect(err).NotTo(HaveOccurred())
	})

	It("connects peers with authorised names and returns their roles", func() {
		roles, atServer, atClient := connect(newPolicy(authority, "entry.x"), newPolicy(authority, "agent.x"), security.RoleEntry, security.RoleEntry, security.RoleAgent)
		Expect(atServer).NotTo(HaveOccurred())
		Expect(atClient).NotTo(HaveOccurred())
		Expect(roles).To(Equal([]security.Role{security.RoleAgent}))
	})

	It("rejects a client whose name is not authorised for the role", func() {
		_, atServer, atClient := connect(newPolicy(authority, "entry.x"), newPolicy(authority, "agent.x"), security.RoleEntry, security.RoleOperator)
		Expect(errors.Is(atServer, security.ErrUnauthorised)).To(BeTrue())
		Expect(atClient).To(HaveOccurred())
	})

	It("rejects a server whose name is not authorised for the role", func() {
		_, atServer, atClient := connect(newPolicy(authority, "stranger.x"), newPolicy(authority, "agent.x"), security.RoleEntry, security.RoleAgent)
		Expect(errors.Is(atClient, security.ErrUnauthorised)).To(BeTrue())
		Expect(atServer).To(HaveOccurred())
	})

	It("rejects authorised names in certificates of another authority", func() {
		other, err := pki.New()
		Expect(err).NotTo(HaveOccurred())
		_, atServer, atClient := connect(newPolicy(authority, "entry.x"), newPolicy(other, "agent.x"), security.RoleEntry, security.RoleAgent)
		Expect(errors.Is(atClient, security.ErrUnauthorised)).To(BeTrue())
		Expect(atServer).To(HaveOccurred())
		_, atServer, _ = connect(newPolicy(authority, "entry.x"), newPolicy(other, "agent.x"), security.RoleEntry, security.RoleAgent)
		Expect(atServer).To(HaveOccurred())
	})

	It("rejects a client without TLS", func() {
		plain, err := security.New(settings.Transport{Kind: settings.TransportPlaintext})
		Expect(err).NotTo(HaveOccurred())
		Expect(plain.Plaintext()).To(BeTrue())
		Expect(plain.ServerTLSConfig(security.RoleEntry)).To(BeNil())
		server := newPolicy(authority, "entry.x")
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			defer GinkgoRecover()
			conn, err := plain.Dial(context.Background(), ln.Addr().String(), security.RoleEntry)
			Expect(err).NotTo(HaveOccurred())
			_, _ = conn.Write([]byte("plain text"))
		}()
		nc, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, _, err = server.ServerHandshake(nc, security.RoleAgent)
		Expect(err).To(HaveOccurred())
	})

	It("uses plain text only if the settings say so", func() {
		_, err := security.New(settings.Transport{})
		Expect(err).To(MatchError(ContainSubstring("neither tls nor plaintext")))
	})
})
