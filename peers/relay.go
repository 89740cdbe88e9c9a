package peers

import (
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/wire"
)

const (
	// relayRefreshRounds is the number of rounds in which a relay tells the other relays
	// of its zone that it is there.
	relayRefreshRounds = 8
	// hostsPerRound is the number of hosts of a zone for each of which its relays take a
	// digest a round; in larger zones hosts send more seldom, since each of their
	// digests reaches all others, and relays pass on more at once, since each datagram
	// wakes every host of the zone.
	hostsPerRound = 24
	// unchangedRounds is the number of rounds after which a host sends to its relays
	// although nothing has changed.
	unchangedRounds = 8
	// zoneRounds is the number of rounds between two digests to the relays of other
	// zones, which also carry the members of the own zone every zoneMemberRounds.
	zoneRounds       = 2
	zoneMemberRounds = 24
	// passOnZoneRounds is the number of rounds between two digests in which a relay passes
	// on the summaries of other zones.
	passOnZoneRounds = 4
	// listRounds is the number of rounds between two lists of members, and of usage
	// reporters, that a relay sends to its subscribers.
	listRounds = 10
	// usageRounds is the number of rounds between two digests to the UsageReporters.
	usageRounds = 10
	// introduceRounds is the number of rounds between two digests that name members to a
	// random host, and unsettledRounds the same for a host that has just started.
	introduceRounds = 20
	unsettledRounds = 6
	// introducedMembers bounds the members that such a digest names.
	introducedMembers = 100
	// maxNewcomers bounds the hosts that get a list of members in one round because they
	// take the fleet for a small one.
	maxNewcomers = 30
	// contentBytes is the size up to which updates, or summaries, share a digest. The rest
	// of a datagram is for what every digest carries.
	contentBytes = 1100
	// loadsPerSummary is the number of loads that fit a digest beside the rest.
	loadsPerSummary = 70
	// maxLongPrompts bounds the prompts that wait to be sent to other zones.
	maxLongPrompts = 60
	// maxBufferedUpdates bounds the updates that wait to be passed on.
	maxBufferedUpdates = 512
)

// HostKey returns the short key of a host in messages that a relay passes on.
func HostKey(host string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host)) // never fails
	return h.Sum32()
}

// zonePart identifies a part of the summary of a zone.
type zonePart struct {
	zone string
	part uint32
}

// relayBuffer holds what a relay passes on in its next digest.
type relayBuffer struct {
	updates []*wire.HostUpdate
	zones   map[zonePart]*wire.ZoneSummary
	// longPrompts are those of the own zone that are worth fetching from others.
	longPrompts []*wire.CachedPrompt
}

// addPrompts adds the long ones of the prompts that a host of the own zone has sent.
func (b *relayBuffer) addPrompts(prompts []*wire.CachedPrompt) {
	for _, p := range prompts {
		if p.Long && len(b.longPrompts) < maxLongPrompts {
			b.longPrompts = append(b.longPrompts, p)
		}
	}
}

// takeLongPrompts returns the prompts for other zones and removes them.
func (b *relayBuffer) takeLongPrompts() []*wire.CachedPrompt {
	taken := b.longPrompts
	b.longPrompts = nil
	return taken
}

// add takes from a digest what is to be passed on to the zone: updates of hosts that do
// not relay themselves, and what relays of other zones send.
func (b *relayBuffer) add(d *wire.HostDigest, zone string) {
	switch {
	case len(b.updates) >= maxBufferedUpdates:
	case d.Kind == wire.DigestKind_SUBSCRIBE && d.Zone == zone && !d.Relays:
		b.updates = append(b.updates, &wire.HostUpdate{Host: HostKey(d.Host), Loads: d.Loads, Prompts: d.Prompts, Reports: d.Reports})
		b.addPrompts(d.Prompts)
	case d.Kind == wire.DigestKind_ZONES && len(d.Prompts) > 0:
		b.updates = append(b.updates, &wire.HostUpdate{Prompts: d.Prompts})
	}
	if d.Kind == wire.DigestKind_ZONES {
		if b.zones == nil {
			b.zones = make(map[zonePart]*wire.ZoneSummary)
		}
		for _, s := range d.Zones {
			b.zones[zonePart{s.Zone, s.Part}] = s
		}
	}
}

