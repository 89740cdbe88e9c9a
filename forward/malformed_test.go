package forward_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/faulty"
	"zinniapin/internal/standin/prepared"
)

// startFaulty makes a faulty server the only target of a handler.
func (h *testHandler) startFaulty(serve func(*net.TCPConn)) {
	s := faulty.Start(serve)
	h.t.Cleanup(s.Close)
	h.targets = h.targets[:1]
	h.targets[0].Address = s.Address
	h.handler.Planner.SetTargets(time.Now(), h.targets)
}

// answerKind is a kind of request and the body of its answer.
type answerKind struct {
	name, service, stage, path, body string
	headers                          []string
}

// answerKinds returns a plain request and a stream, neither of which may be repeated.
func answerKinds() []answerKind {
	return []answerKind{
		{"plain", "desk", "", "/take/a", "0123456789", nil},
		{"stream", "model", "decode", "/reply/a", prepared.Event(1, "") + prepared.Event(2, ""), engineHeaders},
	}
}

// A malformed response reaches no caller: neither as a success nor with a status or a field of the target.
func TestMalformedResponsesReachNoCaller(t *testing.T) {
	for _, kind := range answerKinds() {
		for _, response := range faulty.Responses("X-Request-Id: ID\r\nX-Response-Signature: s\r\n", kind.body) {
			t.Run(kind.name+", "+response.Name, func(t *testing.T) {
				h := newTestHandler(t, kind.service, engine("t-1", kind.stage))
				h.startFaulty(faulty.Respond(response.Bytes))
				a := h.call(http.MethodPost, kind.path, "p", kind.headers...)
				begun := kind.stage != "" && a.status == http.StatusOK && response.AfterBody
				if begun && a.err == nil || !begun && (a.status != http.StatusBadGateway || a.header.Get("X-Response-Signature") != "") {
					t.Errorf("status %d, header %v, body %q, error %v; want 502 of the host, or an incomplete stream", a.status, a.header, a.body, a.err)
				}
			})
		}
	}
}

// A target answers a long upload at once, without a length, and ends the connection while the upload is being written.
// What it sent until then is no complete answer.
func TestAnswerThatEndsDuringItsUploadIsIncomplete(t *testing.T) {
	for name, end := range faulty.Ends {
		for _, kind := range answerKinds() {
			t.Run(kind.name+", "+name, func(t *testing.T) {
				h := newTestHandler(t, kind.service, engine("t-1", kind.stage))
				h.maxBody.Store(faulty.UploadBytes)
				h.startFaulty(faulty.RespondEarly("HTTP/1.1"+head+"\r\n"+kind.body, end))
				for range 5 {
					a := h.call(http.MethodPost, kind.path, strings.Repeat("p", faulty.UploadBytes), kind.headers...)
					if a.err == nil && a.status == http.StatusOK {
						t.Fatalf("the caller got %q as a complete answer", a.body)
					}
				}
			})
		}
	}
}

// A target sends a refusal without a request id once more, late. The next request of that connection, which it runs, is
// neither answered as not run nor sent to another target.
func TestLateCopyOfARefusalIsNoAnswer(t *testing.T) {
	is := is.New(t)
	h := newTestHandler(t, "desk", engine("t-1", ""))
	copier := faulty.Copier{
		Refusal:  "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		Response: "HTTP/1.1" + head + "Content-Length: 2\r\n\r\nok",
	}
	h.startFaulty(copier.Serve)
	a := h.call(http.MethodPost, "/take/a", "x")
	is.Equal(a.status, http.StatusServiceUnavailable) // the only target refused
	is.Equal(copier.Runs.Load(), int32(0))
	a = h.call(http.MethodPost, "/take/a", "x")
	is.Equal(a.status, http.StatusOK)
	is.Equal(copier.Runs.Load(), int32(1))
}

// A target that does not state that a request has not run promises nothing by its status either.
func TestStatusWithoutTheStatementPromisesNothing(t *testing.T) {
	for _, kind := range answerKinds() {
		for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
			h := newTestHandler(t, kind.service, engine("t-1", kind.stage))
			h.startFaulty(faulty.Respond("HTTP/1.1 " + status + "\r\nX-Request-Id: ID\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"))
			if a := h.call(http.MethodPost, kind.path, "p", kind.headers...); a.status != http.StatusBadGateway {
				t.Errorf("%s, %s: the caller got status %d", kind.name, status, a.status)
			}
		}
	}
}
