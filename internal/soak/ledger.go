package soak

import (
	"sync"
	"time"

	"zinniapin/target"
)

// attempt is one HTTP request of a caller and its outcome.
type attempt struct {
	kind           string // chat, stream, deposit or draft
	organisation   string
	gateway        string // process id
	requestID      string // the gateway's request id; empty without a response
	subject        string // prompt or body
	sent           time.Time
	status         int    // 0 without a response
	execution      string // whether it ran, from the error body or event
	code           string // result code of the error
	complete       bool   // the whole answer arrived
	resumed        bool   // continues a broken stream
	replayed       bool   // answered from a stored response
	transportError error  // no response arrived
	timedOut       bool   // after attemptTimeout
	notConnected   bool   // the gateway did not listen
}

// choice records that a gateway chose a target.
type choice struct {
	gateway string
	target  target.ID
	at      time.Time
}

// recorder records the attempts of callers, the target choices of gateways and the output of
// engines. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	attempts []*attempt
	choices  []choice
	outputs  map[string]*engineOutput // by the gateway's request id
}

func newRecorder() *recorder {
	return &recorder{outputs: map[string]*engineOutput{}}
}

func (r *recorder) addAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// recordChoice records that a gateway chooses a target at this time.
func (r *recorder) recordChoice(gateway string, id target.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choices = append(r.choices, choice{gateway, id, time.Now()})
}

// snapshot returns the attempts and choices recorded so far.
func (r *recorder) snapshot() ([]*attempt, []choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*attempt(nil), r.attempts...), append([]choice(nil), r.choices...)
}
