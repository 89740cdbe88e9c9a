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
	// callTimeout bounds a heartbeat.
	callTimeout = 2 * time.Second
	// dialTimeout bounds a dial.
	dialTimeout = 3 * time.Second
	// dialPause is the mean wait after a failed dial.
	dialPause = 2 * time.Second
	// maxMissed is the number of heartbeats without answer after which a link
	// is given up.
	maxMissed = 3
	// heartbeatBytes bounds the records of each kind in one heartbeat; only
	// the first ones of a link come near.
	heartbeatBytes = 32 << 10
)

// keepPeers opens the links that are missing and closes those in excess.
func (k *Controller) keepPeers(ctx context.Context, now time.Time) {
	linked := k.links.linked()
	k.mu.Lock()
	live := k.members.Members(now)
	silent := k.book.try(now, controllersOf(live))
	k.mu.Unlock()
	controllers := membership.Controllers(live, "")
	peers := membership.Peers(controllers, k.config.Self, k.config.Seed, linked)
	k.setSources(controllers, linked)
	wanted := make(map[machine.HostID]bool, len(peers))
	for _, p := range peers {
		wanted[p.Process.Host] = true
		if !linked[p.Process.Host] {
			k.dialPeer(ctx, now, p.Process.Address)
		}
	}
	if len(linked) == 0 {
		k.dialSeeds(ctx, now)
	}
	k.dialPeer(ctx, now, silent)
	for _, l := range k.links.excess(wanted) {
		_ = l.Close()
	}
	k.links.closeIdle(now)
	for _, gateway := range k.links.silentGateways(now) {
		k.doubt(gateway)
	}
}

// controllersOf returns the controllers among live processes, leaving ones
// included.
func controllersOf(members []membership.Member) []membership.Member {
	var controllers []membership.Member
	for _, m := range members {
		if m.Process.Role == machine.Controller {
			controllers = append(controllers, m)
		}
	}
	return controllers
}

// dialSeeds tries the addresses of the settings.
func (k *Controller) dialSeeds(ctx context.Context, now time.Time) {
	for _, address := range k.config.Seeds {
		if address != k.config.Self.Address {
			k.dialPeer(ctx, now, address)
		}
	}
}

// dialPeer opens a link in the background unless it is being tried.
func (k *Controller) dialPeer(ctx context.Context, now time.Time, address string) {
	if address == "" || !k.links.beginDial(now, address, now.Add(dialTimeout)) {
		return
	}
	go func() {
		timed, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		l, err := k.config.Network.Dial(timed, address, link.HandlerFunc(k.serve))
		again := time.Now().Add(dialPause/2 + rand.N(dialPause))
		k.links.endDial(address, again)
		if err != nil {
			event.LinkDialFailed.Log(k.config.Log).Str("address", address).Err(err).Send()
			return
		}
		k.keepPeer(ctx, l, true)
	}()
}

// accepted takes a link that another process opened.
func (k *Controller) accepted(ctx context.Context, l link.Link) {
	event.LinkOpened.Log(k.config.Log).Str("peer", l.Peer().ID()).Send()
	if l.Peer().Role == machine.Gateway {
		k.links.addGateway(time.Now(), l)
		go func() {
			<-l.Done()
			if k.links.removeGateway(l) && ctx.Err() == nil {
				k.doubt(l.Peer())
			}
			event.LinkClosed.Log(k.config.Log).Str("peer", l.Peer().ID()).Send()
		}()
	}
	if l.Peer().Role == machine.Controller {
		first := k.links.awaitHeartbeat(l)
		go k.keepAccepted(ctx, l, first)
	}
}

// keepAccepted exchanges heartbeats over a link that another controller opened
// once that one has sent the first. A link that was opened for single calls
// never becomes that of a peer, and its end says nothing of its process.
func (k *Controller) keepAccepted(ctx context.Context, l link.Link, first <-chan struct{}) {
	select {
	case <-first:
		k.keepPeer(ctx, l, false)
	case <-l.Done():
		k.links.forgetSilent(l)
	case <-ctx.Done():
		_ = l.Close()
	}
}

