package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/forward"
	"zinniapin/internal/standin/prepared"
	"zinniapin/route"
)

// streamOf returns the body of a stream with the events from first to last of a version.
func streamOf(version string, first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString(prepared.Event(i, version))
	}
	return b.String()
}

// versioned returns a stand-in engine of a software version, whose streams have six events.
func versioned(id, version string) *prepared.Target {
	t := engine(id, "decode")
	t.Version, t.Events = version, 6
	return t
}

// A target breaks off a resumable stream. The stream goes on at a target of the same software
// version, although most targets are of another one.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	is := is.New(t)
	broken, same := versioned("d-1", "v1"), versioned("d-2", "v1")
	broken.BreakAfter = 2
	all := []*prepared.Target{broken, same}
	for _, id := range []string{"d-3", "d-4", "d-5", "d-6", "d-7", "d-8"} {
		all = append(all, versioned(id, "v2"))
	}
	h := newTestHandler(t, "model", all...)
	for range 60 { // until the broken target has been tried first
		a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
		is.NoErr(a.err)
		is.True(a.body == streamOf("v1", 1, 6) || a.body == streamOf("v2", 1, 6))
		for _, other := range all[2:] {
			for _, arrival := range other.Arrivals() {
				if arrival.Header.Get("Last-Event-Id") != "" {
					t.Fatalf("a stream of v1 went on at %s of v2", other.ID)
				}
			}
		}
		if broken.Runs() > 0 {
			return
		}
	}
	is.True(broken.Runs() > 0)
}

// No other target of the software version that began a stream is left. The answer is broken off
// instead of going on at another version.
func TestStreamIsCutWithoutATargetOfItsVersion(t *testing.T) {
	is := is.New(t)
	broken, other := versioned("d-1", "v1"), versioned("d-2", "v2")
	broken.BreakAfter = 2
	h := newTestHandler(t, "model", broken, other)
	for range 20 {
		a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
		if broken.Runs() == 0 {
			continue
		}
		is.True(a.err != nil)
		is.Equal(a.body, streamOf("v1", 1, 2))
		return
	}
	is.True(broken.Runs() > 0)
}

// A caller takes up a stream of v1. It goes on there while a target of v1 is left and is refused
// at once after that; targets of v2 have no part in it.
func TestTakenUpStreamNeedsItsVersion(t *testing.T) {
	is := is.New(t)
	one, two := versioned("d-1", "v1"), versioned("d-2", "v2")
	h := newTestHandler(t, "model", one, two)
	h.origins.Began(t.Context(), "model", "first", forward.StreamOrigin{Version: "v1"}, time.Minute)
	resume := append([]string{"Last-Event-Id: 3", "Resumes: first"}, engineHeaders...)
	a := h.call(http.MethodPost, "/draft/a", "p", resume...)
	is.NoErr(a.err)
	is.Equal(a.body, streamOf("v1", 4, 6))
	h.targets[0].Draining = true
	h.handler.Planner.SetTargets(time.Now(), h.targets)
	a = h.call(http.MethodPost, "/draft/a", "p", resume...)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "") // a target of v1 may be started again
	is.Equal(two.Runs(), 0)
}

// Nobody knows at which version a stream began that a caller takes up. It is refused, since it
// could go on at the wrong one.
func TestStreamOfUnknownOriginIsRefused(t *testing.T) {
	is := is.New(t)
	one, two := versioned("d-1", "v1"), versioned("d-2", "v2")
	h := newTestHandler(t, "model", one, two)
	a := h.call(http.MethodPost, "/draft/a", "p", append([]string{"Last-Event-Id: 3", "Resumes: first"}, engineHeaders...)...)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(one.Runs()+two.Runs(), 0)
}

// The only target of a stream's version pauses between two events for longer than the timeout. It
// is not given up, since no other target could go on.
func TestOnlyTargetOfAVersionIsNotTimedOut(t *testing.T) {
	is := is.New(t)
	slow, other := versioned("d-1", "v1"), versioned("d-2", "v2")
	slow.Events, slow.EventPause, other.Events = 2, 1300*time.Millisecond, 2
	h := newTestHandler(t, "model", slow, other)
	for range 20 { // until the slow target has been tried first
		a := h.call(http.MethodPost, "/draft/a", "p", append([]string{withoutDefaultHeaders, "X-Request-Id: id-1", "X-Deadline-Ms: 5000", "X-Credential: key-1"}, engineHeaders...)...)
		is.NoErr(a.err)
		is.True(a.body == streamOf("v1", 1, 2) || a.body == streamOf("v2", 1, 2))
		if slow.Runs() > 0 {
			return
		}
	}
	is.True(slow.Runs() > 0)
}

// A route is split between two services. Streams that callers take up go on at the service that
// began them.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	is := is.New(t)
	one, two := versioned("d-1", "v1"), versioned("d-2", "v1")
	h := newTestHandler(t, "model", one, two)
	h.targets[1].Service = "model-b"
	c := configuration()
	other := c.Services[1]
	other.Name = "model-b"
	c.Services = append(c.Services, other)
	c.Routes[2].Backends = []route.Backend{{Service: "model", Weight: 1}, {Service: "model-b", Weight: 1}}
	h.setTable(c)
	h.handler.Planner.SetTargets(time.Now(), h.targets)
	h.handler.Planner.SetServices(c.Services)
	send := func(id string, headers ...string) {
		is.NoErr(h.call(http.MethodPost, "/draft/a", "p", append(append([]string{withoutDefaultHeaders, "X-Request-Id: " + id, "X-Deadline-Ms: 2000", "X-Credential: key-1"}, engineHeaders...), headers...)...).err)
	}
	for i := range 20 {
		begun, again := fmt.Sprint("begun-", i), fmt.Sprint("again-", i)
		send(begun)
		before := one.Runs()
		send(again, "Last-Event-Id: 3", "Resumes: "+begun)
		began := one.Arrivals()
		atOne := before > 0 && began[before-1].Header.Get("X-Request-Id") == begun
		is.Equal(one.Runs() > before, atOne)
	}
	is.True(one.Runs() > 0 && two.Runs() > 0)
}
