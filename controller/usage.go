package controller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapin/contract"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/usage"
	"zinniapin/wire"
)

const (
	// usageInterval is the interval at which counters go to those who store
	// them.
	usageInterval = time.Second
	// usageTimeout bounds one hand-over; it exceeds the pace of commits.
	usageTimeout = 5 * time.Second
	// usageAge is how long confirmations are remembered.
	usageAge = 30 * time.Second
	// maxRelayed bounds the counters that wait to be stored.
	maxRelayed = 100_000
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
	relay *usage.Relay

	mu      sync.Mutex
	windows *usage.Windows // nil until the configuration tells their length
	aged    time.Time
	closed  time.Time // when windows were last closed
}

// newUsageWork returns a part that stores nothing yet.
func newUsageWork() *usageWork {
	return &usageWork{relay: usage.NewRelay(usage.DefaultShards, maxRelayed)}
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

// serveUsage takes in counters. Those of a gateway, which may push only its
// own, are relayed to the owners of their shards; those that another
// controller relays are stored here.
func (k *Controller) serveUsage(ctx context.Context, from link.Link, q *wire.UsagePush) *wire.UsageAck {
	peer := from.Peer()
	counters := make([]usage.Counter, 0, len(q.Counters))
	for _, c := range q.Counters {
		if peer.Role == machine.Controller || c.Gateway == peer.ID() {
			counters = append(counters, c.ToCounter())
		}
	}
	if peer.Role == machine.Controller {
		return usageAck(k.storeUsage(ctx, counters))
	}
	return usageAck(k.usage.relay.Add(counters))
}

// usageAck acknowledges what is stored.
func usageAck(stored []usage.Counter) *wire.UsageAck {
	ack := &wire.UsageAck{}
	for _, c := range stored {
		ack.Stored = append(ack.Stored, wire.FromCounter(c))
	}
	return ack
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

// relayUsage hands the counters that wait to the owners of their shards.
func (k *Controller) relayUsage(ctx context.Context) {
	k.ageUsage(time.Now())
	controllers := membership.Controllers(k.Members(), "")
	byOwner := map[machine.Process][]usage.Counter{}
	for shard, counters := range k.usage.relay.Pending() {
		owners := membership.Owners(controllers, usage.ReportUnit(shard), 1)
		if len(owners) == 0 {
			continue
		}
		owner := owners[0].Process
		byOwner[owner] = append(byOwner[owner], counters...)
	}
	var group errgroup.Group
	for owner, counters := range byOwner {
		group.Go(func() error {
			k.usage.relay.Stored(k.handUsage(ctx, owner, counters))
			return nil
		})
	}
	_ = group.Wait()
}

// ageUsage forgets old confirmations.
func (k *Controller) ageUsage(now time.Time) {
	k.usage.mu.Lock()
	defer k.usage.mu.Unlock()
	if now.Sub(k.usage.aged) >= usageAge {
		k.usage.aged = now
		k.usage.relay.Age()
	}
}

// handUsage hands counters to the owner of their shards, which may be this
// process, and returns those that are stored.
func (k *Controller) handUsage(ctx context.Context, owner machine.Process, counters []usage.Counter) []usage.Counter {
	timed, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	if owner.ID() == k.config.Self.ID() {
		return k.storeUsage(timed, counters)
	}
	l, err := k.direct(timed, owner)
	if err != nil {
		return nil
	}
	push := &wire.UsagePush{}
	for _, c := range counters {
		push.Counters = append(push.Counters, wire.FromCounter(c))
	}
	reply, err := l.Call(timed, &wire.Envelope{Body: &wire.Envelope_UsagePush{UsagePush: push}})
	if err != nil {
		return nil
	}
	var stored []usage.Counter
	for _, c := range reply.GetUsageAck().GetStored() {
		stored = append(stored, c.ToCounter())
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
	_, err := windows.CloseDue(ctx, shard)
	if err == nil {
		_, err = windows.Report(ctx, shard, k.executor, k.config.Reports)
	}
	if err != nil && ctx.Err() == nil {
		event.UsageNotReported.Log(k.config.Log).Int("shard", shard).Err(err).Send()
	}
}

// leaveUsage hands over what waits before this controller ends.
func (k *Controller) leaveUsage(ctx context.Context) {
	for k.usage.relay.Len() > 0 && ctx.Err() == nil {
		k.relayUsage(ctx)
	}
	if windows := k.usageWindows(); windows != nil {
		_ = windows.Flush(ctx)
	}
	if waiting := k.usage.relay.Len(); waiting > 0 {
		event.UsageNotStored.Log(k.config.Log).Int("counters", waiting).Send()
	}
}
