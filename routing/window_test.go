package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/provider"
	"zinniapin/target"
)

// TestWindowFollowsFirstTokens checks that a window shrinks with late first tokens and grows
// with timely ones.
func TestWindowFollowsFirstTokens(t *testing.T) {
	is := is.New(t)
	w := NewPromptWindow(time.Second)
	for w.Open() {
		w.Sent(4000)
	}
	is.Equal(w.requests, 6)
	now := start
	for range 6 {
		now = now.Add(windowShrinkInterval)
		w.FirstToken(now, 4000, 2*time.Second)
	}
	shrunk := w.size
	is.True(shrunk < initialWindow/2)
	for range 100 {
		w.Sent(4000)
		w.FirstToken(now, 4000, 100*time.Millisecond)
	}
	is.True(w.size > shrunk)
	is.True(w.Open())
	is.Equal(w.inFlight, 0.0)
}

// TestLateFirstTokensLeaveAShare checks that late first tokens do not shrink a window below
// the minimum that was set.
func TestLateFirstTokensLeaveAShare(t *testing.T) {
	is := is.New(t)
	const prompt = 11_000
	w := NewPromptWindow(time.Second)
	w.SetMin(3 * prompt)
	now := start
	for range 100 {
		w.Sent(prompt)
		now = now.Add(windowShrinkInterval)
		w.FirstToken(now, prompt, 2*time.Second)
	}
	sent := 0
	for w.Open() {
		w.Sent(prompt)
		sent++
	}
	is.Equal(sent, 3)
	w.SetMin(0)
	is.Equal(w.minSize, minWindow)
}

// TestPrefillRateCountsPromptTargets checks that PrefillRate counts the live targets that
// process prompts, mixed ones at a reduced rate.
func TestPrefillRateCountsPromptTargets(t *testing.T) {
	is := is.New(t)
	view := fleet(6)
	for i := range view {
		view[i].Report.PrefillRate = 20_000
		view[i].Report.Role = target.Prefill
	}
	view[0].Report.Role = target.Decode
	view[1].Cordoned = true
	view[2].State = provider.Leaving
	view[3].Report.Changing = true
	view[4].Report.Role = target.Mixed
	r := New(home, 1)
	is.Equal(r.PrefillRate("assistant"), 0.0)
	r.Observe(start, view, zones)
	is.Equal(r.PrefillRate("assistant"), 20_000*(1+mixedPrefillFraction))
	is.Equal(PromptTokenShare(60_000, 6), 10_000*promptShareSpan)
}

// TestStreamsCountDecodingTargets checks that DecodeCapacity counts the live targets that
// decode.
func TestStreamsCountDecodingTargets(t *testing.T) {
	is := is.New(t)
	view := fleet(6)
	view[0].Report.Role = target.Prefill
	view[1].Cordoned = true
	view[2].State = provider.Leaving
	view[3].Report.Changing = true
	r := New(home, 1)
	is.Equal(r.DecodeCapacity(start, "assistant"), 0.0)
	r.Observe(start, view, zones)
	is.Equal(int(r.DecodeCapacity(start, "assistant")), 2*46)
	is.Equal(DecodeCapacityShare(92, 1), 101)
	is.Equal(DecodeCapacityShare(92, 1000), 1)
}
