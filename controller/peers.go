package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"zinniapin/contract"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/result"
	"zinniapin/wire"
)

const (
	// callTimeout bounds one heartbeat call.
	callTimeout = 2 * time.Second
	// dialTimeout bounds one dial.
	dialTimeout = 3 * time.Second
	// dialRetryDelay is the mean wait before an address is dialled again.
	dialRetryDelay = 2 * time.Second
	// maxMissedHeartbeats is the number of unanswered heartbeats in a row after
	// which a link is closed.
	maxMissedHeartbeats = 3
	// maxHeartbeatRecordBytes bounds the records of each kind in one heartbeat.
	// Only the first heartbeats on a link come near this size.
	maxHeartbeatRecordBytes = 32 << 10
)

// maintainPeers dials the selected peers that are not linked, closes excess and
// idle links, and marks gateways without heartbeats as suspected.
func (k *Controller) maintainPeers(ctx context.Context, now time.Time) {
	linkedHosts := k.links.linkedHosts()
	k.mu.Lock()
	live := k.members.Members(now)
	retryAddress := k.addresses.nextAddress(now, controllersOf(live))
	k.mu.Unlock()
	controllers := membership.Controllers(live, "")
	peers := membership.Peers(controllers, k.config.Self, k.config.Seed, linkedHosts)
	k.setSources(controllers, linkedHosts)
	wanted := make(map[machine.HostID]bool, len(peers))
	for _, p := range peers {
		wanted[p.Process.Host] = true
		if !linkedHosts[p.Process.Host] {
			k.dialPeer(ctx, now, p.Process.Address)
		}
	}
	if len(linkedHosts) == 0 {
		k.dialSeeds(ctx, now)
	}
	k.dialPeer(ctx, now, retryAddress)
	for _, l := range k.links.excess(wanted) {
		_ = l.Close()
	}
	k.links.closeIdle(now)
	for _, gateway := range k.links.overdueGateways(now) {
		k.suspect(gateway)
	}
}

// controllersOf returns the controllers among members, including leaving ones.
func controllersOf(members []membership.Member) []membership.Member {
	var controllers []membership.Member
	for _, m := range members {
		if m.Process.Role == machine.Controller {
			controllers = append(controllers, m)
		}
	}
	return controllers
}

// dialSeeds dials the seed addresses in the settings.
func (k *Controller) dialSeeds(ctx context.Context, now time.Time) {
	for _, address := range k.config.Seeds {
		if address != k.config.Self.Address {
			k.dialPeer(ctx, now, address)
		}
	}
}

// dialPeer dials an address in the background, unless a dial is in progress or the
// last one ended a short while ago.
func (k *Controller) dialPeer(ctx context.Context, now time.Time, address string) {
	if address == "" || !k.links.beginDial(now, address, now.Add(dialTimeout)) {
		return
	}
	go func() {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		l, err := k.config.Network.Dial(dialCtx, address, link.HandlerFunc(k.serve))
		retryAt := time.Now().Add(dialRetryDelay/2 + rand.N(dialRetryDelay))
		k.links.endDial(address, retryAt)
		if err != nil {
			event.LinkDialFailed.Log(k.config.Log).Str("address", address).Err(err).Send()
			return
		}
		k.exchangeHeartbeats(ctx, l, true)
	}()
}

// handleAccepted handles a link that another process opened.
func (k *Controller) handleAccepted(ctx context.Context, l link.Link) {
	event.LinkOpened.Log(k.config.Log).Str("peer", l.Peer().ID()).Send()
	if l.Peer().Role == machine.Gateway {
		k.links.addGateway(time.Now(), l)
		go func() {
			<-l.Done()
			if k.links.removeGateway(l) && ctx.Err() == nil {
				k.suspect(l.Peer())
			}
			event.LinkClosed.Log(k.config.Log).Str("peer", l.Peer().ID()).Send()
		}()
	}
	if l.Peer().Role == machine.Controller {
		first := k.links.expectFirstHeartbeat(l)
		go k.handleAcceptedController(ctx, l, first)
	}
}

// handleAcceptedController waits for the first heartbeat over a link that another
// controller opened, and then exchanges heartbeats over it. A temporary link,
// opened for single calls, never becomes a peer link, and its end does not make
// the other process suspected.
func (k *Controller) handleAcceptedController(ctx context.Context, l link.Link, first <-chan struct{}) {
	select {
	case <-first:
		k.exchangeHeartbeats(ctx, l, false)
	case <-l.Done():
		k.links.dropAwaitingHeartbeat(l)
	case <-ctx.Done():
		_ = l.Close()
	}
}

