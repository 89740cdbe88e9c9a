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

// generous is how long a test waits for something that must come.
const generous = 20 * time.Second

// folder is a folder with the files of a gateway's settings.
type folder struct {
	is        *is.I
	path      string
	authority *certs.Authority
}

// newFolder writes certificates and a resume key.
func newFolder(t *testing.T) *folder {
	f := &folder{is: is.New(t), path: t.TempDir()}
	var err error
	f.authority, err = certs.NewAuthority()
	f.is.NoErr(err)
	f.is.NoErr(f.authority.WriteHost(f.path, "host-1", machine.Gateway))
	f.is.NoErr(os.WriteFile(f.file("resume.key"), make([]byte, 32), 0o600))
	return f
}

// file returns the path of a file.
func (f *folder) file(name string) string {
	return filepath.Join(f.path, name)
}

// settings writes settings in which fields are replaced, and returns the path.
func (f *folder) settings(fields map[string]any) string {
	server := map[string]any{"certificate": f.file("host-1.pem"), "key": f.file("host-1-key.pem")}
	all := map[string]any{
		"host": "host-1", "zone": "riga-a", "region": "baltic", "operators": "127.0.0.1:0", "listen": "127.0.0.1:0",
		"operators_tls": server, "listen_tls": server,
		"tls":             map[string]any{"certificate": f.file("host-1.pem"), "key": f.file("host-1-key.pem"), "authority": f.file("authority.pem")},
		"platform":        map[string]any{"objects": "http://127.0.0.1:1", "targets": "http://127.0.0.1:1", "usage": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:1"},
		"controllers":     []string{"127.0.0.1:1"},
		"resume_key_file": f.file("resume.key"),
		"drain_delay_ms":  1,
	}
	for name, value := range fields {
		all[name] = value
	}
	raw, err := json.Marshal(all)
	f.is.NoErr(err)
	f.is.NoErr(os.WriteFile(f.file("gateway.json"), raw, 0o600))
	return f.file("gateway.json")
}

// TestCheckReadsTheFiles covers --check with files that fit and with each of
// them wrong.
func TestCheckReadsTheFiles(t *testing.T) {
	f := newFolder(t)
	f.is.NoErr(run([]string{"--settings", f.settings(nil), "--check"}))
	wrong := map[string]any{"certificate": f.file("host-1.pem"), "key": f.file("none.pem")}
	for message, fields := range map[string]map[string]any{
		"cannot load the certificate (at listen_tls.certificate): open ":    {"listen_tls": wrong},
		"cannot load the certificate (at operators_tls.certificate): open ": {"operators_tls": wrong},
		"listen_tls.key: is missing":                                        {"listen_tls": map[string]any{"certificate": "x"}},
		"cannot read the key (at resume_key_file): open ":                   {"resume_key_file": f.file("none.key")},
		`the certificate is not that of host "host-2" (at tls.certificate)`: {"host": "host-2"},
	} {
		err := run([]string{"--settings", f.settings(fields), "--check"})
		f.is.Equal(result.CodeOf(err), result.BadSettings)
		f.is.True(strings.HasPrefix(err.Error(), "1001 bad_settings: "+message))
	}
}

// TestCallersOverTLS serves callers over HTTPS and refuses plaintext.
func TestCallersOverTLS(t *testing.T) {
	f := newFolder(t)
	held, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	address := held.Addr().String()
	f.is.NoErr(held.Close())
	var s settings.Gateway
	f.is.NoErr(settings.Load(f.settings(map[string]any{"listen": address}), &s))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, s) }()
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(f.authority.PEM)
	trust := &tls.Config{RootCAs: roots, ServerName: "host-1"}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: trust, DisableKeepAlives: true}}
	get := func(scheme string) int {
		response, err := client.Get(scheme + "://" + address + "/v1/models")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	for end := time.Now().Add(generous); get("https") != http.StatusServiceUnavailable; time.Sleep(10 * time.Millisecond) {
		f.is.True(time.Now().Before(end)) // it has no configuration, and says so over TLS
	}
	f.is.Equal(get("http"), http.StatusBadRequest)
	cancel()
	<-ended // the usage cannot be handed over, since there is no controller
}
