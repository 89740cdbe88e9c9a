package yamuxlink

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"

	"zinniapin/result"
	"zinniapin/settings"
)

// LoadTLS reads the certificate files of the settings. It returns nil when
// the settings ask for plaintext.
func LoadTLS(s settings.TLS) (*tls.Config, error) {
	if s.Plaintext {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, result.Wrap(err, result.BadSettings, "cannot load the certificate").At("tls.certificate")
	}
	authority, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, result.Wrap(err, result.BadSettings, "cannot read the authority").At("tls.authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, result.New(result.BadSettings, "the file holds no certificate").At("tls.authority")
	}
	return MutualTLS(certificate, roots), nil
}

// MutualTLS returns a configuration in which both sides show a certificate
// that descends from roots. Addresses are not checked, since processes move;
// the host name is checked against the Hello instead.
func MutualTLS(certificate tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{certificate},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          roots,
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, roots)
		},
	}
}

// verify checks the peer's chain.
func verify(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return result.New(result.LinkRefused, "the peer shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err)
}