// takeUpdates returns the updates that are to be passed on and removes them.
func (b *relayBuffer) takeUpdates() []*wire.HostUpdate {
	updates := b.updates
	b.updates = nil
	return updates
}

// takeZones returns the summaries that are to be passed on and removes them.
func (b *relayBuffer) takeZones() []*wire.ZoneSummary {
	var zones []*wire.ZoneSummary
	for _, s := range b.zones {
		zones = append(zones, s)
	}
	b.zones = nil
	return zones
}

// sendRound sends the digests of one round in a large fleet.
func (m *Mesh) sendRound(now time.Time) error {
	m.mu.Lock()
	relays, subscribers := m.table.OwnRelays(now), m.table.Subscribers(now)
	interval := max(m.table.zoneSize(now)/hostsPerRound, 1)
	reporters := m.reporters
	if len(subscribers) == 0 {
		m.relay = relayBuffer{} // what it holds would be old if hosts subscribe again
	}
	m.mu.Unlock()
	err := m.sendToRelays(relays, len(subscribers) > 0, interval)
	if len(subscribers) > 0 {
		reporters = m.reporterAddresses(now)
	}
	if len(subscribers) > 0 && m.round%interval == 0 {
		err = errors.Join(err, m.sendToSubscribers(now, subscribers, reporters))
	}
	if m.round%zoneRounds == 0 && (len(subscribers) > 0 || m.HoldsDuties()) {
		err = errors.Join(err, m.sendToZones(now, subscribers))
	}
	if m.round%usageRounds == 0 {
		err = errors.Join(err, m.sendUsage(reporters))
	}
	return errors.Join(err, m.introduce(now))
}

// sendToRelays sends the digest of this host to one relay of its zone, another each
// time, once in interval rounds. It sends nothing while nothing has changed, but for every
// unchangedRounds. A host that relays itself only tells the others its loads, since its
// own digests reach the zone directly.
func (m *Mesh) sendToRelays(relays []string, relaying bool, interval int) error {
	if len(relays) == 0 {
		return nil
	}
	if relaying {
		if m.round%relayRefreshRounds != 0 {
			return nil
		}
		d := m.compose(OtherRelay)
		d.Relays = true
		return m.send(d, relays)
	}
	if m.round < m.relayedRound+interval {
		return nil
	}
	d := m.compose(Relay)
	loads := loadsHash(d.Loads)
	if loads == m.relayedLoads && len(d.Prompts) == 0 && len(d.Reports) == 0 && m.round < m.relayedRound+unchangedRounds {
		return nil
	}
	m.relayedLoads, m.relayedRound = loads, m.round
	m.relayTurn++
	return m.send(d, []string{relays[m.relayTurn%len(relays)]})
}

// loadsHash returns a number that changes with the requests under way or lately sent at any target. It
// leaves out the tokens, which every host counts down by itself.
func loadsHash(loads []*wire.TargetLoad) uint64 {
	sum := uint64(len(loads))
	for _, l := range loads {
		x := uint64(l.Target)<<32 | uint64(l.Sent&0xff)<<24 | uint64(l.Active&0x7fffff)<<1
		if l.UnreadTokens > 0 {
			x |= 1
		}
		x ^= x >> 29
		sum += x * 0x9e3779b97f4a7c15
	}
	return sum
}

