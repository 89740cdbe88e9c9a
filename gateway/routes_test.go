package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"zinniapin/intake"
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

	// Of 48 MB a body of 4 MiB would take too much in all its copies. An ordinary request is served beside it, and nothing
	// is counted once the connections have ended.
	registry := prometheus.NewRegistry()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: tg.g, MaxHeaderBytes: maxHeaderBytes}
	intake.Bound(server)
	bounds := intake.New(intake.Options{MemoryMB: 48, Descriptors: 256, Log: &tg.g.log, Registry: registry})
	go func() { _ = server.Serve(bounds.Listen(listener, intake.Callers)) }()
	t.Cleanup(func() { _ = server.Close() })
	send := func(content string) (int, string) {
		r, err := http.NewRequest("POST", "http://"+listener.Addr().String()+"/v1/chat/completions", strings.NewReader(chatRequest(content, false)))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
		is.NoErr(err)
		defer response.Body.Close()
		read, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(read)
	}
	_, body = send(strings.Repeat("x", maxBodyBytes-1000))
	is.Equal(errorOf(body).Code, "queue_full")
	is.Equal(errorOf(body).Execution, "not_run")
	status, _ := send("a")
	is.Equal(status, 200)
	eventually(t, func() bool {
		held, err := registry.Gather()
		return err == nil && slices.ContainsFunc(held, func(m *dto.MetricFamily) bool {
			return m.GetName() == "zinnia_intake_bytes" && m.GetMetric()[0].GetGauge().GetValue() == 0
		})
	})
}
