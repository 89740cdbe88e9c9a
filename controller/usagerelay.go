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
	// usageInterval is the interval at which buffered counters are sent to the
	// owners of their shards.
	usageInterval = time.Second
	// usageTimeout bounds the call that hands counters to an owner. It is longer
	// than the interval between commits of usage.
	usageTimeout = 5 * time.Second
	// backupDelay is how long a controller holds the counters of a gateway for
	// which it is the backup, while the gateway's other controller forwards them.
	backupDelay = 15 * time.Second
	// confirmationRotation is the interval between calls of RotateStored, which
	// drops the confirmations of stored counters made before the previous call. A
	// confirmation is thus kept for one to two intervals.
	confirmationRotation = 30 * time.Second
	// maxRelayed bounds the number of buffered counters.
	maxRelayed = 100_000
)

// serveUsage receives counters. Counters of a gateway, which may push only its
// own, are buffered, and the reply lists those of them that are already stored.
// Counters that another controller forwards are stored before the reply.
func (k *Controller) serveUsage(ctx context.Context, from link.Link, push *wire.UsagePush) *wire.UsageAck {
	peer := from.Peer()
	counters := push.ToCounters()
	if peer.Role == machine.Gateway {
		return k.bufferUsage(peer, push, counters)
	}
	return usageAck(push, counters, indicesOf(counters, k.storeUsage(ctx, counters)), nil)
}

// bufferUsage buffers the counters that a gateway pushes. It accepts none if the
// push contains counters of another gateway.
func (k *Controller) bufferUsage(gateway machine.Process, push *wire.UsagePush, counters []usage.Counter) *wire.UsageAck {
	ownCounters := make([]usage.Counter, 0, len(counters))
	for _, c := range counters {
		if c.Gateway == gateway.ID() {
			ownCounters = append(ownCounters, c)
		}
	}
	if len(ownCounters) < len(counters) {
		return &wire.UsageAck{} // some counters belong to another gateway
	}
	if push.StoredThrough > 0 {
		k.usage.relay.Acknowledge(gateway.ID(), push.StoredThrough)
	}
	info := usage.PushInfo{Sequence: push.Sequence}
	if push.Backup {
		info.Delay = backupDelay
	}
	stored, refused := k.usage.relay.Add(time.Now(), ownCounters, info)
	return usageAck(push, ownCounters, stored, refused)
}

// indicesOf returns the indices of the counters that are in stored.
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

// usageAck returns the acknowledgement for stored and refused counters, given by
// index: as indices if the sender supports that, otherwise as counters, without the
// refused ones.
func usageAck(push *wire.UsagePush, counters []usage.Counter, stored, refused []uint32) *wire.UsageAck {
	if push.Indexed {
		return &wire.UsageAck{Indexed: true, StoredAt: stored, RefusedAt: refused}
	}
	ack := &wire.UsageAck{}
	for _, i := range stored {
		ack.Stored = append(ack.Stored, wire.FromCounter(counters[i]))
	}
	return ack
}

// relayUsage sends the buffered counters that are due to the owners of their
// shards.
func (k *Controller) relayUsage(ctx context.Context, due time.Time) {
	k.rotateConfirmations(time.Now())
	controllers := membership.Controllers(k.Members(), "")
	byOwner := map[machine.Process][]usage.Counter{}
	for shard, counters := range k.usage.relay.Due(due) {
		owner := k.usageOwner(controllers, shard)
		byOwner[owner] = append(byOwner[owner], counters...)
	}
	var group errgroup.Group
	for owner, counters := range byOwner {
		group.Go(func() error {
			k.usage.relay.MarkStored(time.Now(), k.forwardUsage(ctx, owner, counters))
			return nil
		})
	}
	_ = group.Wait()
}

// forwardUsage sends counters to the owner of their shards, which may be this
// process, and returns those that the owner has stored.
func (k *Controller) forwardUsage(ctx context.Context, owner machine.Process, counters []usage.Counter) []usage.Counter {
	callCtx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	if owner.ID() == k.config.Self.ID() {
		return k.storeUsage(callCtx, counters)
	}
	l, err := k.linkTo(callCtx, owner)
	if err != nil {
		return nil
	}
	wire.SortCounters(counters)
	push := &wire.UsagePush{Counters: wire.FromCounters(counters, k.links.usesIndexedAcks(l)), Indexed: true}
	reply, err := l.Call(callCtx, &wire.Envelope{Body: &wire.Envelope_UsagePush{UsagePush: push}})
	if err != nil {
		return nil
	}
	ack := reply.GetUsageAck()
	if ack.GetIndexed() {
		k.links.markIndexedAcks(l)
	}
	return ack.StoredOf(counters)
}

// usageOwner returns the controller that stores the counters of a shard. When no
// controller accepts work, for example because all leave at once, it returns this
// one: any controller may store counters, only conflicts become more frequent.
func (k *Controller) usageOwner(controllers []membership.Member, shard int) machine.Process {
	owners := membership.Owners(controllers, usage.ReportUnit(shard), 1)
	if len(owners) == 0 {
		return k.config.Self
	}
	return owners[0].Process
}

// rotateConfirmations calls RotateStored every confirmationRotation.
func (k *Controller) rotateConfirmations(now time.Time) {
	k.usage.mu.Lock()
	defer k.usage.mu.Unlock()
	if now.Sub(k.usage.rotatedAt) >= confirmationRotation {
		k.usage.rotatedAt = now
		k.usage.relay.RotateStored()
	}
}

// flushUsage hands over all buffered counters before this controller ends, and
// logs the number that it could not hand over.
func (k *Controller) flushUsage(ctx context.Context) {
	retry := time.NewTicker(usageInterval)
	defer retry.Stop()
	for k.usage.relay.Len() > 0 && ctx.Err() == nil {
		k.relayUsage(ctx, time.Now().Add(backupDelay))
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
