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

// material is what the certificate files held at one time.
type material struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// Certificates are the certificate files of a process. They are read again
// when they have changed, so that certificates are rotated without a restart:
// every handshake uses the newest files that fit together. Links that are open
// stay open. It is safe for concurrent use.
type Certificates struct {
	files *certfile.Files[material]
}

// LoadCertificates reads the certificate files of the settings, which must give
// this process its host and role. It returns nil when the settings ask for
// plaintext. The error is a result.BadSettings that names the field.
func LoadCertificates(s settings.TLS, self machine.Process, log *zerolog.Logger) (*Certificates, error) {
	if s.Plaintext {
		return nil, nil
	}
	read := func() (material, error) { return readMaterial(s, self) }
	reread := func(m material, err error) {
		if err != nil {
			event.LinkCertificatesUnreadable.Log(log).Err(err).Send()
			return
		}
		event.LinkCertificatesReread.Log(log).Time("not_after", m.certificate.Leaf.NotAfter).Send()
	}
	files, err := certfile.Open([]string{s.Certificate, s.Key, s.Authority}, read, reread)
	if err != nil {
		return nil, err
	}
	return &Certificates{files}, nil
}

// readMaterial reads the certificate files of a process.
func readMaterial(files settings.TLS, self machine.Process) (material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return material{}, result.Wrap(err, result.BadSettings, "cannot load the certificate").At("tls.certificate")
	}
	if err := identify(self, certificate.Leaf); err != nil {
		return material{}, result.New(result.BadSettings, "%s", result.Of(err).Message).At("tls.certificate")
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return material{}, result.Wrap(err, result.BadSettings, "cannot read the authority").At("tls.authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return material{}, result.New(result.BadSettings, "the file holds no certificate").At("tls.authority")
	}
	return material{&certificate, roots}, nil
}

// TLS returns a configuration that shows the newest certificate and takes the
// peers that descend from the newest authorities; nil for plaintext.
func (c *Certificates) TLS() *tls.Config {
	if c == nil {
		return nil
	}
	return mutualTLS(c.files.Newest)
}

// expiryMetric is when the certificate that new links show ends.
var expiryMetric = prometheus.NewDesc("zinnia_link_certificate_not_after_seconds",
	"End of validity of the certificate that links show, as Unix time in seconds.", nil, nil)

// Describe implements prometheus.Collector.
func (c *Certificates) Describe(into chan<- *prometheus.Desc) {
	into <- expiryMetric
}

// Collect implements prometheus.Collector. It looks at the files, so that a
// rotation takes effect no later than the next look at the metrics.
func (c *Certificates) Collect(into chan<- prometheus.Metric) {
	if c == nil {
		return
	}
	end := c.files.Newest().certificate.Leaf.NotAfter
	into <- prometheus.MustNewConstMetric(expiryMetric, prometheus.GaugeValue, float64(end.UnixNano())/float64(time.Second))
}

// mutualTLS returns a configuration in which both sides show a certificate
// that descends from known authorities. Addresses are not checked, since
// processes move; host and role are checked against the Hello instead.
func mutualTLS(newest func() material) *tls.Config {
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
			return verify(state, newest().roots)
		},
		SessionTicketsDisabled: true, // each handshake shows the certificate anew
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

// MutualTLS returns a configuration with one certificate and one set of
// authorities for good.
func MutualTLS(certificate tls.Certificate, roots *x509.CertPool) *tls.Config {
	fixed := material{&certificate, roots}
	return mutualTLS(func() material { return fixed })
}
