package soak

import (
	"sync"
	"time"

	"zinniapin/target"
)

// attempt is one HTTP request of a caller and how it ended.
type attempt struct {
	kind           string // chat, stream, deposit or draft
	organisation   string
	gateway        string // process id
	requestID      string // the gateway's request id, if an answer began
	subject        string // prompt or body
	sent           time.Time
	status         int    // 0 when no answer began
	execution      string // of a refusal or an error within a stream
	code           string
	complete       bool
	resumed        bool
	replayed       bool
	transportError error // of the transport
	timedOut       bool  // the caller's own time ran out
	notConnected   bool  // nobody took the connection
}

// choice is a gateway's choice of a target.
type choice struct {
	gateway string
	target  target.ID
	at      time.Time
}

// recorder keeps what callers and gateways did. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	attempts []*attempt
	choices  []choice
	outputs  map[string]*engineOutput // of engines, by the gateway's request id
}

// newRecorder returns an empty ledger.
func newRecorder() *recorder {
	return &recorder{outputs: map[string]*engineOutput{}}
}

// addAttempt keeps an attempt.
func (r *recorder) addAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// chose keeps a choice.
func (r *recorder) recordChoice(gateway string, id target.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choices = append(r.choices, choice{gateway, id, time.Now()})
}

// snapshot returns the attempts and choices so far.
func (r *recorder) snapshot() ([]*attempt, []choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*attempt(nil), r.attempts...), append([]choice(nil), r.choices...)
}
