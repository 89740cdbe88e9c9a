package engine

import (
	"strings"
	"time"
)

// Faults are the faults to inject. They can be replaced while the engine runs, by
// SetFaults or by POST /faults. A count falls by one each time its fault is injected.
type Faults struct {
	// DelayMillis delays the first chunk of every request, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Refuse is the number of requests to refuse before they run.
	Refuse int `json:"refuse,omitempty"`
	// BreakStreams is the number of streams that break off after BreakAfter chunks.
	BreakStreams int `json:"break_streams,omitempty"`
	// BreakAfter is the number of chunks that a stream delivers before it breaks off.
	BreakAfter int `json:"break_after,omitempty"`
	// SilentStreams is the number of streams that fall silent for SilentMillis milliseconds
	// after SilentAfter chunks and then go on.
	SilentStreams int `json:"silent_streams,omitempty"`
	SilentAfter   int `json:"silent_after,omitempty"`
	SilentMillis  int `json:"silent_ms,omitempty"`
	// CrashAfter crashes the engine when it has this many more chunks to send; the last of
	// them is not sent. 0 means never.
	CrashAfter int `json:"crash_after,omitempty"`
	// CrashOn crashes the engine whenever it begins to answer a request whose prompt contains
	// this text; empty means never.
	CrashOn string `json:"crash_on,omitempty"`
	// CrashInChange is the number of role or model changes that crash the engine halfway.
	CrashInChange int `json:"crash_in_change,omitempty"`
	// StrayChunks is the number of chunks that are preceded by a chunk of another attempt.
	StrayChunks int `json:"cross,omitempty"`
	// Duplicate is the number of chunks that are sent twice.
	Duplicate int `json:"duplicate,omitempty"`
	// LateChunks is the number of chunks that are sent again after the following chunk.
	LateChunks int `json:"late_chunks,omitempty"`
	// LoseOrderAnswers is the number of orders that take effect while their sender gets an
	// error instead of the answer.
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

// Faults returns the faults, with the counts that are left.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// consumeFault decrements a count of faults and returns true, or returns false if it is
// zero.
func (e *Engine) consumeFault(count func(*Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := count(&e.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// firstChunkDelay returns DelayMillis as a duration.
func (f *Faults) firstChunkDelay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// crashesOn tells whether a prompt contains the text of CrashOn.
func (e *Engine) crashesOn(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, text := range []string{e.options.CrashOn, e.faults.CrashOn} {
		if text != "" && strings.Contains(prompt, text) {
			return true
		}
	}
	return false
}
