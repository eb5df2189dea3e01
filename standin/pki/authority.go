// Package pki creates a certificate authority and certificates for tests. It does not
// protect the keys, so they must not be used for anything else.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

// certLifetime is the time from the issue of a certificate until it expires.
const certLifetime = 24 * time.Hour

// Authority is a certificate authority. It is not safe for concurrent use.
type Authority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM []byte
	serial  int64
}

// Files contains the paths of the PEM files written for one name.
type Files struct {
	Certificate, Key, CA string
}

// New returns an authority with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return &Authority{cert: cert, key: key, certPEM: encodePEM("CERTIFICATE", der), serial: 1}, nil
}

// Issue returns the PEM encoding of a new certificate and key for a name. The certificate
// is valid for both clients and servers.
func (a *Authority) Issue(name string) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &privateKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", keyDER), nil
}

// WriteFiles issues a certificate for a name and writes it, its key and the authority's
// certificate to files in a directory.
func (a *Authority) WriteFiles(dir, name string) (Files, error) {
	certificate, key, err := a.Issue(name)
	if err != nil {
		return Files{}, err
	}
	f := Files{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
		CA:          filepath.Join(dir, name+"-ca.pem"),
	}
	for path, data := range map[string][]byte{f.Certificate: certificate, f.Key: key, f.CA: a.certPEM} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return Files{}, merry.Wrap(err)
		}
	}
	return f, nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
