// Package deploy runs an example deployment as processes on loopback, for
// the demo and for end-to-end tests.
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

// Files and folders of an example.
const (
	configurationFile = "configuration.json"
	operatorFile      = "zinniactl.json"
	standinFile       = "standin.json"
	operatorName      = "operator"
	resumeKeyBytes    = 32
)

// Deployment is an example deployment in a folder of its own.
type Deployment struct {
	// Name is the name of the example, which is also its folder.
	Name string
	// Folder is where the processes run; settings name files below it.
	Folder string
	// Binaries is the folder of the built programs.
	Binaries string
	// Hosts are the entry hosts, in order.
	Hosts []string

	processes []*Process
}

// Options say how an example is laid out.
type Options struct {
	// Example is the folder of the example, such as examples/kalnins.
	Example string
	// Folder is where settings, certificates and logs go.
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

// Prepare lays out an example: its settings with addresses replaced, fresh
// certificates and a resume key.
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

// path returns the path of one of the deployment's files below its folder.
func (d *Deployment) path(parts ...string) string {
	return filepath.Join(append([]string{d.Folder, "run", d.Name}, parts...)...)
}

// copySettings copies the settings files of an example.
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

// copyFile copies one settings file.
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

// exampleNetworks are the networks of the examples' addresses.
var exampleNetworks = []string{"127.0.1.", "127.0.2."}

// replaceNetwork replaces the network of every address.
func replaceNetwork(content []byte, network string) []byte {
	text := string(content)
	for _, old := range exampleNetworks {
		text = strings.ReplaceAll(text, old, network)
	}
	return []byte(text)
}

// CertificateFolder is where the certificates are.
func (d *Deployment) CertificateFolder() string {
	return d.path("certs")
}

// CertificateNames are those who have a certificate: the operator and the
// entry hosts.
func (d *Deployment) CertificateNames() []string {
	return append([]string{operatorName}, d.Hosts...)
}

// CertificateRoles are the roles that the certificate of a name gives. The
// gateway and the controller of a host share one.
func (d *Deployment) CertificateRoles(name string) []machine.Role {
	if name == operatorName {
		return []machine.Role{machine.Operator}
	}
	return []machine.Role{machine.Gateway, machine.Controller}
}

// makeSecrets makes the certificates and the resume key.
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
	document, err := d.document()
	if err != nil {
		return nil, err
	}
	var names []string
	for _, c := range document.Contracts {
		names = append(names, c.Organisation)
	}
	return names, nil
}

// document reads the example's configuration.
func (d *Deployment) document() (*operator.Document, error) {
	content, err := os.ReadFile(d.path(configurationFile))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return operator.ReadDocument(content)
}
