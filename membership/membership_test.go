package membership

import (
	"flag"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/machine"
	"zinniapin/wire"
	"zinniapin/zone"
)

// init fixes the seed of the randomised runs.
func init() {
	if err := flag.Set("rapid.seed", "20260104"); err != nil {
		panic(err)
	}
}

// TestClockJumpDoesNotPreserveTheDead checks that a record taken in after a
// pause, but before the first tick, ages from then on.
func TestClockJumpDoesNotPreserveTheDead(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := New(controllerOn(0, 1), now)
	now = now.Add(time.Hour)
	dead := controllerOn(1, 2)
	is.True(table.Merge(now, 2, dead.ToWire()))
	for range 20 {
		now = now.Add(time.Second)
		table.Tick(now)
	}
	is.Equal(len(table.Members(now)), 1)
}

// TestNewcomerKnowsTheSilent checks that a process that starts does not take
// for live whom others do not, until the beat rises, and settles sooner than a
// silence lasts in a large mesh.
func TestNewcomerKnowsTheSilent(t *testing.T) {
	is := is.New(t)
	m := &mesh{now: time.Unix(1000, 0), tables: map[int]*Table{}, seen: map[cursor]uint64{}, cut: map[[2]int]bool{}}
	for i := range 3 {
		m.start(i)
	}
	m.second(3)
	dead := m.tables[2]
	delete(m.tables, 2)
	for range 60 {
		m.second(3)
	}
	is.Equal(len(m.tables[0].Members(m.now)), 2)
	m.start(1)
	m.second(3)
	is.Equal(len(m.tables[1].Members(m.now)), 2) // the silent one is not live
	is.Equal(m.tables[1].KnownHostCount(m.now, machine.Controller), 3)
	dead.Update(func(own *Member) { own.Revision++ })
	m.tables[2] = dead
	m.second(3)
	is.Equal(len(m.tables[1].Members(m.now)), 3)
	is.True(settleTime(780) < FailureTimeout(780))
}

// controllerOn returns the record of a controller.
func controllerOn(i int, incarnation uint64) Member {
	z := zone.Zone{Name: zone.Name(fmt.Sprint("zone-", i%11)), Region: zone.Region(fmt.Sprint("region-", i%11%3))}
	return Member{Process: machine.Process{
		Host: machine.HostID(fmt.Sprintf("host-%03d", i)), Role: machine.Controller, Incarnation: incarnation, Zone: z,
		Address: fmt.Sprintf("10.1.%d.%d:7000", i/200, i%200),
	}}
}

// cursor is what one table has seen of another.
type cursor struct{ from, to uint64 }

// mesh is a set of tables that exchange records.
type mesh struct {
	now    time.Time
	tables map[int]*Table // by host; absent when down
	seen   map[cursor]uint64
	cut    map[[2]int]bool
	next   uint64
}

// start starts or restarts a host.
func (m *mesh) start(i int) {
	m.next++
	incarnation := m.next
	if m.next%3 == 0 {
		incarnation = m.next<<32 | 1 // shares its tag with others
	}
	m.tables[i] = New(controllerOn(i, incarnation), m.now)
}

// pull lets host a ask host b.
func (m *mesh) pull(a, b int, lossy bool) {
	from, to := m.tables[a], m.tables[b]
	if from == nil || to == nil || a == b || m.cut[[2]int{min(a, b), max(a, b)}] {
		return
	}
	c := cursor{from.Self().Process.Incarnation, to.Self().Process.Incarnation}
	news := to.Since(m.seen[c], c.from, 300)
	if lossy {
		return
	}
	m.seen[c] = news.Version
	for _, r := range news.Members {
		if !from.Merge(m.now, c.to, proto.Clone(r).(*wire.Member)) {
			m.seen[c] = 0
		}
	}
	for _, b := range news.Beats {
		if !from.MergeBeats(m.now, c.to, proto.Clone(b).(*wire.Beats)) {
			m.seen[c] = 0
		}
	}
}

// second lets a second pass in which every host asks every other.
func (m *mesh) second(n int) {
	m.now = m.now.Add(time.Second)
	for i := range n {
		if m.tables[i] != nil {
			m.tables[i].Tick(m.now)
		}
	}
	for a := range n {
		for b := range n {
			m.pull(a, b, false)
		}
	}
}

