package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadlineWriter notes the write deadlines that are set.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadlines = append(w.deadlines, t)
	return nil
}

// TestWriteDeadlineOfAnotherAnswer checks that every request first lifts the
// deadline that an earlier answer left on its connection.
func TestWriteDeadlineOfAnotherAnswer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil, "e1")
	for _, path := range []string{"/v1/models", "/v1/chat/completions", "/v1/services/desk/status/1", "/none"} {
		w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		r.g.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		is.True(len(w.deadlines) >= 2)
		is.True(w.deadlines[0].IsZero())
		is.True(!w.deadlines[len(w.deadlines)-1].IsZero())
	}
}

// TestBodies checks the bounds on bodies.
func TestBodies(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil, "e1")
	response, body := r.send("POST", "/v1/chat/completions", testKey, strings.Repeat("x", maxBodyBytes+1))
	is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(failure(body).Execution, "not_run")
	_, body = r.send("POST", "/v1/chat/completions", testKey, "x", "Content-Encoding", "gzip")
	is.Equal(failure(body).Code, "unsupported_parameter")
	r.g.bodies.take(maxBodiesBytes)
	_, body = r.send("POST", "/v1/chat/completions", testKey, chatRequest("a", false))
	is.Equal(failure(body).Code, "queue_full")
	r.g.bodies.give(maxBodiesBytes)
	response, _ = r.send("POST", "/v1/chat/completions", testKey, chatRequest("a", false))
	is.Equal(response.StatusCode, 200)
	eventually(t, func() bool { return r.g.bodies.left.Load() == maxBodiesBytes })
}
