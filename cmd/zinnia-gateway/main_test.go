package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/certs"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/settings"
)

// waitTimeout is the maximum time that a test waits for a condition.
const waitTimeout = 20 * time.Second

// settingsDir is a temporary directory with a settings file of a gateway and the files
// that it names.
type settingsDir struct {
	is        *is.I
	path      string
	authority *certs.Authority
}

// newSettingsDir returns a directory with certificates and a resume key.
func newSettingsDir(t *testing.T) *settingsDir {
	d := &settingsDir{is: is.New(t), path: t.TempDir()}
	var err error
	d.authority, err = certs.NewAuthority()
	d.is.NoErr(err)
	d.is.NoErr(d.authority.WriteHost(d.path, "host-1", machine.Gateway))
	d.is.NoErr(os.WriteFile(d.file("resume.key"), make([]byte, 32), 0o600))
	return d
}

// file returns the path of a file in the directory.
func (d *settingsDir) file(name string) string {
	return filepath.Join(d.path, name)
}

// settings writes a settings file with the given fields replaced, and returns its path.
func (d *settingsDir) settings(fields map[string]any) string {
	server := map[string]any{"certificate": d.file("host-1.pem"), "key": d.file("host-1-key.pem")}
	all := map[string]any{
		"host": "host-1", "zone": "riga-a", "region": "baltic", "operators": "127.0.0.1:0", "listen": "127.0.0.1:0",
		"operators_tls": server, "listen_tls": server,
		"tls":             map[string]any{"certificate": d.file("host-1.pem"), "key": d.file("host-1-key.pem"), "authority": d.file("authority.pem")},
		"platform":        map[string]any{"objects": "http://127.0.0.1:1", "targets": "http://127.0.0.1:1", "usage": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:1"},
		"controllers":     []string{"127.0.0.1:1"},
		"resume_key_file": d.file("resume.key"),
		"drain_delay_ms":  1,
	}
	for name, value := range fields {
		all[name] = value
	}
	raw, err := json.Marshal(all)
	d.is.NoErr(err)
	d.is.NoErr(os.WriteFile(d.file("gateway.json"), raw, 0o600))
	return d.file("gateway.json")
}

// TestCheckReadsTheFiles runs --check with valid files, and with each of them missing or
// wrong.
func TestCheckReadsTheFiles(t *testing.T) {
	d := newSettingsDir(t)
	d.is.NoErr(run([]string{"--settings", d.settings(nil), "--check"}))
	wrong := map[string]any{"certificate": d.file("host-1.pem"), "key": d.file("none.pem")}
	for message, fields := range map[string]map[string]any{
		"cannot load the certificate (at listen_tls.certificate): open ":    {"listen_tls": wrong},
		"cannot load the certificate (at operators_tls.certificate): open ": {"operators_tls": wrong},
		"listen_tls.key: is missing":                                        {"listen_tls": map[string]any{"certificate": "x"}},
		"cannot read the key (at resume_key_file): open ":                   {"resume_key_file": d.file("none.key")},
		`the certificate is not that of host "host-2" (at tls.certificate)`: {"host": "host-2"},
	} {
		err := run([]string{"--settings", d.settings(fields), "--check"})
		d.is.Equal(result.CodeOf(err), result.BadSettings)
		d.is.True(strings.HasPrefix(err.Error(), "1001 bad_settings: "+message))
	}
}

// TestCallersOverTLS checks that the gateway serves callers over HTTPS and refuses
// plaintext.
func TestCallersOverTLS(t *testing.T) {
	d := newSettingsDir(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	d.is.NoErr(err)
	address := listener.Addr().String()
	d.is.NoErr(listener.Close())
	var s settings.Gateway
	d.is.NoErr(settings.Load(d.settings(map[string]any{"listen": address}), &s))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, s) }()
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(d.authority.PEM)
	clientTLS := &tls.Config{RootCAs: roots, ServerName: "host-1"}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS, DisableKeepAlives: true}}
	get := func(scheme string) int {
		response, err := client.Get(scheme + "://" + address + "/v1/models")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	for end := time.Now().Add(waitTimeout); get("https") != http.StatusServiceUnavailable; time.Sleep(10 * time.Millisecond) {
		d.is.True(time.Now().Before(end)) // without a configuration it answers 503, over TLS
	}
	d.is.Equal(get("http"), http.StatusBadRequest)
	cancel()
	<-ended // an error: no controller takes the usage counters
}
