package targetview

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/wire"
	"zinniapin/zone"
)

// init fixes the seed of the property-based tests.
func init() {
	if err := flag.Set("rapid.seed", "20260106"); err != nil {
		panic(err)
	}
}

// everyZone is a zone filter that accepts every zone.
func everyZone(zone.Name) bool { return true }

// newHost returns a host with target engine-i as the platform lists it.
func newHost(i int, s provider.HostState) provider.Host {
	id := target.ID(fmt.Sprintf("engine-%03d", i))
	return provider.Host{ID: string(id), State: s, Zone: "riga-a", Target: &target.Target{
		ID: id, Kind: target.Engine, Class: target.Reserved, Pool: "assistant", Zone: "riga-a", Address: fmt.Sprintf("10.2.0.%d:8000", i)}}
}

// newReport returns a report of target engine-i.
func newReport(i int, boot, sequence uint64, now time.Time) target.Report {
	return target.Report{Target: target.ID(fmt.Sprintf("engine-%03d", i)), Boot: boot, Sequence: sequence, ReceivedAt: now,
		Role: target.Mixed, Models: []string{"assistant"}, Running: int(sequence % 40), PrefillTokens: 12_345, KVPiecesUsed: 300, KVPiecesTotal: 500, Capacity: 64}
}

// TestViewsConverge applies random lists, reports and cordons to three tables,
// which pull from each other in random order with lost replies, and checks that in
// the end all tables hold the same states.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tables := []*Table{New(), New(), New()}
		var seen [3][3]uint64
		pull := func(a, b int, lost bool) {
			changes := tables[b].Since(now, seen[a][b], uint64(a+1), 600)
			if lost || a == b {
				return
			}
			seen[a][b] = changes.Version
			for _, s := range changes.Targets {
				tables[a].Merge(now, uint64(b+1), proto.Clone(s).(*wire.TargetState))
			}
			if !tables[a].MergeLoads(now, uint64(b+1), changes.Loads) {
				seen[a][b] = 0
			}
		}
		sequence, epoch := uint64(0), uint64(0)
		table := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "table") }
		engine := func(t *rapid.T) int { return rapid.IntRange(0, 3).Draw(t, "engine") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"listed": func(t *rapid.T) {
				s := rapid.SampledFrom([]provider.HostState{provider.Live, provider.Leaving}).Draw(t, "state")
				tables[table(t)].ApplyList(now, []provider.Host{newHost(engine(t), s)}, everyZone)
			},
			"reported": func(t *rapid.T) {
				sequence++
				now = now.Add(time.Millisecond)
				boot := rapid.Uint64Range(1, 2).Draw(t, "boot")
				tables[table(t)].ApplyReport(now, newReport(engine(t), boot, sequence, now))
			},
			"cordon": func(t *rapid.T) {
				epoch++
				tables[table(t)].Cordon(newHost(engine(t), "").Target.ID, epoch, rapid.Bool().Draw(t, "lift"))
			},
			"pull": func(t *rapid.T) { pull(table(t), table(t), rapid.Bool().Draw(t, "lost")) },
		})
		for range 12 {
			now = now.Add(time.Second)
			for i := range 4 { // one more report of each target, so that the last load is published too
				sequence++
				tables[i%3].ApplyReport(now, newReport(i, 3, sequence, now))
			}
			for a := range 3 {
				for b := range 3 {
					pull(a, b, false)
				}
			}
		}
		for range 6 {
			for a := range 3 {
				for b := range 3 {
					pull(a, b, false)
				}
			}
		}
		for i, other := range tables[1:] {
			requireEqual(t, i+1, tables[0], other)
		}
	})
}

// requireEqual checks that two tables return equal states, but for the times at
// which the reports were received.
func requireEqual(t *rapid.T, number int, a, b *Table) {
	left, right := a.States(), b.States()
	if len(left) != len(right) {
		t.Fatalf("table 0 has %d targets, table %d has %d", len(left), number, len(right))
	}
	for j := range left {
		l, r := left[j], right[j]
		l.Report.ReceivedAt, r.Report.ReceivedAt = time.Time{}, time.Time{}
		if fmt.Sprint(l) != fmt.Sprint(r) {
			t.Fatalf("table 0 has\n%+v\ntable %d has\n%+v", l, number, r)
		}
	}
}

