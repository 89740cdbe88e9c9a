package result

import "net/http"

// Codes of callers' requests, 2000 to 2099.
var (
	BadKey              = define(2000, "bad_key", http.StatusUnauthorized, exitFailure, "The key is missing, unknown or withdrawn.", "Ask the operator for a key.")
	BadRequest          = define(2001, "bad_request", http.StatusBadRequest, exitUsage, "The request is malformed.", "Correct the field or header that the message names.")
	TooLarge            = define(2002, "too_large", http.StatusRequestEntityTooLarge, exitUsage, "The body or a header exceeds its bound.", "Send less.")
	NoSuchModel         = define(2003, "no_such_model", http.StatusNotFound, exitUsage, "The model does not exist or the contract does not include it.", "List the models with GET /v1/models.")
	NoSuchRoute         = define(2004, "no_such_route", http.StatusNotFound, exitUsage, "No service and route matches the call, or the contract does not include it.", "Check method and path.")
	NeedsIdempotencyKey = define(2005, "needs_idempotency_key", http.StatusBadRequest, exitUsage, "The call may not be repeated and carries no Idempotency-Key.", "Send the header Idempotency-Key.")
)

// Codes of limits and queues, 2100 to 2199.
var (
	RateLimited          = define(2100, "rate_limited", http.StatusTooManyRequests, exitFailure, "The organisation's request rate is used up.", "Retry after the time given.")
	ConcurrencyLimited   = define(2101, "concurrency_limited", http.StatusTooManyRequests, exitFailure, "The organisation has its full number of requests in progress.", "Retry after the time given.")
	TokenLimited         = define(2102, "token_limited", http.StatusTooManyRequests, exitFailure, "The organisation's tokens of this minute are used up.", "Retry after the time given.")
	QueueFull            = define(2103, "queue_full", http.StatusServiceUnavailable, exitFailure, "The queue has no room for the request.", "Retry after the time given.")
	DeadlineNotReachable = define(2104, "deadline_not_reachable", http.StatusServiceUnavailable, exitFailure, "The request could not be served in time.", "Retry after the time given.")
	NotReady             = define(2105, "not_ready", http.StatusServiceUnavailable, exitFailure, "The gateway has no confirmed configuration.", "Try another gateway.")
	ShuttingDown         = define(2106, "shutting_down", http.StatusServiceUnavailable, exitFailure, "The gateway is shutting down.", "Try another gateway.")
)

// Codes of targets, 3000 to 3099.
var (
	NoTarget         = define(3000, "no_target", http.StatusServiceUnavailable, exitFailure, "No live target serves the model or service.", "Retry after the time given.")
	TargetRefused    = define(3001, "target_refused", http.StatusServiceUnavailable, exitFailure, "Every target tried refused the request unrun.", "Retry after the time given.")
	AnswerIncomplete = define(3002, "answer_incomplete", http.StatusBadGateway, exitFailure, "The answer could not be completed.", "Send the request again if repeating it is allowed.")
	TargetTimeout    = define(3003, "target_timeout", http.StatusGatewayTimeout, exitTimeout, "The target did not answer in time.", "Send the request again if repeating it is allowed.")
	ResumeRejected   = define(3004, "resume_rejected", http.StatusBadRequest, exitUsage, "The resume token is invalid or too old.", "Send the request again without a resume token.")
)

// Codes of non-repeatable requests, 4000 to 4099.
var (
	ClaimRunning  = define(4000, "claim_running", http.StatusConflict, exitConflict, "A request with this idempotency key is in progress.", "Retry with the same key after the time given.")
	ClaimMismatch = define(4001, "claim_mismatch", http.StatusUnprocessableEntity, exitUsage, "The idempotency key was used with another request.", "Use a new key for a new request.")
	ClaimUnknown  = define(4002, "claim_unknown", http.StatusConflict, exitTimeout, "The outcome of the request with this key is unknown; it will not run again.", "Ask the service whether the call took effect.")
	ClaimNotRun   = define(4003, "claim_not_run", http.StatusServiceUnavailable, exitFailure, "The request did not run.", "Send it again with the same key.")
)
