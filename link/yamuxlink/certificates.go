package yamuxlink

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/certfile"
	"zinniapin/event"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/settings"
)

// certificateSet holds the contents of the certificate files as read together.
type certificateSet struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// Certificates provides the certificates of a process from its files. The files
// are read again when they have changed, so that certificates can be rotated
// without a restart: every handshake uses the newest files that match each other.
// A rotation does not close open links. It is safe for concurrent use.
type Certificates struct {
	files *certfile.Files[certificateSet]
}

// LoadCertificates reads the certificate files named by the settings. The
// certificate must hold this process's host and role. LoadCertificates returns
// nil when the settings ask for plaintext. The error is a result.BadSettings that
// names the settings field.
func LoadCertificates(s settings.TLS, self machine.Process, log *zerolog.Logger) (*Certificates, error) {
	if s.Plaintext {
		return nil, nil
	}
	read := func() (certificateSet, error) { return readCertificates(s, self) }
	reread := func(set certificateSet, err error) {
		if err != nil {
			event.LinkCertificatesUnreadable.Log(log).Err(err).Send()
			return
		}
		event.LinkCertificatesReread.Log(log).Time("not_after", set.certificate.Leaf.NotAfter).Send()
	}
	files, err := certfile.Open([]string{s.Certificate, s.Key, s.Authority}, read, reread)
	if err != nil {
		return nil, err
	}
	return &Certificates{files}, nil
}

// readCertificates reads the certificate files and checks that the certificate
// is that of self.
func readCertificates(files settings.TLS, self machine.Process) (certificateSet, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return certificateSet{}, result.Wrap(err, result.BadSettings, "cannot load the certificate").At("tls.certificate")
	}
	if err := checkIdentity(self, certificate.Leaf); err != nil {
		return certificateSet{}, result.New(result.BadSettings, "%s", result.Of(err).Message).At("tls.certificate")
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return certificateSet{}, result.Wrap(err, result.BadSettings, "cannot read the file of certificate authorities").At("tls.authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return certificateSet{}, result.New(result.BadSettings, "the file contains no PEM certificate").At("tls.authority")
	}
	return certificateSet{&certificate, roots}, nil
}

// TLS returns a configuration that always presents the newest certificate and
// accepts peers whose certificates chain to the newest authorities. It returns
// nil for plaintext.
func (c *Certificates) TLS() *tls.Config {
	if c == nil {
		return nil
	}
	return mutualTLS(c.files.Newest)
}

// expiryMetric describes the gauge of the expiry of the certificate that new
// links present.
var expiryMetric = prometheus.NewDesc("zinnia_link_certificate_not_after_seconds",
	"End of validity of the certificate that links show, as Unix time in seconds.", nil, nil)

// Describe implements prometheus.Collector.
func (c *Certificates) Describe(descs chan<- *prometheus.Desc) {
	descs <- expiryMetric
}

// Collect implements prometheus.Collector. It checks the files for changes, so
// that a rotation takes effect no later than the next scrape.
func (c *Certificates) Collect(metrics chan<- prometheus.Metric) {
	if c == nil {
		return
	}
	expiry := c.files.Newest().certificate.Leaf.NotAfter
	metrics <- prometheus.MustNewConstMetric(expiryMetric, prometheus.GaugeValue, float64(expiry.UnixNano())/float64(time.Second))
}

// mutualTLS returns a configuration in which each side must present a certificate
// that chains to a known authority. The certificate is not checked against the
// address, since processes move; checkIdentity checks the host and role of the
// Hello against it instead.
func mutualTLS(newest func() certificateSet) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return newest().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return newest().certificate, nil
		},
		ClientAuth:         tls.RequireAnyClientCert, // verified by VerifyConnection
		InsecureSkipVerify: true,                     // replaced by VerifyConnection
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, newest().roots)
		},
		SessionTicketsDisabled: true, // each handshake presents and verifies the certificate
	}
}

// verifyChain checks that the peer's certificate chains to one of the roots.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return result.New(result.LinkRefused, "the peer presented no certificate")
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

// MutualTLS returns a configuration with a fixed certificate and a fixed set of
// authorities.
func MutualTLS(certificate tls.Certificate, roots *x509.CertPool) *tls.Config {
	fixed := certificateSet{&certificate, roots}
	return mutualTLS(func() certificateSet { return fixed })
}
