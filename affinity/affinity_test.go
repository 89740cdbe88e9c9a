package affinity_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/affinity"
	_ "zinniapin/internal/fixedseed"
	"zinniapin/roster"
	"zinniapin/target"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a moment in seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// targets returns targets of a service with these versions.
func targets(versions ...string) []roster.Target {
	var all []roster.Target
	for i, v := range versions {
		all = append(all, roster.Target{ID: target.ID(fmt.Sprint(i)), Service: "s", Version: v})
	}
	return all
}

// expect checks what a history tells of the last ten seconds.
func expect(t *testing.T, v *affinity.Versions, seconds float64, version string, finding affinity.Finding) {
	t.Helper()
	if got, f := v.Find(at(seconds), "s", 10*time.Second); got != version || f != finding {
		t.Errorf("%v s: %q, %v; expected %q, %v", seconds, got, f, version, finding)
	}
}

// A host that has just started cannot tell which version was there before. Once its history reaches back far
// enough, a version that was alone all the time is the one that began a stream.
func TestSoleVersionNeedsAHistory(t *testing.T) {
	is := is.New(t)
	v := affinity.NewVersions()
	expect(t, v, 0, "", affinity.Incomplete)
	v.Observe(at(0), targets("v1", "v1"))
	expect(t, v, 9, "", affinity.Incomplete)
	expect(t, v, 10, "v1", affinity.Sole)
	_, finding := v.Find(at(61), "another service", 10*time.Second)
	is.Equal(finding, affinity.Incomplete)
}

// A release replaces v1 by v2. From the first target of v2 until v1 has been gone for as long as a stream can
// be old, the history tells no version.
func TestReleaseHasSeveralVersions(t *testing.T) {
	v := affinity.NewVersions()
	v.Observe(at(0), targets("v1", "v1"))
	v.Observe(at(100), targets("v1", "v2"))
	expect(t, v, 100, "", affinity.Several)
	v.Observe(at(120), targets("v2", "v2"))
	expect(t, v, 129, "", affinity.Several)
	expect(t, v, 131, "v2", affinity.Sole)
	v.Observe(at(190), nil)
	expect(t, v, 199, "v2", affinity.Sole)
	expect(t, v, 201, "", affinity.None)
}

// A version that only a confirmation has shown counts though the next list, an older one, lacks it.
func TestConfirmedVersionOutlivesAnOlderList(t *testing.T) {
	v := affinity.NewVersions()
	v.Observe(at(0), targets("v1"))
	v.Note(at(20), targets("v1", "v2"))
	expect(t, v, 20, "", affinity.Several)
	v.Observe(at(20.1), targets("v1"))
	expect(t, v, 29, "", affinity.Several)
}

// stored writes the history of one host to the store, as of a list of targets.
func stored(v *affinity.Versions, seconds float64, before affinity.StoredHistory, listed ...string) affinity.StoredHistory {
	present := make(map[string]bool)
	for _, version := range listed {
		present[version] = true
	}
	next, _ := v.Export(at(seconds), "s", before, present)
	return next
}

// All hosts are lost while v1 leaves. A host that starts later knows from the store that it was there.
func TestHistoryOutlastsAllHosts(t *testing.T) {
	is := is.New(t)
	v := affinity.NewVersions()
	v.Observe(at(0), targets("v1"))
	held := stored(v, 0, affinity.StoredHistory{}, "v1")
	_, differs := v.Export(at(1), "s", held, map[string]bool{"v1": true})
	is.True(!differs)
	v.Observe(at(50), targets("v1", "v2"))
	held = stored(v, 50, held, "v1", "v2")

	next := affinity.NewVersions()
	next.Observe(at(60), targets("v2"))
	next.Merge(at(60), "s", held)
	expect(t, next, 60, "", affinity.Several)
	held = stored(next, 60, held, "v2")
	expect(t, next, 71, "v2", affinity.Sole)

	last := affinity.NewVersions()
	last.Merge(at(65), "s", held)
	last.Observe(at(65), targets("v2"))
	expect(t, last, 65, "", affinity.Several)
	expect(t, last, 71, "v2", affinity.Sole)
}

