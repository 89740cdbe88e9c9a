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

// While a service has had one version, its streams began at that one.
func TestSoleVersionNeedsNoRecord(t *testing.T) {
	is := is.New(t)
	v := affinity.NewVersions()
	v.Observe(at(0), targets("v1", "v1"))
	is.True(v.Recorded(at(1), "s")) // the host may have missed an earlier version
	is.True(!v.Recorded(at(61), "s"))
	version, ok := v.Sole(at(61), "s")
	is.True(ok)
	is.Equal(version, "v1")
	_, ok = v.Sole(at(61), "another service")
	is.True(!ok)
}

// A release replaces v1 by v2. Streams are recorded from the first target of v2 until v1 has been
// gone for as long as a stream can be taken up. An unrecorded stream began at v1 until none of
// that time can be left.
func TestReleaseIsRecordedThroughout(t *testing.T) {
	is := is.New(t)
	v := affinity.NewVersions()
	v.Observe(at(0), targets("v1", "v1"))
	v.Observe(at(100), targets("v1", "v2"))
	is.True(v.Recorded(at(100), "s"))
	version, ok := v.Presumed(at(105), "s", 10*time.Second)
	is.True(ok)
	is.Equal(version, "v1")
	_, ok = v.Presumed(at(111), "s", 10*time.Second) // may be either by now
	is.True(!ok)
	v.Observe(at(120), targets("v2", "v2"))
	is.True(v.Recorded(at(179), "s"))
	_, ok = v.Sole(at(179), "s")
	is.True(!ok)
	is.True(!v.Recorded(at(181), "s"))
	version, ok = v.Sole(at(181), "s")
	is.True(ok)
	is.Equal(version, "v2")
}

// A host that has just started cannot tell which version was there before.
func TestNewHostPresumesNothing(t *testing.T) {
	is := is.New(t)
	v := affinity.NewVersions()
	v.Observe(at(0), targets("v1"))
	v.Observe(at(1), targets("v1", "v2"))
	_, ok := v.Presumed(at(2), "s", 10*time.Second)
	is.True(!ok)
}

// Records expire, and the first one of a stream stays.
func TestRecordsExpire(t *testing.T) {
	is := is.New(t)
	r := affinity.NewRecords()
	r.Put(at(0), 1, "v1")
	r.Put(at(1), 1, "v2")
	version, ok := r.Get(1)
	is.True(ok)
	is.Equal(version, "v1")
	r.Put(at(61), 2, "v2")
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
