package peers

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/wire"
)

// digest returns a digest of a host.
func digest(host string, incarnation, sequence uint64) *wire.HostDigest {
	return &wire.HostDigest{Host: host, Zone: "z", Address: "127.0.0.1:" + host, Incarnation: incarnation, Sequence: sequence}
}

// A digest is dropped unless its sequence number is the highest of its sender's
// incarnation.
func TestLateAndRepeatedDigestsAreDropped(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable("self", nil, now)
	newer, found := table.HandleDigest(now, digest("1", 1, 5))
	is.True(newer && found)
	newer, _ = table.HandleDigest(now, digest("1", 1, 5))
	is.True(!newer)
	newer, _ = table.HandleDigest(now, digest("1", 1, 4))
	is.True(!newer)
	newer, found = table.HandleDigest(now, digest("1", 2, 1)) // after a restart
	is.True(newer && found)
}

// A host that sends no digests is reported as lost once, and as found when the next
// one arrives.
func TestSilentHostsAreLostOnceAndFoundAgain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable("self", nil, now)
	table.HandleDigest(now, digest("1", 1, 1))
	later := now.Add(3 * time.Second)
	is.Equal(table.Expire(later), []string{"1"})
	is.Equal(len(table.Expire(later)), 0)
	is.Equal(len(table.Live(later)), 0)
	_, _, silent := table.Addresses(later, "z")
	is.Equal(len(silent), 1) // it still gets digests, so that the end of a partition is noticed
	_, found := table.HandleDigest(later, digest("1", 1, 2))
	is.True(found)
}

// In a network partition each part sees only itself, while all hosts go on serving.
// Hosts that are cut off must stay in the count by which shared limits are divided,
// or the shares would add up to more than the limit.
func TestHostsThatFellSilentAreStillKnown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable("self", []string{"127.0.0.1:9"}, now)
	for _, host := range []string{"1", "2", "3"} {
		table.HandleDigest(now, digest(host, 1, 1))
	}
	is.Equal(table.KnownHostCount(), 4) // the seed included, which has not sent a digest
	later := now.Add(20 * time.Second)
	table.Expire(later)
	is.Equal(len(table.Live(later)), 0)
	is.Equal(table.KnownHostCount(), 4)
	table.Expire(now.Add(2 * time.Minute)) // longer than addressLifetime
	is.Equal(table.KnownHostCount(), 0)
}

// A digest that is too large is cut to one datagram, but keeps the usage counts.
func TestDigestFitsADatagram(t *testing.T) {
	is := is.New(t)
	d := digest("1", 1, 1)
	for i := range 300 {
		d.Prompts = append(d.Prompts, &wire.CachedPrompt{Target: uint32(i) << 8, Chains: []uint32{1 << 30, 2 << 28}})
		d.Peers = append(d.Peers, fmt.Sprintf("10.1.1.%d:1000", i))
	}
	d.Usage = []*wire.WindowCount{{Window: 1, Counts: []*wire.OrganisationCount{{Organisation: "x", Requests: 7}}}}
	data, err := encode(d)
	is.NoErr(err)
	is.True(len(data) <= maxDatagram)
	is.Equal(len(d.Usage), 1)
}

// Many hosts that only know one seed all find each other, although most are in
// other zones and the fleet soon counts as large, when digests to them are rare.
func TestLargeFleetFindsItself(t *testing.T) {
	is := is.New(t)
	const hosts = 40
	var meshes []*Mesh
	seed := ""
	for i := range hosts {
		l, err := net.ListenPacket("udp4", "127.0.0.1:0")
		is.NoErr(err)
		address := l.LocalAddr().String()
		is.NoErr(l.Close())
		if seed == "" {
			seed = address
		}
		var sequence atomic.Uint64
		m := &Mesh{Zone: fmt.Sprint("z", i%4), UsageReporterHosts: func() []string { return nil }, OnDigest: func(*wire.HostDigest) {}, OnPeerFound: func(string) {}, OnPeerLost: func(string) {}}
		m.Compose = func(Audience) *wire.HostDigest {
			return &wire.HostDigest{Host: fmt.Sprint("h", i), Zone: m.Zone, Address: address, Incarnation: 1, Sequence: sequence.Add(1)}
		}
		is.NoErr(m.Listen(address, []string{seed}))
		t.Cleanup(func() { _ = m.Close() })
		go m.Receive()
		meshes = append(meshes, m)
	}
	for range 25 {
		for _, m := range meshes {
			is.NoErr(m.Send())
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i, m := range meshes {
		if n := len(m.Live(time.Now())); n != hosts-1 {
			t.Errorf("host %d sees %d of %d other hosts as live", i, n, hosts-1)
		}
	}
}

// In a large fleet usage counts go only to the hosts that report them.
func TestUsageGoesToReporters(t *testing.T) {
	is := is.New(t)
	var audiences []string
	m := &Mesh{Zone: "z", UsageReporterHosts: func() []string { return []string{"h3"} }, OnPeerLost: func(string) {}}
	m.Compose = func(a Audience) *wire.HostDigest {
		audiences = append(audiences, fmt.Sprint(a))
		return digest("self", 1, 1)
	}
	is.NoErr(m.Listen("127.0.0.1:0", nil))
	t.Cleanup(func() { _ = m.Close() })
	for i := range smallFleetHosts + 2 {
		d := digest(fmt.Sprint(20000+i), 1, 1)
		d.Host = fmt.Sprint("h", i)
		m.table.HandleDigest(time.Now(), d)
	}
	for range otherZoneRounds {
		is.NoErr(m.Send())
	}
	is.Equal(len(m.reporters(time.Now())), 1)
	is.True(strings.Contains(strings.Join(audiences, ""), fmt.Sprint(UsageReporters)))
	is.True(!strings.Contains(strings.Join(audiences, ""), fmt.Sprint(AllHosts)))
}
