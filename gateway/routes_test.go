package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadlineWriter records the write deadlines that are set.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadlines = append(w.deadlines, t)
	return nil
}

// TestWriteDeadlineOfAnotherAnswer checks that each request first clears the write deadline
// that the previous response set on its connection.
func TestWriteDeadlineOfAnotherAnswer(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, nil, "e1")
	for _, path := range []string{"/v1/models", "/v1/chat/completions", "/v1/services/desk/status/1", "/none"} {
		w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		tg.g.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		is.True(len(w.deadlines) >= 2)
		is.True(w.deadlines[0].IsZero())
		is.True(!w.deadlines[len(w.deadlines)-1].IsZero())
	}
}

// TestRequestBodyLimits checks the limits on request bodies.
func TestRequestBodyLimits(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, nil, "e1")
	response, body := tg.send("POST", "/v1/chat/completions", testKey, strings.Repeat("x", maxBodyBytes+1))
	is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(errorOf(body).Execution, "not_run")
	_, body = tg.send("POST", "/v1/chat/completions", testKey, "x", "Content-Encoding", "gzip")
	is.Equal(errorOf(body).Code, "unsupported_parameter")
	tg.g.bodyBudget.acquire(maxBodiesBytes)
	_, body = tg.send("POST", "/v1/chat/completions", testKey, chatRequest("a", false))
	is.Equal(errorOf(body).Code, "queue_full")
	tg.g.bodyBudget.release(maxBodiesBytes)
	response, _ = tg.send("POST", "/v1/chat/completions", testKey, chatRequest("a", false))
	is.Equal(response.StatusCode, 200)
	eventually(t, func() bool { return tg.g.bodyBudget.available.Load() == maxBodiesBytes })
}
