package daemon

import (
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"

	"zinniapin/certfile"
	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/settings"
)

// ServerTLS returns the TLS configuration of a server whose certificate files
// stand in a field of the settings; nil files mean plaintext and a nil
// configuration. The files are read again when they have changed. The error is
// a result.BadSettings that names the field.
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
	reread := func(pair *tls.Certificate, err error) {
		if err != nil {
			event.CertificateUnreadable.Log(log).Err(err).Send()
			return
		}
		event.CertificateReread.Log(log).Str("field", field).Time("not_after", pair.Leaf.NotAfter).Send()
	}
	pairs, err := certfile.Open([]string{files.Certificate, files.Key}, read, reread)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pairs.Newest(), nil },
	}, nil
}

// ListenTLS is Listen with TLS; a nil configuration means plaintext.
func ListenTLS(field, address string, secured *tls.Config) (net.Listener, error) {
	listener, err := Listen(field, address)
	if err != nil || secured == nil {
		return listener, err
	}
	return tls.NewListener(listener, secured), nil
}
