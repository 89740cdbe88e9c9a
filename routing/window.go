package routing

import (
	"math"
	"time"

	"zinniapin/target"
)

// Constants of windows.
const (
	// windowFirst, windowLeast and windowMost are in prompt tokens.
	windowFirst = 24_000.0
	windowLeast = 5_000.0
	windowMost  = 400_000.0
	// windowShrink is what is left of a window after a late first token, and
	// windowRest the time between two such cuts.
	windowShrink = 0.85
	windowRest   = 300 * time.Millisecond
	// windowGrowth is the part of a served prompt by which a window grows for
	// each windowful.
	windowGrowth = 0.25
	// windowFloor stands for a very short prompt, in tokens.
	windowFloor = 100
)

// MaxFirstTokenTime is the time from dispatch to first token above which a window
// shrinks. It leaves the rest of the wanted time, 1.5 s, to the queue.
const MaxFirstTokenTime = 900 * time.Millisecond

// PromptWindow bounds the prompt tokens that a gateway has sent to a pool and that
// brought no first token yet. It grows while first tokens come in time and
// shrinks when they do not, so that work waits in the gateway's fair queue
// and not at the engines. It is not safe for concurrent use.
type PromptWindow struct {
	late   time.Duration
	least  float64 // size below which it does not shrink, tokens
	size   float64
	under  float64
	cutAt  time.Time
	starts int // requests under way
}

// NewPromptWindow returns a window that shrinks when the time from sending to the
// first token exceeds late.
func NewPromptWindow(late time.Duration) *PromptWindow {
	return &PromptWindow{late: late, least: windowLeast, size: windowFirst}
}

// windowTokens is what a prompt takes of a window.
func windowTokens(prompt int) float64 {
	return float64(max(windowFloor, prompt))
}

// SetMin sets the tokens below which the window does not shrink: this
// gateway's share of what the engines process while first tokens still come in
// time. See PromptTokenShare.
func (w *PromptWindow) SetMin(tokens float64) {
	w.least = max(windowLeast, tokens)
	w.size = min(windowMost, max(w.size, w.least))
}

// Open tells whether another request may be sent.
func (w *PromptWindow) Open() bool {
	return w.under < w.size
}

// Sent takes in a request that was sent.
func (w *PromptWindow) Sent(prompt int) {
	w.under += windowTokens(prompt)
	w.starts++
}

// Ended takes in a request that ended or was lost before its first token.
func (w *PromptWindow) Ended(prompt int) {
	w.under -= windowTokens(prompt)
	w.starts--
	if w.starts <= 0 {
		w.starts, w.under = 0, 0
	}
}

// FirstToken takes in a first token and the time since its request was sent.
func (w *PromptWindow) FirstToken(now time.Time, prompt int, took time.Duration) {
	w.Ended(prompt)
	if took <= w.late {
		tokens := windowTokens(prompt)
		w.size = min(windowMost, w.size+windowGrowth*tokens*tokens/w.size)
		return
	}
	if now.Sub(w.cutAt) >= windowRest {
		w.size = max(w.least, w.size*windowShrink)
		w.cutAt = now
	}
}

// DecodeCapacityShare is the number of requests that one of n gateways may have in
// progress at a pool whose engines together decode total requests in time:
// its part, and room for the spread of a part that is drawn at random.
func DecodeCapacityShare(total float64, gateways int) int {
	part := total / float64(max(1, gateways))
	return max(1, int(part+math.Sqrt(part)))
}

// promptSpan is the time whose prompt work all gateways together may always
// have at the engines, seconds.
const promptSpan = 0.75

// PromptTokenShare is the prompt tokens that one of n gateways may always have
// under way at a pool whose engines together process rate tokens a second. A
// smaller window leaves engines idle, however late first tokens are: that a
// prompt meets others at one engine is no sign that the rest are busy.
func PromptTokenShare(rate float64, gateways int) float64 {
	return promptSpan * rate / float64(max(1, gateways))
}

// PrefillRate returns the prompt tokens a second that the live targets of a
// pool process together; 0 when they have not reported.
func (r *Router) PrefillRate(name string) float64 {
	p := r.pools[name]
	if p == nil {
		return 0
	}
	total := 0.0
	for _, e := range p.prefill.engines {
		if e.state.Cordoned || e.state.Report.Changing {
			continue
		}
		rate := e.state.Report.PrefillRate
		if e.serves(target.PhaseWhole) {
			rate *= mixedPrefill
		}
		total += rate
	}
	return total
}

// DecodeCapacity returns the requests that the live targets of a pool decode in
// time, all gateways together; 0 when they have not reported. Targets without
// a bound of their own count as unboundedCapacity.
func (r *Router) DecodeCapacity(now time.Time, name string) float64 {
	p := r.pools[name]
	if p == nil {
		return 0
	}
	total := 0.0
	for _, e := range p.decode.engines {
		if e.state.Cordoned || e.state.Report.Changing {
			continue
		}
		total += min(unboundedCapacity, e.limit(now.UnixNano()))
	}
	return total
}

// unboundedCapacity stands for the capacity of a target that reports none.
const unboundedCapacity = 64
