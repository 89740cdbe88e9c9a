package result

import "net/http"

// Codes of planned changes to the role or model of an engine, 6150 to 6199.
var (
	DrainTimeout = define(6150, "drain_timeout", http.StatusGatewayTimeout, exitTimeout, "A target did not finish its requests within the drain timeout; it accepts requests again.", "Look for a gateway that does not answer, or for a very long request.")
)
