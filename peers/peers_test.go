package peers

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

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
	table := NewTable("self", "z", 0, nil, now)
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
	table := NewTable("self", "z", 0, nil, now)
	table.HandleDigest(now, digest("1", 1, 1))
	later := now.Add(3 * time.Second)
	is.Equal(table.Expire(later), []string{"1"})
	is.Equal(len(table.Expire(later)), 0)
	is.Equal(len(table.Live(later)), 0)
	later = now.Add(memberLiveness)
	_, silent := table.Addresses(later)
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
	table := NewTable("self", "z", 0, []string{"127.0.0.1:9"}, now)
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

// testMesh is a mesh on loopback that counts what it sends and gets.
type testMesh struct {
	*Mesh
	mu      sync.Mutex
	got     map[wire.DigestKind]int
	updates map[uint32]int // relayed updates by host
	zones   map[string]*wire.ZoneSummary
}

// capacityOf gives the second and third host of each zone faster links than the others.
func capacityOf(i, zones int) uint32 {
	if i >= zones && i < 3*zones {
		return 200
	}
	return 20
}

// startMeshes starts hosts in zones, which know only the first host, and runs them for so
// many rounds.
func startMeshes(t *testing.T, hosts, zones, rounds int) []*testMesh {
	t.Helper()
	is := is.New(t)
	var all []*testMesh
	seed := ""
	started := time.Now()
	for i := range hosts {
		l, err := net.ListenPacket("udp4", "127.0.0.1:0")
		is.NoErr(err)
		address := l.LocalAddr().String()
		is.NoErr(l.Close())
		if seed == "" {
			seed = address
		}
		m := &testMesh{got: make(map[wire.DigestKind]int), updates: make(map[uint32]int), zones: make(map[string]*wire.ZoneSummary)}
		var sequence atomic.Uint64
		host, zone := fmt.Sprint("h", i), fmt.Sprint("z", i%zones)
		m.Mesh = &Mesh{
			Host: host, Zone: zone, Capacity: capacityOf(i, zones), UsageReporterHosts: func() []string { return nil }, HoldsDuties: func() bool { return false },
			OnDigest: func(d *wire.HostDigest) {
				m.mu.Lock()
				m.got[d.Kind]++
				m.mu.Unlock()
			},
			OnRelayed: func(u *wire.HostUpdate) {
				m.mu.Lock()
				m.updates[u.Host]++
				m.mu.Unlock()
			},
			OnZone: func(s *wire.ZoneSummary) {
				m.mu.Lock()
				m.zones[s.Zone] = s
				m.mu.Unlock()
			},
			OnPeerFound: func(string) {}, OnPeerLost: func(string) {},
		}
		m.Compose = func(a Audience) *wire.HostDigest {
			d := &wire.HostDigest{Host: host, Zone: zone, Address: address, Incarnation: 1, Sequence: sequence.Add(1), UptimeMs: uint64(time.Since(started).Milliseconds())}
			if a != Members && a != UsageReporters {
				d.Loads = []*wire.TargetLoad{{Target: uint32(i % zones), UnreadTokens: 100, Active: 1}}
			}
			return d
		}
		is.NoErr(m.Listen(address, []string{seed}))
		t.Cleanup(func() { _ = m.Close() })
		go m.Receive()
		all = append(all, m)
	}
	run(t, all, rounds)
	return all
}

