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
	// interval is the pace of digests to hosts near by.
	interval = 100 * time.Millisecond
	// fewHosts is the number of hosts up to which all are told at that pace;
	// beyond it, those in other zones are told once in farRounds.
	fewHosts  = 12
	farRounds = 4
	// reporterRounds is how seldom those are told that need counts of usage.
	reporterRounds = 2
	// namingRounds is how seldom a digest names other hosts in a large fleet
	// once no new one was heard for settledTime.
	namingRounds = 20
	settledTime  = 3 * time.Second
	// silentRounds is how seldom addresses that are not heard are tried.
	silentRounds = 5
	// namedPeers bounds the addresses that a digest names.
	namedPeers = 16
	// maxDatagram bounds a digest, in bytes, so that it is not split on the way.
	maxDatagram = 1400
)

// Audience is whom a digest is for: what it says depends on what they need.
type Audience int

// Audiences.
const (
	// AllHosts hosts hear everything; in a small fleet there is no other audience.
	AllHosts Audience = iota
	// SameZoneHosts hosts are those of the same availability zone.
	SameZoneHosts
	// OtherZoneHosts hosts are those of other zones.
	OtherZoneHosts
	// UsageReporters is a host that needs counts of usage.
	UsageReporters
)

// Mesh sends and receives digests. Its fields must not change once Run was
// called.
type Mesh struct {
	// Zone is the host's own availability zone.
	Zone string
	// Compose returns the digest to send now to some hosts.
	Compose func(a Audience) *wire.HostDigest
	// UsageReporterHosts returns the hosts that need counts of usage: who reports them, and
	// who may have to next.
	UsageReporterHosts func() []string
	// OnDigest is called with each newer digest.
	OnDigest func(d *wire.HostDigest)
	// OnPeerFound and Lost are called when a host is heard first or no more.
	OnPeerFound, OnPeerLost func(host string)

	conn  *net.UDPConn
	mu    sync.Mutex
	table *Table
	round int
	named int       // where the next digest goes on to name hosts
	grown time.Time // when a host was heard first
}

// settled tells whether no new host was heard lately.
func (m *Mesh) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.grown) > settledTime
}

// Listen opens the socket at IP:port.
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

// AddAddresses notes addresses at which hosts may be.
func (m *Mesh) AddAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.AddAddresses(time.Now(), addresses)
}

// Receive takes digests until the socket is closed.
func (m *Mesh) Receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram found no one at its address
		}
		d := &wire.HostDigest{}
		if proto.Unmarshal(buffer[:n], d) != nil || d.Host == "" {
			continue // no datagram of ours
		}
		m.mu.Lock()
		newer, found := m.table.HandleDigest(time.Now(), d)
		if found {
			m.grown = time.Now()
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

// Send sends one round of digests. It is called at the pace of Interval.
func (m *Mesh) Send() error {
	now := time.Now()
	m.mu.Lock()
	lost := m.table.Expire(now)
	near, far, silent := m.table.Addresses(now, m.Zone)
	m.mu.Unlock()
	for _, host := range lost {
		m.OnPeerLost(host)
	}
	m.round++
	if m.round%silentRounds != 1 && len(near)+len(far) > 0 {
		silent = nil
	}
	if len(near)+len(far) < fewHosts {
		return m.tell(AllHosts, append(append(near, far...), silent...), near, far)
	}
	err := m.tell(SameZoneHosts, near, near, far)
	if m.round%farRounds == 0 {
		err = errors.Join(err, m.tell(OtherZoneHosts, far, near, far))
	}
	err = errors.Join(err, m.tell(OtherZoneHosts, silent, near, far))
	if m.round%reporterRounds == 0 {
		err = errors.Join(err, m.tell(UsageReporters, m.reporters(now), nil, nil))
	}
	return err
}

// reporters returns the addresses of the hosts that need counts of usage.
func (m *Mesh) reporters(now time.Time) []string {
	wanted := make(map[string]bool)
	for _, host := range m.UsageReporterHosts() {
		wanted[host] = true
	}
	var to []string
	for _, p := range m.Live(now) {
		if wanted[p.Digest.Host] {
			to = append(to, p.Digest.Address)
		}
	}
	return to
}

// tell sends one digest to some addresses.
func (m *Mesh) tell(a Audience, to, near, far []string) error {
	if len(to) == 0 {
		return nil
	}
	d := m.Compose(a)
	if known := append(near[:len(near):len(near)], far...); a == AllHosts || m.round%namingRounds == 0 || !m.settled() {
		if len(known) > namedPeers { // another part each time
			m.named += namedPeers
			at := m.named % len(known)
			known = append(known[at:], known[:at]...)[:namedPeers]
		}
		d.Peers = known
	}
	data, err := encode(d)
	if err != nil {
		return err
	}
	for _, address := range to {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			continue // a peer's mistake; the address is forgotten in time
		}
		_, _ = m.conn.WriteToUDPAddrPort(data, at) // a lost datagram is replaced by the next
	}
	return nil
}

// SmallFleet tells whether so many other hosts are few enough to be told everything.
func SmallFleet(others int) bool { return others < fewHosts }

// DigestInterval returns the pace at which Send is to be called.
func DigestInterval() time.Duration { return interval }

// encode encodes a digest and leaves out what can wait where it is too large.
func encode(d *wire.HostDigest) ([]byte, error) {
	data, err := proto.Marshal(d)
	for err == nil && len(data) > maxDatagram {
		switch {
		case len(d.Prompts) > 0:
			d.Prompts = d.Prompts[len(d.Prompts)/2+1:]
		case len(d.Peers) > 0:
			d.Peers = nil
		case len(d.Loads) > 0:
			d.Loads = d.Loads[:len(d.Loads)/2]
		default:
			return data, nil
		}
		data, err = proto.Marshal(d)
	}
	return data, err
}
