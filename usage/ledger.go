package usage

import (
	"sync"
	"time"
)

// Ledger holds a gateway's own counters until the object API holds them. It
// is safe for concurrent use.
type Ledger struct {
	gateway string

	mu       sync.Mutex
	counters map[counterID]Amount
	stored   map[counterID]Amount
}

// NewLedger returns the ledger of a gateway, a machine.Process.ID.
func NewLedger(gateway string) *Ledger {
	return &Ledger{gateway: gateway, counters: map[counterID]Amount{}, stored: map[counterID]Amount{}}
}

// Add counts use in the window that begins at start.
func (l *Ledger) Add(organisation string, start time.Time, a Amount) {
	id := counterID{l.gateway, organisation, start.Unix()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters[id] = l.counters[id].Add(a)
}

// Unstored returns the counters that exceed what is known to be stored.
func (l *Ledger) Unstored() []Counter {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counters []Counter
	for id, a := range l.counters {
		if l.stored[id] != a {
			counters = append(counters, id.counter(a))
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
func (l *Ledger) Stored(counters []Counter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range counters {
		id := idOf(c)
		if _, known := l.counters[id]; known {
			l.stored[id] = l.stored[id].Max(c.Amount)
		}
	}
}

// Forget drops stored counters of windows that began before the given time.
// No use may be added to those windows any more.
func (l *Ledger) Forget(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.counters {
		if id.origin < before.Unix() && l.stored[id] == a {
			delete(l.counters, id)
			delete(l.stored, id)
		}
	}
}
