package e2e

import (
	"bytes"
	"context"
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

// TestCertificateRotation changes the authority and all certificates under
// load, as docs/OPERATIONS.md says, without a restart for it. After each step
// a controller is stopped and started, so that links open anew with what the
// files hold by then. No caller notices, and in the end a certificate of the
// old authority opens no link.
func TestCertificateRotation(t *testing.T) {
	t.Parallel()
	r := start(t, 3)
	r.generous("parents-portal")
	key := r.key("parents-portal")
	before := r.certificateFile("authority.pem")
	stolen, err := tls.LoadX509KeyPair(r.certificatePath("operator.pem"), r.certificatePath("operator-key.pem"))
	r.is.NoErr(err)
	after, err := certs.NewAuthority()
	r.is.NoErr(err)
	l := r.startLoad(key)
	r.othersServe(l, 5)

	r.replace("authority.pem", append(bytes.Clone(before), after.PEM...))
	r.relink(l, "host-1", 1)
	for _, name := range r.CertificateNames() {
		certificate, private, err := after.Issue(name)
		r.is.NoErr(err)
		r.replace(name+"-key.pem", private)
		r.replace(name+".pem", certificate)
	}
	r.relink(l, "host-2", 2)
	r.replace("authority.pem", after.PEM)
	r.relink(l, "host-3", 3)
	r.othersServe(l, 5)
	l.stop()

	for _, s := range l.chats {
		r.is.Equal(s.status, http.StatusOK)
	}
	for _, s := range l.deposits {
		r.is.Equal(s.status, http.StatusCreated)
		r.is.Equal(r.runs(s.id), 1)
	}
	t.Logf("%d chats and %d deposits", len(l.chats), len(l.deposits))
	roots := x509.NewCertPool()
	r.is.True(roots.AppendCertsFromPEM(after.PEM))
	for _, host := range r.Hosts {
		r.refusesOperator(host, stolen, roots)
	}
}

// certificatePath returns the path of a certificate file.
func (r *rig) certificatePath(name string) string {
	return filepath.Join(r.CertificateFolder(), name)
}

// certificateFile reads a certificate file.
func (r *rig) certificateFile(name string) []byte {
	content, err := os.ReadFile(r.certificatePath(name))
	r.is.NoErr(err)
	return content
}

// replace replaces a certificate file in one step.
func (r *rig) replace(name string, content []byte) {
	r.is.NoErr(os.WriteFile(r.certificatePath(name+".new"), content, 0o600))
	r.is.NoErr(os.Rename(r.certificatePath(name+".new"), r.certificatePath(name)))
}

// relink has every gateway look at its files, checks that it has read them
// again that many times by now, and restarts a controller, to which the others
// link again.
func (r *rig) relink(l *load, host string, times int) {
	for _, one := range r.Hosts {
		r.is.True(strings.Contains(r.metrics(one), "zinnia_link_certificate_not_after_seconds"))
		log, err := os.ReadFile(r.LogPath(one + "-gateway"))
		r.is.NoErr(err)
		reread := bytes.Count(log, []byte("link_certificates_reread"))
		r.is.True(reread >= times)
	}
	r.is.NoErr(r.Process(host + "-controller").Stop(r.ctx))
	r.othersServe(l, 5)
	_, err := r.StartController(host)
	r.is.NoErr(err)
	r.eventually("all controllers know the restarted one", func() bool { return r.controllerKnown(host) })
	r.othersServe(l, 5)
}

// controllerKnown tells whether every controller has a member for the present
// controller of a host.
func (r *rig) controllerKnown(host string) bool {
	out, err := r.Operator(r.ctx, "status", "members")
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

// metrics returns the metrics of a host's gateway.
func (r *rig) metrics(host string) string {
	s, err := r.GatewaySettings(host)
	r.is.NoErr(err)
	response, err := http.Get(fmt.Sprintf("http://%s/metrics", s.Operators))
	r.is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.is.NoErr(err)
	return string(body)
}

// refusesOperator checks that a controller refuses an operator's certificate.
func (r *rig) refusesOperator(host string, certificate tls.Certificate, roots *x509.CertPool) {
	s, err := r.ControllerSettings(host)
	r.is.NoErr(err)
	quiet := zerolog.Nop()
	n := &yamuxlink.Network{
		Self: machine.Process{Host: "operator", Role: machine.Operator, Incarnation: 1},
		TLS:  yamuxlink.MutualTLS(certificate, roots),
		Log:  &quiet,
	}
	l, err := n.Dial(context.Background(), s.Links, nil)
	if err == nil {
		_ = l.Close()
	}
	r.is.True(err != nil)
	r.is.True(result.CodeOf(err) == result.LinkRefused || result.CodeOf(err) == result.LinkFailed)
}
