package yamuxlink

import (
	"crypto/x509"
	"slices"

	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
)

// identifyListener checks a process that was dialled: only controllers and
// nodes listen for links.
func identifyListener(p machine.Process, shown *x509.Certificate) error {
	if p.Role != machine.Controller && p.Role != machine.Node {
		return result.New(result.LinkIdentityRefused, "a %s listens in the place of a controller", p.Role)
	}
	return identify(p, shown)
}

// identify checks that a certificate gives a process its host, as a DNS name,
// and its role, as a URI. Without TLS there is none, and nothing is checked.
// The error is a result.LinkIdentityRefused.
func identify(p machine.Process, shown *x509.Certificate) error {
	if shown == nil {
		return nil
	}
	if !slices.Contains(shown.DNSNames, string(p.Host)) {
		return result.New(result.LinkIdentityRefused, "the certificate is not that of host %q", p.Host)
	}
	role := link.RoleURI(p.Role).String()
	for _, given := range shown.URIs {
		if given.String() == role {
			return nil
		}
	}
	return result.New(result.LinkIdentityRefused, "the certificate of %q does not give the role %q; it has no URI %s", p.Host, p.Role, role)
}
