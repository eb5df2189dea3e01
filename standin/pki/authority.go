// Package pki makes a certificate authority and certificates for tests. Keys
// are not protected; nothing else may use them.
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

// lifetime of all certificates.
const lifetime = 24 * time.Hour

// Authority signs certificates.
type Authority struct {
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	pem    []byte
	serial int64
}

// Files are the paths of PEM files.
type Files struct {
	Certificate, Key, CA string
}

// New returns an authority with a key of its own.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lifetime),
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
	return &Authority{cert: cert, key: key, pem: encode("CERTIFICATE", der), serial: 1}, nil
}

// Issue returns a certificate and key in PEM for a name that acts as client
// and as server.
func (a *Authority) Issue(name string) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	return encode("CERTIFICATE", der), encode("EC PRIVATE KEY", keyDER), nil
}

// Write issues a certificate for a name and writes it, its key and the
// authority's certificate into a directory.
func (a *Authority) Write(dir, name string) (Files, error) {
	certificate, key, err := a.Issue(name)
	if err != nil {
		return Files{}, err
	}
	f := Files{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
		CA:          filepath.Join(dir, name+"-ca.pem"),
	}
	for path, data := range map[string][]byte{f.Certificate: certificate, f.Key: key, f.CA: a.pem} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return Files{}, merry.Wrap(err)
		}
	}
	return f, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
