package membership

import (
	"encoding/binary"
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"zinniapin/machine"
	"zinniapin/zone"
)

// Controllers returns the live controllers that take work, optionally of one
// region only.
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

// Settled returns the settled ones among members.
func Settled(members []Member) []Member {
	var settled []Member
	for _, m := range members {
		if m.Settled {
			settled = append(settled, m)
		}
	}
	return settled
}

// Owners returns up to n controllers for a key by rendezvous hashing over
// host ids, the first owner first. A restart of a host moves nothing.
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

// mix joins the hashes of a key and a host so that each bit of the result
// depends on all bits of both.
func mix(key, host uint64) uint64 {
	const multiplier1, multiplier2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53 // those of MurmurHash3
	h := key ^ bits.RotateLeft64(host*multiplier1, 32)
	h = (h ^ h>>33) * multiplier1
	h = (h ^ h>>33) * multiplier2
	return h ^ h>>33
}

// Owns tells whether the process is among the n owners of a key.
func Owns(controllers []Member, key string, n int, self machine.HostID) bool {
	return NewOwnership(controllers, self).Owns(key, n)
}

// Ownership tells which keys a process owns; it spares hashing the hosts for
// each key.
type Ownership struct {
	hosts []uint64 // hashes
	self  int      // index, or -1 when the process takes no part
}

// NewOwnership returns the part of a process in the division of work.
func NewOwnership(controllers []Member, self machine.HostID) Ownership {
	d := Ownership{hosts: make([]uint64, len(controllers)), self: -1}
	for i := range controllers {
		host := controllers[i].Process.Host
		d.hosts[i] = xxhash.Sum64String(string(host))
		if host == self {
			d.self = i
		}
	}
	return d
}

// Owns tells whether the process is among the n owners of a key.
func (d Ownership) Owns(key string, n int) bool {
	if d.self < 0 {
		return false
	}
	hashed := xxhash.Sum64String(key)
	mine := mix(hashed, d.hosts[d.self])
	ahead := 0
	for _, host := range d.hosts {
		if mix(hashed, host) > mine {
			ahead++
		}
	}
	return ahead < n
}

// minPeers is the number of peers below which a process links to all.
const minPeers = 7

// minFar is the number of peers in other regions.
const minFar = 2

// PeerCount returns the number of links that a controller opens among n: about
// log2(n), to which as many come that others open.
func PeerCount(n int) int {
	if n <= minPeers+1 {
		return max(0, n-1)
	}
	return max(minPeers, bits.Len(uint(n)))
}

// Peers returns the controllers that self should open links to: its successor
// in order of host, which keeps the mesh in one piece, its successor in its
// region, which keeps the region in one piece, then a share of its own zone, of other zones of the region and of other regions. Linked peers
// go first within each share, so that a change of membership breaks no good
// link. The result is the same for the same input.
func Peers(controllers []Member, self machine.Process, seed uint64, linked map[machine.HostID]bool) []Member {
	others := withoutHost(controllers, self.Host)
	want := PeerCount(len(others) + 1)
	if want >= len(others) {
		return others
	}
	chosen := newChoice(want)
	chosen.add(successor(others, self.Host))
	if near := Controllers(others, self.Zone.Region); len(near) > 0 {
		chosen.add(successor(near, self.Host))
	}
	key := pairKey(seed, self.Host)
	var near [zone.OtherRegion + 1][]Member
	for _, m := range others {
		d := zone.Between(self.Zone, m.Process.Zone)
		near[d] = append(near[d], m)
	}
	for d := range near {
		rank(near[d], key, linked)
	}
	chosen.fill(near[zone.OtherRegion], minFar)
	chosen.fill(near[zone.SameRegion], (want-minFar)/2)
	chosen.fill(near[zone.SameZone], want)
	chosen.fill(near[zone.SameRegion], want)
	chosen.fill(near[zone.OtherRegion], want)
	return chosen.members
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

// successor returns the next member in order of host, around the end.
func successor(others []Member, host machine.HostID) Member {
	for _, m := range others {
		if m.Process.Host > host {
			return m
		}
	}
	return others[0]
}

// pairKey returns the key by which a host ranks its peers.
func pairKey(seed uint64, host machine.HostID) string {
	return string(binary.BigEndian.AppendUint64(nil, seed)) + string(host)
}

// rank orders members: linked ones first, then by hash.
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

// choice gathers peers without repeats.
type choice struct {
	members []Member
	taken   map[machine.HostID]bool
	want    int
}

// newChoice returns an empty choice of at most want members.
func newChoice(want int) *choice {
	return &choice{taken: map[machine.HostID]bool{}, want: want}
}

// add takes a member unless it is taken or the choice is full.
func (c *choice) add(m Member) bool {
	if c.taken[m.Process.Host] || len(c.members) >= c.want {
		return false
	}
	c.taken[m.Process.Host] = true
	c.members = append(c.members, m)
	return true
}

// fill takes up to n members from the front of a ranked list.
func (c *choice) fill(ranked []Member, n int) {
	for _, m := range ranked {
		if n == 0 {
			return
		}
		if c.add(m) {
			n--
		}
	}
}

// sourceChords is the number of sources besides the neighbours in order of
// host.
const sourceChords = 2

// Sources returns the linked hosts that self should take the records of others
// from, or nil when it should take them from all. They are its neighbours in
// order of host, so that every process is the source of its own neighbours,
// and a few others. Each record reaches a process once from each source, so few
// sources keep the bytes low. With the controllers of one region only, they
// are the sources of what concerns that region.
func Sources(controllers []Member, self machine.HostID, seed uint64, linked map[machine.HostID]bool) map[machine.HostID]bool {
	others := withoutHost(controllers, self)
	if len(linked) <= minPeers || len(others) <= minPeers {
		return nil
	}
	next := successor(others, self).Process.Host
	previous := predecessor(others, self).Process.Host
	sources := map[machine.HostID]bool{next: true, previous: true}
	chords := make([]Member, 0, len(linked))
	for _, m := range others {
		if linked[m.Process.Host] && !sources[m.Process.Host] {
			chords = append(chords, m)
		}
	}
	rank(chords, pairKey(seed, self), nil)
	for _, m := range chords[:min(sourceChords, len(chords))] {
		sources[m.Process.Host] = true
	}
	return sources
}

// predecessor returns the member before a host in order of host, around the
// end.
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
