package gateway

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniapin/internal/standin/faulty"
	"zinniapin/target"
)

// callFaulty calls a service that a faulty server plays.
func callFaulty(t *testing.T, serve func(*net.TCPConn), body []byte) (ServiceResponse, error) {
	t.Helper()
	s := faulty.Start(serve)
	t.Cleanup(s.Close)
	return NewHTTPServices(nil).Call(t.Context(), target.Target{Address: s.Address}, ServiceRequest{Method: http.MethodPost, Path: "/a", Header: http.Header{}, Body: body})
}

// A malformed response of a service is none.
func TestMalformedResponsesOfServicesAreNone(t *testing.T) {
	for _, response := range faulty.Responses("Content-Type: text/plain\r\n", "0123456789") {
		if r, err := callFaulty(t, faulty.Respond(response.Bytes), nil); !errors.Is(err, target.ErrIncomplete) {
			t.Errorf("%s: status %d, body %q, error %v", response.Name, r.Status, r.Body, err)
		}
	}
}

// A response without a length that ends while the call is being written is incomplete.
func TestResponseThatEndsDuringItsUploadIsIncomplete(t *testing.T) {
	for name, end := range faulty.Ends {
		for range 5 {
			r, err := callFaulty(t, faulty.RespondEarly("HTTP/1.1 200 OK\r\n\r\npart", end), bytes.Repeat([]byte("p"), faulty.UploadBytes))
			if !errors.Is(err, target.ErrIncomplete) {
				t.Errorf("%s: status %d, body %q, error %v", name, r.Status, r.Body, err)
			}
		}
	}
}

// A service sends a refusal once more, late. The next call, which it runs, is not taken for refused.
func TestLateCopyOfARefusalOfAService(t *testing.T) {
	is := is.New(t)
	for _, length := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbusy"} {
		copier := faulty.Copier{Refusal: "HTTP/1.1 503 Service Unavailable\r\nZinnia-Not-Run: true\r\n" + length, Response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}
		s := faulty.Start(copier.Serve)
		t.Cleanup(s.Close)
		tg := newTestGatewayWithServices(t, s.Address)
		for i, want := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
			response, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", strings.Repeat("k", i+1))
			is.Equal(response.StatusCode, want)
			is.Equal(copier.Runs.Load(), int32(i))
			is.True(i == 0 || body == "ok")
		}
	}
}
