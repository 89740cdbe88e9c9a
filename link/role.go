package link

import (
	"net/url"

	"zinniapin/machine"
)

// rolePrefix begins the URI of a role in a certificate.
const rolePrefix = "zinniapin:role:"

// RoleURI returns the URI by which a certificate gives its holder a role, as a
// subject alternative name. A certificate may give several.
func RoleURI(role machine.Role) *url.URL {
	return &url.URL{Scheme: "urn", Opaque: rolePrefix + string(role)}
}
