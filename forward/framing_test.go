package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"zinniapin/internal/knownred"
	"zinniapin/internal/standin/prepared"
)

// streamEnding is a way in which a target ends a stream inside an event without a reset.
type streamEnding struct {
	name  string
	apply func(*prepared.Target)
}

var streamEndings = []streamEnding{
	{"with its connection", func(t *prepared.Target) { t.UntilClose = true }},
	{"with the last chunk", func(t *prepared.Target) { t.EndBroken = true }},
}

// A stream that ends inside an event has broken off, even if the end is proper for its framing. The
// caller gets the events before it and an answer that is visibly incomplete.
func TestStreamEndingInsideEventIsBrokenOff(t *testing.T) {
	for _, ending := range streamEndings {
		t.Run(ending.name, func(t *testing.T) {
			one := engine("d-1", "decode")
			one.Events, one.BreakAfter = 6, 2
			ending.apply(one)
			h := newTestHandler(t, "model", one)
			a := h.call(http.MethodPost, "/reply/a", "p", engineHeaders...)
			if a.err == nil || a.body != expectedStream(2) {
				knownred.Fail(t, "../KNOWN-RED.txt", "half-event", "error %v, body %q, want an incomplete answer with two events", a.err, a.body)
			}
		})
	}
}

// A resumable stream that ends inside an event goes on at another target after its last whole event.
func TestResumableStreamEndingInsideEventIsResumed(t *testing.T) {
	for _, ending := range streamEndings {
		t.Run(ending.name, func(t *testing.T) {
			is := is.New(t)
			one, two := engine("d-1", "decode"), engine("d-2", "decode")
			one.Events, one.BreakAfter, two.Events = 6, 2, 6
			ending.apply(one)
			h := newTestHandler(t, "model", one, two)
			for range 8 { // until d-1, which breaks off, is tried first
				a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
				if a.err != nil || a.body != expectedStream(6) {
					knownred.Fail(t, "../KNOWN-RED.txt", "half-event", "error %v, body %q, want all six events once", a.err, a.body)
				}
				if one.Runs() > 0 {
					return
				}
			}
			is.True(one.Runs() > 0) // the target that breaks off was never tried first
		})
	}
}

// A stream that ends with its connection before its first event has not been produced. The caller
// gets it from another target instead of an empty answer.
func TestEmptyStreamUntilCloseIsBrokenOff(t *testing.T) {
	is := is.New(t)
	one, two := engine("d-1", "decode"), engine("d-2", "decode")
	one.Events, one.UntilClose = 0, true
	h := newTestHandler(t, "model", one, two)
	for range 8 {
		a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
		if a.err != nil || a.body != expectedStream(3) {
			knownred.Fail(t, "../KNOWN-RED.txt", "half-event", "error %v, body %q, want three events", a.err, a.body)
		}
		if one.Runs() > 0 {
			return
		}
	}
	is.True(one.Runs() > 0)
}

// A stream that ends with its connection after a whole event is complete.
func TestStreamUntilCloseIsComplete(t *testing.T) {
	is := is.New(t)
	one := engine("d-1", "decode")
	one.UntilClose = true
	h := newTestHandler(t, "model", one)
	for range 3 {
		a := h.call(http.MethodPost, "/reply/a", "p", engineHeaders...)
		is.NoErr(a.err)
		is.Equal(a.body, expectedStream(3))
	}
}
