// Package peers implements the gossip between hosts: each host regularly sends its
// state to others as a UDP datagram, the digest. A digest replaces the sender's
// previous one, so lost datagrams do no harm, and no connection can hang. Data too
// large for a datagram is requested over a link (package link).
//
// In a small fleet every host sends its digests to all others. In a large one that
// would cost each host as much as there are hosts, so hosts of an availability zone
// exchange their digests through relays, which are two hosts of the zone that all
// choose alike, by the speed of their links and then by hash. A host sends its digests to the relays in turn, and each
// relay passes on what arrived to all hosts that send to it. Relays of different zones
// exchange sums over their zones. So the cost of a host does not grow with the fleet;
// that of a relay grows with its zone and the number of zones.
package peers

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"zinniapin/wire"
)

const (
	// livenessTimeout is how long a host counts as live after its last digest.
	livenessTimeout = 2500 * time.Millisecond
	// memberLiveness is how long a member counts as live after anybody last heard from
	// it. The news of that takes up to two rounds of lists to arrive.
	memberLiveness = 6 * time.Second
	// addressLifetime is how long an address is remembered after anybody last heard
	// from it, so that hosts find each other again after a network partition.
	addressLifetime = 90 * time.Second
	// relaysPerZone is the number of hosts that relay in each zone.
	relaysPerZone = 2
	// relayTimeout is how long a host waits for digests of a relay that it sends to,
	// before it chooses another one for suspectTime.
	relayTimeout = 1200 * time.Millisecond
	suspectTime  = 5 * time.Second
	// subscriptionTime is how long a host is sent a relay's digests after its own last
	// one arrived.
	subscriptionTime = 1500 * time.Millisecond
)

// Peer is another host that sends digests to this one.
type Peer struct {
	Digest       *wire.HostDigest // newest
	LastSeen     time.Time
	load         *wire.HostDigest // newest that carries loads and demand
	subscribedAt time.Time        // last digest by which the host subscribed; zero if none
	lost         bool
}

// Live reports whether a digest of the host arrived within livenessTimeout.
func (p *Peer) Live(now time.Time) bool { return now.Sub(p.LastSeen) < livenessTimeout }

// member is a host by its address, which this host need not have heard from.
type member struct {
	address string
	rank    uint64 // see rank
	zone    string // empty while unknown
	// capacity is the speed of the host's network link in Mbit/s, 0 while unknown.
	capacity uint32
	heardAt  time.Time // when anybody last heard from it, as far as known; zero if never
	until    time.Time // when it is forgotten
}

// relayState is what a host knows of a relay that it sends to.
type relayState struct {
	chosenAt       time.Time
	suspectedUntil time.Time
}

// Table holds the known hosts and addresses. It is not safe for concurrent use.
type Table struct {
	self     string // own address
	zone     string // own zone
	capacity uint32 // own capacity, as of a member
	peers    map[string]*Peer
	members  map[string]*member
	relays   map[string]*relayState // by address, those chosen lately
	heard    map[string]time.Time   // when a relay's last digest to its subscribers arrived, by address
	offsets  map[string]int         // next position in the list of members of each zone
	ranked   map[string]zoneRanking // by zone
}

// zoneRanking is the result of Table.zoneRanks at a time.
type zoneRanking struct {
	addresses []string
	at        time.Time
}

// rankingTTL is how long a ranking is used although members may have ceased to be live. Hosts rank the
// members of all zones in each round, which would cost each of them as much as there are hosts.
const rankingTTL = 250 * time.Millisecond

// NewTable returns the table of the host at address self in a zone, with a network link
// of so many Mbit/s. The seeds are the first addresses to try.
func NewTable(self, zone string, capacity uint32, seeds []string, now time.Time) *Table {
	t := &Table{self: self, zone: zone, capacity: capacity, peers: make(map[string]*Peer), members: make(map[string]*member), relays: make(map[string]*relayState), heard: make(map[string]time.Time), offsets: make(map[string]int), ranked: make(map[string]zoneRanking)}
	t.AddAddresses(now, seeds)
	return t
}

// AddAddresses adds addresses at which other hosts may run.
func (t *Table) AddAddresses(now time.Time, addresses []string) {
	for _, a := range addresses {
		t.addMember(now, a, "", 0, time.Time{})
	}
}

// addMember adds an address, or updates what is known of it.
func (t *Table) addMember(now time.Time, address, zone string, capacity uint32, heardAt time.Time) {
	if address == t.self || address == "" {
		return
	}
	m := t.members[address]
	if m == nil {
		m = &member{address: address, rank: rank(address)}
		t.members[address] = m
	}
	before, wasLive := *m, m.live(now)
	if zone != "" {
		m.zone = zone
	}
	if capacity != 0 {
		m.capacity = capacity
	}
	if heardAt.After(m.heardAt) {
		m.heardAt = heardAt
	}
	if m.zone != before.zone || m.capacity != before.capacity || !wasLive && m.live(now) {
		delete(t.ranked, before.zone)
		delete(t.ranked, m.zone)
	}
	if heardAt.IsZero() {
		heardAt = now
	}
	if until := heardAt.Add(addressLifetime); until.After(m.until) {
		m.until = until
	}
}

