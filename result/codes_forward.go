package result

import "net/http"

// Codes of requests that a node forwards, 8000 to 8099. They appear in the node's log; callers
// get the HTTP status only.
var (
	NodeNotReady    = define(8000, "node_not_ready", http.StatusServiceUnavailable, exitFailure, "The node has no configuration or no list of targets yet.", "Retry after the time given.")
	NoRoute         = define(8001, "no_route", http.StatusNotFound, exitUsage, "No route matches the host and path.", "Check the host and the path against the configuration.")
	NoKey           = define(8002, "no_key", http.StatusUnauthorized, exitUsage, "The request carries no known key.", "Ask the operator for a key.")
	BadHeader       = define(8003, "bad_header", http.StatusBadRequest, exitUsage, "A header of the request cannot be read.", "Correct the named header.")
	TargetsBusy     = define(8004, "targets_busy", http.StatusServiceUnavailable, exitFailure, "Every target's queue is too long for the request's objective. The request has not run.", "Retry after the time given.")
	TargetsAway     = define(8005, "targets_away", http.StatusServiceUnavailable, exitFailure, "The service has no usable target. The request has not run.", "Retry after the time given.")
	TargetsRefused  = define(8006, "targets_refused", http.StatusServiceUnavailable, exitFailure, "None of the targets that were tried ran the request.", "Retry after the time given.")
	OutcomeUnknown  = define(8007, "outcome_unknown", http.StatusBadGateway, exitFailure, "A target did not return a complete answer; it may have run the request.", "Find out whether the request ran before repeating it.")
	OutOfTime       = define(8008, "out_of_time", http.StatusGatewayTimeout, exitFailure, "The deadline of the request passed; a target may have run the request.", "Find out whether the request ran before repeating it.")
	CallerLeft      = define(8009, "caller_left", 499, exitFailure, "The caller closed its connection before the answer was complete.", "none")
	StreamCut       = define(8010, "stream_cut", http.StatusBadGateway, exitFailure, "A stream broke off and could not be continued at another target.", "Resume the stream after its last event if the route allows it.")
	VersionAway     = define(8012, "version_away", http.StatusServiceUnavailable, exitFailure, "No usable target has the software version that began the stream. The request has not run.", "Retry after the time given, or begin the stream anew.")
	VersionUnknown  = define(8013, "version_unknown", http.StatusServiceUnavailable, exitFailure, "It cannot be told which software version of the targets began the stream: no host that answers has a record, nor has the store, and other versions served. The request has not run.", "Retry after the time given, or begin the stream anew.")
	TargetsPaused   = define(8014, "targets_paused", http.StatusServiceUnavailable, exitFailure, "Every usable target has asked to be left alone for some time, or has got as many requests as it takes. The request has not run.", "Retry after the time given.")
	PromptBlocked   = define(8015, "prompt_blocked", http.StatusServiceUnavailable, exitFailure, "The prompt has a part under which several targets have crashed. The request has not run.", "Do not send prompts with that part; the time given is when they will be tried again.")
	RequestBlocked  = define(8016, "request_blocked", http.StatusServiceUnavailable, exitFailure, "Several targets have crashed under the same request, by the same caller with the same method, path and body. The request has not run.", "Do not send it again as it is; the time given is when it will be tried again.")
	LimitReached    = define(8017, "limit_reached", http.StatusTooManyRequests, exitFailure, "The limit of the organisation is reached, or the request counts more than the limit ever allows at once. The request has not run.", "Retry after the time given. The event limit_refused names the limit and what the request counts.")
	LimitUnknown    = define(8018, "limit_unknown", http.StatusServiceUnavailable, exitFailure, "No host grants units of the organisation's limit, and the share of this host is lent or not yet in use. The request has not run.", "Retry after the time given, or at another host.")
	HostStopping    = define(8019, "host_stopping", http.StatusServiceUnavailable, exitFailure, "The host is about to stop and cannot wait for an answer. The request has not run.", "Retry at another host, on a new connection.")
	HostStopped     = define(8020, "host_stopped", http.StatusBadGateway, exitFailure, "The host stopped before a target had answered; a target may have run the request.", "Find out whether the request ran before repeating it.")
	OutOfTimeNotRun = define(8011, "out_of_time_not_run", http.StatusServiceUnavailable, exitFailure, "The deadline of the request passed before any target ran it.", "Retry after the time given.")
)
