package routing

import (
	"math"
	"time"

	"zinniapin/target"
)

// Parameters of prompt windows.
const (
	// initialWindow, minWindow and maxWindow are sizes in prompt tokens.
	initialWindow = 24_000.0
	minWindow     = 5_000.0
	maxWindow     = 400_000.0
	// windowShrinkFactor is applied to the size after a late first token, at most once per
	// windowShrinkInterval.
	windowShrinkFactor   = 0.85
	windowShrinkInterval = 300 * time.Millisecond
	// windowGrowth is the fraction of a prompt by which a window grows for each windowful of
	// prompts whose first tokens come in time.
	windowGrowth = 0.25
	// minPromptTokens is the number of tokens that a shorter prompt counts as.
	minPromptTokens = 100
)

// MaxFirstTokenTime is the time from dispatch to first token above which a window shrinks. The
// rest of the 1.5 s within which callers expect the first token is left for the queue.
const MaxFirstTokenTime = 900 * time.Millisecond

// PromptWindow limits the prompt tokens that a gateway has sent to a pool and whose first
// token is still awaited. It grows while first tokens come in time and shrinks when they are
// late, like a TCP congestion window, so that requests wait in the gateway's fair queue rather
// than at the engines. It is not safe for concurrent use.
type PromptWindow struct {
	maxFirstTokenTime time.Duration
	minSize           float64 // the window does not shrink below; prompt tokens
	size              float64 // prompt tokens
	inFlight          float64 // prompt tokens sent and without a first token
	lastShrink        time.Time
	requests          int // requests sent and without a first token
}

// NewPromptWindow returns a window that shrinks when the time from sending to the first token
// exceeds maxFirstTokenTime.
func NewPromptWindow(maxFirstTokenTime time.Duration) *PromptWindow {
	return &PromptWindow{maxFirstTokenTime: maxFirstTokenTime, minSize: minWindow, size: initialWindow}
}

// countedTokens returns the number of tokens that a prompt counts as.
func countedTokens(prompt int) float64 {
	return float64(max(minPromptTokens, prompt))
}

// SetMin sets the size below which the window does not shrink: this gateway's share of what
// the engines can process while first tokens still come in time. See PromptTokenShare.
func (w *PromptWindow) SetMin(tokens float64) {
	w.minSize = max(minWindow, tokens)
	w.size = min(maxWindow, max(w.size, w.minSize))
}

// Open reports whether another request may be sent.
func (w *PromptWindow) Open() bool {
	return w.inFlight < w.size
}

// Sent adds a request that was sent, with the number of tokens of its prompt.
func (w *PromptWindow) Sent(prompt int) {
	w.inFlight += countedTokens(prompt)
	w.requests++
}

// Ended removes a request that ended or was lost before its first token.
func (w *PromptWindow) Ended(prompt int) {
	w.inFlight -= countedTokens(prompt)
	w.requests--
	if w.requests <= 0 {
		w.requests, w.inFlight = 0, 0
	}
}

// FirstToken removes a request whose first token has come, took after it was sent, and adjusts
// the size.
func (w *PromptWindow) FirstToken(now time.Time, prompt int, took time.Duration) {
	w.Ended(prompt)
	if took <= w.maxFirstTokenTime {
		tokens := countedTokens(prompt)
		w.size = min(maxWindow, w.size+windowGrowth*tokens*tokens/w.size)
		return
	}
	if now.Sub(w.lastShrink) >= windowShrinkInterval {
		w.size = max(w.minSize, w.size*windowShrinkFactor)
		w.lastShrink = now
	}
}

// DecodeCapacityShare returns the number of requests that one of n gateways may have in
// progress at a pool whose engines together decode total requests in time. It is the even part
// plus its square root, since the requests that a gateway gets vary at random.
func DecodeCapacityShare(total float64, gateways int) int {
	part := total / float64(max(1, gateways))
	return max(1, int(part+math.Sqrt(part)))
}

// promptShareSpan is the time, in seconds, whose prompt work all gateways together may always
// have at the engines.
const promptShareSpan = 0.75

// PromptTokenShare returns the prompt tokens that one of n gateways may always have in flight
// at a pool whose engines together process rate prompt tokens per second. A smaller window
// would leave engines idle, however late first tokens are: a prompt that waits behind others
// at one engine does not show that the other engines are busy.
func PromptTokenShare(rate float64, gateways int) float64 {
	return promptShareSpan * rate / float64(max(1, gateways))
}

// PrefillRate returns the prompt tokens per second that the live targets of a pool can process
// together, or 0 if none has reported.
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
			rate *= mixedPrefillFraction
		}
		total += rate
	}
	return total
}

// DecodeCapacity returns the number of requests that the live targets of a pool can decode in
// time, for all gateways together, or 0 if none has reported. A target without a limit counts
// as unboundedCapacity.
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
		total += min(unboundedCapacity, e.batchLimit(now.UnixNano()))
	}
	return total
}

// unboundedCapacity is the assumed capacity of a target that reports none.
const unboundedCapacity = 64
