package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"zinniapin/machine"
)

// TestWrittenCertificates checks the files of a host: the names, roles and key usages in the
// certificate, its verification against the authority, and the file permissions.
func TestWrittenCertificates(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority()
	is.NoErr(err)
	foreign, err := NewAuthority()
	is.NoErr(err)
	directory := t.TempDir()
	is.NoErr(authority.WriteHost(directory, "host-1", machine.Gateway, machine.Controller))
	for _, name := range []string{"authority.pem", "host-1.pem", "host-1-key.pem"} {
		info, err := os.Stat(filepath.Join(directory, name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(directory, "host-1.pem"), filepath.Join(directory, "host-1-key.pem"))
	is.NoErr(err)
	is.Equal(pair.Leaf.DNSNames, []string{"host-1"})
	is.Equal(len(pair.Leaf.URIs), 2)
	is.Equal(pair.Leaf.URIs[0].String(), "urn:zinniapin:role:gateway")
	is.Equal(pair.Leaf.URIs[1].String(), "urn:zinniapin:role:controller")
	is.True(!pair.Leaf.IsCA)
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		is.NoErr(verify(pair.Leaf, authority, use))
		is.True(verify(pair.Leaf, foreign, use) != nil)
	}
	is.True(verify(pair.Leaf, authority, x509.ExtKeyUsageCodeSigning) != nil)
}

// verify verifies a certificate of host-1 for a key usage against an authority.
func verify(c *x509.Certificate, a *Authority, use x509.ExtKeyUsage) error {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(a.PEM)
	_, err := c.Verify(x509.VerifyOptions{Roots: roots, DNSName: "host-1", KeyUsages: []x509.ExtKeyUsage{use}})
	return err
}

// TestCertificatesDiffer issues two certificates for one host, as a rotation does. They must
// differ, and so must their keys.
func TestCertificatesDiffer(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority()
	is.NoErr(err)
	first, firstKey, err := authority.Issue("host-1")
	is.NoErr(err)
	second, secondKey, err := authority.Issue("host-1")
	is.NoErr(err)
	is.True(string(first) != string(second))
	is.True(string(firstKey) != string(secondKey))
	_, err = tls.X509KeyPair(first, secondKey)
	is.True(err != nil)
}
