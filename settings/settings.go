// Package settings reads the JSON settings files of the daemons. Load rejects
// unknown fields and reports every mistake with the path of its field.
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

// Common holds the settings that gateways and controllers share.
type Common struct {
	// Host is the id of the host; a replaced host gets a new one.
	Host string `json:"host"`
	// Zone is the availability zone of the host.
	Zone zone.Name `json:"zone"`
	// Region is the region of the zone.
	Region zone.Region `json:"region"`
	// Operators is the IP:port of /healthz, /readyz and /metrics.
	Operators string `json:"operators"`
	// MemoryMB is the memory that the process may use, in MB, at least 48. What
	// others send may take 0.4 of what it is above 24. Default 512.
	MemoryMB int `json:"memory_mb,omitempty"`
	// Descriptors is the number of files and sockets that the process may have
	// open, at least 128. It is divided among callers, links, operators and the
	// process's own connections. Default the process's limit of open files.
	Descriptors int `json:"descriptors,omitempty"`
	// OperatorsTLS makes the process serve operators by HTTPS; without it, it
	// serves them by plaintext HTTP.
	OperatorsTLS *ServerTLS `json:"operators_tls,omitempty"`
	// Log sets what is logged.
	Log Log `json:"log"`
	// TLS secures the links between processes.
	TLS TLS `json:"tls"`
	// Platform sets the addresses of the platform's interfaces.
	Platform Platform `json:"platform"`
}

// Log sets what is logged. Log lines are JSON and go to standard error.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Level string `json:"level,omitempty"`
}

// TLS holds the settings of mutual TLS on the links between processes.
type TLS struct {
	// Certificate is the path of the process's certificate, PEM. The three files
	// are read again when they have changed; new links use the new content.
	Certificate string `json:"certificate,omitempty"`
	// Key is the path of the certificate's private key, PEM.
	Key string `json:"key,omitempty"`
	// Authority is the path of the CA certificates that sign the peers'
	// certificates, PEM.
	Authority string `json:"authority,omitempty"`
	// Plaintext turns TLS off; the three files must then not be set. Default
	// false.
	Plaintext bool `json:"plaintext,omitempty"`
}

// ServerTLS holds the certificate files of a server that does not ask its clients
// for certificates.
type ServerTLS struct {
	// Certificate is the path of the server's certificate chain, PEM: its own
	// certificate and the intermediate ones. The file is read again when it has
	// changed.
	Certificate string `json:"certificate"`
	// Key is the path of the certificate's private key, PEM.
	Key string `json:"key"`
}

// Platform holds the addresses of the platform's interfaces, as http or https
// URLs.
type Platform struct {
	// Objects is the base URL of the object API.
	Objects string `json:"objects"`
	// Targets is the base URL of the target interface.
	Targets string `json:"targets"`
	// Usage is the base URL of the usage-report interface.
	Usage string `json:"usage"`
	// Hosts is the base URL of the interface for the list of hosts.
	Hosts string `json:"hosts"`
	// TimeoutMillis bounds one call of the platform, in milliseconds. Default
	// 2000.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
}

// Problems collects the mistakes found in a settings file.
type Problems struct {
	messages []string
}

// Add records a mistake in the field at a path.
func (p *Problems) Add(path, format string, args ...any) {
	p.messages = append(p.messages, path+": "+fmt.Sprintf(format, args...))
}

// Required records a mistake if a string is empty.
func (p *Problems) Required(path, value string) {
	if value == "" {
		p.Add(path, "is missing")
	}
}

// Address records a mistake if a value is not IP:port.
func (p *Problems) Address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.Add(path, "%q is not IP:port", value)
	}
}

// URL records a mistake if a value is not an http or https URL.
func (p *Problems) URL(path, value string) {
	if !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		p.Add(path, "%q is not an http or https URL", value)
	}
}

// Err returns all mistakes as one result.BadSettings error, or nil if there are
// none.
func (p *Problems) Err(file string) error {
	if len(p.messages) == 0 {
		return nil
	}
	return result.New(result.BadSettings, "%s", strings.Join(p.messages, "; ")).At(file)
}

// Check records the mistakes in the common settings and sets their defaults.
func (c *Common) Check(p *Problems) {
	p.Required("host", c.Host)
	p.Required("zone", string(c.Zone))
	p.Required("region", string(c.Region))
	p.Address("operators", c.Operators)
	checkMemory(p, &c.MemoryMB, defaultMemoryMB)
	checkDescriptors(p, c.Descriptors)
	c.OperatorsTLS.check(p, "operators_tls")
	c.Log.check(p)
	c.TLS.check(p)
	c.Platform.check(p)
}

const (
	// defaultMemoryMB is the default of Common.MemoryMB.
	defaultMemoryMB = 512
	// minMemoryMB is the memory with which a process can still hold one body of the largest size.
	minMemoryMB = 48
	// minDescriptors leaves some for callers beside the connections of the process itself.
	minDescriptors = 128
)

// checkMemory sets the default of memory_mb, and records a value that is too low.
func checkMemory(p *Problems, value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
	if *value < minMemoryMB {
		p.Add("memory_mb", "must be at least %d", minMemoryMB)
	}
}

// checkDescriptors records a number of descriptors that is too low.
func checkDescriptors(p *Problems, value int) {
	if value != 0 && value < minDescriptors {
		p.Add("descriptors", "must be at least %d", minDescriptors)
	}
}

// check records the mistakes in the log settings and sets the default level.
func (l *Log) check(p *Problems) {
	if l.Level == "" {
		l.Level = "info"
	}
	if _, err := zerolog.ParseLevel(l.Level); err != nil {
		p.Add("log.level", "%q is not debug, info, warn or error", l.Level)
	}
}

// check records the mistakes in the TLS settings.
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

// check records the mistakes in a server's certificate settings, which are those
// of the given field.
func (t *ServerTLS) check(p *Problems, field string) {
	if t == nil {
		return
	}
	p.Required(field+".certificate", t.Certificate)
	p.Required(field+".key", t.Key)
}

// defaultPlatformTimeoutMillis is the default of Platform.TimeoutMillis.
const defaultPlatformTimeoutMillis = 2000

// check records the mistakes in the platform settings and sets their defaults.
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

// validator is a pointer to a settings struct.
type validator interface {
	// Check records every mistake in the settings and sets the defaults.
	Check(p *Problems)
}

// Load reads a settings file, decodes it into a settings struct and checks it.
// The error names the file and is a result.BadSettings.
func Load(file string, into validator) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return result.Wrap(err, result.BadSettings, "cannot read the settings file").At(file)
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