// HandleDigest stores a digest. It returns whether the digest is newer than the
// stored one, and whether its host is found: new, restarted, or live again. Digests
// that only name members or carry usage make their sender no peer.
func (t *Table) HandleDigest(now time.Time, d *wire.HostDigest) (newer, found bool) {
	t.addMember(now, d.Address, d.Zone, d.Capacity, now)
	t.AddAddresses(now, d.Peers)
	t.mergeMembers(now, d.Members)
	previous := t.peers[d.Host]
	if previous != nil && previous.Digest.Incarnation == d.Incarnation {
		if d.Sequence <= previous.Digest.Sequence {
			return false, false
		}
		found = previous.lost
	} else {
		found = true
	}
	if d.Kind == wire.DigestKind_USAGE || d.Kind == wire.DigestKind_INTRODUCE {
		return true, false
	}
	p := &Peer{Digest: d, LastSeen: now, load: d}
	if previous != nil {
		p.subscribedAt, p.load = previous.subscribedAt, previous.load
	}
	switch d.Kind {
	case wire.DigestKind_ALL:
		p.load = d
	case wire.DigestKind_SUBSCRIBE:
		p.subscribedAt, p.load = now, d
	case wire.DigestKind_RELAY:
		t.heard[d.Address] = now
	}
	t.peers[d.Host] = p
	return true, found
}

// Expire returns the hosts that have ceased to be live since the last call. It also
// removes what has not been heard of for addressLifetime.
func (t *Table) Expire(now time.Time) []string {
	var lost []string
	for name, p := range t.peers {
		if !p.lost && !p.Live(now) {
			p.lost = true
			lost = append(lost, name)
		}
		if now.Sub(p.LastSeen) > addressLifetime {
			delete(t.peers, name)
		}
	}
	for a, m := range t.members {
		if now.After(m.until) {
			delete(t.members, a)
			delete(t.ranked, m.zone)
			delete(t.relays, a)
			delete(t.heard, a)
		}
	}
	return lost
}

// Live returns the peers that are live, ordered by name.
func (t *Table) Live(now time.Time) []*Peer {
	var live []*Peer
	for _, p := range t.peers {
		if p.Live(now) {
			live = append(live, p)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Digest.Host < live[j].Digest.Host })
	return live
}

// Subscribers returns the live peers that subscribe to this host's digests.
func (t *Table) Subscribers(now time.Time) []*Peer {
	var all []*Peer
	for _, p := range t.peers {
		if now.Sub(p.subscribedAt) < subscriptionTime && p.Digest.Zone == t.zone {
			all = append(all, p)
		}
	}
	return all
}

// relaying reports whether hosts subscribe to this one.
func (t *Table) relaying(now time.Time) bool { return len(t.Subscribers(now)) > 0 }

// KnownHostCount returns the number of other hosts that may be running: those heard of
// within addressLifetime. Hosts that are not live are included, because a host that is
// cut off from this one may go on serving.
func (t *Table) KnownHostCount() int { return len(t.members) }

// heardMembers returns the number of other hosts that somebody has heard from within livenessTimeout.
func (t *Table) heardMembers(now time.Time) int {
	n := 0
	for _, m := range t.members {
		if now.Sub(m.heardAt) < livenessTimeout {
			n++
		}
	}
	return n
}

// LiveMembers returns the number of other hosts that somebody has heard from lately.
func (t *Table) LiveMembers(now time.Time) int {
	n := 0
	for _, m := range t.members {
		if m.live(now) {
			n++
		}
	}
	return n
}

// liveAddresses returns the addresses of the live members and of this host.
func (t *Table) liveAddresses(now time.Time) []string {
	all := []string{t.self}
	for a, m := range t.members {
		if m.live(now) {
			all = append(all, a)
		}
	}
	return all
}

// Member is a live host by the address at which it takes links.
type Member struct{ Address, Zone string }

// liveHosts returns the live members that are not about to stop, as far as known.
func (t *Table) liveHosts(now time.Time) []Member {
	leaving := t.leavingAddresses()
	var all []Member
	for a, m := range t.members {
		if m.live(now) && !leaving[a] {
			all = append(all, Member{a, m.zone})
		}
	}
	return all
}

// leavingAddresses returns the addresses whose newest digest says that its host is about to stop. A restarted
// host may have another name at the same address.
func (t *Table) leavingAddresses() map[string]bool {
	newest := make(map[string]*Peer, len(t.peers))
	for _, p := range t.peers {
		if other := newest[p.Digest.Address]; other == nil || p.LastSeen.After(other.LastSeen) {
			newest[p.Digest.Address] = p
		}
	}
	leaving := make(map[string]bool)
	for address, p := range newest {
		if p.Digest.Leaving {
			leaving[address] = true
		}
	}
	return leaving
}

// live reports whether anybody has heard from the member lately.
func (m *member) live(now time.Time) bool { return now.Sub(m.heardAt) < memberLiveness }

