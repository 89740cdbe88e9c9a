package engine

import "time"

// Faults are what goes wrong at an engine. They may be set while it runs, in
// Go or by POST /faults. Counts fall by one with each use.
type Faults struct {
	// DelayMillis delays the first chunk of every request, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Refuse is the number of requests to refuse unrun.
	Refuse int `json:"refuse,omitempty"`
	// BreakStreams is the number of streams to break after BreakAfter chunks.
	BreakStreams int `json:"break_streams,omitempty"`
	// BreakAfter is the number of chunks before a broken stream ends.
	BreakAfter int `json:"break_after,omitempty"`
	// CrashAfter crashes the engine after that many more chunks.
	CrashAfter int `json:"crash_after,omitempty"`
	// CrashInChange crashes the engine in the middle of that many changes.
	CrashInChange int `json:"crash_in_change,omitempty"`
	// StrayChunks is the number of chunks to precede by one of another attempt.
	StrayChunks int `json:"cross,omitempty"`
	// Duplicate is the number of chunks to send twice.
	Duplicate int `json:"duplicate,omitempty"`
	// LateChunks is the number of chunks to send again after the next one.
	LateChunks int `json:"late_chunks,omitempty"`
	// LoseOrderAnswers is the number of orders that take effect unanswered.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
	// ReportLagMillis is the age of the state that reports show, in
	// milliseconds.
	ReportLagMillis int `json:"report_lag_ms,omitempty"`
	// LoseCacheEvents is the number of cache events to lose.
	LoseCacheEvents int `json:"lose_cache_events,omitempty"`
	// RestartMillis is how long the engine stays down after a crash; 0 means
	// until Restart.
	RestartMillis int `json:"restart_ms,omitempty"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the faults that are left.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// take uses up one of a counted fault and tells whether there was one.
func (e *Engine) take(count func(*Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := count(&e.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// delay returns how long first chunks are delayed.
func (f *Faults) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}
