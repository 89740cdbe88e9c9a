package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/usage"
	"zinniapin/wire"
)

const (
	// usageInterval is the interval at which counters go to those who store
	// them, at the latest.
	usageInterval = time.Second
	// usageTimeout bounds one hand-over; it exceeds the pace of commits.
	usageTimeout = 5 * time.Second
	// usageDelay is how long a controller holds counters that the gateway's
	// other controller passes on.
	usageDelay = 15 * time.Second
	// usageAge is how long confirmations are remembered.
	usageAge = 30 * time.Second
	// maxRelayed bounds the counters that wait to be stored.
	maxRelayed = 100_000
)

// serveUsage takes in counters. Those of a gateway, which may push only its
// own, are held and acknowledged at once; those that another controller hands
// on are stored here.
func (k *Controller) serveUsage(ctx context.Context, from link.Link, q *wire.UsagePush) *wire.UsageAck {
	peer := from.Peer()
	counters := q.ToCounters()
	if peer.Role == machine.Gateway {
		return k.holdUsage(peer, q, counters)
	}
	return usageAck(q, counters, indicesOf(counters, k.storeUsage(ctx, counters)), nil)
}

// holdUsage takes in a gateway's own counters.
func (k *Controller) holdUsage(gateway machine.Process, q *wire.UsagePush, counters []usage.Counter) *wire.UsageAck {
	own := make([]usage.Counter, 0, len(counters))
	for _, c := range counters {
		if c.Gateway == gateway.ID() {
			own = append(own, c)
		}
	}
	if len(own) < len(counters) {
		return &wire.UsageAck{} // not this gateway's to push
	}
	if q.StoredThrough > 0 {
		k.usage.relay.Acknowledge(gateway.ID(), q.StoredThrough)
	}
	h := usage.PushInfo{Sequence: q.Sequence}
	if q.Backup {
		h.Delay = usageDelay
	}
	stored, refused := k.usage.relay.Add(time.Now(), own, h)
	return usageAck(q, own, stored, refused)
}

// indicesOf returns the indices of the counters that are among those stored.
func indicesOf(counters, stored []usage.Counter) []uint32 {
	known := make(map[usage.Counter]bool, len(stored))
	for _, c := range stored {
		known[c] = true
	}
	var indices []uint32
	for i, c := range counters {
		if known[c] {
			indices = append(indices, uint32(i))
		}
	}
	return indices
}

// usageAck acknowledges what is stored and what is held, in the form that the
// sender understands.
func usageAck(q *wire.UsagePush, counters []usage.Counter, stored, refused []uint32) *wire.UsageAck {
	if q.Indexed {
		return &wire.UsageAck{Indexed: true, StoredAt: stored, RefusedAt: refused}
	}
	ack := &wire.UsageAck{}
	for _, i := range stored {
		ack.Stored = append(ack.Stored, wire.FromCounter(counters[i]))
	}
	return ack
}

// relayUsage hands the counters that are due to the owners of their shards.
func (k *Controller) relayUsage(ctx context.Context, due time.Time) {
	k.ageUsage(time.Now())
	controllers := membership.Controllers(k.Members(), "")
	byOwner := map[machine.Process][]usage.Counter{}
	for shard, counters := range k.usage.relay.Due(due) {
		owner := k.usageOwner(controllers, shard)
		byOwner[owner] = append(byOwner[owner], counters...)
	}
	var group errgroup.Group
	for owner, counters := range byOwner {
		group.Go(func() error {
			k.usage.relay.MarkStored(time.Now(), k.handUsage(ctx, owner, counters))
			return nil
		})
	}
	_ = group.Wait()
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
	wire.SortCounters(counters)
	push := &wire.UsagePush{Counters: wire.FromCounters(counters, k.links.answersByIndex(l)), Indexed: true}
	reply, err := l.Call(timed, &wire.Envelope{Body: &wire.Envelope_UsagePush{UsagePush: push}})
	if err != nil {
		return nil
	}
	ack := reply.GetUsageAck()
	if ack.GetIndexed() {
		k.links.noteIndexed(l)
	}
	return ack.StoredOf(counters)
}

// usageOwner returns the controller that stores the counters of a shard. When
// none takes work, as when all leave at once, this one does so itself: which
// controller stores matters only for the number of conflicts.
func (k *Controller) usageOwner(controllers []membership.Member, shard int) machine.Process {
	owners := membership.Owners(controllers, usage.ReportUnit(shard), 1)
	if len(owners) == 0 {
		return k.config.Self
	}
	return owners[0].Process
}

// ageUsage forgets old confirmations.
func (k *Controller) ageUsage(now time.Time) {
	k.usage.mu.Lock()
	defer k.usage.mu.Unlock()
	if now.Sub(k.usage.aged) >= usageAge {
		k.usage.aged = now
		k.usage.relay.RotateStored()
	}
}

// leaveUsage hands over what waits before this controller ends.
func (k *Controller) leaveUsage(ctx context.Context) {
	retry := time.NewTicker(usageInterval)
	defer retry.Stop()
	for k.usage.relay.Len() > 0 && ctx.Err() == nil {
		k.relayUsage(ctx, time.Now().Add(usageDelay))
		if k.usage.relay.Len() == 0 {
			break
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
		}
	}
	if windows := k.usageWindows(); windows != nil {
		_ = windows.Flush(ctx)
	}
	if waiting := k.usage.relay.Len(); waiting > 0 {
		event.UsageNotStored.Log(k.config.Log).Int("counters", waiting).Send()
	}
}
