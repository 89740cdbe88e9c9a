package gateway

import (
	"sync"
	"time"

	"zinniapin/control"
	"zinniapin/result"
)

// loadKey identifies a model in a pool.
type loadKey struct {
	pool, model string
}

// loadCounters counts the requests for a model in a pool since the last reading.
type loadCounters struct {
	requests     float64
	promptTokens float64
	outputTokens float64
	dispatched   float64
	waitSeconds  float64 // in the queue, over all dispatched requests
	refused      float64
	stableOnly   float64 // requests that must not run on reclaimable targets
}

// loads counts the load of each pool, as input to capacity planning. It is safe for
// concurrent use.
type loads struct {
	mu       sync.Mutex
	counters map[loadKey]*loadCounters
	since    time.Time
}

// newLoads returns counters that start at zero.
func newLoads(now time.Time) *loads {
	return &loads{counters: map[loadKey]*loadCounters{}, since: now}
}

// countersOf returns the counters for a model in a pool. The caller holds the lock.
func (l *loads) countersOf(pool, model string) *loadCounters {
	key := loadKey{pool, model}
	s := l.counters[key]
	if s == nil {
		s = &loadCounters{}
		l.counters[key] = s
	}
	return s
}

// countArrival counts a request for a model. stableOnly is set if the request must not run
// on reclaimable targets.
func (l *loads) countArrival(pool, model string, stableOnly bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.countersOf(pool, model)
	s.requests++
	if stableOnly {
		s.stableOnly++
	}
}

// countAdmission counts the outcome of admission: dispatched after a wait, or refused. Only
// refusals for lack of capacity are counted; those by a contract's limits say nothing about
// the pool. Prompt tokens count when a request is dispatched, since a refused caller sends
// the request again and its tokens would count more than once.
func (l *loads) countAdmission(pool, model string, promptTokens int, waited time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.countersOf(pool, model)
	if err == nil {
		s.dispatched++
		s.promptTokens += float64(promptTokens)
		s.waitSeconds += waited.Seconds()
		return
	}
	switch result.CodeOf(err) {
	case result.QueueFull, result.DeadlineNotReachable, result.NoTarget:
		s.refused++
	}
}

// countOutput counts output tokens.
func (l *loads) countOutput(pool, model string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countersOf(pool, model).outputTokens += float64(tokens)
}

// takeRates returns the loads since the last reading and resets the counters.
func (l *loads) takeRates(now time.Time) []control.PoolLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := now.Sub(l.since).Seconds()
	if seconds <= 0 {
		return nil
	}
	rates := make([]control.PoolLoad, 0, len(l.counters))
	for key, s := range l.counters {
		rates = append(rates, s.rates(key, seconds))
	}
	l.counters = map[loadKey]*loadCounters{}
	l.since = now
	return rates
}

// rates converts counts over a time to rates and shares.
func (s *loadCounters) rates(key loadKey, seconds float64) control.PoolLoad {
	load := control.PoolLoad{
		Pool:         key.pool,
		Model:        key.model,
		Requests:     s.requests / seconds,
		PromptTokens: s.promptTokens / seconds,
		OutputTokens: s.outputTokens / seconds,
	}
	if s.dispatched > 0 {
		load.WaitSeconds = s.waitSeconds / s.dispatched
	}
	if s.requests > 0 {
		load.RefusedShare = min(1, s.refused/s.requests)
		load.StableShare = min(1, s.stableOnly/s.requests)
	}
	return load
}

// PoolLoads implements control.Gateway.
func (g *Gateway) PoolLoads() []control.PoolLoad {
	return g.loads.takeRates(time.Now())
}
