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

// TestRotationNeedsNoRestart changes the authority of two hosts in the steps
// of docs/OPERATIONS.md while both run: links open after every step, an open
// one stays, and a certificate of the old authority is refused in the end.
func TestRotationNeedsNoRestart(t *testing.T) {
	is := is.New(t)
	before, err := certs.NewAuthority()
	is.NoErr(err)
	after, err := certs.NewAuthority()
	is.NoErr(err)
	directory := t.TempDir()
	hosts := []string{"host-a", "host-b"}
	for _, host := range hosts {
		is.NoErr(before.WriteHost(directory, host, machine.Controller))
	}
	old := issue(t, before, "host-a")
	authorities := filesOf(directory, "host-a").Authority
	networks := map[string]*Network{}
	for _, host := range hosts {
		certificates, err := LoadCertificates(filesOf(directory, host), networkOf(host, nil).Self, new(zerolog.Nop()))
		is.NoErr(err)
		networks[host] = networkOf(host, certificates.TLS())
	}
	address, accepted := listen(t, networks["host-b"])
	dial := func(n *Network) error {
		l, err := n.Dial(context.Background(), address, echo)
		if err != nil {
			return err
		}
		t.Cleanup(func() { _ = l.Close(); _ = (<-accepted).Close() })
		_, err = l.Call(context.Background(), ask("echo", "x"))
		return err
	}
	first, err := networks["host-a"].Dial(context.Background(), address, echo)
	is.NoErr(err)
	defer func() { _ = first.Close(); _ = (<-accepted).Close() }()

	is.NoErr(os.WriteFile(authorities, append(bytes.Clone(before.PEM), after.PEM...), 0o600))
	is.NoErr(dial(networks["host-a"]))
	is.NoErr(after.WriteHost(directory, "host-a", machine.Controller)) // writes its own authority alone
	is.NoErr(os.WriteFile(authorities, append(bytes.Clone(before.PEM), after.PEM...), 0o600))
	is.NoErr(dial(networks["host-a"])) // one side has the new certificate
	is.NoErr(dial(networkOf("host-a", old)))
	is.NoErr(after.WriteHost(directory, "host-b", machine.Controller))
	is.NoErr(dial(networks["host-a"])) // both, and the old authority is out
	is.True(dial(networkOf("host-a", old)) != nil)
	_, err = first.Call(context.Background(), ask("echo", "still open"))
	is.NoErr(err)
}

// TestHalfWrittenCertificatesAreNotUsed leaves the files in a state that does
// not fit together: the last good ones stay in use until the rest comes.
func TestHalfWrittenCertificatesAreNotUsed(t *testing.T) {
	is := is.New(t)
	authority, err := certs.NewAuthority()
	is.NoErr(err)
	directory := t.TempDir()
	is.NoErr(authority.WriteHost(directory, "host-a", machine.Controller))
	files := filesOf(directory, "host-a")
	var log bytes.Buffer
	logger := zerolog.New(&log)
	c, err := LoadCertificates(files, networkOf("host-a", nil).Self, &logger)
	is.NoErr(err)
	first := c.files.Newest()
	certificate, key, err := authority.Issue("host-a", machine.Controller)
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.Certificate, certificate, 0o600))
	is.Equal(c.files.Newest(), first)
	is.Equal(c.files.Newest(), first)
	is.Equal(bytes.Count(log.Bytes(), []byte("link_certificates_unreadable")), 1) // once a change
	is.NoErr(os.WriteFile(files.Key, key, 0o600))
	is.True(c.files.Newest() != first)
	is.True(bytes.Contains(log.Bytes(), []byte("link_certificates_reread")))
	is.NoErr(os.Remove(files.Authority))
	is.True(c.files.Newest().roots != nil)
}

// TestLoadCertificatesNamesTheField covers files that cannot be used at start.
func TestLoadCertificatesNamesTheField(t *testing.T) {
	is := is.New(t)
	authority, err := certs.NewAuthority()
	is.NoErr(err)
	directory := t.TempDir()
	is.NoErr(authority.WriteHost(directory, "host-a", machine.Controller))
	whole := filesOf(directory, "host-a")
	self := networkOf("host-a", nil).Self
	for place, files := range map[string]settings.TLS{
		"tls.certificate": {Certificate: whole.Certificate, Key: whole.Authority, Authority: whole.Authority},
		"tls.authority":   {Certificate: whole.Certificate, Key: whole.Key, Authority: whole.Key},
	} {
		_, err := LoadCertificates(files, self, new(zerolog.Nop()))
		is.Equal(result.CodeOf(err), result.BadSettings)
		is.Equal(result.Of(err).Place, place)
	}
	for _, other := range []machine.Process{{Host: "host-a", Role: machine.Gateway}, {Host: "host-b", Role: machine.Controller}} {
		_, err := LoadCertificates(whole, other, new(zerolog.Nop()))
		is.Equal(result.CodeOf(err), result.BadSettings)
		is.Equal(result.Of(err).Place, "tls.certificate")
	}
	plain, err := LoadCertificates(settings.TLS{Plaintext: true}, self, nil)
	is.NoErr(err)
	is.True(plain.TLS() == nil)
}
