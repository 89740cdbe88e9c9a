package result

import "net/http"

// Codes of claims, open orders and usage windows, 4004 to 4199.
var (
	ClaimAnswerNotKept = define(4004, "claim_answer_not_kept", http.StatusConflict, exitConflict, "The request with this key ran, but its answer was not kept; it will not run again.", "Ask the service for what the call did.")
	OrderOpen          = define(4100, "order_open", http.StatusConflict, exitConflict, "Another order to the same engine or pool is open; nothing was sent.", "Wait until it closes, or see docs/OPERATIONS.md on release.")
	OrderUnknown       = define(4101, "order_outcome_unknown", http.StatusServiceUnavailable, exitTimeout, "The order was sent and its outcome is not yet known; it stays open.", "The engine's own state settles it; ask again.")
	OrderStale         = define(4102, "order_stale", http.StatusConflict, exitConflict, "The order's author has lost its authority; the order had no effect.", "Read the present state and decide again.")
	OrderNone          = define(4103, "no_open_order", http.StatusNotFound, exitNotFound, "No order is open there.", "List the open orders.")
)
