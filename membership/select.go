package membership

import (
	"encoding/binary"
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"zinniapin/machine"
	"zinniapin/zone"
)

// Controllers returns the controllers among members that are not leaving, of one
// region only unless region is empty.
func Controllers(members []Member, region zone.Region) []Member {
	found := make([]Member, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.Process.Role != machine.Controller || m.Leaving {
			continue
		}
		if region == "" || m.Process.Zone.Region == region {
			found = append(found, *m)
		}
	}
	return found
}

// Settled returns the members that are settled (see Member.Settled).
func Settled(members []Member) []Member {
	var settled []Member
	for _, m := range members {
		if m.Settled {
			settled = append(settled, m)
		}
	}
	return settled
}

// Owners returns up to n owners of a key, chosen among controllers by rendezvous
// hashing, highest score first. The scores depend on host ids only, so that a
// restart of a host moves no keys.
func Owners(controllers []Member, key string, n int) []Member {
	ranked := make([]ranking, len(controllers))
	for i := range controllers {
		ranked[i] = ranking{i, score(key, string(controllers[i].Process.Host))}
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].score > ranked[j].score })
	owners := make([]Member, 0, n)
	for _, r := range ranked[:min(n, len(ranked))] {
		owners = append(owners, controllers[r.index])
	}
	return owners
}

// ranking is the score of one member for a key.
type ranking struct {
	index int
	score uint64
}

// score returns the rendezvous weight of a host for a key.
func score(key, host string) uint64 {
	return mix(xxhash.Sum64String(key), xxhash.Sum64String(host))
}

// mix combines the hashes of a key and a host so that each bit of the result
// depends on all bits of both.
func mix(key, host uint64) uint64 {
	const multiplier1, multiplier2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53 // from the finalizer of MurmurHash3
	h := key ^ bits.RotateLeft64(host*multiplier1, 32)
	h = (h ^ h>>33) * multiplier1
	h = (h ^ h>>33) * multiplier2
	return h ^ h>>33
}

// Owns tells whether host self is among the n owners of a key.
func Owns(controllers []Member, key string, n int, self machine.HostID) bool {
	return NewOwnership(controllers, self).Owns(key, n)
}

// Ownership tells which keys a host owns. It keeps the hashes of the hosts, so
// that they are not computed for each key.
type Ownership struct {
	hosts []uint64 // hashes of the host ids
	self  int      // index of the host, or -1 if it is not among the controllers
}

// NewOwnership returns the keys of host self when the controllers share them.
func NewOwnership(controllers []Member, self machine.HostID) Ownership {
	o := Ownership{hosts: make([]uint64, len(controllers)), self: -1}
	for i := range controllers {
		host := controllers[i].Process.Host
		o.hosts[i] = xxhash.Sum64String(string(host))
		if host == self {
			o.self = i
		}
	}
	return o
}

// Owns tells whether the host is among the n owners of a key.
func (o Ownership) Owns(key string, n int) bool {
	if o.self < 0 {
		return false
	}
	hashed := xxhash.Sum64String(key)
	own := mix(hashed, o.hosts[o.self])
	higher := 0
	for _, host := range o.hosts {
		if mix(hashed, host) > own {
			higher++
		}
	}
	return higher < n
}

// minPeers is the least number of peers that a controller links to. If there are
// at most that many others, it links to all of them.
const minPeers = 7

// minRemotePeers is the least number of peers to choose in other regions.
const minRemotePeers = 2

// PeerCount returns the number of links that a controller opens in a mesh of n
// controllers: about log2(n). Other controllers open about as many to it.
func PeerCount(n int) int {
	if n <= minPeers+1 {
		return max(0, n-1)
	}
	return max(minPeers, bits.Len(uint(n)))
}

