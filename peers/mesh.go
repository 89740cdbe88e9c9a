package peers

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/wire"
)

const (
	// digestInterval is the length of a round. In a small fleet every live host
	// gets a digest each round; in a large one, hosts of the same zone do.
	digestInterval = 100 * time.Millisecond
	// smallFleetHosts is the least number of other hosts in a large fleet; with
	// fewer the fleet is small. In a large fleet hosts of other zones get a digest
	// only every otherZoneRounds rounds.
	smallFleetHosts = 12
	otherZoneRounds = 4
	// usageReporterRounds is the number of rounds between two digests to the
	// UsageReporters in a large fleet.
	usageReporterRounds = 2
	// addressRounds is the number of rounds between digests that carry addresses
	// of other hosts in a large fleet, once no host was found for settledTime.
	addressRounds = 20
	settledTime   = 3 * time.Second
	// silentAddressRounds is the number of rounds between digests to addresses at
	// which no live host is known.
	silentAddressRounds = 5
	// maxAddresses bounds the addresses that a digest carries.
	maxAddresses = 16
	// maxDatagram bounds a digest, in bytes, so that it is not fragmented.
	maxDatagram = 1400
)

// Audience is the group of hosts that a digest is sent to. The contents of a digest
// depend on it.
type Audience int

// Audiences.
const (
	// AllHosts is the only audience in a small fleet: all hosts get everything.
	AllHosts Audience = iota
	// SameZoneHosts are the hosts of the same availability zone.
	SameZoneHosts
	// OtherZoneHosts are the hosts of other availability zones.
	OtherZoneHosts
	// UsageReporters are the hosts that need usage counts: the one that reports
	// usage to the platform, and those that may have to next.
	UsageReporters
)

// Mesh exchanges digests with the other hosts. Its fields must not change after
// Listen was called.
type Mesh struct {
	// Zone is the host's own availability zone.
	Zone string
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

	conn          *net.UDPConn
	mu            sync.Mutex
	table         *Table
	round         int
	addressOffset int       // index of the first address in the last digest
	lastFoundAt   time.Time // when a host was last found
}

// settled reports whether no host was found within settledTime.
func (m *Mesh) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastFoundAt) > settledTime
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
	m.table = NewTable(address, seeds, time.Now())
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
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the kernel reports that an earlier datagram was not delivered
		}
		d := &wire.HostDigest{}
		if proto.Unmarshal(buffer[:n], d) != nil || d.Host == "" {
			continue // not a digest
		}
		m.mu.Lock()
		newer, found := m.table.HandleDigest(time.Now(), d)
		if found {
			m.lastFoundAt = time.Now()
		}
		m.mu.Unlock()
		if found {
			m.OnPeerFound(d.Host)
		}
		if newer {
			m.OnDigest(d)
		}
	}
}

// Send sends one round of digests. It is to be called every DigestInterval.
func (m *Mesh) Send() error {
	now := time.Now()
	m.mu.Lock()
	lost := m.table.Expire(now)
	sameZone, otherZones, silent := m.table.Addresses(now, m.Zone)
	m.mu.Unlock()
	for _, host := range lost {
		m.OnPeerLost(host)
	}
	m.round++
	if m.round%silentAddressRounds != 1 && len(sameZone)+len(otherZones) > 0 {
		silent = nil
	}
	if len(sameZone)+len(otherZones) < smallFleetHosts {
		return m.sendDigest(AllHosts, append(append(sameZone, otherZones...), silent...), sameZone, otherZones)
	}
	err := m.sendDigest(SameZoneHosts, sameZone, sameZone, otherZones)
	if m.round%otherZoneRounds == 0 {
		err = errors.Join(err, m.sendDigest(OtherZoneHosts, otherZones, sameZone, otherZones))
	}
	err = errors.Join(err, m.sendDigest(OtherZoneHosts, silent, sameZone, otherZones))
	if m.round%usageReporterRounds == 0 {
		err = errors.Join(err, m.sendDigest(UsageReporters, m.reporters(now), nil, nil))
	}
	return err
}

// reporters returns the addresses of the live hosts that need usage counts.
func (m *Mesh) reporters(now time.Time) []string {
	wanted := make(map[string]bool)
	for _, host := range m.UsageReporterHosts() {
		wanted[host] = true
	}
	var addresses []string
	for _, p := range m.Live(now) {
		if wanted[p.Digest.Host] {
			addresses = append(addresses, p.Digest.Address)
		}
	}
	return addresses
}

// sendDigest sends a digest for an audience to the recipients' addresses. Now and
// then the digest carries a part of the given addresses of live hosts.
func (m *Mesh) sendDigest(a Audience, recipients, sameZone, otherZones []string) error {
	if len(recipients) == 0 {
		return nil
	}
	d := m.Compose(a)
	if addresses := append(sameZone[:len(sameZone):len(sameZone)], otherZones...); a == AllHosts || m.round%addressRounds == 0 || !m.settled() {
		if len(addresses) > maxAddresses { // successive digests carry successive parts
			m.addressOffset += maxAddresses
			at := m.addressOffset % len(addresses)
			addresses = append(addresses[at:], addresses[:at]...)[:maxAddresses]
		}
		d.Peers = addresses
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
		_, _ = m.conn.WriteToUDPAddrPort(data, at) // the next digest makes up for a lost one
	}
	return nil
}

// SmallFleet reports whether a fleet with that many other hosts is small, so that
// all hosts get everything.
func SmallFleet(others int) bool { return others < smallFleetHosts }

// DigestInterval returns the interval at which Send is to be called.
func DigestInterval() time.Duration { return digestInterval }

// encode encodes a digest. If it exceeds maxDatagram, encode drops the oldest
// prompts, then the addresses, then reports, then loads; the rest is never dropped.
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
		default:
			return data, nil
		}
		data, err = proto.Marshal(d)
	}
	return data, err
}
