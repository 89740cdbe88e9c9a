// Package metering counts the requests that began at targets, by organisation and usage
// window, for the usage reports. A process's counts only grow and are merged by maximum,
// so repeated and reordered digests do no harm.
package metering

import (
	"sort"
	"time"
)

// Window is the number of a usage window: window k begins k window lengths after
// the Unix epoch, by the time of package truetime.
type Window uint64

// Counts is the number of requests of each organisation.
type Counts map[string]uint32

// Process identifies one run of a host's process.
type Process struct {
	Host        string
	Incarnation uint64
}

// keptWindows is the number of window lengths for which a window is kept after its
// end.
const keptWindows = 8

// Ledger holds the counts of this process and of its peers. It is not safe for
// concurrent use.
type Ledger struct {
	self    Process
	length  time.Duration
	windows map[Window]map[Process]Counts
}

// NewLedger returns an empty ledger for windows of the given length.
func NewLedger(self Process, length time.Duration) *Ledger {
	return &Ledger{self: self, length: length, windows: make(map[Window]map[Process]Counts)}
}

// WindowAt returns the window that contains a time.
func (l *Ledger) WindowAt(t time.Time) Window {
	return Window(t.UnixNano() / int64(l.length))
}

// WindowEnd returns when a window ends.
func (l *Ledger) WindowEnd(w Window) time.Time {
	return time.Unix(0, int64(w+1)*int64(l.length))
}

// Count counts a request of an organisation that began at the given time of package
// truetime.
func (l *Ledger) Count(at time.Time, organisation string) {
	l.counts(l.WindowAt(at), l.self)[organisation]++
}

// Merge merges the counts of a peer's process in a window into the ledger.
func (l *Ledger) Merge(p Process, w Window, c Counts) {
	known := l.counts(w, p)
	for organisation, n := range c {
		known[organisation] = max(known[organisation], n)
	}
}

// counts returns the counts of a process in a window, and creates them if needed.
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
// less than maxAge ago.
func (l *Ledger) OwnCounts(now time.Time, maxAge time.Duration) map[Window]Counts {
	own := make(map[Window]Counts)
	for w, processes := range l.windows {
		if c := processes[l.self]; len(c) > 0 && now.Before(l.WindowEnd(w).Add(maxAge)) {
			own[w] = c
		}
	}
	return own
}

// Total returns the sum of all processes' counts in a window.
func (l *Ledger) Total(w Window) Counts {
	total := make(Counts)
	for _, c := range l.windows[w] {
		for organisation, n := range c {
			total[organisation] += n
		}
	}
	return total
}

// EndedWindows returns the windows that ended at least minAge and at most maxAge ago,
// oldest first.
func (l *Ledger) EndedWindows(now time.Time, minAge, maxAge time.Duration) []Window {
	var ended []Window
	for w := range l.windows {
		age := now.Sub(l.WindowEnd(w))
		if age >= minAge && age <= maxAge {
			ended = append(ended, w)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i] < ended[j] })
	return ended
}

// DropExpired removes the windows that ended more than keptWindows lengths ago.
func (l *Ledger) DropExpired(now time.Time) {
	for w := range l.windows {
		if now.Sub(l.WindowEnd(w)) > keptWindows*l.length {
			delete(l.windows, w)
		}
	}
}
