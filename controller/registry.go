package controller

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"zinniapin/link"
	"zinniapin/machine"
)

// registry holds the links of a controller. It is safe for concurrent use.
type registry struct {
	mu       sync.Mutex
	gateways map[string]*gatewayLink // by process id
	peers    map[machine.HostID]*peer
	dialling map[string]time.Time // addresses, and when to try again
	direct   map[string]*directLink
	// silent are links that controllers opened and sent no heartbeat over yet.
	silent map[link.Link]chan struct{}
	// indexed are links over which usage is acknowledged by index.
	indexed map[link.Link]bool
}

// peer is a link to another controller.
type peer struct {
	link    link.Link
	dialled bool // this process opened it
	heard   bool // a heartbeat was answered
	news    chan struct{}
	beats   uint64 // heartbeats so far, from a random number on
	members cursor
	targets cursor
	urgent  uint64 // version of the own view whose urgent news the peer was told
}

// directLink is a temporary link for calls to a controller that is no peer.
type directLink struct {
	link link.Link
	used time.Time
}

// newRegistry returns an empty registry.
func newRegistry() *registry {
	return &registry{
		gateways: map[string]*gatewayLink{},
		peers:    map[machine.HostID]*peer{},
		dialling: map[string]time.Time{},
		direct:   map[string]*directLink{},
		silent:   map[link.Link]chan struct{}{},
		indexed:  map[link.Link]bool{},
	}
}

// gatewayLink is the link of a gateway.
type gatewayLink struct {
	link  link.Link
	heard time.Time // when its last heartbeat came
}

// addGateway notes the link of a gateway; a newer link replaces the old one.
func (r *registry) addGateway(now time.Time, l link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gateways[l.Peer().ID()] = &gatewayLink{l, now}
}

// removeGateway forgets the link of a gateway. It returns false when a newer
// one has replaced it.
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

// heardGateway notes a heartbeat of a gateway.
func (r *registry) heardGateway(now time.Time, p machine.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.gateways[p.ID()]; g != nil {
		g.heard = now
	}
}

// gatewaySilence is the time without heartbeat after which a linked gateway is
// doubted. Gateways send one each second.
const gatewaySilence = 4 * time.Second

// silentGateways returns the gateways that are linked and silent.
func (r *registry) silentGateways(now time.Time) []machine.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []machine.Process
	for _, g := range r.gateways {
		if now.Sub(g.heard) > gatewaySilence {
			silent = append(silent, g.link.Peer())
		}
	}
	return silent
}

// gateway returns the link of a gateway, or nil.
func (r *registry) gateway(id string) link.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.gateways[id]; g != nil {
		return g.link
	}
	return nil
}

// addPeer notes a link to a controller. It returns nil when there is one to
// this incarnation already.
func (r *registry) addPeer(l link.Link, dialled bool) *peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	host := l.Peer().Host
	if old, ok := r.peers[host]; ok && alive(old.link) && old.link.Peer().Incarnation == l.Peer().Incarnation {
		return nil
	}
	p := &peer{link: l, dialled: dialled, news: make(chan struct{}, 1), beats: rand.Uint64N(guardEvery)}
	r.peers[host] = p
	return p
}

// awaitHeartbeat notes a link that another controller opened and returns what
// is closed with the first heartbeat over it.
func (r *registry) awaitHeartbeat(l link.Link) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := make(chan struct{})
	r.silent[l] = first
	return first
}

// heardFirst notes a heartbeat over a link that another controller opened.
func (r *registry) heardFirst(l link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first, ok := r.silent[l]; ok {
		close(first)
		delete(r.silent, l)
	}
}

// forgetSilent forgets a link that ended without a heartbeat.
func (r *registry) forgetSilent(l link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.silent, l)
}

// alive tells whether a link has not ended.
func alive(l link.Link) bool {
	select {
	case <-l.Done():
		return false
	default:
		return true
	}
}

// removePeer forgets a link to a controller.
func (r *registry) removePeer(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers[p.link.Peer().Host] == p {
		delete(r.peers, p.link.Peer().Host)
	}
}

// tellNews makes every peer's heartbeat due now.
func (r *registry) tellNews() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		select {
		case p.news <- struct{}{}:
		default: // one is due already
		}
	}
}

// linked returns the hosts of the controllers linked to.
func (r *registry) linked() map[machine.HostID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make(map[machine.HostID]bool, len(r.peers))
	for host := range r.peers {
		hosts[host] = true
	}
	return hosts
}

// noteIndexed notes that usage is acknowledged by index over a link.
func (r *registry) noteIndexed(l link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.indexed[l] = true
}

// answersByIndex tells whether usage is acknowledged by index over a link.
func (r *registry) answersByIndex(l link.Link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.indexed[l]
}

// heardControllers returns the number of controllers that answered a
// heartbeat.
func (r *registry) heardControllers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.peers {
		if p.heard {
			n++
		}
	}
	return n
}

// excess returns the links that this process opened to hosts that it need not
// be linked to.
func (r *registry) excess(wanted map[machine.HostID]bool) []link.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	var links []link.Link
	for host, p := range r.peers {
		if p.dialled && p.heard && !wanted[host] {
			links = append(links, p.link)
		}
	}
	return links
}

// beginDial reserves an address for a dial. It returns false while one is
// under way or the last one failed a short while ago.
func (r *registry) beginDial(now time.Time, address string, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.dialling[address]) {
		return false
	}
	for other, end := range r.dialling {
		if now.After(end) {
			delete(r.dialling, other)
		}
	}
	r.dialling[address] = until
	return true
}

// endDial sets when an address may be tried again.
func (r *registry) endDial(address string, again time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dialling[address] = again
}

// to returns a link to the controller at an address, or nil.
func (r *registry) to(now time.Time, p machine.Process) link.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer, ok := r.peers[p.Host]; ok && alive(peer.link) {
		return peer.link
	}
	if d, ok := r.direct[p.Address]; ok && alive(d.link) {
		d.used = now
		return d.link
	}
	return nil
}

// addDirect keeps a temporary link.
func (r *registry) addDirect(now time.Time, address string, l link.Link) {
	r.mu.Lock()
	old := r.direct[address]
	r.direct[address] = &directLink{l, now}
	r.mu.Unlock()
	if old != nil {
		_ = old.link.Close()
	}
}

// directIdle is how long a temporary link is kept without use.
const directIdle = 30 * time.Second

// closeIdle closes temporary links that were not used for a while, and forgets
// what was noted of links that ended.
func (r *registry) closeIdle(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.indexed, func(l link.Link, _ bool) bool { return !alive(l) })
	for address, d := range r.direct {
		if !alive(d.link) || now.Sub(d.used) > directIdle {
			delete(r.direct, address)
			go func() { _ = d.link.Close() }()
		}
	}
}

// closeAll ends every link.
func (r *registry) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gateways {
		_ = g.link.Close()
	}
	for _, p := range r.peers {
		_ = p.link.Close()
	}
	for _, d := range r.direct {
		_ = d.link.Close()
	}
}

// counts returns the numbers of links.
func (r *registry) counts() (gateways, peers, direct int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.gateways), len(r.peers), len(r.direct)
}
