package uplink

import (
	"context"
	"math"
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
	var next link.Link
	for ctx.Err() == nil {
		l := next
		if l == nil {
			l = u.open(ctx, g, slot)
		}
		if l == nil {
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if next = u.run(ctx, g, slot, l); next == nil {
			pause(ctx, backoff/2+rand.N(backoff))
		}
	}
	if next != nil {
		_ = next.Close()
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
// had, which it returns when it is open already.
func (u *Uplink) run(ctx context.Context, g control.Gateway, slot int, l link.Link) link.Link {
	up := &upstream{link: l, usage: newUsageHeld()}
	u.setLink(slot, up)
	event.LinkOpened.Log(u.config.Log).Str("peer", l.Peer().ID()).Send()
	defer func() {
		u.setLink(slot, nil)
		_ = l.Close()
		event.LinkClosed.Log(u.config.Log).Str("peer", l.Peer().ID()).Send()
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	returning := time.Now().Add(returnInterval)
	for missed := 0; missed < maxMissed; {
		missed++
		if u.heartbeat(ctx, g, up) == nil {
			missed = 0
		}
		if missed > 0 {
			u.candidates.mark(l.Peer().Address, time.Now())
		}
		if u.betterThan(slot, l) {
			return nil
		}
		if slot == 0 && u.away(l) && time.Now().After(returning) {
			if own := u.dial(ctx, g, u.config.LocalController); own != nil {
				return own
			}
			returning = time.Now().Add(returnInterval)
		}
		select {
		case <-ticker.C:
		case <-l.Done():
			u.candidates.mark(l.Peer().Address, time.Now())
			return nil
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// returnInterval is the interval at which the first slot, while it is linked
// to another controller, tries that of the own host.
const returnInterval = 5 * time.Second

// away tells whether a link is not to the own host's controller.
func (u *Uplink) away(l link.Link) bool {
	return u.config.LocalController != "" && l.Peer().Address != u.config.LocalController
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
	up.asked = time.Now()
	request, urgent := u.request(up)
	envelope, err := up.link.Call(timed, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: request}})
	if err != nil {
		return err
	}
	reply := envelope.GetHeartbeat()
	if reply == nil {
		return result.New(result.UnknownMessage, "the reply is no heartbeat")
	}
	up.urgent = urgent
	u.takeIn(up, reply, request.TargetsVersion != noTargets)
	u.tellObserved(g)
	if contract.Revision(reply.ConfigRevision) > u.holder.Revision() {
		return u.fetch(ctx, g, up)
	}
	return nil
}

// request returns the heartbeat of this gateway, and the version of its view
// up to which it tells urgent news: a controller that was restarted may know
// of a leaving target from nobody else.
func (u *Uplink) request(up *upstream) (*wire.Heartbeat, uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.beat(time.Now())
	request := &wire.Heartbeat{
		ConfigRevision: uint64(u.self.Revision),
		Members:        []*wire.Member{u.self.ToWire()},
		TargetsVersion: up.targets,
		ConfirmedAgeMs: -1,
	}
	if up.told {
		request.MembersVersion = 1
	}
	if !u.asksTargets(up) {
		request.TargetsVersion = noTargets
	}
	states, urgent := u.targets.Urgent(time.Now(), up.urgent, up.link.Peer().Incarnation)
	request.Targets = states
	return request, urgent
}

const (
	// noTargets is the version that asks for no targets.
	noTargets = math.MaxUint64
	// smallFleet is the number of processes up to which both controllers tell
	// their views with each heartbeat.
	smallFleet = 64
	// secondView is the number of heartbeats for each time that the second
	// controller of a larger fleet tells its view. It guards against a first
	// one that is cut off from the mesh.
	secondView = 8
)

// asksTargets tells whether the next heartbeat on a link asks for targets. The
// lock is held.
func (u *Uplink) asksTargets(up *upstream) bool {
	up.beats++
	first := u.links[0] == nil || u.links[0] == up
	return first || u.fleet.processes <= smallFleet || up.beats%secondView == 1
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

// takeIn merges the answer to a heartbeat, which asked for targets or not.
func (u *Uplink) takeIn(up *upstream, reply *wire.Heartbeat, targets bool) {
	now := time.Now()
	if reply.ConfirmedAgeMs >= 0 {
		// From the sending on: the reply may have waited for a paused process.
		at := up.asked.Add(-time.Duration(reply.ConfirmedAgeMs) * time.Millisecond)
		u.holder.Confirm(contract.Revision(reply.ConfirmedRevision), at)
	}
	var named []membership.Member
	doubted := false
	for _, m := range reply.Members {
		if m.Incarnation == u.config.Self.Incarnation {
			doubted = doubted || m.Doubted
			continue
		}
		named = append(named, membership.FromWire(m))
	}
	u.candidates.learnAll(named)
	u.mu.Lock()
	defer u.mu.Unlock()
	up.told = len(named) > 1 || up.told
	u.changed = u.changed || doubted // the next beat refutes the doubt
	u.fleet.take(now, reply)
	u.fleet.asked = up.asked
	if targets {
		up.targets = reply.TargetsVersion
	}
	source := up.link.Peer().Incarnation
	for _, t := range reply.Targets {
		u.targets.Merge(now, source, t)
	}
	if !u.targets.MergeLoads(now, source, reply.Loads) {
		up.targets = 0
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
	f.storeDownAge = time.Duration(reply.StoreDownAgeMs) * time.Millisecond
}

// tellObserved hands the view of targets to the gateway when it changed.
func (u *Uplink) tellObserved(g control.Gateway) {
	u.observe.Lock()
	defer u.observe.Unlock()
	u.mu.Lock()
	version := u.targets.Version()
	changed := version != u.seen
	u.seen = version
	var view []control.TargetState
	if changed {
		view = u.targets.States()
	}
	u.mu.Unlock()
	if changed {
		g.Observe(view)
	}
}

// fetch takes a newer configuration over and puts it in force.
func (u *Uplink) fetch(ctx context.Context, g control.Gateway, up *upstream) error {
	if _, err := u.holder.Fetch(ctx, up.link); err != nil {
		event.ConfigurationFetchFailed.Log(u.config.Log).Str("peer", up.link.Peer().ID()).Err(err).Send()
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
