package peers

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/wire"
)

const (
	// digestInterval is the length of a round. Digests pass through a relay within two
	// of them.
	digestInterval = 50 * time.Millisecond
	// smallFleetRounds is the number of rounds between two digests in a small fleet, in
	// which every live host gets one.
	smallFleetRounds = 2
	// smallFleetHosts is the least number of other hosts in a large fleet; with fewer
	// the fleet is small.
	smallFleetHosts = 12
	// settledTime is how long after its start a host names members to others more often.
	settledTime = 3 * time.Second
	// silentAddressRounds is the number of rounds between digests to addresses at
	// which no live host is known.
	silentAddressRounds = 10
	// maxAddresses bounds the addresses that a digest in a small fleet carries.
	maxAddresses = 16
	// maxDatagram bounds a digest, in bytes, so that it is not fragmented.
	maxDatagram = 1400
)

// Audience is the group of hosts that a digest is sent to. The contents of a digest
// depend on it.
type Audience int

// Audiences. All but the first are those of a large fleet.
const (
	// AllHosts is the only audience in a small fleet: all hosts get everything.
	AllHosts Audience = iota
	// Relay is a relay of the same availability zone, which passes on loads, prompts
	// and reports.
	Relay
	// OtherRelay is a relay of the same zone, told by another relay of its loads and
	// demand for the sums over the zone.
	OtherRelay
	// Subscribers are the hosts of the same zone for which this host relays.
	Subscribers
	// ZoneRelays are the relays of other zones.
	ZoneRelays
	// UsageReporters are the hosts that need usage counts: the one that reports
	// usage to the platform, and those that may have to next.
	UsageReporters
	// Members are hosts that are told which others there are.
	Members
)

// kinds are the kinds of the digests for each audience.
var kinds = map[Audience]wire.DigestKind{
	AllHosts: wire.DigestKind_ALL, Relay: wire.DigestKind_SUBSCRIBE, OtherRelay: wire.DigestKind_SUBSCRIBE, Subscribers: wire.DigestKind_RELAY,
	ZoneRelays: wire.DigestKind_ZONES, UsageReporters: wire.DigestKind_USAGE, Members: wire.DigestKind_INTRODUCE,
}

// Mesh exchanges digests with the other hosts. Its fields must not change after
// Listen was called.
type Mesh struct {
	// Host is the host's name, Zone its availability zone.
	Host, Zone string
	// Capacity is the speed of the host's network link in Mbit/s, 0 when unknown.
	Capacity uint32
	// Compose returns the digest to send to an audience.
	Compose func(a Audience) *wire.HostDigest
	// UsageReporterHosts returns the hosts that need usage counts: the one that
	// reports them, and those that may have to next.
	UsageReporterHosts func() []string
	// OnDigest is called with each digest that is newer than the last of its host.
	OnDigest func(d *wire.HostDigest)
	// OnPeerFound is called when a host is found (new, restarted or live again), and
	// OnPeerLost when a host ceases to be live.
	OnPeerFound, OnPeerLost func(host string)

	// OnRelayed is called with the update of a host of the zone that a relay passed on,
	// and OnZone with the summary of another zone, or of the own one.
	OnRelayed func(u *wire.HostUpdate)
	OnZone    func(s *wire.ZoneSummary)
	// OnStreamNotice is called with each stream notice and the address of its sender.
	OnStreamNotice func(from string, s *wire.StreamNotice)
	// OnLimitAsk and OnLimitReply are called with each ask for units of limits, each reply to one, and the
	// address of the sender. Nil ignores them.
	OnLimitAsk   func(from string, ask *wire.LimitAsk)
	OnLimitReply func(from string, reply *wire.LimitReply)
	// Reaches reports whether datagrams pass between this host and an address; nil if all do. Tests
	// cut hosts off with it.
	Reaches func(address string) bool
	// HoldsDuties reports whether this host holds the duties, so that the relays of all
	// zones have to know that it lives.
	HoldsDuties func() bool

	conn          *net.UDPConn
	random        *rand.Rand
	startedAt     time.Time
	round         int
	addressOffset int // index of the first address in the last digest of a small fleet
	// relayedRound is the round of the last digest to a relay, relayedLoads the hash of
	// its loads, relayTurn the number of such digests.
	relayedRound, relayTurn int
	relayedLoads            uint64

	mu        sync.Mutex
	large     bool // digests go through relays, as of the last round
	table     *Table
	relay     relayBuffer
	reporters []string // addresses that a relay named last
	newcomers []string // addresses of hosts to name members to
}

