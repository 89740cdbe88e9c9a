package forward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
)

// A target says in an answer, or in the head of a stream, that it leaves. The caller gets that answer
// and no later request goes there.
func TestTargetThatLeavesGetsNoFurtherRequest(t *testing.T) {
	for name, service := range map[string]string{"plain": "desk", "stream": "model"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stage, path, headers := "", "/read/a", []string(nil)
			if service == "model" {
				stage, path, headers = "decode", "/draft/a", engineHeaders
			}
			leaving, other := engine("t-1", stage), engine("t-2", stage)
			leaving.SetHeader("Server-Leaving: 1\r\n")
			h := newTestHandler(t, service, leaving, other)
			for range 40 {
				a := h.call(http.MethodGet, path, "", headers...)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusOK)
			}
			is.Equal(len(leaving.Arrivals()), 1)
			is.Equal(len(other.Arrivals()), 39)
		})
	}
}

// All targets turn requests away and ask to be left alone. No target gets more than one request, and
// callers are told to come back no earlier than the first of them may be tried again.
func TestPausedTargetsGetNothing(t *testing.T) {
	is := is.New(t)
	one, two := prepared.NewTarget("t-1"), prepared.NewTarget("t-2")
	for _, target := range []*prepared.Target{one, two} {
		target.SetHeader("Retry-After: 1.5\r\n")
		target.SetFaults(prepared.RefuseNotRun, prepared.RefuseNotRun, prepared.RefuseNotRun)
	}
	h := newTestHandler(t, "desk", one, two)
	begun := time.Now()
	for range 20 {
		sent := time.Now()
		a := h.call(http.MethodGet, "/read/a", "")
		is.Equal(a.status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds >= (1500*time.Millisecond - time.Since(begun)).Seconds())
		is.True(time.Since(sent) < 500*time.Millisecond) // at once
	}
	is.Equal(len(one.Arrivals()), 1)
	is.Equal(len(two.Arrivals()), 1)
	one.SetFaults()
	two.SetFaults()
	time.Sleep(1600*time.Millisecond - time.Since(begun))
	is.Equal(h.call(http.MethodGet, "/read/a", "").status, http.StatusOK)
}
