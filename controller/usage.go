package controller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapin/contract"
	"zinniapin/event"
	"zinniapin/membership"
	"zinniapin/usage"
)

const (
	// closeInterval is the interval at which it is looked whether windows are
	// to be closed and reported; each looks at closesAWindow times a window.
	closeInterval = time.Second
	closesAWindow = 10
	// closeParallel bounds the shards that are closed at once.
	closeParallel = 4
	// maxGrace bounds how long after its end a window stays open.
	maxGrace = time.Minute
)

// usageWork is a controller's part in usage.
type usageWork struct {
	relay *usage.RelayBuffer

	mu      sync.Mutex
	windows *usage.Windows // nil until the configuration tells their length
	aged    time.Time
	closed  time.Time // when windows were last closed
}

// newUsageWork returns a part that stores nothing yet.
func newUsageWork() *usageWork {
	return &usageWork{
		relay: usage.NewRelayBuffer(usage.DefaultShards, maxRelayed),
	}
}

// usageWindows returns the windows, or nil while their length is not known.
func (k *Controller) usageWindows() *usage.Windows {
	k.usage.mu.Lock()
	defer k.usage.mu.Unlock()
	if k.usage.windows == nil {
		if s := k.holder.Snapshot(); s != nil {
			k.usage.windows = k.newWindows(s)
		}
	}
	return k.usage.windows
}

// newWindows returns the windows of a configuration, whose length never
// changes.
func (k *Controller) newWindows(s *contract.Snapshot) *usage.Windows {
	length := s.Fleet.UsageWindow()
	return usage.NewWindows(k.config.Store, usage.Options{
		Length: length,
		Grace:  min(length, maxGrace),
		Log:    k.config.Log,
	})
}

// storeUsage stores counters and returns those that the object API holds.
func (k *Controller) storeUsage(ctx context.Context, counters []usage.Counter) []usage.Counter {
	windows := k.usageWindows()
	if windows == nil {
		return nil
	}
	stored, err := windows.Push(ctx, counters)
	if err != nil {
		event.UsageNotStored.Log(k.config.Log).Int("counters", len(counters)-len(stored)).Err(err).Send()
	}
	return stored
}

// closeWindows freezes and reports the windows of the shards that this
// controller owns.
func (k *Controller) closeWindows(ctx context.Context) {
	windows := k.usageWindows()
	if windows == nil || k.config.Reports == nil || !k.closingDue(time.Now()) {
		return
	}
	controllers := membership.Controllers(k.Members(), "")
	var group errgroup.Group
	group.SetLimit(closeParallel)
	for shard := range usage.DefaultShards {
		if !membership.Owns(controllers, usage.ReportUnit(shard), 1, k.config.Self.Host) {
			continue
		}
		group.Go(func() error {
			k.closeShard(ctx, windows, shard)
			return nil
		})
	}
	_ = group.Wait()
}

// closingDue tells whether windows are to be closed now. Every look costs two
// reads of the object API a shard.
func (k *Controller) closingDue(now time.Time) bool {
	length := k.holder.Snapshot().Fleet.UsageWindow()
	k.usage.mu.Lock()
	defer k.usage.mu.Unlock()
	if now.Sub(k.usage.closed) < length/closesAWindow {
		return false
	}
	k.usage.closed = now
	return true
}

// closeShard freezes and reports the windows of one shard. A failure is tried
// again at the next interval.
func (k *Controller) closeShard(ctx context.Context, windows *usage.Windows, shard int) {
	_, err := windows.FreezeDue(ctx, shard)
	if err == nil {
		_, err = windows.Report(ctx, shard, k.executor, k.config.Reports)
	}
	if err != nil && ctx.Err() == nil {
		event.UsageNotReported.Log(k.config.Log).Int("shard", shard).Err(err).Send()
	}
}
