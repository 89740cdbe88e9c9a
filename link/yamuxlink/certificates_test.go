package yamuxlink

import (
	"bytes"
	"context"
	"os"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/internal/certs"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/settings"
)

// TestRotationNeedsNoRestart rotates the certificate authority of two running
// hosts in the steps of docs/OPERATIONS.md. After every step a new link opens, the
// link opened first stays open, and in the end a certificate of the old authority
// is refused.
func TestRotationNeedsNoRestart(t *testing.T) {
	is := is.New(t)
	oldAuthority, err := certs.NewAuthority()
	is.NoErr(err)
	newAuthority, err := certs.NewAuthority()
	is.NoErr(err)
	directory := t.TempDir()
	hosts := []string{"host-a", "host-b"}
	for _, host := range hosts {
		is.NoErr(oldAuthority.WriteHost(directory, host, machine.Controller))
	}
	oldTLS := issueTLS(t, oldAuthority, "host-a")
	authorities := certificateFiles(directory, "host-a").Authority
	networks := map[string]*Network{}
	for _, host := range hosts {
		certificates, err := LoadCertificates(certificateFiles(directory, host), newNetwork(host, nil).Self, new(zerolog.Nop()))
		is.NoErr(err)
		networks[host] = newNetwork(host, certificates.TLS())
	}
	address, accepted := listen(t, networks["host-b"])
	dial := func(n *Network) error {
		l, err := n.Dial(context.Background(), address, echo)
		if err != nil {
			return err
		}
		t.Cleanup(func() { _ = l.Close(); _ = (<-accepted).Close() })
		_, err = l.Call(context.Background(), statusRequest("echo", "x"))
		return err
	}
	first, err := networks["host-a"].Dial(context.Background(), address, echo)
	is.NoErr(err)
	defer func() { _ = first.Close(); _ = (<-accepted).Close() }()

	is.NoErr(os.WriteFile(authorities, append(bytes.Clone(oldAuthority.PEM), newAuthority.PEM...), 0o600))
	is.NoErr(dial(networks["host-a"]))
	is.NoErr(newAuthority.WriteHost(directory, "host-a", machine.Controller)) // also overwrites authority.pem
	is.NoErr(os.WriteFile(authorities, append(bytes.Clone(oldAuthority.PEM), newAuthority.PEM...), 0o600))
	is.NoErr(dial(networks["host-a"])) // only host-a has a new certificate
	is.NoErr(dial(newNetwork("host-a", oldTLS)))
	is.NoErr(newAuthority.WriteHost(directory, "host-b", machine.Controller))
	is.NoErr(dial(networks["host-a"])) // both have new certificates; the old authority is out
	is.True(dial(newNetwork("host-a", oldTLS)) != nil)
	_, err = first.Call(context.Background(), statusRequest("echo", "still open"))
	is.NoErr(err)
}

// TestHalfWrittenCertificatesAreNotUsed guards against the use of files that do
// not match, as while an operator replaces them one by one: after the new
// certificate and before its key, the last matching files stay in use, and so do
// they when a file is missing.
func TestHalfWrittenCertificatesAreNotUsed(t *testing.T) {
	is := is.New(t)
	authority, err := certs.NewAuthority()
	is.NoErr(err)
	directory := t.TempDir()
	is.NoErr(authority.WriteHost(directory, "host-a", machine.Controller))
	files := certificateFiles(directory, "host-a")
	var log bytes.Buffer
	logger := zerolog.New(&log)
	c, err := LoadCertificates(files, newNetwork("host-a", nil).Self, &logger)
	is.NoErr(err)
	first := c.files.Newest()
	certificate, key, err := authority.Issue("host-a", machine.Controller)
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.Certificate, certificate, 0o600))
	is.Equal(c.files.Newest(), first)
	is.Equal(c.files.Newest(), first)
	is.Equal(bytes.Count(log.Bytes(), []byte("link_certificates_unreadable")), 1) // once for the change
	is.NoErr(os.WriteFile(files.Key, key, 0o600))
	is.True(c.files.Newest() != first)
	is.True(bytes.Contains(log.Bytes(), []byte("link_certificates_reread")))
	is.NoErr(os.Remove(files.Authority))
	is.True(c.files.Newest().roots != nil)
}

// TestLoadCertificatesNamesTheField checks that the error for certificate files
// that cannot be used names the settings field, also when the certificate is that
// of another host or role.
func TestLoadCertificatesNamesTheField(t *testing.T) {
	is := is.New(t)
	authority, err := certs.NewAuthority()
	is.NoErr(err)
	directory := t.TempDir()
	is.NoErr(authority.WriteHost(directory, "host-a", machine.Controller))
	valid := certificateFiles(directory, "host-a")
	self := newNetwork("host-a", nil).Self
	for place, files := range map[string]settings.TLS{
		"tls.certificate": {Certificate: valid.Certificate, Key: valid.Authority, Authority: valid.Authority},
		"tls.authority":   {Certificate: valid.Certificate, Key: valid.Key, Authority: valid.Key},
	} {
		_, err := LoadCertificates(files, self, new(zerolog.Nop()))
		is.Equal(result.CodeOf(err), result.BadSettings)
		is.Equal(result.Of(err).Place, place)
	}
	for _, other := range []machine.Process{{Host: "host-a", Role: machine.Gateway}, {Host: "host-b", Role: machine.Controller}} {
		_, err := LoadCertificates(valid, other, new(zerolog.Nop()))
		is.Equal(result.CodeOf(err), result.BadSettings)
		is.Equal(result.Of(err).Place, "tls.certificate")
	}
	plain, err := LoadCertificates(settings.TLS{Plaintext: true}, self, nil)
	is.NoErr(err)
	is.True(plain.TLS() == nil)
}