// sendToSubscribers passes on to the hosts of the zone what has arrived since the last
// round, together with the update of this host.
func (m *Mesh) sendToSubscribers(now time.Time, subscribers []*Peer, reporters []string) error {
	own := m.compose(Subscribers)
	addresses := make([]string, 0, len(subscribers))
	for _, p := range subscribers {
		addresses = append(addresses, p.Digest.Address)
	}
	m.mu.Lock()
	updates := m.relay.takeUpdates()
	m.relay.addPrompts(own.Prompts)
	var zones []*wire.ZoneSummary
	if m.round%passOnZoneRounds == 0 {
		ownZone := summary(m.Zone, own, subscribers)
		ownZone.Loads = nil // the zone has them host by host
		zones = append(m.relay.takeZones(), ownZone)
	}
	var members []*wire.MemberList
	if m.round%listRounds == 0 {
		members = []*wire.MemberList{m.table.nextMembers(now, m.Zone, introducedMembers)}
	}
	m.mu.Unlock()
	updates = append(updates, &wire.HostUpdate{Host: HostKey(m.Host), Loads: own.Loads, Prompts: own.Prompts, Reports: own.Reports})
	var err error
	for _, part := range pack(updates) {
		d := m.relayDigest()
		d.Updates = part
		err = errors.Join(err, m.send(d, addresses))
	}
	if len(own.PromptEvidence)+len(own.TargetLimits) > 0 {
		d := m.relayDigest()
		d.PromptEvidence, d.TargetLimits = own.PromptEvidence, own.TargetLimits
		err = errors.Join(err, m.send(d, addresses))
	}
	for _, part := range pack(zones) {
		d := m.relayDigest()
		d.Zones = part
		err = errors.Join(err, m.send(d, addresses))
	}
	if members != nil {
		d := m.relayDigest()
		d.Members, d.Reporters = members, reporters
		err = errors.Join(err, m.send(d, addresses))
	}
	return err
}

// pack divides messages into parts that fit a digest each.
func pack[M proto.Message](all []M) [][]M {
	var parts [][]M
	room := 0
	for _, message := range all {
		size := proto.Size(message)
		if size > room || len(parts) == 0 {
			parts, room = append(parts, nil), contentBytes
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], message)
		room -= size
	}
	return parts
}

// relayDigest returns a digest to subscribers that carries nothing but what every digest
// does.
func (m *Mesh) relayDigest() *wire.HostDigest {
	d := m.compose(Members)
	d.Kind, d.Relays = wire.DigestKind_RELAY, true
	return d
}

// sendToZones sends the sums over the hosts of this zone to the relays of other zones,
// with long prompts and now and then the members. The holder of the duties that relays
// for nobody shows them that it lives.
func (m *Mesh) sendToZones(now time.Time, subscribers []*Peer) error {
	d := m.compose(ZoneRelays)
	m.mu.Lock()
	recipients := m.table.ZoneRelays(now)
	var parts []*wire.ZoneSummary
	if len(subscribers) > 0 {
		d.Relays = true
		d.Prompts = m.relay.takeLongPrompts()
		parts = splitSummary(summary(m.Zone, d, subscribers))
		if m.round%zoneMemberRounds == 0 {
			d.Members = []*wire.MemberList{m.table.nextMembers(now, m.Zone, introducedMembers)}
		}
	}
	m.mu.Unlock()
	d.Loads, d.Demand = nil, nil
	var err error
	if len(d.Prompts) > 0 || len(d.PromptEvidence)+len(d.TargetLimits) > 0 || len(d.Members) > 0 || len(parts) == 0 {
		err = m.send(d, recipients)
	}
	for _, part := range parts {
		d := m.compose(Members)
		d.Kind, d.Relays, d.Zones = wire.DigestKind_ZONES, true, []*wire.ZoneSummary{part}
		err = errors.Join(err, m.send(d, recipients))
	}
	return err
}

