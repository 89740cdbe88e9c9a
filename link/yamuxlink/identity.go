package yamuxlink

import (
	"crypto/x509"
	"slices"

	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
)

// checkListenerIdentity checks the identity of a process that this one dialled.
// Only controllers and nodes listen for links.
func checkListenerIdentity(p machine.Process, certificate *x509.Certificate) error {
	if p.Role != machine.Controller && p.Role != machine.Node {
		return result.New(result.LinkIdentityRefused, "dialled a process with role %s, want a controller or node", p.Role)
	}
	return checkIdentity(p, certificate)
}

// checkIdentity checks that a certificate holds the host of a process as a DNS
// name and its role as a URI. Without TLS the certificate is nil, and nothing is
// checked. The error is a result.LinkIdentityRefused.
func checkIdentity(p machine.Process, certificate *x509.Certificate) error {
	if certificate == nil {
		return nil
	}
	if !slices.Contains(certificate.DNSNames, string(p.Host)) {
		return result.New(result.LinkIdentityRefused, "the certificate is not that of host %q", p.Host)
	}
	role := link.RoleURI(p.Role).String()
	for _, uri := range certificate.URIs {
		if uri.String() == role {
			return nil
		}
	}
	return result.New(result.LinkIdentityRefused, "the certificate of host %q does not grant the role %q: it has no URI %s", p.Host, p.Role, role)
}
