package gateway

import (
	"sync"
	"time"

	"zinniapin/usage"
)

// defaultWindow is the length of a usage window when the fleet names none.
const defaultWindow = time.Minute

// meterKey names a counter of this incarnation.
type meterKey struct {
	organisation string
	window       int64 // start, Unix seconds
}

// meterCounter is a grow-only counter and how much of it is known to be safe.
type meterCounter struct {
	amount usage.Amount
	stored usage.Amount
}

// meter counts use by organisation and window. It is safe for concurrent use.
type meter struct {
	gateway  string
	mu       sync.Mutex
	length   time.Duration
	counters map[meterKey]*meterCounter
}

// newMeter returns an empty meter of the gateway with this process id.
func newMeter(gateway string) *meter {
	return &meter{gateway: gateway, length: defaultWindow, counters: map[meterKey]*meterCounter{}}
}

// setWindow sets the length of windows from now on.
func (m *meter) setWindow(seconds int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.length = defaultWindow
	if seconds > 0 {
		m.length = time.Duration(seconds) * time.Second
	}
}

// add counts use in the window of now.
func (m *meter) add(now time.Time, organisation string, a usage.Amount) {
	if organisation == "" || a == (usage.Amount{}) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := meterKey{organisation, now.Truncate(m.length).Unix()}
	c := m.counters[key]
	if c == nil {
		c = &meterCounter{}
		m.counters[key] = c
	}
	c.amount = c.amount.Add(a)
}

// pending returns the counters that are not known to be safe.
func (m *meter) pending() []usage.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	var counters []usage.Counter
	for key, c := range m.counters {
		if c.amount != c.stored {
			counters = append(counters, usage.Counter{
				Gateway:      m.gateway,
				Organisation: key.organisation,
				Window:       time.Unix(key.window, 0).UTC(),
				Amount:       c.amount,
			})
		}
	}
	return counters
}

// stored notes figures that are safe. A safe counter of a past window is
// dropped; later use never goes there.
func (m *meter) stored(now time.Time, counters []usage.Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, counter := range counters {
		key := meterKey{counter.Organisation, counter.Window.Unix()}
		c := m.counters[key]
		if c == nil || counter.Gateway != m.gateway {
			continue
		}
		c.stored = c.stored.Max(counter.Amount)
		past := now.Sub(counter.Window) > 2*m.length
		if past && c.amount == c.stored {
			delete(m.counters, key)
		}
	}
}