// TestTablesConverge runs hosts through restarts, cuts, lost answers and jumps
// of clocks, and then checks that all agree on who lives and who owns what.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "hosts")
		m := &mesh{now: time.Unix(1000, 0), tables: map[int]*Table{}, seen: map[cursor]uint64{}, cut: map[[2]int]bool{}}
		for i := range n {
			m.start(i)
		}
		host := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"second":  func(*rapid.T) { m.second(n) },
			"pull":    func(t *rapid.T) { m.pull(host(t), host(t), rapid.Bool().Draw(t, "lost")) },
			"restart": func(t *rapid.T) { m.start(host(t)) },
			"stop":    func(t *rapid.T) { delete(m.tables, host(t)) },
			"cut": func(t *rapid.T) {
				a, b := host(t), host(t)
				m.cut[[2]int{min(a, b), max(a, b)}] = rapid.Bool().Draw(t, "is cut")
			},
			"doubt": func(t *rapid.T) {
				if a, b := m.tables[host(t)], m.tables[host(t)]; a != nil && b != nil {
					a.Suspect(m.now, b.Self().Process.Incarnation)
				}
			},
			"update": func(t *rapid.T) {
				if table := m.tables[host(t)]; table != nil {
					via := fmt.Sprint("via-", rapid.IntRange(0, 3).Draw(t, "via"))
					table.Update(func(own *Member) { own.Via = []string{via}; own.Revision++ })
				}
			},
			"pause": func(*rapid.T) { m.now = m.now.Add(time.Hour) },
		})
		m.cut = map[[2]int]bool{}
		for range 20 {
			m.second(n)
		}
		m.checkAgreement(t, n)
	})
}

// checkAgreement checks that every table shows exactly the running hosts.
func (m *mesh) checkAgreement(t *rapid.T, n int) {
	for i := range n {
		table := m.tables[i]
		if table == nil {
			continue
		}
		members := table.Members(m.now)
		if len(members) != len(m.tables) {
			t.Fatalf("host %d sees %d of %d", i, len(members), len(m.tables))
		}
		for _, member := range members {
			var number int
			_, _ = fmt.Sscanf(string(member.Process.Host), "host-%d", &number)
			if m.tables[number] == nil || m.tables[number].Self().Process.Incarnation != member.Process.Incarnation {
				t.Fatalf("host %d sees an old incarnation of host %d", i, number)
			}
			if own := m.tables[number].Self(); member.Revision != own.Revision || !slices.Equal(member.Via, own.Via) {
				t.Fatalf("host %d sees %+v, host %d is %+v", i, member, number, own)
			}
		}
	}
}

// fleetOf returns the records of n controllers.
func fleetOf(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = controllerOn(i, uint64(i+1))
	}
	return members
}

// TestPeersAreFewAndConnected checks degree, connection and stability of the
// choice of peers.
func TestPeersAreFewAndConnected(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 7, 8, 30, 390} {
		members := fleetOf(n)
		degree := map[machine.HostID]int{}
		reached := map[machine.HostID]bool{members[0].Process.Host: true}
		edges := map[machine.HostID][]machine.HostID{}
		for _, m := range members {
			peers := Peers(members, m.Process, 1, nil)
			is.Equal(len(peers), PeerCount(n))
			for _, p := range peers {
				edges[m.Process.Host] = append(edges[m.Process.Host], p.Process.Host)
				edges[p.Process.Host] = append(edges[p.Process.Host], m.Process.Host)
				degree[m.Process.Host]++
				degree[p.Process.Host]++
			}
		}
		queue := []machine.HostID{members[0].Process.Host}
		for len(queue) > 0 {
			for _, next := range edges[queue[0]] {
				if !reached[next] {
					reached[next] = true
					queue = append(queue, next)
				}
			}
			queue = queue[1:]
		}
		is.Equal(len(reached), n)
		most := 0
		for _, d := range degree {
			most = max(most, d)
		}
		t.Logf("%d hosts: %d links opened each, %d at most", n, PeerCount(n), most)
		is.True(most <= 2*PeerCount(n)+4*bits.Len(uint(n)))
	}
}

