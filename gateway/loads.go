package gateway

import (
	"sync"
	"time"

	"zinniapin/control"
	"zinniapin/result"
)

// loadKey names a pool's model.
type loadKey struct {
	pool, model string
}

// loadSum is what was seen of a pool's model since the last reading.
type loadSum struct {
	requests     float64
	promptTokens float64
	outputTokens float64
	dispatched   float64
	waited       float64 // seconds, over all dispatched
	refused      float64
	stable       float64
}

// loads counts what planning needs to know of each pool. It is safe for
// concurrent use.
type loads struct {
	mu    sync.Mutex
	sums  map[loadKey]*loadSum
	since time.Time
}

// newLoads returns empty counts.
func newLoads(now time.Time) *loads {
	return &loads{sums: map[loadKey]*loadSum{}, since: now}
}

// sum returns the counts of a pool's model. The lock is held.
func (l *loads) sum(pool, model string) *loadSum {
	key := loadKey{pool, model}
	s := l.sums[key]
	if s == nil {
		s = &loadSum{}
		l.sums[key] = s
	}
	return s
}

// arrived counts a request for a model.
func (l *loads) arrived(pool, model string, stable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sum(pool, model)
	s.requests++
	if stable {
		s.stable++
	}
}

// admitted counts how a request came through admission: dispatched after a
// wait, or refused. Only refusals for want of capacity say anything about the
// pool; those of a contract's limits do not. Prompt tokens count once a request
// is dispatched: a caller that is refused comes back, and its work would count
// again and again.
func (l *loads) admitted(pool, model string, promptTokens int, waited time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sum(pool, model)
	if err == nil {
		s.dispatched++
		s.promptTokens += float64(promptTokens)
		s.waited += waited.Seconds()
		return
	}
	switch result.CodeOf(err) {
	case result.QueueFull, result.DeadlineNotReachable, result.NoTarget:
		s.refused++
	}
}

// generated counts output tokens.
func (l *loads) generated(pool, model string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum(pool, model).outputTokens += float64(tokens)
}

// take returns the loads since the last reading and begins anew.
func (l *loads) take(now time.Time) []control.PoolLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := now.Sub(l.since).Seconds()
	if seconds <= 0 {
		return nil
	}
	taken := make([]control.PoolLoad, 0, len(l.sums))
	for key, s := range l.sums {
		taken = append(taken, s.load(key, seconds))
	}
	l.sums = map[loadKey]*loadSum{}
	l.since = now
	return taken
}

// load turns counts over a time into rates and shares.
func (s *loadSum) load(key loadKey, seconds float64) control.PoolLoad {
	load := control.PoolLoad{
		Pool:         key.pool,
		Model:        key.model,
		Requests:     s.requests / seconds,
		PromptTokens: s.promptTokens / seconds,
		OutputTokens: s.outputTokens / seconds,
	}
	if s.dispatched > 0 {
		load.WaitSeconds = s.waited / s.dispatched
	}
	if s.requests > 0 {
		load.RefusedShare = min(1, s.refused/s.requests)
		load.StableShare = min(1, s.stable/s.requests)
	}
	return load
}

// PoolLoads implements control.Gateway.
func (g *Gateway) PoolLoads() []control.PoolLoad {
	return g.loads.take(time.Now())
}
