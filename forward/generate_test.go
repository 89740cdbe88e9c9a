package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/dispatch"
	"zinniapin/internal/standin/prepared"
	"zinniapin/target"
)

// engine returns a stand-in engine with a role, "prefill" or "decode".
func engine(id, role string) *prepared.Target {
	t := prepared.NewTarget(id)
	t.Stage = role
	return t
}

// expectedStream returns the body of a stream with the events 1 to n.
func expectedStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// A long prompt is processed by the prefill target; the decode target fetches the KV cache and
// produces the output.
func TestLongPromptUsesPrefillTarget(t *testing.T) {
	is := is.New(t)
	p, d := engine("p-1", "prefill"), engine("d-1", "decode")
	h := newTestHandler(t, "model", p, d)
	// A long prompt is processed by the prefill target, which is faster at it.
	a := h.call(http.MethodPost, "/draft/a", "prompt", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,bb:11000")
	is.NoErr(a.err)
	is.Equal(a.body, expectedStream(3))
	is.Equal(len(p.Arrivals()), 1)
	is.Equal(p.Arrivals()[0].Header.Get("X-Stage"), "prefill")
	is.Equal(d.Arrivals()[0].Header.Get("X-Kv-Source"), p.Address()+"/h-id-1")
	is.Equal(d.Arrivals()[0].Body, "prompt")
	is.Equal(d.Runs(), 1)
	is.Equal(h.started["parents"], 1)
}

// If the target that has the shared prefix of a prompt in its cache is busy, another target
// processes the prompt and fetches the prefix. The decode target fetches the whole KV cache and
// must not be told to fetch the prefix.
func TestSharedPrefixIsFetchedFromItsHolder(t *testing.T) {
	is := is.New(t)
	targets := map[string]*prepared.Target{"p-1": engine("p-1", "prefill"), "p-2": engine("p-2", "prefill")}
	d := engine("d-1", "decode")
	h := newTestHandler(t, "model", targets["p-1"], targets["p-2"], d)
	is.NoErr(h.call(http.MethodPost, "/draft/a", "p", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,bb:11000").err)
	holder, other := targets["p-1"], targets["p-2"]
	if len(holder.Arrivals()) == 0 {
		holder, other = other, holder
	}
	time.Sleep(200 * time.Millisecond) // the planner counts the prefix as cached by then
	busy := dispatch.Job{Service: "model", PromptTokens: 60_000, Objective: time.Second, TimeLeft: 5 * time.Second}
	h.handler.PlannerMu.Lock()
	h.handler.Planner.Begin(time.Now(), target.ID(holder.ID), busy, busy.PromptTokens)
	h.handler.PlannerMu.Unlock()
	is.NoErr(h.call(http.MethodPost, "/draft/a", "p", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,cc:11000").err)
	is.Equal(len(other.Arrivals()), 1)
	is.Equal(other.Arrivals()[0].Header.Get("Kv-Fetch"), holder.Address())
	for _, arrival := range d.Arrivals() {
		is.Equal(arrival.Header.Get("Kv-Fetch"), "")
	}
}

// A target breaks off a resumable stream inside an event. Another target resumes after the last
// complete event, and the caller gets one complete stream.
func TestBrokenStreamResumesAtAnotherTarget(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	one.Events, two.Events = 6, 6
	one.BreakAfter, two.BreakAfter = 2, 0
	h := newTestHandler(t, "model", one, two)
	for range 8 { // until d-1, which breaks off, is tried first
		a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
		is.NoErr(a.err)
		is.Equal(a.body, expectedStream(6)) // no event is missing, duplicated or truncated
		signature := a.header.Get("X-Response-Signature")
		for _, arrival := range two.Arrivals() {
			if arrival.Header.Get("Last-Event-Id") == "2" {
				is.Equal(signature, "d-1") // the headers are those of the first target
				return
			}
		}
	}
	t.Fatal("the target that breaks off was never tried first")
}

// A target breaks off a stream that is not resumable. The caller gets the complete events and an
// aborted response; the request is not run again.
func TestNonResumableStreamIsAborted(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	one.BreakAfter, two.BreakAfter = 2, 2
	h := newTestHandler(t, "model", one, two)
	a := h.call(http.MethodPost, "/reply/a", "p", engineHeaders...)
	is.True(a.err != nil)               // the response must not look complete
	is.Equal(a.body, expectedStream(2)) // complete events only
	is.Equal(one.Runs()+two.Runs(), 1)
}

// Both targets of a resumable stream break off, so that it cannot be completed within the attempts
// of the route. The response is aborted after the events that were sent.
func TestStreamIsCutWhenAttemptsAreUsedUp(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	one.Events, two.Events = 6, 6
	one.BreakAfter, two.BreakAfter = 2, 2
	one.FirstID, two.FirstID = 1, 1
	h := newTestHandler(t, "model", one, two)
	// Both targets break off after two events. The caller gets four events, and a third attempt
	// would exceed the attempts of the route.
	a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
	is.True(a.err != nil)
	is.Equal(a.body, expectedStream(4))
}

// The caller gets 503 only if the target stated that it did not run the request; after a lost
// connection it gets 502.
func TestOnlyRefusedStreamGets503(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	h := newTestHandler(t, "model", one)
	one.SetFaults(prepared.RefuseNotRun)
	a := h.call(http.MethodPost, "/reply/a", "p", engineHeaders...)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(one.Runs(), 0)
	one.SetFaults(prepared.RunAndReset)
	a = h.call(http.MethodPost, "/reply/a", "p", engineHeaders...)
	is.Equal(a.status, http.StatusBadGateway) // the request may have run
}

// When the caller disconnects, the node closes the connection to the target.
func TestCallerDisconnectClosesTargetConnection(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	one.Events, one.EventPause = 100, 20*time.Millisecond
	h := newTestHandler(t, "model", one)
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	go exchange(c, bufio.NewReader(c), http.MethodPost, "/draft/a", "p", engineHeaders...)
	time.Sleep(150 * time.Millisecond)
	is.NoErr(c.Close())
	for start := time.Now(); one.Abandoned() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 500*time.Millisecond {
			t.Fatal("the target still runs the request 500 ms after the caller has disconnected")
		}
	}
}

// The decode target cannot be connected to after the prompt was processed. The node releases the KV cache.
func TestUnusedCacheIsFreed(t *testing.T) {
	is := is.New(t)
	p, d := engine("p-1", "prefill"), engine("d-1", "decode")
	h := newTestHandler(t, "model", p, d)
	d.Close()
	a := h.call(http.MethodPost, "/draft/a", "prompt", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,bb:11000")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(len(p.Arrivals()) > 0)
	for start := time.Now(); len(p.FreedHandles()) < len(p.Arrivals()); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 2*time.Second {
			t.Fatalf("%d of %d KV caches were freed within 2 s", len(p.FreedHandles()), len(p.Arrivals()))
		}
	}
	is.Equal(p.FreedHandles()[0], "h-id-1")
}

// Each event is sent to the caller when it arrives, not when the next one does.
func TestEventsAreSentOnArrival(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	one.Events, one.EventPause = 2, 1500*time.Millisecond
	h := newTestHandler(t, "model", one)
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	defer c.Close() //nolint:errcheck // a test
	fmt.Fprintf(c, "POST /draft/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 9000\r\nX-Credential: key-1\r\n%s\r\nContent-Length: 0\r\n\r\n", strings.Join(engineHeaders, "\r\n"))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	start := time.Now()
	buffer := make([]byte, 1024)
	_, err = response.Body.Read(buffer)
	is.NoErr(err)
	is.True(time.Since(start) < time.Second) // not buffered until the next event
}

// A target sends nothing after it got the request. The attempt is cancelled and another target
// produces the stream.
func TestSilentTargetIsReplaced(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	h := newTestHandler(t, "model", one, two)
	cancelled := 0
	for range 8 {
		one.SetFaults(prepared.RunAndHang)
		two.SetFaults()
		a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
		is.NoErr(a.err)
		is.Equal(a.body, expectedStream(3))
		cancelled = one.Abandoned()
		if cancelled > 0 {
			break
		}
	}
	is.True(cancelled > 0) // the silent target saw its connection closed
}

// The only target sends its first event after the first-event timeout. The attempt is not
// cancelled, since no other target could run the request.
func TestOnlyTargetIsNotTimedOut(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	one.Delay = 1650 * time.Millisecond
	h := newTestHandler(t, "model", one)
	a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
	is.NoErr(a.err)
	is.Equal(a.body, expectedStream(3))
	is.Equal(one.Runs(), 1)
}
