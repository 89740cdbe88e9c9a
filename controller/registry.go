package controller

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"zinniapin/link"
	"zinniapin/machine"
)

// registry holds the open links of a controller. It is safe for concurrent use.
type registry struct {
	mu            sync.Mutex
	gateways      map[string]*gatewayLink   // by process id
	peers         map[machine.HostID]*peer  // by host
	dialNotBefore map[string]time.Time      // by address: the next dial is not before this time
	temporary     map[string]*temporaryLink // by address
	// awaitingHeartbeat holds the links that other controllers opened and have
	// sent no heartbeat over; each channel is closed at the first heartbeat.
	awaitingHeartbeat map[link.Link]chan struct{}
	// indexedAcks holds the links over which usage is acknowledged by index.
	indexedAcks map[link.Link]bool
	// closed is set by closeAll.
	closed bool
}

// peer is the link to another controller over which heartbeats are exchanged.
type peer struct {
	link           link.Link
	dialled        bool          // this process opened it
	answered       bool          // the peer has answered a heartbeat
	wake           chan struct{} // makes the next heartbeat be sent at once
	heartbeatCount uint64        // heartbeats sent, starting from a random number
	members        cursor
	targets        cursor
	urgentSent     uint64 // version up to which the peer has received urgent target changes
}

// temporaryLink is a temporary link for calls to a controller that is no peer.
type temporaryLink struct {
	link link.Link
	used time.Time // when it was last used
}

// newRegistry returns an empty registry.
func newRegistry() *registry {
	return &registry{
		gateways:          map[string]*gatewayLink{},
		peers:             map[machine.HostID]*peer{},
		dialNotBefore:     map[string]time.Time{},
		temporary:         map[string]*temporaryLink{},
		awaitingHeartbeat: map[link.Link]chan struct{}{},
		indexedAcks:       map[link.Link]bool{},
	}
}

// gatewayLink is the link of a gateway.
type gatewayLink struct {
	link          link.Link
	lastHeartbeat time.Time // when its last heartbeat came
}

// addGateway adds the link of a gateway. It replaces an older link of the same
// process.
func (r *registry) addGateway(now time.Time, l link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gateways[l.Peer().ID()] = &gatewayLink{l, now}
	if r.closed {
		_ = l.Close()
	}
}

// removeGateway removes the link of a gateway. It returns false when a newer link
// has replaced it.
func (r *registry) removeGateway(l link.Link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gateways[l.Peer().ID()]
	if g == nil || g.link != l {
		return false
	}
	delete(r.gateways, l.Peer().ID())
	return true
}

// markGatewayHeartbeat records that a gateway sent a heartbeat.
func (r *registry) markGatewayHeartbeat(now time.Time, p machine.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.gateways[p.ID()]; g != nil {
		g.lastHeartbeat = now
	}
}

// gatewayHeartbeatTimeout is the time without a heartbeat after which a linked
// gateway is suspected. Gateways send one each second.
const gatewayHeartbeatTimeout = 4 * time.Second

// overdueGateways returns the linked gateways that have sent no heartbeat for
// gatewayHeartbeatTimeout.
func (r *registry) overdueGateways(now time.Time) []machine.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var overdue []machine.Process
	for _, g := range r.gateways {
		if now.Sub(g.lastHeartbeat) > gatewayHeartbeatTimeout {
			overdue = append(overdue, g.link.Peer())
		}
	}
	return overdue
}

// gateway returns the link of the gateway with a process id, or nil.
func (r *registry) gateway(id string) link.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.gateways[id]; g != nil {
		return g.link
	}
	return nil
}

// addPeer adds a link to a controller. It returns nil when there already is an
// open link to the same incarnation.
func (r *registry) addPeer(l link.Link, dialled bool) *peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	host := l.Peer().Host
	if old, ok := r.peers[host]; ok && isOpen(old.link) && old.link.Peer().Incarnation == l.Peer().Incarnation {
		return nil
	}
	p := &peer{link: l, dialled: dialled, wake: make(chan struct{}, 1), heartbeatCount: rand.Uint64N(periodicRequestEvery)}
	r.peers[host] = p
	return p
}

// expectFirstHeartbeat adds a link that another controller opened, and returns a
// channel that is closed at the first heartbeat over it.
func (r *registry) expectFirstHeartbeat(l link.Link) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := make(chan struct{})
	r.awaitingHeartbeat[l] = first
	return first
}