// TestSourcesReachAll checks that what one controller says reaches all others
// over the sources alone.
func TestSourcesReachAll(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{7, 12, 60, 390} {
		members := fleetOf(n)
		linked := make(map[machine.HostID]map[machine.HostID]bool, n)
		for _, m := range members {
			linked[m.Process.Host] = map[machine.HostID]bool{}
		}
		for _, m := range members {
			for _, p := range Peers(members, m.Process, 1, nil) {
				linked[m.Process.Host][p.Process.Host] = true
				linked[p.Process.Host][m.Process.Host] = true
			}
		}
		readers := map[machine.HostID][]machine.HostID{}
		for _, m := range members {
			self := m.Process.Host
			sources := Sources(members, self, 1, linked[self])
			if sources == nil {
				sources = linked[self]
			}
			for source := range sources {
				is.True(linked[self][source])
				readers[source] = append(readers[source], self)
			}
		}
		farthest := reach(members[0].Process.Host, readers)
		is.Equal(len(farthest), n)
		for _, m := range members {
			region := Controllers(members, m.Process.Zone.Region)
			is.Equal(len(reach(m.Process.Host, regionalReaders(region, linked))), len(region))
		}
		t.Logf("%d hosts: at most %d hops", n, most(farthest))
		is.True(most(farthest) <= 8)
	}
}

// reach returns the hops to each host that news from one reaches.
func reach(from machine.HostID, readers map[machine.HostID][]machine.HostID) map[machine.HostID]int {
	hops := map[machine.HostID]int{from: 0}
	for queue := []machine.HostID{from}; len(queue) > 0; queue = queue[1:] {
		for _, next := range readers[queue[0]] {
			if _, reached := hops[next]; !reached {
				hops[next] = hops[queue[0]] + 1
				queue = append(queue, next)
			}
		}
	}
	return hops
}

// regionalReaders returns who takes whose records of targets in a region, as
// controllers choose their sources of targets.
func regionalReaders(region []Member, linked map[machine.HostID]map[machine.HostID]bool) map[machine.HostID][]machine.HostID {
	readers := map[machine.HostID][]machine.HostID{}
	for _, m := range region {
		self := m.Process.Host
		near := map[machine.HostID]bool{}
		for _, other := range region {
			if linked[self][other.Process.Host] {
				near[other.Process.Host] = true
			}
		}
		sources := Sources(region, self, 1, near)
		if sources == nil {
			sources = near
		}
		for source := range sources {
			readers[source] = append(readers[source], self)
		}
	}
	return readers
}

// most returns the highest number of hops.
func most(hops map[machine.HostID]int) int {
	highest := 0
	for _, n := range hops {
		highest = max(highest, n)
	}
	return highest
}

// TestPeersKeepGoodLinks checks that a new host moves few links.
func TestPeersKeepGoodLinks(t *testing.T) {
	is := is.New(t)
	members := fleetOf(60)
	self := members[5].Process
	linked := map[machine.HostID]bool{}
	for _, p := range Peers(members, self, 1, nil) {
		linked[p.Process.Host] = true
	}
	kept := 0
	for _, p := range Peers(fleetOf(63), self, 1, linked) {
		if linked[p.Process.Host] {
			kept++
		}
	}
	is.True(kept >= len(linked)-1)
}

// TestOwnersMoveLittle checks that the loss of a host moves only its keys.
func TestOwnersMoveLittle(t *testing.T) {
	is := is.New(t)
	members := fleetOf(12)
	for i := range 500 {
		key := fmt.Sprint("key-", i)
		owner := Owners(members, key, 1)[0].Process.Host
		is.True(Owns(members, key, 1, owner))
		after := Owners(members[1:], key, 1)[0].Process.Host
		is.True(after == owner || owner == members[0].Process.Host)
	}
}

// BenchmarkBytes measures the bytes of a record, and of a beat among the 39
// that a heartbeat every second carries.
func BenchmarkBytes(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	m := controllerOn(389, random.Uint64())
	m.Beat, m.Revision, m.StoreReachable = 90_000, 100_000, true
	const beats = 39
	news := ChangeSet{}
	for range beats {
		other := controllerOn(389, random.Uint64())
		other.Beat, other.Revision = 90_000, 100_000
		beatsOf := beatsOf{}
		if len(news.Beats) > 0 {
			beatsOf[shared{revision: 100_000}] = news.Beats[0]
		}
		beatsOf.add(&entry{Member: other}, &news)
	}
	for b.Loop() {
		_ = proto.Size(&wire.Heartbeat{Beats: news.Beats})
	}
	b.ReportMetric(float64(proto.Size(&wire.Heartbeat{Members: []*wire.Member{m.ToWire()}})), "B/record")
	b.ReportMetric(float64(proto.Size(&wire.Heartbeat{Beats: news.Beats}))/beats, "B/beat")
}