// Listen opens the UDP socket at IP:port. The seeds are addresses of other hosts.
func (m *Mesh) Listen(address string, seeds []string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	m.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return err
	}
	m.startedAt = time.Now()
	m.table = NewTable(address, m.Zone, m.Capacity, seeds, m.startedAt)
	m.random = rand.New(rand.NewPCG(rank(address), uint64(m.startedAt.UnixNano())))
	return nil
}

// Close closes the socket, which ends Receive.
func (m *Mesh) Close() error { return m.conn.Close() }

// Live returns the live hosts.
func (m *Mesh) Live(now time.Time) []*Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Live(now)
}

// LiveMembers returns the number of other hosts that somebody has heard from lately.
func (m *Mesh) LiveMembers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.LiveMembers(now)
}

// HeardMembers returns the number of other hosts that somebody has heard from within livenessTimeout.
func (m *Mesh) HeardMembers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.heardMembers(now)
}

// Relays reports whether this host relays for others of its zone.
func (m *Mesh) Relays(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.relaying(now)
}

// ZoneCount returns the number of zones in which hosts are known to be live, the own one
// included.
func (m *Mesh) ZoneCount(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.table.Zones(now))
}

// HearsRelay reports whether digests of a relay of this host's zone arrive.
func (m *Mesh) HearsRelay(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.table.heard {
		if now.Sub(at) < livenessTimeout {
			return true
		}
	}
	return false
}

// KnownHostCount returns the number of other hosts that may be running.
func (m *Mesh) KnownHostCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.KnownHostCount()
}

// AddAddresses adds addresses at which other hosts may run.
func (m *Mesh) AddAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.AddAddresses(time.Now(), addresses)
}

// Receive handles digests until the socket is closed.
func (m *Mesh) Receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the kernel reports that an earlier datagram was not delivered
		}
		if m.Reaches != nil && !m.Reaches(from.String()) {
			continue
		}
		d := &wire.HostDigest{}
		if proto.Unmarshal(buffer[:n], d) != nil {
			continue // not a digest
		}
		if d.Stream != nil {
			m.OnStreamNotice(from.String(), d.Stream)
			continue
		}
		if m.handleLimits(from.String(), d) {
			continue
		}
		if d.Host == "" {
			continue // not a digest
		}
		m.handle(time.Now(), d)
	}
}

// handle takes in a digest.
func (m *Mesh) handle(now time.Time, d *wire.HostDigest) {
	m.mu.Lock()
	newer, found := m.table.HandleDigest(now, d)
	if newer && m.large {
		m.relay.add(d, m.Zone)
		if d.Kind == wire.DigestKind_RELAY && len(d.Reporters) > 0 {
			m.reporters = d.Reporters
		}
		// The sender takes the fleet for a small one, as all do at their start.
		if d.Kind == wire.DigestKind_ALL && len(m.newcomers) < maxNewcomers {
			m.newcomers = append(m.newcomers, d.Address)
		}
	}
	m.mu.Unlock()
	if found {
		m.OnPeerFound(d.Host)
	}
	if !newer {
		return
	}
	m.OnDigest(d)
	if d.Kind == wire.DigestKind_RELAY && d.Zone == m.Zone {
		for _, u := range d.Updates {
			m.OnRelayed(u)
		}
		for _, s := range d.Zones {
			m.OnZone(s)
		}
	}
	if d.Kind == wire.DigestKind_ZONES {
		for _, s := range d.Zones {
			m.OnZone(s)
		}
	}
}

