package usage

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/store"
)

// Options are the settings of Windows. Zero values take defaults.
type Options struct {
	// Length is the length of a window. Default 1 minute. It must not change
	// while windows are open.
	Length time.Duration
	// Shards is the number of shards. Default DefaultShards; it must not
	// change while windows are open.
	Shards int
	// Grace is how long after its end a window stays open. Default 1 minute.
	Grace time.Duration
	// CommitEvery is the least time between two commits of a shard. Default
	// 2 seconds.
	CommitEvery time.Duration
	// MaxPending bounds the counters kept in memory. Default 200,000.
	MaxPending int
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Log receives events. Default none.
	Log *zerolog.Logger
}

// Defaults of Options.
const (
	defaultLength      = time.Minute
	defaultGrace       = time.Minute
	defaultCommitEvery = 2 * time.Second
	defaultMaxPending  = 200_000
)

// withDefaults fills the zero values.
func (o Options) withDefaults() Options {
	o.Length = cmp.Or(o.Length, defaultLength)
	o.Shards = cmp.Or(o.Shards, DefaultShards)
	o.Grace = cmp.Or(o.Grace, defaultGrace)
	o.CommitEvery = cmp.Or(o.CommitEvery, defaultCommitEvery)
	o.MaxPending = cmp.Or(o.MaxPending, defaultMaxPending)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		none := zerolog.Nop()
		o.Log = &none
	}
	return o
}

// Windows is a controller's part in usage: it merges counters into the
// windows in the object API and freezes windows. Any number of controllers
// may do so at once. It is safe for concurrent use.
type Windows struct {
	objects store.Store
	options Options
	shards  []*shard

	mu      sync.Mutex
	pending int // counters in memory
}

// shard is one shard's pending counters.
type shard struct {
	number int

	mu      sync.Mutex
	pending map[counterID]Amount

	commit chan struct{} // holds the one right to commit, which guards the rest
	last   time.Time
	cache  map[int64]cached // windows as last seen, by start
	next   int64            // head.Next as last seen; it only rises
}

// cached is a window as last seen in the object API.
type cached struct {
	version store.Version
	window  *window
}

// NewWindows returns a controller's windows.
func NewWindows(objects store.Store, options Options) *Windows {
	w := &Windows{objects: objects, options: options.withDefaults()}
	for n := range w.options.Shards {
		w.shards = append(w.shards, &shard{
			number:  n,
			pending: map[counterID]Amount{},
			commit:  make(chan struct{}, 1),
			cache:   map[int64]cached{},
		})
	}
	return w
}

// Push merges counters into the object API and returns those that it holds.
// The rest stays in memory for Flush and should be pushed again. The error is
// a result.StoreUnavailable when some counters were not stored.
func (w *Windows) Push(ctx context.Context, counters []Counter) ([]Counter, error) {
	byShard := map[int][]Counter{}
	for _, c := range counters {
		n := ShardOf(c.Organisation, w.options.Shards)
		byShard[n] = append(byShard[n], c)
	}
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		stored []Counter
		failed error
	)
	for n, part := range byShard {
		wg.Go(func() {
			done, err := w.pushShard(ctx, w.shards[n], part)
			mu.Lock()
			defer mu.Unlock()
			stored = append(stored, done...)
			failed = errors.Join(failed, err)
		})
	}
	wg.Wait()
	if failed != nil {
		return stored, result.Wrap(failed, result.StoreUnavailable, "usage waits in memory").Retry(w.options.CommitEvery)
	}
	return stored, nil
}

// pushShard merges counters of one shard.
func (w *Windows) pushShard(ctx context.Context, s *shard, counters []Counter) ([]Counter, error) {
	kept := w.keep(s, counters)
	err := w.commit(ctx, s)
	stored := s.confirmed(kept)
	if err == nil && len(stored) < len(counters) {
		err = trace.Wrap(store.ErrUnavailable)
	}
	return stored, err
}

// keep merges counters into memory and returns those for which there is room.
func (w *Windows) keep(s *shard, counters []Counter) []Counter {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []Counter
	for _, c := range counters {
		id := idOf(c)
		old, known := s.pending[id]
		if !known && w.pending >= w.options.MaxPending {
			continue
		}
		if !known {
			w.pending++
		}
		s.pending[id] = old.Max(c.Amount)
		kept = append(kept, c)
	}
	return kept
}

// confirmed returns those counters that no longer wait for the object API.
func (s *shard) confirmed(counters []Counter) []Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored []Counter
	for _, c := range counters {
		if _, waits := s.pending[idOf(c)]; !waits {
			stored = append(stored, c)
		}
	}
	return stored
}

// Pending returns the number of counters that wait in memory.
func (w *Windows) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending
}

// Flush commits what waits in memory.
func (w *Windows) Flush(ctx context.Context) error {
	for _, s := range w.shards {
		if err := w.commit(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// commit writes a shard's pending counters. Callers that wait for a commit
// under way share the next one.
func (w *Windows) commit(ctx context.Context, s *shard) error {
	select {
	case s.commit <- struct{}{}:
		defer func() { <-s.commit }()
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	if s.waiting() == 0 {
		return nil
	}
	if err := w.pace(ctx, s); err != nil {
		return err
	}
	byWindow := s.snapshot()
	var failed error
	for start, counters := range byWindow {
		if err := w.place(ctx, s, start, counters); err != nil {
			failed = errors.Join(failed, err)
		}
	}
	s.last = w.options.Now()
	s.trim(s.last.Add(-w.options.Grace - 4*w.options.Length).Unix())
	if failed != nil {
		event.UsageStoreDown.Log(w.options.Log).Int("shard", s.number).Err(failed).Send()
	}
	return failed
}

// pace waits until the shard may commit again.
func (w *Windows) pace(ctx context.Context, s *shard) error {
	wait := s.last.Add(w.options.CommitEvery).Sub(w.options.Now())
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// waiting returns the number of pending counters.
func (s *shard) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// snapshot returns the pending counters by window.
func (s *shard) snapshot() map[int64]map[counterID]Amount {
	s.mu.Lock()
	defer s.mu.Unlock()
	byWindow := map[int64]map[counterID]Amount{}
	for id, a := range s.pending {
		if byWindow[id.origin] == nil {
			byWindow[id.origin] = map[counterID]Amount{}
		}
		byWindow[id.origin][id] = a
	}
	return byWindow
}

// trim drops windows from the cache that began before the given time.
func (s *shard) trim(before int64) {
	maps.DeleteFunc(s.cache, func(start int64, _ cached) bool { return start < before })
}

// settle drops the counters from memory that the object API confirmed.
func (w *Windows) settle(s *shard, counters map[counterID]Amount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, a := range counters {
		waiting, known := s.pending[id]
		if known && waiting.Max(a) == a {
			delete(s.pending, id)
			w.pending--
		}
	}
}
