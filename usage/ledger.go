package usage

import (
	"maps"
	"sync"
	"time"
)

// ledgerWindows is how many windows a safe counter is kept after the start of
// its own, so that a clock that is set back by less finds it.
const ledgerWindows = 2

// Ledger holds a gateway's own grow-only counters, by organisation and window,
// until the object API holds them. It is safe for concurrent use.
type Ledger struct {
	gateway string

	mu       sync.Mutex
	length   time.Duration
	counters map[counterID]*ledgerCounter
	swept    time.Time // start of the window in which counters were last forgotten
}

// ledgerCounter is a counter and how much of it the object API holds.
type ledgerCounter struct {
	amount Amount
	stored Amount
}

// NewLedger returns the empty ledger of a gateway, a machine.Process.ID.
// Windows have the default length until SetWindow.
func NewLedger(gateway string) *Ledger {
	return &Ledger{gateway: gateway, length: defaultLength, counters: map[counterID]*ledgerCounter{}}
}

// SetWindow sets the length of windows from now on.
func (l *Ledger) SetWindow(length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.length = length
}

// Add counts use in the window of now. Use of no organisation is not counted.
func (l *Ledger) Add(now time.Time, organisation string, a Amount) {
	if organisation == "" || a == (Amount{}) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	id := counterID{l.gateway, organisation, now.Truncate(l.length).Unix()}
	c := l.counters[id]
	if c == nil {
		c = &ledgerCounter{}
		l.counters[id] = c
	}
	c.amount = c.amount.Add(a)
}

// Unstored returns the counters that exceed what is known to be stored.
func (l *Ledger) Unstored() []Counter {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counters []Counter
	for id, c := range l.counters {
		if c.amount != c.stored {
			counters = append(counters, id.counter(c.amount))
		}
	}
	return counters
}

// counter returns the counter with an amount.
func (id counterID) counter(a Amount) Counter {
	return Counter{
		Gateway:      id.gateway,
		Organisation: id.organisation,
		Window:       time.Unix(id.origin, 0).UTC(),
		Amount:       a,
	}
}

// Stored notes counters that the object API holds.
func (l *Ledger) MarkStored(now time.Time, counters []Counter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range counters {
		if known := l.counters[idOf(c)]; known != nil {
			known.stored = known.stored.Max(c.Amount)
		}
	}
	l.forget(now)
}

// forget drops, once a window, the stored counters of windows that are long
// over. No use goes there any more. The lock is held.
func (l *Ledger) forget(now time.Time) {
	window := now.Truncate(l.length)
	if window.Equal(l.swept) {
		return
	}
	l.swept = window
	before := window.Add(-ledgerWindows * l.length).Unix()
	maps.DeleteFunc(l.counters, func(id counterID, c *ledgerCounter) bool {
		return id.origin < before && c.amount == c.stored
	})
}