// Peers returns the controllers that self should open links to: its successor in
// order of host, which keeps the mesh connected, its successor within its
// region, which keeps the region connected, and then a share each of its own
// availability zone, of other zones of the region and of other regions. Within a
// share, peers in linked come first, so that a change of membership breaks few
// working links. The result is the same for the same input.
func Peers(controllers []Member, self machine.Process, seed uint64, linked map[machine.HostID]bool) []Member {
	others := withoutHost(controllers, self.Host)
	want := PeerCount(len(others) + 1)
	if want >= len(others) {
		return others
	}
	selected := newPeerSelection(want)
	selected.add(successor(others, self.Host))
	if regional := Controllers(others, self.Zone.Region); len(regional) > 0 {
		selected.add(successor(regional, self.Host))
	}
	key := rankKey(seed, self.Host)
	var byDistance [zone.OtherRegion + 1][]Member
	for _, m := range others {
		d := zone.Between(self.Zone, m.Process.Zone)
		byDistance[d] = append(byDistance[d], m)
	}
	for d := range byDistance {
		rank(byDistance[d], key, linked)
	}
	selected.fill(byDistance[zone.OtherRegion], minRemotePeers)
	selected.fill(byDistance[zone.SameRegion], (want-minRemotePeers)/2)
	selected.fill(byDistance[zone.SameZone], want)
	selected.fill(byDistance[zone.SameRegion], want)
	selected.fill(byDistance[zone.OtherRegion], want)
	return selected.members
}

// withoutHost returns the members on other hosts, in order of host.
func withoutHost(members []Member, host machine.HostID) []Member {
	others := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Process.Host != host {
			others = append(others, m)
		}
	}
	sort.Slice(others, func(i, j int) bool { return before(&others[i], &others[j]) })
	return others
}

// successor returns the member with the next host id after host, or the first
// member if there is none.
func successor(others []Member, host machine.HostID) Member {
	for _, m := range others {
		if m.Process.Host > host {
			return m
		}
	}
	return others[0]
}

// rankKey returns the rendezvous key by which a host ranks its peers.
func rankKey(seed uint64, host machine.HostID) string {
	return string(binary.BigEndian.AppendUint64(nil, seed)) + string(host)
}

// rank sorts members in place: linked ones first, then by rendezvous score.
func rank(members []Member, key string, linked map[machine.HostID]bool) {
	scores := make(map[machine.HostID]uint64, len(members))
	for i := range members {
		scores[members[i].Process.Host] = score(key, string(members[i].Process.Host))
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := members[i].Process.Host, members[j].Process.Host
		if linked[a] != linked[b] {
			return linked[a]
		}
		return scores[a] > scores[b]
	})
}

// peerSelection collects up to want members on distinct hosts.
type peerSelection struct {
	members []Member
	taken   map[machine.HostID]bool
	want    int
}

// newPeerSelection returns an empty selection of at most want members.
func newPeerSelection(want int) *peerSelection {
	return &peerSelection{taken: map[machine.HostID]bool{}, want: want}
}

// add adds a member and returns true, unless its host is taken or the selection
// is full.
func (c *peerSelection) add(m Member) bool {
	if c.taken[m.Process.Host] || len(c.members) >= c.want {
		return false
	}
	c.taken[m.Process.Host] = true
	c.members = append(c.members, m)
	return true
}

// fill adds up to n members from a ranked list, best first.
func (c *peerSelection) fill(ranked []Member, n int) {
	for _, m := range ranked {
		if n == 0 {
			return
		}
		if c.add(m) {
			n--
		}
	}
}

// extraSources is the number of sources besides the two neighbours.
const extraSources = 2

// Sources returns the linked hosts from which self should read the records of
// others, or nil when it should read them from all. They are its two neighbours
// in order of host, so that every process is a source of its neighbours, and
// extraSources more. Each record reaches a process once from each source, so
// that few sources keep the traffic low. Called with the controllers of one
// region, it returns the sources for that region's targets.
func Sources(controllers []Member, self machine.HostID, seed uint64, linked map[machine.HostID]bool) map[machine.HostID]bool {
	others := withoutHost(controllers, self)
	if len(linked) <= minPeers || len(others) <= minPeers {
		return nil
	}
	next := successor(others, self).Process.Host
	previous := predecessor(others, self).Process.Host
	sources := map[machine.HostID]bool{next: true, previous: true}
	candidates := make([]Member, 0, len(linked))
	for _, m := range others {
		if linked[m.Process.Host] && !sources[m.Process.Host] {
			candidates = append(candidates, m)
		}
	}
	rank(candidates, rankKey(seed, self), nil)
	for _, m := range candidates[:min(extraSources, len(candidates))] {
		sources[m.Process.Host] = true
	}
	return sources
}

// predecessor returns the member with the last host id before host, or the last
// member if there is none.
func predecessor(others []Member, host machine.HostID) Member {
	previous := others[len(others)-1]
	for _, m := range others {
		if m.Process.Host > host {
			break
		}
		previous = m
	}
	return previous
}