// Addresses returns the addresses of the peers that are live, and those without a live
// member.
func (t *Table) Addresses(now time.Time) (live, silent []string) {
	for _, p := range t.Live(now) {
		live = append(live, p.Digest.Address)
	}
	for a, m := range t.members {
		if !m.live(now) {
			silent = append(silent, a)
		}
	}
	sort.Strings(silent)
	return live, silent
}

// rank is the order in which hosts of the same capacity become relays. All hosts compute
// the same one, so that they choose the same relays.
func rank(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // never fails
	return h.Sum64()
}

// capacityOf returns the capacity of an address, the own one included.
func (t *Table) capacityOf(address string) uint32 {
	if m := t.members[address]; m != nil {
		return m.capacity
	}
	if address == t.self {
		return t.capacity
	}
	return 0
}

// zoneSize returns the number of live members of this host's zone, itself included.
func (t *Table) zoneSize(now time.Time) int { return len(t.zoneRanks(now, t.zone)) }

// zoneRanks returns the live members of a zone in the order in which they become relays,
// including this host. Hosts with faster links come first, since a relay sends as many
// digests as there are hosts in its zone. The caller must not change the result.
func (t *Table) zoneRanks(now time.Time, zone string) []string {
	if ranking, ok := t.ranked[zone]; ok && now.Sub(ranking.at) < rankingTTL && !now.Before(ranking.at) {
		return ranking.addresses
	}
	var live []*member
	for _, m := range t.members {
		if m.zone == zone && m.live(now) {
			live = append(live, m)
		}
	}
	if zone == t.zone {
		live = append(live, &member{address: t.self, rank: rank(t.self), capacity: t.capacity})
	}
	slices.SortFunc(live, compareRank)
	all := make([]string, len(live))
	for i, m := range live {
		all[i] = m.address
	}
	t.ranked[zone] = zoneRanking{all, now}
	return all
}

// OwnRelays returns the relays of this host's zone that it should send to, without
// itself. It passes over hosts that did not answer within relayTimeout.
func (t *Table) OwnRelays(now time.Time) []string {
	var chosen []string
	for _, a := range t.zoneRanks(now, t.zone) {
		if len(chosen) == relaysPerZone {
			break
		}
		if a == t.self || !t.suspects(now, a) {
			chosen = append(chosen, a)
		}
	}
	for a := range t.relays {
		if !slices.Contains(chosen, a) && now.After(t.relays[a].suspectedUntil) {
			delete(t.relays, a)
		}
	}
	return slices.DeleteFunc(chosen, func(a string) bool { return a == t.self })
}

// suspects reports whether a relay of this host's zone has not answered lately, and
// notes that this host sends to it.
func (t *Table) suspects(now time.Time, address string) bool {
	r := t.relays[address]
	if r == nil {
		r = &relayState{chosenAt: now}
		t.relays[address] = r
	}
	if now.Before(r.suspectedUntil) {
		if t.heard[address].After(r.suspectedUntil.Add(-suspectTime)) {
			r.suspectedUntil, r.chosenAt = time.Time{}, now // it answers again
			return false
		}
		return true
	}
	since := r.chosenAt
	if t.heard[address].After(since) {
		since = t.heard[address]
	}
	if now.Sub(since) > relayTimeout {
		r.suspectedUntil, r.chosenAt = now.Add(suspectTime), now.Add(suspectTime)
		return true
	}
	return false
}

// ZoneRelays returns the relays of all other zones: those of which a digest arrived,
// and where there are too few of them, those that rank first.
func (t *Table) ZoneRelays(now time.Time) []string {
	byZone := make(map[string][]string)
	for _, p := range t.Live(now) {
		if p.Digest.Relays && p.Digest.Zone != t.zone {
			byZone[p.Digest.Zone] = append(byZone[p.Digest.Zone], p.Digest.Address)
		}
	}
	for _, m := range t.members {
		if _, known := byZone[m.zone]; !known && m.zone != "" && m.zone != t.zone {
			byZone[m.zone] = nil
		}
	}
	var all []string
	for zone, relays := range byZone {
		if len(relays) < relaysPerZone {
			for _, a := range t.zoneRanks(now, zone) {
				if len(relays) < relaysPerZone && !slices.Contains(relays, a) {
					relays = append(relays, a)
				}
			}
		}
		all = append(all, relays...)
	}
	sort.Strings(all)
	return all
}

// RandomAddress returns a random known address, or "" if there is none. Half of the
// time it is one without a live member, so that hosts find each other after a partition.
func (t *Table) RandomAddress(now time.Time, random *rand.Rand) string {
	var live, silent []string
	for a, m := range t.members {
		if m.live(now) {
			live = append(live, a)
		} else {
			silent = append(silent, a)
		}
	}
	from := live
	if len(silent) > 0 && (len(live) == 0 || random.IntN(2) == 0) {
		from = silent
	}
	if len(from) == 0 {
		return ""
	}
	sort.Strings(from) // the same seed makes the same choice
	return from[random.IntN(len(from))]
}
