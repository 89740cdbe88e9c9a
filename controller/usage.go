package controller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapin/contract"
	"zinniapin/event"
	"zinniapin/membership"
	"zinniapin/result"
	"zinniapin/usage"
)

const (
	// closeInterval is the interval at which a controller checks whether an
	// attempt to close usage windows is due. There are closeAttemptsPerWindow
	// attempts in the length of a window.
	closeInterval          = time.Second
	closeAttemptsPerWindow = 10
	// maxParallelCloses bounds the number of shards closed concurrently.
	maxParallelCloses = 4
	// maxGrace bounds how long a usage window accepts late counters after its end,
	// which otherwise is as long as the window itself.
	maxGrace = time.Minute
)

// usageState holds the usage counters that a controller relays and the windows
// that it stores.
type usageState struct {
	relay *usage.RelayBuffer

	mu         sync.Mutex
	windows    *usage.Windows // nil until a configuration with their length is in force
	rotatedAt  time.Time      // when relay.RotateStored was last called
	lastClosed time.Time      // when this controller last tried to close windows
}

// newUsageState returns a state without counters and windows.
func newUsageState() *usageState {
	return &usageState{
		relay: usage.NewRelayBuffer(usage.DefaultShards, maxRelayed),
	}
}

// usageWindows returns the usage windows, or nil while no configuration is in force.
func (k *Controller) usageWindows() *usage.Windows {
	k.usage.mu.Lock()
	defer k.usage.mu.Unlock()
	if k.usage.windows == nil {
		if s := k.replica.Snapshot(); s != nil {
			k.usage.windows = k.newWindows(s)
		}
	}
	return k.usage.windows
}

// newWindows returns usage windows of the length that a configuration sets. They are
// not replaced when the configuration changes, since a change of the length is refused.
func (k *Controller) newWindows(s *contract.Snapshot) *usage.Windows {
	length := s.Fleet.UsageWindow()
	return usage.NewWindows(k.config.Store, usage.Options{
		Length: length,
		Grace:  min(length, maxGrace),
		Log:    k.config.Log,
	})
}

// storeUsage writes counters to the object API and returns those that are stored.
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

// closeWindows freezes and reports the ended windows of the shards that this
// controller owns, if an attempt is due.
func (k *Controller) closeWindows(ctx context.Context) {
	windows := k.usageWindows()
	if windows == nil || k.config.Reports == nil || !k.closingDue(time.Now()) {
		return
	}
	controllers := membership.Controllers(k.Members(), "")
	var group errgroup.Group
	group.SetLimit(maxParallelCloses)
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

// closingDue reports whether an attempt to close windows is due, and if so records
// it. Every attempt costs two reads of the object API per shard.
func (k *Controller) closingDue(now time.Time) bool {
	length := k.replica.Snapshot().Fleet.UsageWindow()
	k.usage.mu.Lock()
	defer k.usage.mu.Unlock()
	if now.Sub(k.usage.lastClosed) < length/closeAttemptsPerWindow {
		return false
	}
	k.usage.lastClosed = now
	return true
}

// closeShard freezes and reports the ended windows of one shard. A failure is
// retried at the next attempt. It does not wait for an order that another process has
// open for the shard, since the other shards would wait with it.
func (k *Controller) closeShard(ctx context.Context, windows *usage.Windows, shard int) {
	_, err := windows.FreezeDue(ctx, shard)
	if err == nil {
		_, err = windows.Report(ctx, shard, k.executor, k.config.Reports)
	}
	if err != nil && ctx.Err() == nil && result.CodeOf(err) != result.OrderOpen { // the executor logs an open order
		event.UsageNotReported.Log(k.config.Log).Int("shard", shard).Err(err).Send()
	}
}
