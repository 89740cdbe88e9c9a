// Package settings reads the JSON settings files of the daemons. Unknown
// fields are refused and every mistake is named by its path.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/rs/zerolog"

	"zinniapin/result"
	"zinniapin/strictjson"
	"zinniapin/zone"
)

// Valid is what every daemon prints when --check finds no mistake.
const Valid = "settings are valid"

// Common are the settings of every daemon.
type Common struct {
	// Host is the id of the host; a replaced host gets a new one.
	Host string `json:"host"`
	// Zone is the availability zone of the host.
	Zone zone.Name `json:"zone"`
	// Region is the region of the zone.
	Region zone.Region `json:"region"`
	// Operators is the IP:port of /healthz, /readyz and /metrics.
	Operators string `json:"operators"`
	// OperatorsTLS makes the operators' address one of HTTPS; without it, it is
	// plaintext.
	OperatorsTLS *ServerTLS `json:"operators_tls,omitempty"`
	// Log says what is logged.
	Log Log `json:"log"`
	// TLS secures the links between processes.
	TLS TLS `json:"tls"`
	// Platform says where the platform's interfaces are.
	Platform Platform `json:"platform"`
}

// Log says what is logged. Lines are JSON on standard error.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level,omitempty"`
}

// TLS secures the links between processes by mutual TLS.
type TLS struct {
	// Certificate is the path of the process's certificate, PEM. The three files
	// are read again when they have changed; new links then use them.
	Certificate string `json:"certificate,omitempty"`
	// Key is the path of the certificate's private key, PEM.
	Key string `json:"key,omitempty"`
	// Authority is the path of the certificates that peers must descend
	// from, PEM.
	Authority string `json:"authority,omitempty"`
	// Plaintext turns TLS off; no certificate may then be given. Default
	// false.
	Plaintext bool `json:"plaintext,omitempty"`
}

// ServerTLS are the certificate files of a server that anybody may reach who
// trusts its certificate.
type ServerTLS struct {
	// Certificate is the path of the server's certificate and of those between
	// it and the authority, PEM. It is read again when it has changed.
	Certificate string `json:"certificate"`
	// Key is the path of the certificate's private key, PEM.
	Key string `json:"key"`
}

// Platform says where the platform's interfaces are, as http or https URLs.
type Platform struct {
	// Objects is the base URL of the object API.
	Objects string `json:"objects"`
	// Targets is the base URL of the target interface.
	Targets string `json:"targets"`
	// Usage is the base URL of the usage-report interface.
	Usage string `json:"usage"`
	// Hosts is the base URL of the list of hosts.
	Hosts string `json:"hosts"`
	// TimeoutMillis bounds one call, in milliseconds. Default 2000.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
}

// Problems gathers the mistakes of a settings file.
type Problems struct {
	found []string
}

// Add notes a mistake at the path of a field.
func (p *Problems) Add(path, format string, args ...any) {
	p.found = append(p.found, path+": "+fmt.Sprintf(format, args...))
}

// Required notes a missing string.
func (p *Problems) Required(path, value string) {
	if value == "" {
		p.Add(path, "is missing")
	}
}

// Address notes a value that is not IP:port.
func (p *Problems) Address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.Add(path, "%q is not IP:port", value)
	}
}

// URL notes a value that is not an http or https URL.
func (p *Problems) URL(path, value string) {
	if !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		p.Add(path, "%q is not an http or https URL", value)
	}
}

// Err returns the mistakes as one result.BadSettings, or nil.
func (p *Problems) Err(file string) error {
	if len(p.found) == 0 {
		return nil
	}
	return result.New(result.BadSettings, "%s", strings.Join(p.found, "; ")).At(file)
}

// Check notes the mistakes of the common settings and sets their defaults.
func (c *Common) Check(p *Problems) {
	p.Required("host", c.Host)
	p.Required("zone", string(c.Zone))
	p.Required("region", string(c.Region))
	p.Address("operators", c.Operators)
	c.OperatorsTLS.check(p, "operators_tls")
	c.Log.check(p)
	c.TLS.check(p)
	c.Platform.check(p)
}

// check notes the mistakes of the log settings.
func (l *Log) check(p *Problems) {
	if l.Level == "" {
		l.Level = "info"
	}
	if _, err := zerolog.ParseLevel(l.Level); err != nil {
		p.Add("log.level", "%q is not debug, info, warn or error", l.Level)
	}
}

// check notes the mistakes of the TLS settings.
func (t *TLS) check(p *Problems) {
	if t.Plaintext {
		if t.Certificate != "" || t.Key != "" || t.Authority != "" {
			p.Add("tls.plaintext", "excludes certificate, key and authority")
		}
		return
	}
	p.Required("tls.certificate", t.Certificate)
	p.Required("tls.key", t.Key)
	p.Required("tls.authority", t.Authority)
}

// check notes the mistakes of a server's certificate files in a field.
func (t *ServerTLS) check(p *Problems, field string) {
	if t == nil {
		return
	}
	p.Required(field+".certificate", t.Certificate)
	p.Required(field+".key", t.Key)
}

// defaultPlatformTimeoutMillis bounds a call of the platform.
const defaultPlatformTimeoutMillis = 2000

// check notes the mistakes of the platform settings and sets their defaults.
func (pl *Platform) check(p *Problems) {
	p.URL("platform.objects", pl.Objects)
	p.URL("platform.targets", pl.Targets)
	p.URL("platform.usage", pl.Usage)
	p.URL("platform.hosts", pl.Hosts)
	if pl.TimeoutMillis == 0 {
		pl.TimeoutMillis = defaultPlatformTimeoutMillis
	}
	if pl.TimeoutMillis < 0 {
		p.Add("platform.timeout_ms", "must be above 0")
	}
}

// checker is a settings struct.
type checker interface {
	// Check notes every mistake and sets defaults.
	Check(p *Problems)
}

// Load reads, decodes and checks a settings file.
func Load(file string, into checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return result.Wrap(err, result.BadSettings, "cannot read the settings").At(file)
	}
	if err := strictjson.Decode(data, into, result.BadSettings); err != nil {
		if e := result.Of(err); e != nil {
			e.Place = strings.TrimSpace(file + " " + e.Place)
		}
		return err
	}
	p := &Problems{}
	into.Check(p)
	return p.Err(file)
}
