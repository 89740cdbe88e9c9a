package result

import "net/http"

// Codes of planned changes, 6150 to 6199.
var (
	DrainTimeout = define(6150, "drain_timeout", http.StatusGatewayTimeout, exitTimeout, "A target did not run empty in time; it takes work again.", "Look for a gateway that does not answer or a very long request.")
)
