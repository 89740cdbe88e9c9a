package usage

import (
	"maps"
	"sync"
	"time"
)

// ledgerRetentionWindows is how many windows a stored counter is kept after the start
// of its own window. If the clock is set back by less, usage is added to that counter
// instead of starting it again from zero.
const ledgerRetentionWindows = 2

// Ledger holds a gateway's grow-only counters, by organisation and window, until
// they are stored in the object API. It is safe for concurrent use.
type Ledger struct {
	gateway string

	mu           sync.Mutex
	windowLength time.Duration // of the windows for usage added from now on
	counters     map[counterID]*ledgerCounter
	prunedAt     time.Time // start of the window in which the ledger was last pruned
}

// ledgerCounter is a counter and how much of it is known to be stored.
type ledgerCounter struct {
	amount Amount
	stored Amount
}

// NewLedger returns an empty ledger for a gateway, a machine.Process.ID. Windows have
// the default length until SetWindowLength is called.
func NewLedger(gateway string) *Ledger {
	return &Ledger{gateway: gateway, windowLength: defaultLength, counters: map[counterID]*ledgerCounter{}}
}

// SetWindowLength sets the length of the windows for usage that is added from then on.
func (l *Ledger) SetWindowLength(length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.windowLength = length
}

// Add adds usage to the organisation's counter for the window of now. Usage without
// an organisation is not counted.
func (l *Ledger) Add(now time.Time, organisation string, a Amount) {
	if organisation == "" || a == (Amount{}) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	id := counterID{l.gateway, organisation, now.Truncate(l.windowLength).Unix()}
	c := l.counters[id]
	if c == nil {
		c = &ledgerCounter{}
		l.counters[id] = c
	}
	c.amount = c.amount.Add(a)
}

// Unstored returns the counters that are not known to be stored in full.
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

// counter returns the Counter with this ID and the given amount.
func (id counterID) counter(a Amount) Counter {
	return Counter{
		Gateway:      id.gateway,
		Organisation: id.organisation,
		Window:       time.Unix(id.origin, 0).UTC(),
		Amount:       a,
	}
}

// MarkStored records that the given counters are stored in the object API.
func (l *Ledger) MarkStored(now time.Time, counters []Counter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range counters {
		if known := l.counters[counterIDOf(c)]; known != nil {
			known.stored = known.stored.Max(c.Amount)
		}
	}
	l.prune(now)
}

// prune removes, once per window, the stored counters of old windows, to which no
// usage is added any more. The lock is held.
func (l *Ledger) prune(now time.Time) {
	window := now.Truncate(l.windowLength)
	if window.Equal(l.prunedAt) {
		return
	}
	l.prunedAt = window
	before := window.Add(-ledgerRetentionWindows * l.windowLength).Unix()
	maps.DeleteFunc(l.counters, func(id counterID, c *ledgerCounter) bool {
		return id.origin < before && c.amount == c.stored
	})
}