// exchangeHeartbeats adds a link as that of a peer and sends heartbeats over it
// until it ends or maxMissedHeartbeats in a row fail. Then it marks the peer as
// suspected.
func (k *Controller) exchangeHeartbeats(ctx context.Context, l link.Link, dialled bool) {
	if l.Peer().Host == k.config.Self.Host {
		_ = l.Close()
		return
	}
	p := k.links.addPeer(l, dialled)
	if p == nil {
		if dialled {
			_ = l.Close() // the other link to this peer is in use
		}
		return
	}
	k.mu.Lock()
	p.urgentSent = k.targets.UrgentVersion()
	k.mu.Unlock()
	defer k.links.removePeer(p)
	defer func() { _ = l.Close() }()
	missed := 0
	for missed < maxMissedHeartbeats {
		missed++
		err := k.heartbeat(ctx, p)
		k.metrics.countHeartbeat(err)
		if err == nil {
			missed = 0
		}
		if !k.waitForNextHeartbeat(ctx, p) {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	k.suspect(l.Peer())
}

// suspect marks a process as suspected, because this controller cannot reach it.
func (k *Controller) suspect(p machine.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.members.Suspect(time.Now(), p.Incarnation)
}

// waitForNextHeartbeat waits until the next heartbeat is due. It returns false
// when the link or ctx has ended.
func (k *Controller) waitForNextHeartbeat(ctx context.Context, p *peer) bool {
	timer := time.NewTimer(k.heartbeatInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.wake:
		return true
	case <-p.link.Done():
		return false
	case <-ctx.Done():
		return false
	}
}

const (
	// maxHeartbeatInterval bounds the time between two heartbeats on a link.
	maxHeartbeatInterval = 2 * time.Second
	// membersPerHeartbeatSecond is the number of members per second of heartbeat
	// interval. An empty call takes about 270 bytes, both directions together. With
	// a call each way every second, 18 links would thus take a third of what a host
	// may send for control.
	membersPerHeartbeatSecond = 130
)

// heartbeatInterval returns the time between two heartbeats on a link, which grows
// with the number of members. A new configuration triggers a heartbeat at once.
func (k *Controller) heartbeatInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	scaled := time.Duration(k.members.Size()) * time.Second / membersPerHeartbeatSecond
	return min(maxHeartbeatInterval, max(tickInterval, scaled))
}

// heartbeat sends urgent target changes to a peer, requests the peer's changes and
// applies the reply.
func (k *Controller) heartbeat(ctx context.Context, p *peer) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	request := k.heartbeatBase()
	request.MembersVersion, request.TargetsVersion = k.requestedVersions(p)
	urgent := k.addUrgentTargets(p, request)
	envelope, err := p.link.Call(callCtx, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: request}})
	if err != nil {
		return err
	}
	reply := envelope.GetHeartbeat()
	if reply == nil {
		return result.New(result.UnknownMessage, "the reply to a heartbeat is not a heartbeat")
	}
	k.metrics.countHeartbeatBytes(request, reply)
	k.applyHeartbeatReply(p, requestedAt, request, reply)
	p.urgentSent = urgent
	if contract.Revision(reply.ConfigRevision) > k.replica.Revision() {
		go k.fetchFrom(ctx, p.link)
	}
	return nil
}

// setSources selects the hosts from which records are requested: records of
// members from hosts of any region, records of targets from this region only.
func (k *Controller) setSources(controllers []membership.Member, linkedHosts map[machine.HostID]bool) {
	self := k.config.Self
	regional := membership.Controllers(controllers, self.Zone.Region)
	linkedRegional := map[machine.HostID]bool{}
	for _, m := range regional {
		if linkedHosts[m.Process.Host] {
			linkedRegional[m.Process.Host] = true
		}
	}
	members := membership.Sources(controllers, self.Host, k.config.Seed, linkedHosts)
	targets := membership.Sources(regional, self.Host, k.config.Seed, linkedRegional)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.memberSources, k.targetSources = members, targets
}

// requestedVersions returns the versions from which to request a peer's changes.
func (k *Controller) requestedVersions(p *peer) (members, targets uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p.heartbeatCount++
	periodic := p.heartbeatCount%periodicRequestEvery == 0
	host := p.link.Peer().Host
	members = p.members.nextVersion(k.memberSources == nil || k.memberSources[host], periodic)
	targets = p.targets.nextVersion(k.targetSources == nil || k.targetSources[host], periodic)
	return members, targets
}

// addMemberChanges adds to a reply the member changes that a peer has not seen.
// The caller holds k.mu.
func (k *Controller) addMemberChanges(request, reply *wire.Heartbeat, peer machine.Process) {
	changes := k.members.Since(request.MembersVersion, peer.Incarnation, maxHeartbeatRecordBytes)
	reply.Members, reply.Beats, reply.MembersVersion = changes.Members, changes.Beats, changes.Version
}

