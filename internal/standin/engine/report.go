package engine

import (
	"maps"
	"slices"
	"time"

	"zinniapin/target"
)

// snapshot is the engine's state at a time.
type snapshot struct {
	taken  time.Time
	report target.Report
}

// Report returns the engine's state, as old as the lag says and at least as
// new as what a report showed before.
func (e *Engine) Report() target.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.history = append(e.history, snapshot{now, e.state(now)})
	lag := e.options.ReportLag + time.Duration(e.faults.ReportLagMillis)*time.Millisecond
	for len(e.history) > 1 && !e.history[1].taken.After(now.Add(-lag)) {
		e.history = e.history[1:]
	}
	return e.history[0].report
}

// state returns the present state. The lock is held.
func (e *Engine) state(now time.Time) target.Report {
	e.sequence++
	waiting := e.batch.waiting()
	return target.Report{
		Target:        e.options.ID,
		Boot:          e.boot,
		Sequence:      e.sequence,
		ReceivedAt:    now,
		Role:          e.role,
		Changing:      e.changing > 0,
		Fence:         e.fence,
		LastOrder:     e.lastOrder,
		Models:        slices.Sorted(maps.Keys(e.models)),
		Running:       max(len(e.running)-waiting, 0),
		Waiting:       waiting,
		PrefillTokens: e.promptLoad,
		KVPiecesUsed:  e.cache.order.Len(),
		KVPiecesTotal: e.options.KVPieces,
		PrefillRate:   e.options.PrefillRate,
		DecodeRate:    e.options.DecodeRate,
		Capacity:      e.options.Capacity,
	}
}
