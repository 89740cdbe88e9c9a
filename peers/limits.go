package peers

import (
	"cmp"
	"slices"
	"time"

	"zinniapin/wire"
)

// RankedHost is a live host in the order in which hosts are asked to grant units of limits.
type RankedHost struct {
	Address string
	Leaving bool // about to stop, as far as known
}

// SendLimitAsk sends an ask for units of limits to an address. It may be lost.
func (m *Mesh) SendLimitAsk(ask *wire.LimitAsk, to string) error {
	return m.send(&wire.HostDigest{LimitAsk: ask}, []string{to})
}

// SendLimitReply sends the reply to an ask for units of limits to an address. It may be lost.
func (m *Mesh) SendLimitReply(reply *wire.LimitReply, to string) error {
	return m.send(&wire.HostDigest{LimitReply: reply}, []string{to})
}

// handleLimits handles a datagram about limits and reports whether it was one.
func (m *Mesh) handleLimits(from string, d *wire.HostDigest) bool {
	switch {
	case d.LimitAsk != nil:
		if m.OnLimitAsk != nil {
			m.OnLimitAsk(from, d.LimitAsk)
		}
	case d.LimitReply != nil:
		if m.OnLimitReply != nil {
			m.OnLimitReply(from, d.LimitReply)
		}
	default:
		return false
	}
	return true
}

// RankedHosts returns the live hosts of all zones, this one included, those with faster links first and then by
// rank.
func (m *Mesh) RankedHosts(now time.Time) []RankedHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.rankedHosts(now)
}

// rankedHosts returns the live members of all zones and this host in the order of compareRank.
func (t *Table) rankedHosts(now time.Time) []RankedHost {
	live := []*member{{address: t.self, rank: rank(t.self), capacity: t.capacity}}
	for _, m := range t.members {
		if m.live(now) {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, compareRank)
	leaving := t.leavingAddresses()
	all := make([]RankedHost, len(live))
	for i, m := range live {
		all[i] = RankedHost{m.address, leaving[m.address]}
	}
	return all
}

// compareRank orders hosts by the speed of their links, the fastest first, and then by rank.
func compareRank(a, b *member) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.rank, b.rank))
}
