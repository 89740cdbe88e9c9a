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
			answer := make(chan callResult)
			go func() { answer <- h.call(http.MethodPost, c.kind.path, "p", c.kind.headers...) }()
			for len(target.Arrivals()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(200 * time.Millisecond) // a stream begins
			h.handler.Stop(time.Now(), time.Now().Add(200*time.Millisecond))
			a := <-answer
			is.Equal(a.status, c.status)
			is.Equal(a.err != nil, c.status == http.StatusOK)
		})
	}
}

// lateCall sends the head of a request and a part of its body, and the rest a little later. It returns the response.
func (h *testHandler) lateCall(deadline time.Duration) callResult {
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close() //nolint:errcheck // a test
	_, _ = fmt.Fprintf(c, "POST /take/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: %d\r\nX-Credential: key-1\r\nContent-Length: 4\r\n\r\nab", deadline.Milliseconds())
	time.Sleep(50 * time.Millisecond)
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
	for name, c := range map[string]struct {
		closing, end, deadline time.Duration // from now on
		delay                  time.Duration // of the target
		status, arrivals       int
	}{
		"before other hosts get new connections": {time.Hour, 1500 * time.Millisecond, 2 * time.Second, 0, http.StatusOK, 1},
		"deadline after the end":                 {0, 1500 * time.Millisecond, 2 * time.Second, 0, http.StatusServiceUnavailable, 0},
		"deadline before the end":                {0, time.Hour, 2 * time.Second, 0, http.StatusOK, 1},
		"not answered by its deadline":           {0, time.Hour, 400 * time.Millisecond, 5 * time.Second, http.StatusGatewayTimeout, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := engine("t-1", "")
			target.Change(func(s *prepared.TargetSwitches) { s.Delay = c.delay })
			h := newTestHandler(t, "desk", target)
			now := time.Now()
			h.handler.Stop(now.Add(c.closing), now.Add(c.end))
			a := h.lateCall(c.deadline)
			is.Equal(a.status, c.status)
			is.Equal(a.header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			is.Equal(len(target.Arrivals()), c.arrivals)
		})
	}
}
