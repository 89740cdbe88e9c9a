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

// engine returns a stand-in engine of a role.
func engine(id, stage string) *prepared.Target {
	t := prepared.NewTarget(id)
	t.Stage = stage
	return t
}

// stream is what a stream with events from one to n looks like.
func stream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

func TestPromptIsProcessedApart(t *testing.T) {
	is := is.New(t)
	p, d := engine("p-1", "prefill"), engine("d-1", "decode")
	r := newRig(t, "model", p, d)
	// A long prompt goes to the target that is quicker at it.
	a := r.call(http.MethodPost, "/draft/a", "prompt", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,bb:11000")
	is.NoErr(a.err)
	is.Equal(a.body, stream(3))
	is.Equal(len(p.Arrivals()), 1)
	is.Equal(p.Arrivals()[0].Header.Get("X-Stage"), "prefill")
	is.Equal(d.Arrivals()[0].Header.Get("X-Kv-Source"), p.Address()+"/h-id-1")
	is.Equal(d.Arrivals()[0].Body, "prompt")
	is.Equal(d.Runs(), 1)
	is.Equal(r.began["parents"], 1)
}

// A prompt whose shared part is kept by a busy target is processed by another,
// which fetches that part; the prompt's own output target fetches the whole.
func TestSharedPartIsFetchedFromItsKeeper(t *testing.T) {
	is := is.New(t)
	targets := map[string]*prepared.Target{"p-1": engine("p-1", "prefill"), "p-2": engine("p-2", "prefill")}
	d := engine("d-1", "decode")
	r := newRig(t, "model", targets["p-1"], targets["p-2"], d)
	is.NoErr(r.call(http.MethodPost, "/draft/a", "p", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,bb:11000").err)
	keeper, other := targets["p-1"], targets["p-2"]
	if len(keeper.Arrivals()) == 0 {
		keeper, other = other, keeper
	}
	time.Sleep(200 * time.Millisecond) // it keeps the part by then
	busy := dispatch.Job{Service: "model", PromptTokens: 60_000, Objective: time.Second, TimeLeft: 5 * time.Second}
	r.handler.PlannerMu.Lock()
	r.handler.Planner.Begin(time.Now(), target.ID(keeper.ID), busy, busy.PromptTokens)
	r.handler.PlannerMu.Unlock()
	is.NoErr(r.call(http.MethodPost, "/draft/a", "p", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,cc:11000").err)
	is.Equal(len(other.Arrivals()), 1)
	is.Equal(other.Arrivals()[0].Header.Get("Kv-Fetch"), keeper.Address())
	for _, arrival := range d.Arrivals() {
		is.Equal(arrival.Header.Get("Kv-Fetch"), "")
	}
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	one.Events, two.Events = 6, 6
	one.BreakAfter, two.BreakAfter = 2, 0
	r := newRig(t, "model", one, two)
	for range 8 { // until the one that breaks is the first
		a := r.call(http.MethodPost, "/draft/a", "p", model...)
		is.NoErr(a.err)
		is.Equal(a.body, stream(6)) // no event missing, twice or halved
		signature := a.header.Get("X-Response-Signature")
		for _, arrival := range two.Arrivals() {
			if arrival.Header.Get("Last-Event-Id") == "2" {
				is.Equal(signature, "d-1") // the head is that of the first
				return
			}
		}
	}
	t.Fatal("the target that breaks off was never the first")
}

func TestStreamThatMayNotGoOnIsCut(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	one.BreakAfter, two.BreakAfter = 2, 2
	r := newRig(t, "model", one, two)
	a := r.call(http.MethodPost, "/reply/a", "p", model...)
	is.True(a.err != nil)       // it does not look whole
	is.Equal(a.body, stream(2)) // whole events only
	is.Equal(one.Runs()+two.Runs(), 1)
}

func TestStreamsThatDoNotJoinAreCut(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	one.Events, two.Events = 6, 6
	one.BreakAfter, two.BreakAfter = 2, 2
	one.FirstID, two.FirstID = 1, 1
	r := newRig(t, "model", one, two)
	// Both break off after two events: four are passed on, and the third attempt
	// is one more than the route allows.
	a := r.call(http.MethodPost, "/draft/a", "p", model...)
	is.True(a.err != nil)
	is.Equal(a.body, stream(4))
}

func TestRefusedStreamIsRefusedTruly(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	r := newRig(t, "model", one)
	one.Next(prepared.Shed)
	a := r.call(http.MethodPost, "/reply/a", "p", model...)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(one.Runs(), 0)
	one.Next(prepared.Lost)
	a = r.call(http.MethodPost, "/reply/a", "p", model...)
	is.Equal(a.status, http.StatusBadGateway) // it may have run
}

func TestLeavingCallerEndsTheWork(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	one.Events, one.EventPause = 100, 20*time.Millisecond
	r := newRig(t, "model", one)
	c, err := net.Dial("tcp", r.address)
	is.NoErr(err)
	go exchange(c, bufio.NewReader(c), http.MethodPost, "/draft/a", "p", model...)
	time.Sleep(150 * time.Millisecond)
	is.NoErr(c.Close())
	for begun := time.Now(); one.Gone() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 500*time.Millisecond {
			t.Fatal("the target still works half a second after the caller has left")
		}
	}
}

func TestUnusedCacheIsFreed(t *testing.T) {
	is := is.New(t)
	p := engine("p-1", "prefill")
	r := newRig(t, "model", p)
	a := r.call(http.MethodPost, "/draft/a", "prompt", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,bb:11000")
	is.Equal(a.status, http.StatusServiceUnavailable) // no target produces output
	for begun := time.Now(); len(p.Freed()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 2*time.Second {
			t.Fatal("the KV cache was not freed")
		}
	}
	is.Equal(p.Freed()[0], "h-id-1")
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	one.Events, one.EventPause = 2, 1500*time.Millisecond
	r := newRig(t, "model", one)
	c, err := net.Dial("tcp", r.address)
	is.NoErr(err)
	defer c.Close() //nolint:errcheck // a test
	fmt.Fprintf(c, "POST /draft/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 9000\r\nX-Credential: key-1\r\n%s\r\nContent-Length: 0\r\n\r\n", strings.Join(model, "\r\n"))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	begun := time.Now()
	buffer := make([]byte, 1024)
	_, err = response.Body.Read(buffer)
	is.NoErr(err)
	is.True(time.Since(begun) < time.Second) // not held until the next event
}

// A target that falls silent, before the first event or amid the stream, does
// not keep a stream that another one can take.
func TestSilentTargetIsLeft(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	r := newRig(t, "model", one, two)
	left := 0
	for range 8 {
		one.Next(prepared.Mute)
		two.Next()
		a := r.call(http.MethodPost, "/draft/a", "p", model...)
		is.NoErr(a.err)
		is.Equal(a.body, stream(3))
		left = one.Gone()
		if left > 0 {
			break
		}
	}
	is.True(left > 0) // it learns that nobody waits
}

// Where no other target could take the request, silence is waited out.
func TestSilenceOfTheOnlyTargetIsWaitedOut(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	one.Delay = 1650 * time.Millisecond
	r := newRig(t, "model", one)
	a := r.call(http.MethodPost, "/draft/a", "p", model...)
	is.NoErr(a.err)
	is.Equal(a.body, stream(3))
	is.Equal(one.Runs(), 1)
}
