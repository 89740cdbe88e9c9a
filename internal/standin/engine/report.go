package engine

import (
	"maps"
	"slices"
	"time"

	"zinniapin/target"
)

// snapshot is a report and the time when it was made.
type snapshot struct {
	taken  time.Time
	report target.Report
}

// Report returns the engine's state as it was at an earlier call: the latest snapshot that
// is at least as old as the configured lag, or the oldest one if all are newer. Reports
// never go back in time.
func (e *Engine) Report() target.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.history = append(e.history, snapshot{now, e.currentReport(now)})
	lag := e.options.ReportLag + time.Duration(e.faults.ReportLagMillis)*time.Millisecond
	for len(e.history) > 1 && !e.history[1].taken.After(now.Add(-lag)) {
		e.history = e.history[1:]
	}
	return e.history[0].report
}

// currentReport returns the current state. The caller holds the lock.
func (e *Engine) currentReport(now time.Time) target.Report {
	e.sequence++
	waiting := e.batch.waiting()
	return target.Report{
		Target:        e.options.ID,
		Boot:          e.boot,
		Sequence:      e.sequence,
		ReceivedAt:    now,
		Role:          e.role,
		Changing:      e.pendingChanges > 0,
		Fence:         e.fence,
		LastOrder:     e.lastOrder,
		Models:        slices.Sorted(maps.Keys(e.models)),
		Running:       max(len(e.running)-waiting, 0),
		Waiting:       waiting,
		PrefillTokens: e.pendingPromptTokens,
		KVPiecesUsed:  e.cache.order.Len(),
		KVPiecesTotal: e.options.KVPieces,
		PrefillRate:   e.options.PrefillRate,
		DecodeRate:    e.options.DecodeRate,
		Capacity:      e.options.Capacity,
	}
}