// keepPeer exchanges heartbeats over a link until it ends.
func (k *Controller) keepPeer(ctx context.Context, l link.Link, dialled bool) {
	if l.Peer().Host == k.config.Self.Host {
		_ = l.Close()
		return
	}
	p := k.links.addPeer(l, dialled)
	if p == nil {
		if dialled {
			_ = l.Close() // the other link serves
		}
		return
	}
	k.mu.Lock()
	p.urgent = k.targets.UrgentVersion()
	k.mu.Unlock()
	defer k.links.removePeer(p)
	defer func() { _ = l.Close() }()
	missed := 0
	for missed < maxMissed {
		missed++
		err := k.heartbeat(ctx, p)
		k.metrics.heartbeatEnded(err)
		if err == nil {
			missed = 0
		}
		if !k.awaitHeartbeat(ctx, p) {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	k.doubt(l.Peer())
}

// doubt tells the mesh that a process is not reached any more from here.
func (k *Controller) doubt(p machine.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.members.Suspect(time.Now(), p.Incarnation)
}

// awaitHeartbeat waits until the next heartbeat is due. It returns false when
// the link or ctx has ended.
func (k *Controller) awaitHeartbeat(ctx context.Context, p *peer) bool {
	timer := time.NewTimer(k.heartbeatInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.news:
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
	// heartbeatScale is the number of processes for each second between two
	// heartbeats. An empty call takes about 270 bytes, so that 18 links with a
	// call each way every second would take a third of what a node may spend.
	heartbeatScale = 130
)

// heartbeatInterval returns the time between two heartbeats on a link. News of
// the configuration does not wait for it.
func (k *Controller) heartbeatInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	scaled := time.Duration(k.members.Size()) * time.Second / heartbeatScale
	return min(maxHeartbeatInterval, max(tickInterval, scaled))
}

// heartbeat asks a peer for what changed and takes it in.
func (k *Controller) heartbeat(ctx context.Context, p *peer) error {
	timed, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	request := k.heartbeatBase()
	request.MembersVersion, request.TargetsVersion = k.versionsFor(p)
	urgent := k.addUrgent(p, request)
	envelope, err := p.link.Call(timed, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: request}})
	if err != nil {
		return err
	}
	reply := envelope.GetHeartbeat()
	if reply == nil {
		return result.New(result.UnknownMessage, "the reply is no heartbeat")
	}
	k.metrics.exchanged(request, reply)
	k.takeIn(p, asked, request, reply)
	p.urgent = urgent
	if contract.Revision(reply.ConfigRevision) > k.holder.Revision() {
		go k.fetchFrom(ctx, p.link)
	}
	return nil
}

// setSources sets the hosts whose records are taken: of members from any
// region, of targets from the own one.
func (k *Controller) setSources(controllers []membership.Member, linked map[machine.HostID]bool) {
	self := k.config.Self
	near := membership.Controllers(controllers, self.Zone.Region)
	linkedNear := map[machine.HostID]bool{}
	for _, m := range near {
		if linked[m.Process.Host] {
			linkedNear[m.Process.Host] = true
		}
	}
	members := membership.Sources(controllers, self.Host, k.config.Seed, linked)
	targets := membership.Sources(near, self.Host, k.config.Seed, linkedNear)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sources, k.targetSources = members, targets
}

// versionsFor returns the versions to ask a peer for.
func (k *Controller) versionsFor(p *peer) (members, targets uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p.beats++
	guard := p.beats%guardEvery == 0
	host := p.link.Peer().Host
	members = p.members.ask(k.sources == nil || k.sources[host], guard)
	targets = p.targets.ask(k.targetSources == nil || k.targetSources[host], guard)
	return members, targets
}

// fillMembers adds what a peer has not seen of the members. The lock is held.
func (k *Controller) fillMembers(q, reply *wire.Heartbeat, peer machine.Process) {
	news := k.members.Since(q.MembersVersion, peer.Incarnation, heartbeatBytes)
	reply.Members, reply.Beats, reply.MembersVersion = news.Members, news.Beats, news.Version
}

// fillTargets takes in the urgent news of a peer of the region and adds what it
// has not seen of the targets. The lock is held.
func (k *Controller) fillTargets(now time.Time, q, reply *wire.Heartbeat, peer machine.Process) {
	for _, t := range q.Targets {
		k.targets.Merge(now, peer.Incarnation, t)
	}
	k.tellUrgent()
	news := k.targets.Since(now, q.TargetsVersion, peer.Incarnation, heartbeatBytes)
	reply.Targets, reply.Loads, reply.TargetsVersion = news.Targets, news.Loads, news.Version
}

