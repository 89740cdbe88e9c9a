package result

import "net/http"

// Further codes of callers' requests at the gateway, 2006 to 2099.
var (
	KeyInContent         = define(2006, "key_in_content", http.StatusBadRequest, exitUsage, "The path, query or body contains the caller's key, which no target may see.", "Send the key in the header Authorization only.")
	KeyWithdrawn         = define(2007, "key_withdrawn", http.StatusUnauthorized, exitFailure, "The key was withdrawn while the answer was under way.", "Ask the operator for a key.")
	UnsupportedParameter = define(2008, "unsupported_parameter", http.StatusBadRequest, exitUsage, "The request asks for something that the gateway does not offer.", "Leave out the named field.")
)

// Further codes of attempts at targets, 3005 to 3099.
var (
	RetriesUsedUp = define(3005, "retries_used_up", http.StatusServiceUnavailable, exitFailure, "The gateway spends no further retries while many requests fail.", "Retry after the time given.")
)
