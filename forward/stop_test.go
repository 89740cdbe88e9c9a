package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
)

// A host that stops answers what is in progress at the end: a request that may have run without a promise, a stream so
// that it is visibly incomplete.
func TestRequestsInProgressAreAnsweredBeforeTheHostStops(t *testing.T) {
	for _, c := range []struct {
		kind   answerKind
		change func(*prepared.Target)
		status int
	}{
		{answerKinds()[0], func(t *prepared.Target) { t.Delay = 3 * time.Second }, http.StatusBadGateway},
		{answerKinds()[1], func(t *prepared.Target) { t.Delay = 3 * time.Second }, http.StatusBadGateway},
		{answerKinds()[1], func(t *prepared.Target) { t.Events, t.EventPause = 100, 100*time.Millisecond }, http.StatusOK},
	} {
		t.Run(fmt.Sprint(c.kind.name, " ", c.status), func(t *testing.T) {
			is := is.New(t)
			target := engine("t-1", c.kind.stage)
			c.change(target)
			h := newTestHandler(t, c.kind.service, target)
			now := time.Now()
			time.AfterFunc(100*time.Millisecond, func() { h.handler.Stop(now.Add(200*time.Millisecond), now.Add(400*time.Millisecond)) })
			a := h.call(http.MethodPost, c.kind.path, "p", c.kind.headers...)
			is.True(time.Since(now) < time.Second)
			is.Equal(a.status, c.status)
			is.Equal(a.err != nil, c.status == http.StatusOK)
		})
	}
}

// lateCall sends the head of a request and a part of its body, and the rest after a time. It returns the response.
func (h *testHandler) lateCall(deadlineMillis int, after time.Duration) callResult {
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close() //nolint:errcheck // a test
	_, _ = fmt.Fprintf(c, "POST /take/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: %d\r\nX-Credential: key-1\r\nContent-Length: 4\r\n\r\nab", deadlineMillis)
	time.Sleep(after)
	_, _ = io.WriteString(c, "cd")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callResult{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(data), err}
}

// A request whose body ends late in the grace period of a host is passed on only if it is sure to be answered before the
// host stops. Otherwise it is refused at once.
func TestRequestsWhoseBodyEndsLateInTheGracePeriod(t *testing.T) {
	is := is.New(t)
	target := engine("t-1", "")
	h := newTestHandler(t, "desk", target)
	now := time.Now()
	h.handler.Stop(now.Add(100*time.Millisecond), now.Add(time.Second))
	a := h.lateCall(2000, 0)
	is.Equal(a.status, http.StatusOK) // other hosts get no new connections yet
	a = h.lateCall(2000, 200*time.Millisecond)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(target.Arrivals()), 1)
	a = h.lateCall(600, 50*time.Millisecond)
	is.Equal(a.status, http.StatusOK)
	target.Change(func(s *prepared.TargetSwitches) { s.Delay = 3 * time.Second })
	a = h.lateCall(400, 50*time.Millisecond)
	is.Equal(a.status, http.StatusGatewayTimeout) // at its deadline
}
