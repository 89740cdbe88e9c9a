package peers

import (
	"encoding/binary"
	"net/netip"
	"sort"
	"time"

	"zinniapin/wire"
)

// ageUnit is the unit of ages in wire.MemberList.
const ageUnit = 100 * time.Millisecond

// packAddress returns an IPv4 address and port as a number, 0 if it is none.
func packAddress(address string) uint64 {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Unmap().Is4() {
		return 0
	}
	ip := at.Addr().Unmap().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(at.Port())
}

// unpackAddress is the inverse of packAddress.
func unpackAddress(packed uint64) string {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(packed>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(packed)).String()
}

// nextMembers returns live members of a zone, this host included, at most limit of them.
// Successive calls return successive parts.
func (t *Table) nextMembers(now time.Time, zone string, limit int) *wire.MemberList {
	all := t.zoneRanks(now, zone)
	list := &wire.MemberList{Zone: zone}
	count := min(limit, len(all))
	for i := range count {
		a := all[(t.offsets[zone]+i)%len(all)]
		packed := packAddress(a)
		if packed == 0 {
			continue
		}
		age := time.Duration(0)
		if m := t.members[a]; m != nil {
			age = now.Sub(m.heardAt)
		}
		list.Addresses = append(list.Addresses, packed)
		list.Ages = append(list.Ages, uint32(max(age, 0)/ageUnit))
		list.Capacities = append(list.Capacities, t.capacityOf(a))
	}
	if len(all) > 0 {
		t.offsets[zone] = (t.offsets[zone] + count) % len(all)
	}
	return list
}

// Zones returns the zones of which live members are known, in order.
func (t *Table) Zones(now time.Time) []string {
	seen := map[string]bool{t.zone: true}
	for _, m := range t.members {
		if m.zone != "" && m.live(now) {
			seen[m.zone] = true
		}
	}
	zones := make([]string, 0, len(seen))
	for z := range seen {
		zones = append(zones, z)
	}
	sort.Strings(zones)
	return zones
}

// mergeMembers takes over lists of members. An age only ever grows on the way, so a
// member that nobody hears from any more ceases to be live everywhere.
func (t *Table) mergeMembers(now time.Time, lists []*wire.MemberList) {
	for _, list := range lists {
		for i, packed := range list.Addresses {
			if i >= len(list.Ages) {
				break
			}
			if heardAt := now.Add(-time.Duration(list.Ages[i]) * ageUnit); now.Sub(heardAt) < addressLifetime {
				capacity := uint32(0)
				if i < len(list.Capacities) {
					capacity = list.Capacities[i]
				}
				t.addMember(now, unpackAddress(packed), list.Zone, capacity, heardAt)
			}
		}
	}
}
