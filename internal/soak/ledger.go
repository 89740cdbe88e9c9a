package soak

import (
	"sync"
	"time"

	"zinniapin/target"
)

// attempt is one HTTP request of a caller and how it ended.
type attempt struct {
	kind         string // chat, stream, deposit or draft
	organisation string
	gateway      string // process id
	request      string // the gateway's request id, if an answer began
	subject      string // prompt or body
	sent         time.Time
	status       int    // 0 when no answer began
	execution    string // of a refusal or an error within a stream
	code         string
	whole        bool
	resumed      bool
	replayed     bool
	failed       error // of the transport
	gaveUp       bool  // the caller's own time ran out
	unreached    bool  // nobody took the connection
}

// choice is a gateway's choice of a target.
type choice struct {
	gateway string
	target  target.ID
	at      time.Time
}

// ledger keeps what callers and gateways did. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	attempts []*attempt
	choices  []choice
	answers  map[string]*answered // of engines, by the gateway's request id
}

// newLedger returns an empty ledger.
func newLedger() *ledger {
	return &ledger{answers: map[string]*answered{}}
}

// add keeps an attempt.
func (l *ledger) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// chose keeps a choice.
func (l *ledger) chose(gateway string, id target.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.choices = append(l.choices, choice{gateway, id, time.Now()})
}

// all returns the attempts and choices so far.
func (l *ledger) all() ([]*attempt, []choice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.attempts...), append([]choice(nil), l.choices...)
}
