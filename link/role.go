package link

import (
	"net/url"

	"zinniapin/machine"
)

// rolePrefix comes before the role in the opaque part of a role URI.
const rolePrefix = "zinniapin:role:"

// RoleURI returns the URI that grants a role to the holder of a certificate when
// it is among the certificate's subject alternative names. A certificate may
// grant several roles.
func RoleURI(role machine.Role) *url.URL {
	return &url.URL{Scheme: "urn", Opaque: rolePrefix + string(role)}
}
