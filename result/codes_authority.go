package result

import "net/http"

// Codes of claims, open orders and usage windows, 4004 to 4199.
var (
	ClaimAnswerNotKept  = define(4004, "claim_answer_not_kept", http.StatusConflict, exitConflict, "The request with this key ran, but its answer was not kept; it will not run again.", "Ask the service whether the call took effect.")
	OrderOpen           = define(4100, "order_open", http.StatusConflict, exitConflict, "Another order to the same engine or pool is open; nothing was sent.", "Wait until it closes, or see docs/OPERATIONS.md on releasing an open order.")
	OrderOutcomeUnknown = define(4101, "order_outcome_unknown", http.StatusServiceUnavailable, exitTimeout, "The order was sent and its outcome is not yet known; it stays open.", "Ask again; the state that the engine reports decides the outcome.")
	OrderStale          = define(4102, "order_stale", http.StatusConflict, exitConflict, "The fencing token of the order is outdated, because another author has taken over; the order had no effect.", "Read the current state and decide again.")
	NoOpenOrder         = define(4103, "no_open_order", http.StatusNotFound, exitNotFound, "No order is open for the engine or pool.", "List the open orders.")
)