// splitSummary divides a summary by the keys of its targets, so that each part fits a
// digest. The first part carries the demand.
func splitSummary(s *wire.ZoneSummary) []*wire.ZoneSummary {
	n := uint32(max((len(s.Loads)+loadsPerSummary-1)/loadsPerSummary, 1))
	parts := make([]*wire.ZoneSummary, n)
	for i := range parts {
		parts[i] = &wire.ZoneSummary{Zone: s.Zone, Part: uint32(i), Parts: n}
	}
	parts[0].Demand = s.Demand
	for _, l := range s.Loads {
		part := parts[l.Target%n]
		part.Loads = append(part.Loads, l)
	}
	return parts
}

// summary returns the sums over a host, whose own digest is given, and its subscribers.
func summary(zone string, own *wire.HostDigest, subscribers []*Peer) *wire.ZoneSummary {
	digests := []*wire.HostDigest{own}
	for _, p := range subscribers {
		digests = append(digests, p.load)
	}
	s := &wire.ZoneSummary{Zone: zone}
	loads, demand := make(map[uint32]*wire.TargetLoad), make(map[string]*wire.ServiceDemand)
	for _, d := range digests {
		for _, l := range d.Loads {
			sum := loads[l.Target]
			if sum == nil {
				sum = &wire.TargetLoad{Target: l.Target}
				loads[l.Target] = sum
				s.Loads = append(s.Loads, sum)
			}
			sum.UnreadTokens += l.UnreadTokens
			sum.Active += l.Active
			sum.Sent += l.Sent
		}
		for _, x := range d.Demand {
			sum := demand[x.Service]
			if sum == nil {
				sum = &wire.ServiceDemand{Service: x.Service}
				demand[x.Service] = sum
				s.Demand = append(s.Demand, sum)
			}
			requests := sum.Requests + x.Requests
			sum.Refused = (sum.Refused*sum.Requests + x.Refused*x.Requests) / float32(math.Max(float64(requests), 1e-6))
			sum.Tokens, sum.Requests = sum.Tokens+x.Tokens, requests
		}
	}
	return s
}

// reporterAddresses returns the addresses of the live hosts that need usage counts.
func (m *Mesh) reporterAddresses(now time.Time) []string {
	wanted := m.UsageReporterHosts()
	var addresses []string
	for _, p := range m.Live(now) {
		if slices.Contains(wanted, p.Digest.Host) {
			addresses = append(addresses, p.Digest.Address)
		}
	}
	if slices.Contains(wanted, m.Host) {
		addresses = append(addresses, m.table.self)
	}
	return addresses
}

// sendUsage sends usage counts to the hosts that need them.
func (m *Mesh) sendUsage(reporters []string) error {
	recipients := slices.DeleteFunc(slices.Clone(reporters), func(a string) bool { return a == m.table.self })
	if len(recipients) == 0 {
		return nil
	}
	d := m.compose(UsageReporters)
	if len(d.Usage) == 0 {
		return nil
	}
	return m.send(d, recipients)
}

// introduce names members to hosts that take the fleet for a small one and, now and then,
// to a random one, also at addresses of which no live host is known, which are the seeds
// at first. A host that has just started does so more often.
func (m *Mesh) introduce(now time.Time) error {
	m.mu.Lock()
	recipients := m.newcomers
	m.newcomers = nil
	unsettled := now.Sub(m.startedAt) < settledTime
	if m.round%introduceRounds == 0 || unsettled && m.round%unsettledRounds == 0 {
		if a := m.table.RandomAddress(now, m.random); a != "" {
			recipients = append(recipients, a)
		}
	}
	var lists []*wire.MemberList
	if len(recipients) > 0 {
		zones := m.table.Zones(now)
		for _, z := range zones {
			lists = append(lists, m.table.nextMembers(now, z, introducedMembers/len(zones)))
		}
	}
	m.mu.Unlock()
	if len(recipients) == 0 {
		return nil
	}
	d := m.compose(Members)
	d.Members = lists
	return m.send(d, recipients)
}