// The store holds what a host began until it can no longer be taken up; a later process of the host keeps it.
func TestStoredRecords(t *testing.T) {
	is := is.New(t)
	var s affinity.StoredRecords
	for i := range 20 {
		s.Add(uint64(i), affinity.Record{Service: "s", Version: []string{"v1", "v2"}[i%2], Target: uint32(i), At: at(float64(i) / 2)})
	}
	s.Expire(at(5))
	var next affinity.StoredRecords
	next.Add(18, affinity.Record{Service: "s", Version: "v1", Target: 18, At: at(9)}) // held by both
	next.Merge(s)
	versions := make(map[uint64]string)
	next.All(func(stream uint64, r affinity.Record) {
		is.Equal(r.Service, "s")
		is.Equal(uint64(r.Target), stream)
		is.Equal(versions[stream], "") // once each
		versions[stream] = r.Version
	})
	is.Equal(len(versions), 10)
	is.Equal(versions[10], "v1")
	is.Equal(versions[19], "v2")
	is.True(!next.Newest().Before(at(9)))
}

// Records expire, and the first one of a stream stays.
func TestRecordsExpire(t *testing.T) {
	is := is.New(t)
	r := affinity.NewRecords()
	r.Put(at(0), 1, affinity.Record{Version: "v1"})
	r.Put(at(1), 1, affinity.Record{Version: "v2"})
	record, ok := r.Get(1)
	is.True(ok)
	is.Equal(record.Version, "v1")
	r.Put(at(61), 2, affinity.Record{Version: "v2"})
	_, ok = r.Get(1)
	is.True(!ok)
}

// Two hosts whose lists of hosts differ by one choose the same replicas but for one.
func TestReplicasHardlyDependOnTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(t, "hosts")
		var hosts []string
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("10.0.0.%d:1", i))
		}
		stream := rapid.Uint64().Draw(t, "stream")
		without := slices.Delete(slices.Clone(hosts), 0, 1)
		slices.Reverse(without)
		one, two := affinity.Replicas(stream, hosts, 3), affinity.Replicas(stream, without, 3)
		common := 0
		for _, k := range one {
			if slices.Contains(two, k) {
				common++
			}
		}
		if common < 2 {
			t.Fatalf("%v and %v have %d replicas in common", one, two, common)
		}
	})
}

// Streams are spread evenly over the hosts that hold their records.
func TestReplicasAreSpread(t *testing.T) {
	is := is.New(t)
	var hosts []string
	for i := range 10 {
		hosts = append(hosts, fmt.Sprintf("10.0.0.%d:1", i))
	}
	kept := make(map[string]int)
	for i := range 3000 {
		for _, k := range affinity.Replicas(affinity.KeyOf(fmt.Sprint("request-", i)), hosts, 3) {
			kept[k]++
		}
	}
	for _, h := range hosts {
		is.True(kept[h] > 750 && kept[h] < 1050) // 900 on the mean
	}
}

// The store has lost its history, and lists a release that this host's own list lacks yet. The version that this host lists
// is not closed as of its latest change: streams have begun at it until now.
func TestListedVersionIsNotClosedInThePast(t *testing.T) {
	v := affinity.NewVersions()
	v.Observe(at(0), targets("v1"))
	v.Note(at(600), targets("v2"))
	stored, _ := v.Export(at(600), "s", affinity.StoredHistory{}, map[string]bool{"v2": true})
	other := affinity.NewVersions()
	other.Merge(at(601), "s", stored)
	other.Note(at(601), targets("v2"))
	expect(t, other, 601, "", affinity.Several)
}

// Releases follow each other for a day. What the store holds of a service stays small.
func TestStoredHistoryDoesNotGrow(t *testing.T) {
	var stored affinity.StoredHistory
	v := affinity.NewVersions()
	for i := range 100 {
		now := at(float64(i) * 864)
		version := fmt.Sprint("v", i)
		v.Observe(now, targets(version))
		v.Merge(now, "s", stored)
		if next, differs := v.Export(now, "s", stored, map[string]bool{version: true}); differs {
			stored = next
		}
	}
	if n := len(stored.Versions); n > 3 {
		t.Errorf("the store holds %d versions of which all but one left more than 10 minutes ago", n)
	}
}
