package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"zinniapin/result"
)

// errorBody is the JSON body of an error response, in the form that clients of the chat
// completions API expect, extended by the numeric code and the execution state.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes an error.
type errorDetail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Code         string  `json:"code"`
	Param        *string `json:"param"`
	Number       int     `json:"number"`
	Execution    string  `json:"execution"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	RequestID    string  `json:"request_id"`
}

// newErrorBody returns the body for an error. It leaves out the cause, which may name
// targets.
func newErrorBody(requestID string, e *result.Error) errorBody {
	d := errorDetail{
		Message:      e.Code.Definition().Meaning + " " + e.Message,
		Type:         errorType(e.Code.Definition().Status),
		Code:         e.Code.String(),
		Number:       int(e.Code),
		Execution:    e.Execution.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}
	if e.Place != "" {
		d.Param = &e.Place
	}
	return errorBody{d}
}

// errorType returns the error type that clients of the chat completions API expect for a
// status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// writeError sends an error response.
func writeError(w http.ResponseWriter, requestID string, e *result.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set(headerRetryAfter, retryAfterSeconds(e.RetryAfter))
	}
	writeJSON(w, e.Code.Definition().Status, newErrorBody(requestID, e))
}

// retryAfterSeconds formats a duration for Retry-After, rounded up to whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// setWriteDeadline limits the time to write a response, so that a caller that does not read
// cannot delay a shutdown.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // some writers support no deadline
}

// writeJSON sends a JSON response.
func writeJSON(w http.ResponseWriter, status int, document any) {
	encoded, err := json.Marshal(document)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the caller may have disconnected
}
