package security

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/settings"
)

// ErrUnauthorised means that the peer's certificate is invalid or has no name that is
// authorised for a required role.
var ErrUnauthorised = merry.New("peer is not authorised")

// Policy contains this process's certificate and the authorised names of its peers. It
// is immutable and safe for concurrent use.
type Policy struct {
	plaintext    bool
	certificate  tls.Certificate
	roots        *x509.CertPool
	allowedNames map[Role][]string
}

// New creates a policy and loads the certificate files named in the settings.
func New(t settings.Transport) (*Policy, error) {
	if t.Kind == settings.TransportPlaintext {
		return &Policy{plaintext: true}, nil
	}
	if t.Kind != settings.TransportTLS {
		return nil, merry.Errorf("transport %q is neither tls nor plaintext", t.Kind)
	}
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, merry.Prepend(err, "certificate and key")
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, merry.Prepend(err, "certificate authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, merry.Errorf("certificate authority file %s contains no certificate", t.CA)
	}
	return &Policy{
		certificate: certificate,
		roots:       roots,
		allowedNames: map[Role][]string{
			RoleEntry: t.EntryNames, RoleAgent: t.AgentNames, RoleOperator: t.OperatorNames,
		},
	}, nil
}

// Plaintext reports whether connections are plain text.
func (p *Policy) Plaintext() bool { return p.plaintext }

// ServerTLSConfig returns the TLS configuration of a listener that only peers with one
// of the given roles may connect to. It returns nil for plain text.
func (p *Policy) ServerTLSConfig(roles ...Role) *tls.Config {
	if p.plaintext {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    p.roots,
		VerifyConnection: func(s tls.ConnectionState) error {
			return p.authorise(s, roles)
		},
	}
}

// ClientTLSConfig returns the TLS configuration for connecting to a peer with one of
// the given roles. It returns nil for plain text.
func (p *Policy) ClientTLSConfig(roles ...Role) *tls.Config {
	if p.plaintext {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.certificate},
		// The standard verification compares the certificate names with the dialled
		// host, which is an IP address here. VerifyConnection verifies the chain and
		// the names instead.
		InsecureSkipVerify: true, //nolint:gosec // see above
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := p.verifyChain(s); err != nil {
				return err
			}
			return p.authorise(s, roles)
		},
	}
}

func (p *Policy) verifyChain(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return merry.Wrap(ErrUnauthorised, merry.AppendMessage("peer sent no certificate"))
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: p.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return merry.Wrap(ErrUnauthorised, merry.AppendMessage(err.Error()), merry.WithCause(err))
	}
	return nil
}

func (p *Policy) authorise(s tls.ConnectionState, roles []Role) error {
	for _, role := range p.PeerRoles(s) {
		if slices.Contains(roles, role) {
			return nil
		}
	}
	var names []string
	if len(s.PeerCertificates) > 0 {
		names = s.PeerCertificates[0].DNSNames
	}
	return merry.Wrap(ErrUnauthorised, merry.AppendMessagef("certificate has names %q, required is one of the roles %q", names, roles))
}

// PeerRoles returns the roles that the peer's certificate is authorised for. The owner
// of a connection must compare them with the role that the peer claims in its first
// message. For plain text it returns all roles.
func (p *Policy) PeerRoles(s tls.ConnectionState) []Role {
	all := []Role{RoleEntry, RoleAgent, RoleOperator}
	if p.plaintext {
		return all
	}
	if len(s.PeerCertificates) == 0 {
		return nil
	}
	var roles []Role
	for _, role := range all {
		for _, name := range s.PeerCertificates[0].DNSNames {
			if slices.Contains(p.allowedNames[role], name) {
				roles = append(roles, role)
				break
			}
		}
	}
	return roles
}
