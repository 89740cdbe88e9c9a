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
	// Grace is how long a window stays open after its end. Default 1 minute.
	Grace time.Duration
	// CommitEvery is the minimum interval between two commits of a shard. Default
	// 2 seconds.
	CommitEvery time.Duration
	// MaxPending is the maximum number of counters kept in memory. Default 200,000.
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

// withDefaults returns the options with defaults in place of zero values.
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

// Windows merges usage counters into the windows in the object API, and freezes and
// reports windows. Any number of controllers may do so at the same time. It is safe
// for concurrent use.
type Windows struct {
	objects store.Store
	options Options
	shards  []*shard

	mu      sync.Mutex
	pending int // number of counters in memory, over all shards
}

// shard holds the pending counters and the cached windows of one shard.
type shard struct {
	index int

	mu      sync.Mutex
	pending map[counterID]Amount

	// commitLock is held by the commit in progress and guards the fields below. It is a
	// channel so that waiting for it can be canceled.
	commitLock chan struct{}
	lastCommit time.Time
	cache      map[int64]cachedWindow // windows as last read or written, by start
	next       int64                  // head.Next as last read; 0 if unknown
}

// cachedWindow is a window with its version, as last read or written.
type cachedWindow struct {
	version store.Version
	window  *window
}

// NewWindows returns Windows that store in the given object API.
func NewWindows(objects store.Store, options Options) *Windows {
	w := &Windows{objects: objects, options: options.withDefaults()}
	for n := range w.options.Shards {
		w.shards = append(w.shards, &shard{
			index:      n,
			pending:    map[counterID]Amount{},
			commitLock: make(chan struct{}, 1),
			cache:      map[int64]cachedWindow{},
		})
	}
	return w
}

// Push merges counters into the object API and returns those that are stored. The
// others stay in memory for Flush and should be pushed again. The error is
// result.StoreUnavailable if some counters were not stored.
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
		errs   error
	)
	for n, shardCounters := range byShard {
		wg.Go(func() {
			shardStored, err := w.pushShard(ctx, w.shards[n], shardCounters)
			mu.Lock()
			defer mu.Unlock()
			stored = append(stored, shardStored...)
			errs = errors.Join(errs, err)
		})
	}
	wg.Wait()
	if errs != nil {
		return stored, result.Wrap(errs, result.StoreUnavailable, "some usage counters are not stored yet and stay in memory").Retry(w.options.CommitEvery)
	}
	return stored, nil
}

// pushShard merges counters of one shard and returns those that are stored.
func (w *Windows) pushShard(ctx context.Context, s *shard, counters []Counter) ([]Counter, error) {
	buffered := w.bufferCounters(s, counters)
	err := w.commit(ctx, s)
	stored := s.storedOf(buffered)
	if err == nil && len(stored) < len(counters) {
		err = trace.Wrap(store.ErrUnavailable)
	}
	return stored, err
}

// bufferCounters merges counters into the pending ones in memory, and returns those
// for which there is room.
func (w *Windows) bufferCounters(s *shard, counters []Counter) []Counter {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var buffered []Counter
	for _, c := range counters {
		id := counterIDOf(c)
		old, known := s.pending[id]
		if !known && w.pending >= w.options.MaxPending {
			continue
		}
		if !known {
			w.pending++
		}
		s.pending[id] = old.Max(c.Amount)
		buffered = append(buffered, c)
	}
	return buffered
}

// storedOf returns those of the given counters that are not pending any more.
func (s *shard) storedOf(counters []Counter) []Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored []Counter
	for _, c := range counters {
		if _, waits := s.pending[counterIDOf(c)]; !waits {
			stored = append(stored, c)
		}
	}
	return stored
}

// Pending returns the number of counters in memory that are not stored yet.
func (w *Windows) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending
}

// Flush stores the pending counters of all shards.
func (w *Windows) Flush(ctx context.Context) error {
	for _, s := range w.shards {
		if err := w.commit(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// commit stores a shard's pending counters. Callers that wait while a commit is in
// progress share the next one.
func (w *Windows) commit(ctx context.Context, s *shard) error {
	select {
	case s.commitLock <- struct{}{}:
		defer func() { <-s.commitLock }()
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	if s.pendingCount() == 0 {
		return nil
	}
	if err := w.waitCommitInterval(ctx, s); err != nil {
		return err
	}
	byWindow := s.pendingByWindow()
	var errs error
	for start, counters := range byWindow {
		if err := w.storeCounters(ctx, s, start, counters); err != nil {
			errs = errors.Join(errs, err)
		}
	}
	s.lastCommit = w.options.Now()
	s.trimCache(s.lastCommit.Add(-w.options.Grace - 4*w.options.Length).Unix())
	if errs != nil {
		event.UsageStoreDown.Log(w.options.Log).Int("shard", s.index).Err(errs).Send()
	}
	return errs
}

// waitCommitInterval waits until CommitEvery has passed since the shard's last commit.
func (w *Windows) waitCommitInterval(ctx context.Context, s *shard) error {
	wait := s.lastCommit.Add(w.options.CommitEvery).Sub(w.options.Now())
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

// pendingCount returns the number of pending counters.
func (s *shard) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// pendingByWindow returns the pending counters by window.
func (s *shard) pendingByWindow() map[int64]map[counterID]Amount {
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

// trimCache removes windows from the cache that start before the given time.
func (s *shard) trimCache(before int64) {
	maps.DeleteFunc(s.cache, func(start int64, _ cachedWindow) bool { return start < before })
}

// dropPending removes the given counters from the pending ones, unless a larger amount
// is pending.
func (w *Windows) dropPending(s *shard, counters map[counterID]Amount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, a := range counters {
		pending, known := s.pending[id]
		if known && pending.Max(a) == a {
			delete(s.pending, id)
			w.pending--
		}
	}
}
