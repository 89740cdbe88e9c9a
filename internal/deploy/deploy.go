// Package deploy runs an example deployment as processes on loopback addresses, for the demo and
// for end-to-end tests.
package deploy

import (
	"crypto/rand"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"zinniapin/internal/certs"
	"zinniapin/machine"
	"zinniapin/operator"
)

// File names of an example, the name in the operator's certificate and the length of the
// resume key.
const (
	configurationFile = "configuration.json"
	operatorFile      = "zinniactl.json"
	standinFile       = "standin.json"
	operatorName      = "operator"
	resumeKeyBytes    = 32
)

// Deployment is a copy of an example in a folder of its own, with its processes.
type Deployment struct {
	// Name is the name of the example, which is the base name of its folder.
	Name string
	// Folder is the working directory of the processes; paths in settings are
	// relative to it.
	Folder string
	// Binaries is the folder of the built programs.
	Binaries string
	// Hosts are the names of the entry hosts, which run a gateway and a controller
	// each, in order.
	Hosts []string

	processes []*Process
}

// Options are the parameters of Prepare.
type Options struct {
	// Example is the folder of the example, such as examples/kalnins.
	Example string
	// Folder is the working directory, below which settings, certificates and logs
	// are written.
	Folder string
	// Binaries is the folder of the built programs.
	Binaries string
	// Network replaces the network of the example's addresses, such as
	// "127.0.1."; empty keeps it.
	Network string
	// Hosts is the number of entry hosts to run; 0 means all.
	Hosts int
	// Edit changes the content of a settings file, by its path within the
	// example; nil changes nothing.
	Edit func(path string, content []byte) []byte
}

// Prepare copies the settings of an example, with the network replaced if asked for, and creates
// new certificates and a resume key.
func Prepare(o Options) (*Deployment, error) {
	d := &Deployment{Name: filepath.Base(o.Example), Folder: o.Folder, Binaries: o.Binaries}
	if err := d.copySettings(o); err != nil {
		return nil, err
	}
	if o.Hosts > 0 && o.Hosts < len(d.Hosts) {
		d.Hosts = d.Hosts[:o.Hosts]
	}
	return d, d.makeSecrets()
}

// path returns the path of a file of the deployment.
func (d *Deployment) path(parts ...string) string {
	return filepath.Join(append([]string{d.Folder, "run", d.Name}, parts...)...)
}

// copySettings copies the settings files of the example and collects its hosts.
func (d *Deployment) copySettings(o Options) error {
	return filepath.WalkDir(o.Example, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return trace.Wrap(err)
		}
		relative, err := filepath.Rel(o.Example, path)
		if err != nil {
			return trace.Wrap(err)
		}
		if entry.IsDir() {
			if strings.HasPrefix(relative, "host-") {
				d.Hosts = append(d.Hosts, relative)
			}
			return trace.Wrap(os.MkdirAll(d.path(relative), 0o755))
		}
		return d.copyFile(o, path, relative)
	})
}

// copyFile copies one settings file with the changes that the options ask for.
func (d *Deployment) copyFile(o Options, from, relative string) error {
	content, err := os.ReadFile(from)
	if err != nil {
		return trace.Wrap(err)
	}
	if o.Network != "" {
		content = replaceNetwork(content, o.Network)
	}
	if o.Edit != nil {
		content = o.Edit(relative, content)
	}
	return trace.Wrap(os.WriteFile(d.path(relative), content, 0o644))
}

// exampleNetworks are the prefixes of the addresses in the examples.
var exampleNetworks = []string{"127.0.1.", "127.0.2."}

// replaceNetwork replaces the network prefix of every address.
func replaceNetwork(content []byte, network string) []byte {
	text := string(content)
	for _, old := range exampleNetworks {
		text = strings.ReplaceAll(text, old, network)
	}
	return []byte(text)
}

// CertificateFolder returns the folder of the certificates.
func (d *Deployment) CertificateFolder() string {
	return d.path("certs")
}

// CertificateNames returns the names that have a certificate: the operator and the entry hosts.
func (d *Deployment) CertificateNames() []string {
	return append([]string{operatorName}, d.Hosts...)
}

// CertificateRoles returns the roles in the certificate of a name. The gateway and the
// controller of a host share one certificate.
func (d *Deployment) CertificateRoles(name string) []machine.Role {
	if name == operatorName {
		return []machine.Role{machine.Operator}
	}
	return []machine.Role{machine.Gateway, machine.Controller}
}

// makeSecrets creates the certificates and the resume key.
func (d *Deployment) makeSecrets() error {
	authority, err := certs.NewAuthority()
	if err != nil {
		return trace.Wrap(err)
	}
	folder := d.CertificateFolder()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return trace.Wrap(err)
	}
	for _, name := range d.CertificateNames() {
		if err := authority.WriteHost(folder, name, d.CertificateRoles(name)...); err != nil {
			return trace.Wrap(err)
		}
	}
	key := make([]byte, resumeKeyBytes)
	_, _ = rand.Read(key) // crypto/rand.Read never returns an error
	return trace.Wrap(os.WriteFile(d.path("resume.key"), key, 0o600))
}

// Organisations returns the organisations of the example's configuration.
func (d *Deployment) Organisations() ([]string, error) {
	document, err := d.readConfiguration()
	if err != nil {
		return nil, err
	}
	var names []string
	for _, c := range document.Contracts {
		names = append(names, c.Organisation)
	}
	return names, nil
}

// readConfiguration reads the configuration of the example.
func (d *Deployment) readConfiguration() (*operator.Document, error) {
	content, err := os.ReadFile(d.path(configurationFile))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return operator.ReadDocument(content)
}