// Send sends one round of digests. It is to be called every DigestInterval.
func (m *Mesh) Send() error {
	now := time.Now()
	m.mu.Lock()
	lost := m.table.Expire(now)
	m.large = !SmallFleet(m.table.LiveMembers(now))
	large := m.large
	m.mu.Unlock()
	for _, host := range lost {
		m.OnPeerLost(host)
	}
	m.round++
	if large {
		return m.sendRound(now)
	}
	if m.round%smallFleetRounds != 0 {
		return nil
	}
	m.mu.Lock()
	live, silent := m.table.Addresses(now)
	m.mu.Unlock()
	if m.round%silentAddressRounds != 0 && len(live) > 0 {
		silent = nil
	}
	recipients := append(live[:len(live):len(live)], silent...)
	if len(recipients) == 0 {
		return nil
	}
	d := m.compose(AllHosts)
	d.Peers = m.nextAddresses(live)
	return m.send(d, recipients)
}

// nextAddresses returns a part of the addresses; successive calls return successive
// parts.
func (m *Mesh) nextAddresses(addresses []string) []string {
	if len(addresses) <= maxAddresses {
		return addresses
	}
	m.addressOffset += maxAddresses
	at := m.addressOffset % len(addresses)
	return append(append([]string(nil), addresses[at:]...), addresses[:at]...)[:maxAddresses]
}

// compose returns a digest for an audience.
func (m *Mesh) compose(a Audience) *wire.HostDigest {
	d := m.Compose(a)
	d.Kind, d.Capacity = kinds[a], m.Capacity
	return d
}

// send sends a digest to addresses.
func (m *Mesh) send(d *wire.HostDigest, recipients []string) error {
	if len(recipients) == 0 {
		return nil
	}
	data, err := encode(d)
	if err != nil {
		return err
	}
	for _, address := range recipients {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			continue // a peer sent an invalid address, which expires by itself
		}
		if m.Reaches != nil && !m.Reaches(address) {
			continue
		}
		_, _ = m.conn.WriteToUDPAddrPort(data, at) // the next digest makes up for a lost one
	}
	return nil
}

// SendStreamNotice sends a notice to addresses. It may be lost.
func (m *Mesh) SendStreamNotice(s *wire.StreamNotice, recipients []string) error {
	return m.send(&wire.HostDigest{Stream: s}, recipients)
}

// LiveAddresses returns the addresses of the hosts that somebody has heard from lately, and of this
// one.
func (m *Mesh) LiveAddresses(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.liveAddresses(now)
}

// LiveHosts returns the other hosts that somebody has heard from lately and that are not about to stop.
func (m *Mesh) LiveHosts(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.liveHosts(now)
}

// SmallFleet reports whether a fleet with that many other hosts is small, so that
// all hosts get everything.
func SmallFleet(others int) bool { return others < smallFleetHosts }

// DigestInterval returns the interval at which Send is to be called.
func DigestInterval() time.Duration { return digestInterval }

// encode encodes a digest. If it exceeds maxDatagram, encode drops the oldest
// prompts, then the addresses, then reports, then loads and what a relay passes on; the
// rest is never dropped.
func encode(d *wire.HostDigest) ([]byte, error) {
	data, err := proto.Marshal(d)
	for err == nil && len(data) > maxDatagram {
		switch {
		case len(d.Prompts) > 0:
			d.Prompts = d.Prompts[len(d.Prompts)/2+1:]
		case len(d.Peers) > 0:
			d.Peers = nil
		case len(d.Reports) > 0:
			d.Reports = d.Reports[:len(d.Reports)/2]
		case len(d.Loads) > 0:
			d.Loads = d.Loads[:len(d.Loads)/2]
		case len(d.Updates) > 0:
			d.Updates = d.Updates[:len(d.Updates)/2]
		case len(d.Zones) > 0 && len(d.Zones[0].Loads) > 0:
			d.Zones[0].Loads = d.Zones[0].Loads[:len(d.Zones[0].Loads)/2]
		default:
			return data, nil
		}
		data, err = proto.Marshal(d)
	}
	return data, err
}