// TestStaleInputDoesNotUndoNewerState checks that stale input does not undo newer state: a list
// that shows a leaving target as live, a list that shows a target that is gone,
// and a cordon of an older epoch.
func TestStaleInputDoesNotUndoNewerState(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := New()
	table.ApplyList(now, []provider.Host{newHost(0, provider.Leaving), newHost(1, provider.Live)}, everyZone)
	table.ApplyList(now, []provider.Host{newHost(0, provider.Live), newHost(1, provider.Live)}, everyZone)
	is.Equal(table.States()[0].State, provider.Leaving)
	for range 7 {
		now = now.Add(2 * time.Second)
		table.ApplyList(now, []provider.Host{newHost(0, provider.Leaving)}, everyZone)
	}
	is.Equal(len(table.States()), 1) // engine-001 is gone
	table.ApplyList(now, []provider.Host{newHost(1, provider.Live)}, everyZone)
	is.Equal(len(table.States()), 1) // and does not come back
	is.True(table.Cordon("engine-000", 5, false))
	is.True(!table.Cordon("engine-000", 4, true))
	is.True(table.States()[0].Cordoned)
	is.True(table.Cordon("engine-000", 5, true)) // with equal epochs a lift wins
	is.True(!table.Cordon("engine-000", 5, false))
	is.True(!table.States()[0].Cordoned)
}

// TestQuietTablesSendNothing guards against two pollers that send each other the
// same state for ever: with equal lists neither table may change again, although
// times on the wire are rounded to milliseconds.
func TestQuietTablesSendNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 123456789)
	a, b := New(), New()
	leaving := newHost(0, provider.Leaving)
	leaving.LeavesAt = now.Add(time.Minute)
	var seen uint64 // version of a that b has read up to
	for range 5 {
		a.ApplyList(now, []provider.Host{leaving}, everyZone)
		changes := a.Since(now, seen, 2, 1<<20)
		seen = changes.Version
		for _, s := range changes.Targets {
			b.Merge(now, 1, s)
		}
		b.ApplyList(now, []provider.Host{leaving}, everyZone)
	}
	is.Equal(a.Version(), uint64(1))
	is.Equal(b.Version(), uint64(1))
}

// BenchmarkBytes measures the bytes of a target's full state, and of one load in a
// heartbeat with 60, as many as it carries when sent every second.
func BenchmarkBytes(b *testing.B) {
	const loads = 60
	now := time.Unix(1000, 0)
	table := New()
	var listed []provider.Host
	for i := range loads {
		listed = append(listed, newHost(i, provider.Live))
	}
	table.ApplyList(now, listed, everyZone)
	report := func(sequence uint64) {
		for i := range loads {
			table.ApplyReport(now, newReport(i, 1<<60, sequence, now))
		}
	}
	report(100_000)
	first := table.Since(now, 0, 1, 1<<20)
	now = now.Add(time.Minute)
	report(100_001)
	later := table.Since(now.Add(time.Second), first.Version, 1, 1<<20)
	for b.Loop() {
		_ = table.Since(now, first.Version, 1, 1<<20)
	}
	b.ReportMetric(float64(proto.Size(&wire.Heartbeat{Targets: first.Targets}))/loads, "B/state")
	b.ReportMetric(float64(proto.Size(&wire.Heartbeat{Loads: later.Loads}))/loads, "B/load")
}

// TestUrgentChanges checks that a change is urgent only when a known target becomes
// leaving or gone, and that it is not sent back to the peer that it came from.
func TestUrgentChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := New(), New()
	a.ApplyList(now, []provider.Host{newHost(0, provider.Live), newHost(1, provider.Leaving)}, everyZone)
	states, version := a.Urgent(now, 0, 2)
	is.Equal(len(states), 0) // the targets were not known before
	for _, s := range a.Since(now, 0, 2, 1<<20).Targets {
		b.Merge(now, 1, s)
	}
	a.ApplyList(now, []provider.Host{newHost(0, provider.Leaving), newHost(1, provider.Leaving)}, everyZone)
	states, reached := a.Urgent(now, version, 2)
	is.Equal(len(states), 1)
	b.Merge(now, 1, states[0])
	toSender, _ := b.Urgent(now, 0, 1)
	is.Equal(len(toSender), 0)
	toOther, _ := b.Urgent(now, 0, 3)
	is.Equal(len(toOther), 1)
	states, _ = a.Urgent(now, reached, 2)
	is.Equal(len(states), 0)
}

// TestForwardedLoadStaysSmall guards against full states where a load would do: a
// newer load that was received in a full state is passed on as a load to a reader
// that has the rest of the state.
func TestForwardedLoadStaysSmall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := New(), New()
	a.ApplyList(now, []provider.Host{newHost(0, provider.Live)}, everyZone)
	a.ApplyReport(now, newReport(0, 1, 1, now))
	b.Merge(now, 1, a.Since(now, 0, 2, 1<<20).Targets[0])
	seen := b.Since(now, 0, 3, 1<<20).Version
	now = now.Add(time.Minute)
	a.ApplyReport(now, newReport(0, 1, 2, now))
	b.Merge(now, 1, a.Since(now, 0, 2, 1<<20).Targets[0])
	changes := b.Since(now, seen, 3, 1<<20)
	is.Equal(len(changes.Targets), 0)
	is.Equal(len(changes.Loads.GetTags()), 1)
}
