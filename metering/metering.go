// Package metering counts the requests that began at targets, by organisation
// and window of true time. Counts of a process only grow and are merged by
// maximum, so that repeated and reordered messages do no harm.
package metering

import (
	"sort"
	"time"
)

// Window numbers a span of true time: window k begins k lengths after the
// start of 1970.
type Window uint64

// Counts are requests by organisation.
type Counts map[string]uint32

// Process is one start of a host's process.
type Process struct {
	Host        string
	Incarnation uint64
}

// keptWindows is the number of windows that are kept after their end.
const keptWindows = 8

// Ledger holds the counts of this process and of its peers. It is not safe for
// concurrent use.
type Ledger struct {
	self    Process
	length  time.Duration
	windows map[Window]map[Process]Counts
}

// NewLedger returns an empty ledger for windows of a length.
func NewLedger(self Process, length time.Duration) *Ledger {
	return &Ledger{self: self, length: length, windows: make(map[Window]map[Process]Counts)}
}

// WindowAt returns the window of a time.
func (l *Ledger) WindowAt(t time.Time) Window {
	return Window(t.UnixNano() / int64(l.length))
}

// WindowEnd returns the end of a window.
func (l *Ledger) WindowEnd(w Window) time.Time {
	return time.Unix(0, int64(w+1)*int64(l.length))
}

// Count counts a request of an organisation that began at a true time.
func (l *Ledger) Count(at time.Time, organisation string) {
	l.counts(l.WindowAt(at), l.self)[organisation]++
}

// Merge takes the counts of a peer's process.
func (l *Ledger) Merge(p Process, w Window, c Counts) {
	held := l.counts(w, p)
	for organisation, n := range c {
		held[organisation] = max(held[organisation], n)
	}
}

// counts returns the counts of a process in a window.
func (l *Ledger) counts(w Window, p Process) Counts {
	processes := l.windows[w]
	if processes == nil {
		processes = make(map[Process]Counts)
		l.windows[w] = processes
	}
	c := processes[p]
	if c == nil {
		c = make(Counts)
		processes[p] = c
	}
	return c
}

// OwnCounts returns the counts of this process in the windows that are open or ended
// less than the given time ago.
func (l *Ledger) OwnCounts(now time.Time, ended time.Duration) map[Window]Counts {
	own := make(map[Window]Counts)
	for w, processes := range l.windows {
		if c := processes[l.self]; len(c) > 0 && now.Before(l.WindowEnd(w).Add(ended)) {
			own[w] = c
		}
	}
	return own
}

// Total returns the sum of all processes in a window.
func (l *Ledger) Total(w Window) Counts {
	total := make(Counts)
	for _, c := range l.windows[w] {
		for organisation, n := range c {
			total[organisation] += n
		}
	}
	return total
}

// EndedWindows returns the windows that ended between two ages before now, oldest
// first.
func (l *Ledger) EndedWindows(now time.Time, least, most time.Duration) []Window {
	var ended []Window
	for w := range l.windows {
		age := now.Sub(l.WindowEnd(w))
		if age >= least && age <= most {
			ended = append(ended, w)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i] < ended[j] })
	return ended
}

// DropExpired forgets windows that ended long ago.
func (l *Ledger) DropExpired(now time.Time) {
	for w := range l.windows {
		if now.Sub(l.WindowEnd(w)) > keptWindows*l.length {
			delete(l.windows, w)
		}
	}
}
