package result

import "net/http"

// Codes of the links between processes and of the controllers, 1100 to 1199.
var (
	LinkFailed          = define(1100, "link_failed", http.StatusServiceUnavailable, exitFailure, "A link to another process could not be opened or ended during a call.", "Check that the process runs and that its address can be reached.")
	LinkRefused         = define(1101, "link_refused", http.StatusForbidden, exitUsage, "The other process has no certificate of a known authority, or speaks another version of the protocol.", "Compare certificates and program versions.")
	UnknownMessage      = define(1102, "unknown_message", http.StatusBadRequest, exitUsage, "A process was sent a message that it does not serve.", "Compare the program versions.")
	NoSuchTopic         = define(1103, "no_such_topic", http.StatusNotFound, exitUsage, "The status topic does not exist.", "Ask for members, targets, config, grants or links.")
	GatewayNotLinked    = define(1104, "gateway_not_linked", http.StatusServiceUnavailable, exitFailure, "The controller has no link to the named gateway.", "Try again once the gateway has reconnected.")
	LinkIdentityRefused = define(1106, "link_identity_refused", http.StatusForbidden, exitUsage, "A process claims a host or a role that its certificate does not give it.", "Issue a certificate with the host as DNS name and the URI of each role; see docs/OPERATIONS.md, certificates.")
	NoConfiguration     = define(1105, "no_configuration", http.StatusServiceUnavailable, exitFailure, "The controller has not yet confirmed the accepted configuration.", "Wait until the object API or another controller can be reached.")
)
