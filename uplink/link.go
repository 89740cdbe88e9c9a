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
	"zinniapin/reach"
	"zinniapin/result"
	"zinniapin/wire"
)

// keepLink keeps the link of a slot open until ctx ends. It dials again after a failure, with
// exponential backoff.
func (u *Uplink) keepLink(ctx context.Context, g control.Gateway, slot int) error {
	backoff := minBackoff
	var next link.Link
	for ctx.Err() == nil {
		l := next
		if l == nil {
			l = u.dialBest(ctx, g, slot)
		}
		if l == nil {
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if next = u.runLink(ctx, g, slot, l); next == nil {
			sleep(ctx, backoff/2+rand.N(backoff))
		}
	}
	if next != nil {
		_ = next.Close()
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// dialBest dials the best candidate for a slot. It returns nil if there is none or the dial
// fails.
func (u *Uplink) dialBest(ctx context.Context, g control.Gateway, slot int) link.Link {
	address := u.candidates.pick(slot, u.linkedAddress(1-slot))
	if address == "" {
		return nil
	}
	return u.dial(ctx, g, address)
}

// dial opens a link to an address, or returns nil if that fails.
func (u *Uplink) dial(ctx context.Context, g control.Gateway, address string) link.Link {
	timed, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := u.config.Network.Dial(timed, address, u.serve(g))
	if err != nil {
		u.candidates.setFailed(address, time.Now())
		event.LinkDialFailed.Log(u.config.Log).Str("address", address).Err(err).Send()
		return nil
	}
	u.candidates.setFailed(address, time.Time{})
	u.candidates.add(address, l.Peer().Zone.Name)
	return l
}

// linkedAddress returns the address of the controller to which a slot is linked, or "".
func (u *Uplink) linkedAddress(slot int) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.links[slot] == nil {
		return ""
	}
	return u.links[slot].link.Peer().Address
}

// Controllers returns the controllers to which links are open, as hosts that may connect to targets for the gateway.
func (u *Uplink) Controllers() []reach.Host {
	u.mu.Lock()
	defer u.mu.Unlock()
	var all []reach.Host
	for _, up := range u.links {
		if up != nil {
			all = append(all, reach.Host{Address: up.link.Peer().Address, Zone: string(up.link.Peer().Zone.Name)})
		}
	}
	return all
}

// Link returns the open link to a controller.
func (u *Uplink) Link(address string) (link.Link, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, up := range u.links {
		if up != nil && up.link.Peer().Address == address {
			return up.link, nil
		}
	}
	return nil, link.ErrClosed
}

// runLink sends heartbeats over a link until the link or ctx ends, too many heartbeats in
// succession fail, or a better controller is available. It returns the link to the better
// controller if that is already open, or nil.
func (u *Uplink) runLink(ctx context.Context, g control.Gateway, slot int, l link.Link) link.Link {
	up := &upstream{link: l, usage: newHeldUsage()}
	u.setLink(slot, up)
	event.LinkOpened.Log(u.config.Log).Str("peer", l.Peer().ID()).Send()
	defer func() {
		u.setLink(slot, nil)
		_ = l.Close()
		event.LinkClosed.Log(u.config.Log).Str("peer", l.Peer().ID()).Send()
	}()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	nextLocalDial := time.Now().Add(localRetryInterval)
	for missed := 0; missed < maxMissedHeartbeats; {
		missed++
		if u.heartbeat(ctx, g, up) == nil {
			missed = 0
		}
		if missed > 0 {
			u.candidates.setFailed(l.Peer().Address, time.Now())
		}
		if u.otherZoneAvailable(slot, l) {
			return nil
		}
		if slot == 0 && u.isFallback(l) && time.Now().After(nextLocalDial) {
			if local := u.dial(ctx, g, u.config.LocalController); local != nil {
				return local
			}
			nextLocalDial = time.Now().Add(localRetryInterval)
		}
		select {
		case <-ticker.C:
		case <-l.Done():
			u.candidates.setFailed(l.Peer().Address, time.Now())
			return nil
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// localRetryInterval is the interval at which the first slot dials the local controller while
// it is linked to another one.
const localRetryInterval = 5 * time.Second

// isFallback reports whether a link is to another controller than the local one.
func (u *Uplink) isFallback(l link.Link) bool {
	return u.config.LocalController != "" && l.Peer().Address != u.config.LocalController
}

// otherZoneAvailable reports whether the second slot is linked within the gateway's own zone
// although a controller in another zone is available.
func (u *Uplink) otherZoneAvailable(slot int, l link.Link) bool {
	return slot > 0 && l.Peer().Zone.Name == u.config.Self.Zone.Name && u.candidates.hasOtherZone()
}

// heartbeat sends a heartbeat to a controller and applies the reply.
func (u *Uplink) heartbeat(ctx context.Context, g control.Gateway, up *upstream) error {
	timed, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	up.sentAt = time.Now()
	request, urgent := u.heartbeatRequest(up)
	request.SetCrashEvidence(up.sentAt, g.CrashEvidence(control.MaxEvidence, control.EvidenceAge()))
	envelope, err := up.link.Call(timed, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: request}})
	if err != nil {
		return err
	}
	reply := envelope.GetHeartbeat()
	if reply == nil {
		return result.New(result.UnknownMessage, "the reply is not a heartbeat")
	}
	up.urgentVersion = urgent
	u.applyReply(up, reply, request.TargetsVersion != noTargetsVersion)
	if len(reply.CrashEvidence) > 0 {
		g.MergeCrashEvidence(reply.ToCrashEvidence(time.Now())) // before the gateway is ready
	}
	u.publishTargets(g)
	if contract.Revision(reply.ConfigRevision) > u.replica.Revision() {
		return u.fetchConfiguration(ctx, g, up)
	}
	return nil
}

// heartbeatRequest returns the heartbeat to send on a link, and the version of the target table
// up to which it contains the urgent changes. It contains them because a restarted controller
// may have no other source for a target that is leaving.
func (u *Uplink) heartbeatRequest(up *upstream) (*wire.Heartbeat, uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateBeat(time.Now())
	request := &wire.Heartbeat{
		ConfigRevision: uint64(u.self.Revision),
		Members:        []*wire.Member{u.self.ToWire()},
		TargetsVersion: up.targetsVersion,
		ConfirmedAgeMs: -1,
	}
	if up.gotMembers {
		request.MembersVersion = 1
	}
	if !u.needsTargets(up) {
		request.TargetsVersion = noTargetsVersion
	}
	states, urgent := u.targets.Urgent(time.Now(), up.urgentVersion, up.link.Peer().Incarnation)
	request.Targets = states
	return request, urgent
}

const (
	// noTargetsVersion is the targets version that requests no targets.
	noTargetsVersion = math.MaxUint64
	// smallFleetProcesses is the number of processes up to which both controllers send
	// targets with each heartbeat reply.
	smallFleetProcesses = 64
	// secondaryTargetsInterval is the number of heartbeats after which a gateway of a larger
	// fleet requests targets from the second controller too, in case the first one is cut
	// off from the other controllers.
	secondaryTargetsInterval = 8
)

// needsTargets counts a heartbeat on a link and reports whether it requests targets. The lock
// is held.
func (u *Uplink) needsTargets(up *upstream) bool {
	up.heartbeats++
	first := u.links[0] == nil || u.links[0] == up
	return first || u.fleet.processes <= smallFleetProcesses || up.heartbeats%secondaryTargetsInterval == 1
}

// updateBeat increments the beat counter in this gateway's membership record when it is due or
// the record has changed. The lock is held.
func (u *Uplink) updateBeat(now time.Time) {
	revision := u.replica.Revision()
	if revision == u.self.Revision && !u.selfChanged && now.Before(u.nextBeat) {
		return
	}
	u.self.Revision = revision
	u.self.Beat++
	u.selfChanged = false
	u.nextBeat = now.Add(membership.BeatInterval(u.fleet.processes))
}

// applyReply applies the reply to a heartbeat. targets is set if the heartbeat requested
// targets.
func (u *Uplink) applyReply(up *upstream, reply *wire.Heartbeat, targets bool) {
	now := time.Now()
	if reply.ConfirmedAgeMs >= 0 {
		// The age counts from when the heartbeat was sent, since the reply may have waited
		// while this process was paused.
		at := up.sentAt.Add(-time.Duration(reply.ConfirmedAgeMs) * time.Millisecond)
		u.replica.Confirm(contract.Revision(reply.ConfirmedRevision), at)
	}
	var others []membership.Member
	suspected := false
	for _, m := range reply.Members {
		if m.Incarnation == u.config.Self.Incarnation {
			suspected = suspected || m.Doubted
			continue
		}
		others = append(others, membership.FromWire(m))
	}
	u.candidates.addMembers(others)
	u.mu.Lock()
	defer u.mu.Unlock()
	up.gotMembers = len(others) > 1 || up.gotMembers
	u.selfChanged = u.selfChanged || suspected // a higher beat refutes the suspicion
	u.fleet.update(now, reply)
	u.fleet.sentAt = up.sentAt
	if targets {
		up.targetsVersion = reply.TargetsVersion
	}
	source := up.link.Peer().Incarnation
	for _, t := range reply.Targets {
		u.targets.Merge(now, source, t)
	}
	if !u.targets.MergeLoads(now, source, reply.Loads) {
		up.targetsVersion = 0
	}
	u.targets.Forget(now)
}

// update applies what a heartbeat reply says about the fleet. A lower number of gateways
// replaces a higher one only if no controller has reported the higher one for gatewayCountTTL:
// a controller that has just started knows few gateways, and a count that is too low would
// make the guaranteed shares too large.
func (f *fleet) update(now time.Time, reply *wire.Heartbeat) {
	if count := int(reply.LiveGateways); count >= f.gateways || now.Sub(f.countedAt) > gatewayCountTTL {
		f.gateways = count
		f.countedAt = now
	}
	f.processes = int(reply.LiveGateways + reply.LiveControllers)
	f.storeDown = reply.StoreDownForMost
	f.storeDownAge = time.Duration(reply.StoreDownAgeMs) * time.Millisecond
}

// publishTargets passes the targets to the gateway if they have changed.
func (u *Uplink) publishTargets(g control.Gateway) {
	u.observeMu.Lock()
	defer u.observeMu.Unlock()
	u.mu.Lock()
	version := u.targets.Version()
	changed := version != u.publishedVersion
	u.publishedVersion = version
	var view []control.TargetState
	if changed {
		view = u.targets.States()
	}
	u.mu.Unlock()
	if changed {
		g.Observe(view)
	}
}

// fetchConfiguration fetches a newer configuration from a controller and applies it.
func (u *Uplink) fetchConfiguration(ctx context.Context, g control.Gateway, up *upstream) error {
	if _, err := u.replica.Fetch(ctx, up.link); err != nil {
		event.ConfigurationFetchFailed.Log(u.config.Log).Str("peer", up.link.Peer().ID()).Err(err).Send()
		return err
	}
	u.configureMu.Lock()
	defer u.configureMu.Unlock()
	s := u.replica.Snapshot()
	if s == nil || s.Revision <= u.configuredRevision {
		return nil
	}
	u.configuredRevision = s.Revision
	g.Configure(s)
	event.ConfigurationInForce.Log(u.config.Log).Uint64("revision", uint64(s.Revision)).Send()
	return nil
}
