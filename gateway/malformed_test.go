package gateway

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"testing"

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
