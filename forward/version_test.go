package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"zinniapin/internal/knownred"
	"zinniapin/internal/standin/prepared"
)

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
		is.Equal(a.body, expectedStream(6))
		for _, other := range all[2:] {
			for _, arrival := range other.Arrivals() {
				if arrival.Header.Get("Last-Event-Id") != "" {
					knownred.Fail(t, "../KNOWN-RED.txt", "mixed-versions", "a stream of v1 went on at %s of v2", other.ID)
					return
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
		if a.err == nil || a.body != expectedStream(2) {
			knownred.Fail(t, "../KNOWN-RED.txt", "mixed-versions", "error %v, body %q, want a broken answer with two events", a.err, a.body)
		}
		return
	}
	is.True(broken.Runs() > 0)
}
