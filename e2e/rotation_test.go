package e2e

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"zinniapin/internal/certs"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/result"
)

// TestCertificateRotation replaces the certificate authority and all certificates under
// load, in the steps that docs/OPERATIONS.md describes, without restarting a process for
// it. After each step it restarts a controller, so that links are opened again with the
// certificates that the files hold at that time. No request may fail. In the end a
// certificate of the old authority must open no link, and the new certificate of the
// operator must not open one in the role of a controller.
func TestCertificateRotation(t *testing.T) {
	t.Parallel()
	r := startEdited(t, 3, longFirstTokenTimeout)
	r.raiseLimits("parents-portal")
	key := r.key("parents-portal")
	oldAuthority := r.certificateFile("authority.pem")
	oldCertificate, err := tls.LoadX509KeyPair(r.certificatePath("operator.pem"), r.certificatePath("operator-key.pem"))
	r.is.NoErr(err)
	newAuthority, err := certs.NewAuthority()
	r.is.NoErr(err)
	l := r.startLoad(key)
	r.waitOthersServe(l, 5)

	r.replaceCertificate("authority.pem", append(bytes.Clone(oldAuthority), newAuthority.PEM...))
	r.checkCertificatesReread(l, "host-1", 1)
	for _, name := range r.CertificateNames() {
		certificate, private, err := newAuthority.Issue(name, r.CertificateRoles(name)...)
		r.is.NoErr(err)
		r.replaceCertificate(name+"-key.pem", private)
		r.replaceCertificate(name+".pem", certificate)
	}
	r.checkCertificatesReread(l, "host-2", 2)
	r.replaceCertificate("authority.pem", newAuthority.PEM)
	r.checkCertificatesReread(l, "host-3", 3)
	r.waitOthersServe(l, 5)
	l.stop()

	for _, s := range l.chats {
		r.is.Equal(s.status, http.StatusOK)
	}
	for _, s := range l.deposits {
		r.is.Equal(s.status, http.StatusCreated)
		r.is.Equal(r.executions(s.id), 1)
	}
	t.Logf("%d chats and %d deposits", len(l.chats), len(l.deposits))
	roots := x509.NewCertPool()
	r.is.True(roots.AppendCertsFromPEM(newAuthority.PEM))
	newCertificate, err := tls.LoadX509KeyPair(r.certificatePath("operator.pem"), r.certificatePath("operator-key.pem"))
	r.is.NoErr(err)
	for _, host := range r.Hosts {
		code := r.dial(host, machine.Operator, yamuxlink.MutualTLS(oldCertificate, roots))
		r.is.True(code == result.LinkRefused || code == result.LinkFailed)
		code = r.dial(host, machine.Controller, yamuxlink.MutualTLS(newCertificate, roots))
		r.is.Equal(code, result.LinkIdentityRefused)
	}
}

// longFirstTokenTimeout raises the time limit for the first token to 60 s, so that
// gateways refuse no request when the machine stalls.
func longFirstTokenTimeout(_, path string, content []byte) []byte {
	if !strings.HasSuffix(path, "gateway.json") {
		return content
	}
	return []byte(strings.Replace(string(content), `"listen":`, `"first_token_ms": 60000, "listen":`, 1))
}

// certificatePath returns the path of a certificate file.
func (r *testDeployment) certificatePath(name string) string {
	return filepath.Join(r.CertificateFolder(), name)
}

// certificateFile reads a certificate file.
func (r *testDeployment) certificateFile(name string) []byte {
	content, err := os.ReadFile(r.certificatePath(name))
	r.is.NoErr(err)
	return content
}

// replaceCertificate replaces a certificate file atomically.
func (r *testDeployment) replaceCertificate(name string, content []byte) {
	r.is.NoErr(os.WriteFile(r.certificatePath(name+".new"), content, 0o600))
	r.is.NoErr(os.Rename(r.certificatePath(name+".new"), r.certificatePath(name)))
}

// checkCertificatesReread reads the metrics of every gateway, which makes it check its
// certificate files, and requires that it has read them again at least that many times. It
// then restarts a controller, so that the others open links to it.
func (r *testDeployment) checkCertificatesReread(l *load, host string, times int) {
	for _, each := range r.Hosts {
		r.is.True(strings.Contains(r.metrics(each), "zinnia_link_certificate_not_after_seconds"))
		log, err := os.ReadFile(r.LogPath(each + "-gateway"))
		r.is.NoErr(err)
		reread := bytes.Count(log, []byte("link_certificates_reread"))
		r.is.True(reread >= times)
	}
	r.is.NoErr(r.Process(host + "-controller").Stop(r.ctx))
	r.waitOthersServe(l, 5)
	_, err := r.StartController(host)
	r.is.NoErr(err)
	r.eventually("all controllers know the restarted one", func() bool { return r.controllerKnown(host) })
	r.waitOthersServe(l, 5)
}

// controllerKnown tells whether a controller lists one live controller per host, and the
// host among them.
func (r *testDeployment) controllerKnown(host string) bool {
	out, err := r.RunOperatorCommand(r.ctx, "status", "members")
	if err != nil {
		return false
	}
	live := 0
	for line := range strings.Lines(out) {
		fields := strings.Fields(line)
		if len(fields) > 5 && fields[1] == "controller" && fields[5] == "false" {
			live++
		}
	}
	return live == len(r.Hosts) && strings.Contains(out, host)
}

// metrics returns the metrics of the gateway on a host.
func (r *testDeployment) metrics(host string) string {
	s, err := r.GatewaySettings(host)
	r.is.NoErr(err)
	response, err := http.Get(fmt.Sprintf("http://%s/metrics", s.Operators))
	r.is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.is.NoErr(err)
	return string(body)
}

// dial opens a link to the controller on a host as a process named operator in the given
// role, closes it and returns the result code.
func (r *testDeployment) dial(host string, role machine.Role, tlsConfig *tls.Config) result.Code {
	s, err := r.ControllerSettings(host)
	r.is.NoErr(err)
	log := zerolog.Nop()
	self := machine.Process{Host: "operator", Role: role, Incarnation: 1}
	l, err := (&yamuxlink.Network{Self: self, TLS: tlsConfig, Log: &log}).Dial(r.ctx, s.Links, nil)
	if err == nil {
		_ = l.Close()
	}
	return result.CodeOf(err)
}
