package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/internal/certs"
	"zinniapin/result"
	"zinniapin/settings"
)

// clientOf returns a client that trusts one certificate authority, expects the
// server's certificate to be that of a host, and opens a connection per request.
func clientOf(authority *certs.Authority, host string) *http.Client {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority.PEM)
	tlsConfig := &tls.Config{RootCAs: roots, ServerName: host}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, DisableKeepAlives: true}}
}

// TestOperatorsOverTLS checks that an OperatorsServer with TLS refuses plaintext,
// uses a changed certificate without a restart, and keeps the last valid
// certificate while a file is missing.
func TestOperatorsOverTLS(t *testing.T) {
	is := is.New(t)
	first, err := certs.NewAuthority()
	is.NoErr(err)
	second, err := certs.NewAuthority()
	is.NoErr(err)
	directory := t.TempDir()
	is.NoErr(first.WriteHost(directory, "host-1"))
	files := &settings.ServerTLS{Certificate: filepath.Join(directory, "host-1.pem"), Key: filepath.Join(directory, "host-1-key.pem")}
	tlsConfig, err := ServerTLS("operators_tls", files, new(zerolog.Nop()))
	is.NoErr(err)
	server, err := NewOperatorsServer("127.0.0.1:0", tlsConfig, nil, NewRegistry(), new(zerolog.Nop()), func() error { return nil })
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	status := func(scheme string, client *http.Client) int {
		response, err := client.Get(scheme + "://" + server.Address() + "/readyz")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	is.Equal(status("https", clientOf(first, "host-1")), http.StatusOK)
	is.Equal(status("https", clientOf(second, "host-1")), 0)
	is.Equal(status("http", http.DefaultClient), http.StatusBadRequest)
	is.NoErr(second.WriteHost(directory, "host-1"))
	is.Equal(status("https", clientOf(second, "host-1")), http.StatusOK)
	is.NoErr(os.Remove(files.Key))
	is.Equal(status("https", clientOf(second, "host-1")), http.StatusOK) // the last valid certificate stays in use
	is.NoErr(server.Close())
	is.NoErr(<-served)
}

// TestServerTLSNamesTheField checks that there is no configuration without files,
// and that the error for unreadable files names the field of the settings.
func TestServerTLSNamesTheField(t *testing.T) {
	is := is.New(t)
	none, err := ServerTLS("listen_tls", nil, nil)
	is.NoErr(err)
	is.True(none == nil)
	_, err = ServerTLS("listen_tls", &settings.ServerTLS{Certificate: "none.pem", Key: "none-key.pem"}, nil)
	is.Equal(result.CodeOf(err), result.BadSettings)
	is.Equal(err.Error(), "1001 bad_settings: cannot load the certificate (at listen_tls.certificate): open none.pem: no such file or directory")
}
