package daemon

import (
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"

	"zinniapin/certfile"
	"zinniapin/event"
	"zinniapin/intake"
	"zinniapin/result"
	"zinniapin/settings"
)

// ServerTLS returns the TLS configuration of a server whose certificate files are
// set in a field of the settings. It returns nil, for plaintext, when files is
// nil. The files are read again when they have changed. The error is a
// result.BadSettings that names the field.
func ServerTLS(field string, files *settings.ServerTLS, log *zerolog.Logger) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	read := func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			return nil, result.Wrap(err, result.BadSettings, "cannot load the certificate").At(field + ".certificate")
		}
		return &pair, nil
	}
	logReread := func(pair *tls.Certificate, err error) {
		if err != nil {
			event.CertificateUnreadable.Log(log).Err(err).Send()
			return
		}
		event.CertificateReread.Log(log).Str("field", field).Time("not_after", pair.Leaf.NotAfter).Send()
	}
	certificates, err := certfile.Open([]string{files.Certificate, files.Key}, read, logReread)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificates.Newest(), nil },
	}, nil
}

// ListenTLS is like Listen, but with TLS unless the configuration is nil.
func ListenTLS(field, address string, tlsConfig *tls.Config, b *intake.Budget, k intake.Kind) (net.Listener, error) {
	listener, err := Listen(field, address, b, k)
	if err != nil || tlsConfig == nil {
		return listener, err
	}
	return tls.NewListener(listener, tlsConfig), nil
}