// tellDoubt notes that a gateway was heard and tells it if it is doubted, so
// that it raises its beat. The lock is held.
func (k *Controller) tellDoubt(now time.Time, gateway machine.Process, reply *wire.Heartbeat) {
	k.links.heardGateway(now, gateway)
	if k.members.Suspected(gateway.Incarnation) {
		reply.Members = append(reply.Members, &wire.Member{Incarnation: gateway.Incarnation, Doubted: true})
	}
}

// heartbeatBase returns what every heartbeat says.
func (k *Controller) heartbeatBase() *wire.Heartbeat {
	h := &wire.Heartbeat{ConfigRevision: uint64(k.holder.Revision()), ConfirmedAgeMs: -1}
	if c := k.holder.Confirmed(); !c.At.IsZero() {
		h.ConfirmedRevision = uint64(c.Revision)
		h.ConfirmedAgeMs = max(0, time.Since(c.At).Milliseconds())
	}
	return h
}

// confirm takes in what the answer to a heartbeat says of the store's newest
// revision. It counts from the asking: the answer may have waited for this
// process, which was paused. What a request says does not count, since nobody
// can tell how long it waited.
func (k *Controller) confirm(asked time.Time, h *wire.Heartbeat) {
	if h.ConfirmedAgeMs >= 0 {
		at := asked.Add(-time.Duration(h.ConfirmedAgeMs) * time.Millisecond)
		k.holder.Confirm(contract.Revision(h.ConfirmedRevision), at)
	}
}

// takeIn merges the answer to a heartbeat. What it says of processes is as old
// as the asking. A record that cannot be understood
// makes the next heartbeat ask for everything.
func (k *Controller) takeIn(p *peer, asked time.Time, request, reply *wire.Heartbeat) {
	k.confirm(asked, reply)
	now := time.Now()
	source := p.link.Peer().Incarnation
	local := p.link.Peer().Zone.Region == k.config.Self.Zone.Region
	k.mu.Lock()
	defer k.mu.Unlock()
	k.links.markHeard(p)
	p.members.took(request.MembersVersion, reply.MembersVersion)
	if local {
		p.targets.took(request.TargetsVersion, reply.TargetsVersion)
	}
	for _, m := range reply.Members {
		if !k.members.Merge(asked, source, m) {
			p.members.lost()
		}
	}
	for _, b := range reply.Beats {
		if !k.members.MergeBeats(asked, source, b) {
			p.members.lost()
		}
	}
	if !local {
		return
	}
	for _, t := range reply.Targets {
		k.targets.Merge(now, source, t)
	}
	if !k.targets.MergeLoads(now, source, reply.Loads) {
		p.targets.lost()
	}
	k.tellUrgent()
}

// addUrgent adds the urgent news of targets that a peer of the region was not
// told of, and returns the version that they reach.
func (k *Controller) addUrgent(p *peer, request *wire.Heartbeat) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.link.Peer().Zone.Region != k.config.Self.Zone.Region {
		return p.urgent
	}
	states, version := k.targets.Urgent(time.Now(), p.urgent, p.link.Peer().Incarnation)
	request.Targets = states
	return version
}

// tellUrgent makes the heartbeats to all peers due now when there is urgent
// news of targets. The lock is held.
func (k *Controller) tellUrgent() {
	if version := k.targets.UrgentVersion(); version != k.urgentTold {
		k.urgentTold = version
		k.links.tellNews()
	}
}

// markHeard notes that a peer answered.
func (r *registry) markHeard(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.heard = true
}

// direct returns a link for a call to a controller, opening a temporary one
// if need be.
func (k *Controller) direct(ctx context.Context, p machine.Process) (link.Link, error) {
	if l := k.links.to(time.Now(), p); l != nil {
		return l, nil
	}
	timed, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := k.config.Network.Dial(timed, p.Address, link.HandlerFunc(k.serve))
	if err != nil {
		return nil, err
	}
	k.links.addDirect(time.Now(), p.Address, l)
	return l, nil
}
