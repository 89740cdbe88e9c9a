package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"zinniapin/result"
)

// errorBody is the body of an error, in the form that clients of the chat
// completions API expect, with the numbered code and the execution state.
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

// bodyOf returns the body of an error. The cause stays out of it, since it
// may name targets.
func bodyOf(requestID string, e *result.Error) errorBody {
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

// errorType returns the type that clients tell errors apart by.
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

// writeError answers a request with an error.
func writeError(w http.ResponseWriter, requestID string, e *result.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set(headerRetryAfter, retrySeconds(e.RetryAfter))
	}
	writeJSON(w, e.Code.Definition().Status, bodyOf(requestID, e))
}

// retrySeconds rounds up to whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// limitWrite bounds the writing of an answer, so that a caller that does not
// read cannot hold up a shutdown.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // not every writer has one
}

// writeJSON answers with a JSON document.
func writeJSON(w http.ResponseWriter, status int, document any) {
	encoded, err := json.Marshal(document)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	limitWrite(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // a caller that is gone needs no answer
}