// run runs meshes for so many rounds, which are shorter than real ones.
func run(t *testing.T, all []*testMesh, rounds int) {
	t.Helper()
	for range rounds {
		for _, m := range all {
			if m == nil {
				continue
			}
			if err := m.Send(); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Many hosts that only know one seed all find each other, although most are in
// other zones and the fleet soon counts as large, when few digests are direct.
func TestLargeFleetFindsItself(t *testing.T) {
	const hosts = 60
	all := startMeshes(t, hosts, 4, 60)
	for i, m := range all {
		if n := m.LiveMembers(time.Now()); n != hosts-1 {
			t.Errorf("host %d knows %d of %d other hosts as live", i, n, hosts-1)
		}
		if n := m.KnownHostCount(); n != hosts-1 {
			t.Errorf("host %d counts %d of %d other hosts", i, n, hosts-1)
		}
	}
}

// In a large fleet the hosts of a zone agree on two relays, those with the fastest links.
// Each host gets the updates of
// all others of its zone and the sums over the other zones, from a number of digests that
// does not depend on the number of hosts.
func TestRelaysCarryAZone(t *testing.T) {
	const zones = 4
	cost := make(map[int]float64)
	for _, hosts := range []int{40, 80} {
		all := startMeshes(t, hosts, zones, 80)
		relays := make(map[string]int)
		for _, m := range all {
			if m.Relays(time.Now()) {
				relays[m.Zone]++
				if m.Capacity != 200 {
					t.Errorf("%d hosts: host %s relays with a link of %d Mbit/s", hosts, m.Host, m.Capacity)
				}
			}
			m.mu.Lock()
			clear(m.got)
			clear(m.updates)
			clear(m.zones)
			m.mu.Unlock()
		}
		for z, n := range relays {
			if n != relaysPerZone {
				t.Errorf("%d hosts: %d relays in zone %s", hosts, n, z)
			}
		}
		const rounds = 40
		run(t, all, rounds)
		received, ordinary := 0, 0
		for i, m := range all {
			m.mu.Lock()
			if n := len(m.updates); n < hosts/zones-1 {
				t.Errorf("%d hosts: host %d gets updates of %d hosts of its zone", hosts, i, n)
			}
			for z, s := range m.zones {
				if z != m.Zone && (len(s.Loads) != 1 || s.Loads[0].UnreadTokens != uint32(100*hosts/zones)) {
					t.Errorf("%d hosts: host %d knows the loads %v of zone %s", hosts, i, s.Loads, z)
				}
			}
			if len(m.zones) != zones {
				t.Errorf("%d hosts: host %d knows of %d zones", hosts, i, len(m.zones))
			}
			if !m.table.relaying(time.Now()) {
				ordinary++
				for _, n := range m.got {
					received += n
				}
			}
			m.mu.Unlock()
		}
		cost[hosts] = float64(received) / float64(ordinary) / rounds
		t.Logf("%d hosts: %.1f digests a round at a host that does not relay", hosts, cost[hosts])
	}
	if cost[80] > 1.5*cost[40]+1 {
		t.Errorf("the cost of a host grows with the fleet: %v", cost)
	}
}

// When the relays of a zone end, the hosts choose others, and updates arrive again.
func TestLostRelaysAreReplaced(t *testing.T) {
	all := startMeshes(t, 40, 2, 60)
	now := time.Now()
	for i, m := range all {
		if m.Relays(now) {
			_ = m.Close()
			all[i] = nil
		}
	}
	run(t, all, 150) // 3 s: relayTimeout, and time to find the new ones
	for _, m := range all {
		if m != nil {
			m.mu.Lock()
			clear(m.updates)
			m.mu.Unlock()
		}
	}
	run(t, all, 20)
	for i, m := range all {
		if m == nil {
			continue
		}
		m.mu.Lock()
		if n := len(m.updates); n < 15 {
			t.Errorf("host %d gets updates of %d of 17 other hosts", i, n)
		}
		m.mu.Unlock()
	}
}

// A member that nobody hears from ceases to be live everywhere, although hosts go on
// naming it to each other.
func TestDeadMembersAreNotKeptAliveByLists(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := NewTable("127.0.0.1:1", "z", 0, nil, now), NewTable("127.0.0.1:2", "z", 0, nil, now)
	a.addMember(now, "127.0.0.1:3", "z", 0, now)
	for range 80 {
		now = now.Add(100 * time.Millisecond)
		b.mergeMembers(now, []*wire.MemberList{a.nextMembers(now, "z", 10)})
		a.mergeMembers(now, []*wire.MemberList{b.nextMembers(now, "z", 10)})
	}
	is.Equal(a.KnownHostCount(), 2) // the dead one and b
	is.Equal(b.KnownHostCount(), 2)
	is.Equal(a.LiveMembers(now), 1)
	is.Equal(b.LiveMembers(now), 1)
}

// A zone with more loads than fit a datagram sends them in parts, none of which is cut.
func TestLargeSummaryIsSplit(t *testing.T) {
	is := is.New(t)
	s := &wire.ZoneSummary{Zone: "z", Demand: []*wire.ServiceDemand{{Service: "model", Tokens: 1}}}
	for i := range 300 {
		s.Loads = append(s.Loads, &wire.TargetLoad{Target: uint32(i) * 2654435761, UnreadTokens: 90_000, Active: 12, Sent: 200})
	}
	seen := 0
	for i, part := range splitSummary(s) {
		is.Equal(int(part.Part), i)
		is.Equal(len(part.Demand) > 0, i == 0)
		d := digest("1", 1, 1)
		d.Zones = []*wire.ZoneSummary{part}
		data, err := encode(d)
		is.NoErr(err)
		is.True(len(data) <= maxDatagram)
		got := &wire.HostDigest{}
		is.NoErr(proto.Unmarshal(data, got))
		seen += len(got.Zones[0].Loads)
	}
	is.Equal(seen, 300)
}

// The summary of a zone adds up what its hosts have lately sent to targets with a limit, and a host tells its
// relays when that changes.
func TestSummaryAddsUpRequestsSent(t *testing.T) {
	is := is.New(t)
	load := func(sent uint32) []*wire.TargetLoad { return []*wire.TargetLoad{{Target: 7, Sent: sent}} }
	own, other := digest("1", 1, 1), digest("2", 1, 1)
	own.Loads, other.Loads = load(3), load(4)
	s := summary("z", own, []*Peer{{load: other}})
	is.Equal(len(s.Loads), 1)
	is.Equal(s.Loads[0].Sent, uint32(7))
	is.True(loadsHash(load(3)) != loadsHash(load(4)))
}

// In a large fleet usage counts go only to the hosts that report them.
func TestUsageGoesToReporters(t *testing.T) {
	is := is.New(t)
	var audiences []string
	m := &Mesh{Host: "self", Zone: "z", UsageReporterHosts: func() []string { return []string{"h3"} }, HoldsDuties: func() bool { return false }, OnPeerLost: func(string) {}}
	m.Compose = func(a Audience) *wire.HostDigest {
		audiences = append(audiences, fmt.Sprint(a))
		d := digest("self", 1, 1)
		d.Usage = []*wire.WindowCount{{Window: 1}}
		return d
	}
	is.NoErr(m.Listen("127.0.0.1:0", nil))
	t.Cleanup(func() { _ = m.Close() })
	for i := range smallFleetHosts + 2 {
		d := digest(fmt.Sprint(20000+i), 1, 1)
		d.Host, d.Kind = fmt.Sprint("h", i), wire.DigestKind_SUBSCRIBE
		m.table.HandleDigest(time.Now(), d)
	}
	for range usageRounds {
		is.NoErr(m.Send())
	}
	is.Equal(len(m.reporterAddresses(time.Now())), 1)
	is.True(strings.Contains(strings.Join(audiences, ""), fmt.Sprint(UsageReporters)))
	is.True(!strings.Contains(strings.Join(audiences, ""), fmt.Sprint(AllHosts)))
}

// A ranking is not computed anew in each round, yet a host that joins, or whose link turns out to be
// faster, counts at once, and one that fell silent soon.
func TestRankingFollowsTheMembers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable("127.0.0.1:9", "z", 20, nil, now)
	table.addMember(now, "127.0.0.1:1", "z", 50, now)
	is.Equal(table.zoneRanks(now, "z"), []string{"127.0.0.1:1", "127.0.0.1:9"})
	table.addMember(now, "127.0.0.1:2", "z", 20, now)
	table.addMember(now, "127.0.0.1:2", "z", 100, now)
	is.Equal(table.zoneRanks(now, "z"), []string{"127.0.0.1:2", "127.0.0.1:1", "127.0.0.1:9"})
	later := now.Add(memberLiveness - time.Millisecond)
	table.addMember(later, "127.0.0.1:2", "z", 100, later)
	is.Equal(table.zoneSize(later), 3)
	is.Equal(table.zoneRanks(later.Add(rankingTTL), "z"), []string{"127.0.0.1:2", "127.0.0.1:9"})
}

// BenchmarkRound ranks the zones of a large fleet as a host does in one round.
func BenchmarkRound(b *testing.B) {
	now := time.Now()
	table := NewTable("127.0.0.1:9", "z0", 20, nil, now)
	for i := range 295 {
		table.addMember(now, fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), fmt.Sprint("z", i%6), 20, now)
	}
	for i := range b.N {
		at := now.Add(time.Duration(i%40) * digestInterval)
		table.OwnRelays(at)
		table.zoneSize(at)
		table.ZoneRelays(at)
	}
}

// In a zone so large that hosts send every second round, relays pass on every second round too. Each
// host is woken by fewer digests and still gets the updates of all others.
func TestRelaysOfLargeZonesPassOnMoreAtOnce(t *testing.T) {
	digests := make(map[int]float64)
	for _, hosts := range []int{40, 2*hostsPerRound + 2} {
		all := startMeshes(t, hosts, 1, 80)
		for _, m := range all {
			m.mu.Lock()
			clear(m.got)
			clear(m.updates)
			m.mu.Unlock()
		}
		const rounds = 60
		run(t, all, rounds)
		for i, m := range all {
			m.mu.Lock()
			if n := len(m.updates); n < hosts-1 {
				t.Errorf("%d hosts: host %d gets updates of %d", hosts, i, n)
			}
			digests[hosts] += float64(m.got[wire.DigestKind_RELAY]) / float64(hosts) / rounds
			m.mu.Unlock()
		}
		t.Logf("%d hosts in a zone: %.1f digests of relays a round", hosts, digests[hosts])
	}
	if digests[2*hostsPerRound+2] > 0.75*digests[40] {
		t.Errorf("digests of relays a round: %v", digests)
	}
}
