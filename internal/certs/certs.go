// Package certs creates a certificate authority and host certificates for examples and tests.
package certs

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

	"github.com/gravitational/trace"

	"zinniapin/link"
	"zinniapin/machine"
)

// validity is the lifetime of the certificates.
const validity = 365 * 24 * time.Hour

// serialBits is the length of the random serial numbers of certificates.
const serialBits = 120

// Authority signs host certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// PEM is the authority's certificate.
	PEM []byte
}

// NewAuthority creates an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template, err := newTemplate("zinniapin authority")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Authority{certificate, key, encode("CERTIFICATE", der)}, nil
}

// Issue returns the certificate and private key of a host in PEM format. The certificate permits
// the host to act in the given roles.
func (a *Authority) Issue(host string, roles ...machine.Role) (certificate, key []byte, err error) {
	hostKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	template, err := newTemplate(host)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	template.DNSNames = []string{host}
	for _, role := range roles {
		template.URIs = append(template.URIs, link.RoleURI(role))
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &hostKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(hostKey)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", keyDER), nil
}

// WriteHost issues a certificate for a host and writes authority.pem, HOST.pem and HOST-key.pem
// into a directory, readable by the owner only.
func (a *Authority) WriteHost(directory, host string, roles ...machine.Role) error {
	certificate, key, err := a.Issue(host, roles...)
	if err != nil {
		return err
	}
	files := []struct {
		name    string
		content []byte
	}{{"authority.pem", a.PEM}, {host + ".pem", certificate}, {host + "-key.pem", key}}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(directory, f.name), f.content, 0o600); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// newTemplate returns a template with the fields that all certificates share. It is valid from
// one hour ago, so that clocks that run slow accept the certificate.
func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}, nil
}

// encode encodes der as a PEM block.
func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
