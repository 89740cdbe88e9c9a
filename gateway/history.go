package gateway

import (
	"encoding/json"
	"sync"
	"time"
)

// historyLength is the number of decisions that a gateway keeps.
const historyLength = 4096

// decision is a decision about a request, as returned by Explain.
type decision struct {
	At           time.Time `json:"at"`
	Request      string    `json:"request"`
	Organisation string    `json:"organisation,omitempty"`
	Decision     string    `json:"decision"` // routed, attempt_failed, refused or finished
	Target       string    `json:"target,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	Candidates   int       `json:"candidates,omitempty"`
	ExpectedMS   int64     `json:"expected_ms,omitempty"`
	Execution    string    `json:"execution,omitempty"`
}

// history is a ring buffer of recent decisions. It is safe for concurrent use.
type history struct {
	mu   sync.Mutex
	ring [historyLength]decision
	next int
}

// newHistory returns an empty history.
func newHistory() *history {
	return &history{}
}

// add stores a decision, overwriting the oldest.
func (h *history) add(d decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ring[h.next%historyLength] = d
	h.next++
}

// explain returns the decisions about a request, oldest first, as JSON.
func (h *history) explain(request string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := []decision{}
	for i := max(0, h.next-historyLength); i < h.next; i++ {
		if d := h.ring[i%historyLength]; d.Request == request {
			found = append(found, d)
		}
	}
	document, err := json.Marshal(found)
	if err != nil {
		return []byte("[]")
	}
	return document
}