// exchangeTargetChanges merges the urgent target changes in the request of a peer
// of the region, and adds to the reply the target changes that the peer has not
// seen. The caller holds k.mu.
func (k *Controller) exchangeTargetChanges(now time.Time, request, reply *wire.Heartbeat, peer machine.Process) {
	for _, t := range request.Targets {
		k.targets.Merge(now, peer.Incarnation, t)
	}
	k.announceUrgent()
	changes := k.targets.Since(now, request.TargetsVersion, peer.Incarnation, maxHeartbeatRecordBytes)
	reply.Targets, reply.Loads, reply.TargetsVersion = changes.Targets, changes.Loads, changes.Version
}

// notifySuspectedGateway records the heartbeat of a gateway. If the gateway is
// suspected, it adds that to the reply, so that the gateway refutes the suspicion
// by a higher beat. The caller holds k.mu.
func (k *Controller) notifySuspectedGateway(now time.Time, gateway machine.Process, reply *wire.Heartbeat) {
	k.links.markGatewayHeartbeat(now, gateway)
	if k.members.Suspected(gateway.Incarnation) {
		reply.Members = append(reply.Members, &wire.Member{Incarnation: gateway.Incarnation, Doubted: true})
	}
}

// heartbeatBase returns a heartbeat with the fields that every heartbeat has: the
// revision in force and the last confirmation.
func (k *Controller) heartbeatBase() *wire.Heartbeat {
	h := &wire.Heartbeat{ConfigRevision: uint64(k.replica.Revision()), ConfirmedAgeMs: -1}
	if c := k.replica.Confirmed(); !c.At.IsZero() {
		h.ConfirmedRevision = uint64(c.Revision)
		h.ConfirmedAgeMs = max(0, time.Since(c.At).Milliseconds())
	}
	return h
}

// applyConfirmation applies the confirmation of the store's newest revision in
// the reply to a heartbeat. Its age counts from the time of the request, because
// the reply may have waited while this process was paused. The confirmation in a
// request is never applied, because the receiver cannot tell how long the request
// waited.
func (k *Controller) applyConfirmation(requestedAt time.Time, h *wire.Heartbeat) {
	if h.ConfirmedAgeMs >= 0 {
		at := requestedAt.Add(-time.Duration(h.ConfirmedAgeMs) * time.Millisecond)
		k.replica.Confirm(contract.Revision(h.ConfirmedRevision), at)
	}
}

// applyHeartbeatReply merges the reply to a heartbeat. Member records in it are
// dated by the time of the request. A record that cannot be merged makes the next
// heartbeat request all records.
func (k *Controller) applyHeartbeatReply(p *peer, requestedAt time.Time, request, reply *wire.Heartbeat) {
	k.applyConfirmation(requestedAt, reply)
	now := time.Now()
	source := p.link.Peer().Incarnation
	local := p.link.Peer().Zone.Region == k.config.Self.Zone.Region
	k.mu.Lock()
	defer k.mu.Unlock()
	k.links.markAnswered(p)
	k.mergeCrashEvidence(now, reply)
	p.members.received(request.MembersVersion, reply.MembersVersion)
	if local {
		p.targets.received(request.TargetsVersion, reply.TargetsVersion)
	}
	for _, m := range reply.Members {
		if !k.members.Merge(requestedAt, source, m) {
			p.members.requestAll()
		}
	}
	for _, b := range reply.Beats {
		if !k.members.MergeBeats(requestedAt, source, b) {
			p.members.requestAll()
		}
	}
	if !local {
		return
	}
	for _, t := range reply.Targets {
		k.targets.Merge(now, source, t)
	}
	if !k.targets.MergeLoads(now, source, reply.Loads) {
		p.targets.requestAll()
	}
	k.announceUrgent()
}

// addUrgentTargets adds to a request the urgent target changes that a peer of the
// region has not received, and returns the version that they reach.
func (k *Controller) addUrgentTargets(p *peer, request *wire.Heartbeat) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.link.Peer().Zone.Region != k.config.Self.Zone.Region {
		return p.urgentSent
	}
	states, version := k.targets.Urgent(time.Now(), p.urgentSent, p.link.Peer().Incarnation)
	request.Targets = states
	return version
}

// announceUrgent triggers heartbeats to all peers if there are new urgent target
// changes. The caller holds k.mu.
func (k *Controller) announceUrgent() {
	if version := k.targets.UrgentVersion(); version != k.urgentAnnounced {
		k.urgentAnnounced = version
		k.links.triggerHeartbeats()
	}
}

// markAnswered records that a peer answered a heartbeat.
func (r *registry) markAnswered(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.answered = true
}

// linkTo returns a link for a call to a controller. If there is none, it opens a
// temporary one.
func (k *Controller) linkTo(ctx context.Context, p machine.Process) (link.Link, error) {
	if l := k.links.existingLink(time.Now(), p); l != nil {
		return l, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := k.config.Network.Dial(dialCtx, p.Address, link.HandlerFunc(k.serve))
	if err != nil {
		return nil, err
	}
	k.links.addTemporary(time.Now(), p.Address, l)
	return l, nil
}