// markFirstHeartbeat closes the channel of a link on the first heartbeat over it.
// Later heartbeats have no effect.
func (r *registry) markFirstHeartbeat(l link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first, ok := r.awaitingHeartbeat[l]; ok {
		close(first)
		delete(r.awaitingHeartbeat, l)
	}
}

// dropAwaitingHeartbeat removes a link that ended without a heartbeat.
func (r *registry) dropAwaitingHeartbeat(l link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.awaitingHeartbeat, l)
}

// isOpen reports whether a link has not ended.
func isOpen(l link.Link) bool {
	select {
	case <-l.Done():
		return false
	default:
		return true
	}
}

// removePeer removes a peer unless a newer link has replaced its link.
func (r *registry) removePeer(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers[p.link.Peer().Host] == p {
		delete(r.peers, p.link.Peer().Host)
	}
}

// triggerHeartbeats makes the next heartbeat to every peer due at once.
func (r *registry) triggerHeartbeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		select {
		case p.wake <- struct{}{}:
		default: // one is already due
		}
	}
}

// linkedHosts returns the hosts of the peers.
func (r *registry) linkedHosts() map[machine.HostID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make(map[machine.HostID]bool, len(r.peers))
	for host := range r.peers {
		hosts[host] = true
	}
	return hosts
}

// markIndexedAcks records that the process at the other end of a link
// acknowledges usage by index.
func (r *registry) markIndexedAcks(l link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.indexedAcks[l] = true
}

// usesIndexedAcks reports whether usage is acknowledged by index over a link.
func (r *registry) usesIndexedAcks(l link.Link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.indexedAcks[l]
}

// answeredControllers returns the number of peers that have answered a
// heartbeat.
func (r *registry) answeredControllers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.peers {
		if p.answered {
			n++
		}
	}
	return n
}

// excess returns the peer links that this process opened and that lead to hosts
// outside wanted. Peers that have answered no heartbeat are left out.
func (r *registry) excess(wanted map[machine.HostID]bool) []link.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	var links []link.Link
	for host, p := range r.peers {
		if p.dialled && p.answered && !wanted[host] {
			links = append(links, p.link)
		}
	}
	return links
}

// beginDial reserves an address for a dial until the given time. It returns false
// while a dial is in progress or the address may not be dialled again yet.
func (r *registry) beginDial(now time.Time, address string, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.dialNotBefore[address]) {
		return false
	}
	for expired, end := range r.dialNotBefore {
		if now.After(end) {
			delete(r.dialNotBefore, expired)
		}
	}
	r.dialNotBefore[address] = until
	return true
}

// endDial sets the time from which an address may be dialled again.
func (r *registry) endDial(address string, retryAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dialNotBefore[address] = retryAt
}

// existingLink returns an open link to a controller, that of the peer or a
// temporary one, or nil.
func (r *registry) existingLink(now time.Time, p machine.Process) link.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer, ok := r.peers[p.Host]; ok && isOpen(peer.link) {
		return peer.link
	}
	if d, ok := r.temporary[p.Address]; ok && isOpen(d.link) {
		d.used = now
		return d.link
	}
	return nil
}

// addTemporary adds a temporary link and closes an older one to the address.
func (r *registry) addTemporary(now time.Time, address string, l link.Link) {
	r.mu.Lock()
	old := r.temporary[address]
	r.temporary[address] = &temporaryLink{l, now}
	r.mu.Unlock()
	if old != nil {
		_ = old.link.Close()
	}
}

// temporaryLinkIdle is how long an unused temporary link is kept open.
const temporaryLinkIdle = 30 * time.Second

// closeIdle closes the temporary links that were not used for temporaryLinkIdle,
// and drops the records of links that have ended.
func (r *registry) closeIdle(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.indexedAcks, func(l link.Link, _ bool) bool { return !isOpen(l) })
	for address, d := range r.temporary {
		if !isOpen(d.link) || now.Sub(d.used) > temporaryLinkIdle {
			delete(r.temporary, address)
			go func() { _ = d.link.Close() }()
		}
	}
}

// closeAll closes every link, and those of gateways that are added later: one that was being accepted
// would otherwise stay open, and the gateway would take its answers for those of a controller.
func (r *registry) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, g := range r.gateways {
		_ = g.link.Close()
	}
	for _, p := range r.peers {
		_ = p.link.Close()
	}
	for _, d := range r.temporary {
		_ = d.link.Close()
	}
}

// counts returns the numbers of links to gateways, of links to peers and of
// temporary links.
func (r *registry) counts() (gateways, peers, temporary int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.gateways), len(r.peers), len(r.temporary)
}
