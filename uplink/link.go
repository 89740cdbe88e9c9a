package uplink

import (
	"context"
	"math/rand/v2"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/membership"
	"zinniapin/result"
	"zinniapin/wire"
)

// keepLink keeps one link open until ctx ends.
func (u *Uplink) keepLink(ctx context.Context, g control.Gateway, slot int) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		l := u.open(ctx, g, slot)
		if l == nil {
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		u.run(ctx, g, slot, l)
		pause(ctx, backoff/2+rand.N(backoff))
	}
	return nil
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// open dials the best candidate of a slot. It returns nil when that fails.
func (u *Uplink) open(ctx context.Context, g control.Gateway, slot int) link.Link {
	address := u.candidates.pick(slot, u.takenBy(1-slot))
	if address == "" {
		return nil
	}
	return u.dial(ctx, g, address)
}

// dial opens a link to an address, or returns nil.
func (u *Uplink) dial(ctx context.Context, g control.Gateway, address string) link.Link {
	timed, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := u.config.Network.Dial(timed, address, u.serve(g))
	if err != nil {
		u.candidates.mark(address, time.Now())
		event.LinkDialFailed.Log(u.config.Log).Str("address", address).Err(err).Send()
		return nil
	}
	u.candidates.mark(address, time.Time{})
	u.candidates.learn(address, l.Peer().Zone.Name)
	return l
}

// takenBy returns the address that a slot is linked to, or "".
func (u *Uplink) takenBy(slot int) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.links[slot] == nil {
		return ""
	}
	return u.links[slot].link.Peer().Address
}

// run exchanges heartbeats over a link until it ends or a better one can be
// had.
func (u *Uplink) run(ctx context.Context, g control.Gateway, slot int, l link.Link) {
	up := &upstream{link: l}
	u.setLink(slot, up)
	event.LinkOpened.Log(u.config.Log).Str("peer", l.Peer().ID()).Send()
	defer func() {
		u.setLink(slot, nil)
		_ = l.Close()
		event.LinkClosed.Log(u.config.Log).Str("peer", l.Peer().ID()).Send()
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for missed := 0; missed < maxMissed; {
		missed++
		if u.heartbeat(ctx, g, up) == nil {
			missed = 0
		}
		if missed > 0 {
			u.candidates.mark(l.Peer().Address, time.Now())
		}
		if u.betterThan(slot, l) {
			return
		}
		select {
		case <-ticker.C:
		case <-l.Done():
			u.candidates.mark(l.Peer().Address, time.Now())
			return
		case <-ctx.Done():
			return
		}
	}
}

// betterThan tells whether the second slot could be linked to another zone
// and is not.
func (u *Uplink) betterThan(slot int, l link.Link) bool {
	return slot > 0 && l.Peer().Zone.Name == u.config.Self.Zone.Name && u.candidates.elsewhere()
}

// heartbeat asks a controller for what changed and takes it in.
func (u *Uplink) heartbeat(ctx context.Context, g control.Gateway, up *upstream) error {
	timed, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	envelope, err := up.link.Call(timed, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: u.request(up)}})
	if err != nil {
		return err
	}
	reply := envelope.GetHeartbeat()
	if reply == nil {
		return result.New(result.UnknownMessage, "the reply is no heartbeat")
	}
	u.takeIn(up, reply)
	u.tellObserved(g)
	if contract.Revision(reply.ConfigRevision) > u.holder.Revision() {
		return u.fetch(ctx, g, up)
	}
	return nil
}

// request returns the heartbeat of this gateway.
func (u *Uplink) request(up *upstream) *wire.Heartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beat(time.Now())
	request := &wire.Heartbeat{
		ConfigRevision: uint64(u.self.Revision),
		Members:        []*wire.Member{u.self.ToWire(false)},
		TargetsVersion: up.targets,
		ConfirmedAgeMs: -1,
	}
	if up.told {
		request.MembersVersion = 1
	}
	return request
}

// beat raises the beat of this gateway when it is due, or when its record
// changed. The lock is held.
func (u *Uplink) beat(now time.Time) {
	revision := u.holder.Revision()
	if revision == u.self.Revision && !u.changed && now.Before(u.nextBeat) {
		return
	}
	u.self.Revision = revision
	u.self.Beat++
	u.changed = false
	u.nextBeat = now.Add(membership.BeatInterval(u.fleet.processes))
}

// takeIn merges the answer to a heartbeat.
func (u *Uplink) takeIn(up *upstream, reply *wire.Heartbeat) {
	now := time.Now()
	if reply.ConfirmedAgeMs >= 0 {
		at := now.Add(-time.Duration(reply.ConfirmedAgeMs) * time.Millisecond)
		u.holder.Confirm(contract.Revision(reply.ConfirmedRevision), at)
	}
	var named []membership.Member
	for _, m := range reply.Members {
		named = append(named, membership.FromWire(m))
	}
	u.candidates.learnAll(named)
	u.mu.Lock()
	defer u.mu.Unlock()
	up.told = len(named) > 1 || up.told
	u.fleet.take(now, reply)
	up.targets = reply.TargetsVersion
	for _, t := range reply.Targets {
		if !u.targets.Merge(now, up.link.Peer().Incarnation, t) {
			up.targets = 0
		}
	}
	u.targets.Forget(now)
}

// take takes in what a heartbeat says of the fleet. A lower number of gateways
// counts only once no controller named the higher one for countMemory: a
// controller that has just started knows few, and a low count would make safe
// shares too large.
func (f *fleet) take(now time.Time, reply *wire.Heartbeat) {
	if count := int(reply.LiveGateways); count >= f.gateways || now.Sub(f.counted) > countMemory {
		f.gateways = count
		f.counted = now
	}
	f.processes = int(reply.LiveGateways + reply.LiveControllers)
	f.storeDown = reply.StoreDownForMost
}

// tellObserved hands the view of targets to the gateway when it changed.
func (u *Uplink) tellObserved(g control.Gateway) {
	u.observe.Lock()
	defer u.observe.Unlock()
	u.mu.Lock()
	version := u.targets.Version()
	changed := version != u.seen
	u.seen = version
	view := u.targets.States()
	u.mu.Unlock()
	if changed {
		g.Observe(view)
	}
}

// fetch takes a newer configuration over and puts it in force.
func (u *Uplink) fetch(ctx context.Context, g control.Gateway, up *upstream) error {
	if _, err := u.holder.Fetch(ctx, up.link); err != nil {
		event.ConfigurationBehind.Log(u.config.Log).Str("peer", up.link.Peer().ID()).Err(err).Send()
		return err
	}
	u.configure.Lock()
	defer u.configure.Unlock()
	s := u.holder.Snapshot()
	if s == nil || s.Revision <= u.configured {
		return nil
	}
	u.configured = s.Revision
	g.Configure(s)
	event.ConfigurationInForce.Log(u.config.Log).Uint64("revision", uint64(s.Revision)).Send()
	return nil
}
