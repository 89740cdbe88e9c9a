package node_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/store"
)

// drainingEntry returns the entry of a target that leaves.
func drainingEntry(t *prepared.Target) map[string]any {
	entry := t.Entry("desk", "a")
	entry["State"] = "draining"
	return entry
}

// The store comes back from a copy in which a target that has left is listed and one that leaves is
// ready; a newer target is missing. The node keeps to what was acknowledged, and follows changes whose
// revisions were given out before.
func TestNodeFollowsAStoreThatComesBackFromACopy(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.store.CountEras()
	gone, leaving, newer := prepared.NewTarget("i-2"), prepared.NewTarget("i-3"), prepared.NewTarget("i-4")
	for _, target := range []*prepared.Target{gone, leaving, newer} {
		t.Cleanup(target.Close)
	}
	for _, target := range []*prepared.Target{gone, leaving} {
		cluster.store.Write(platform.TargetsCollection, target.ID, target.Entry("desk", "a"))
	}
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	cluster.store.TakeCopy()
	cluster.store.Remove(platform.TargetsCollection, "i-2")
	cluster.store.Write(platform.TargetsCollection, "i-3", drainingEntry(leaving))
	cluster.store.Write(platform.TargetsCollection, "i-1", drainingEntry(cluster.target))
	cluster.writeConfiguration(5, "key-2")
	cluster.store.Write(platform.TargetsCollection, "i-4", newer.Entry("desk", "a"))
	eventually(t, 2*time.Second, "the newer target", func() bool { return n.get("/read/a", "key-2") == http.StatusOK && len(newer.Arrivals()) > 0 })
	cluster.store.Restore()
	eventually(t, 3*time.Second, "the rewind", func() bool { return n.log.contains("store_rewound") })
	before := len(gone.Arrivals()) + len(leaving.Arrivals()) + len(cluster.target.Arrivals())
	cluster.store.Write(platform.TargetsCollection, "i-4", newer.Entry("desk", "a")) // as targets do after a rewind
	for range 40 {
		is.Equal(n.get("/read/a", "key-2"), http.StatusOK)
		is.Equal(n.get("/read/a", "key-1"), http.StatusUnauthorized) // the copy holds the withdrawn key
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(len(gone.Arrivals())+len(leaving.Arrivals())+len(cluster.target.Arrivals()), before)
	cluster.store.Write(platform.TargetsCollection, "i-4", drainingEntry(newer))
	eventually(t, 2*time.Second, "the change of the new era", func() bool { return n.get("/read/a", "key-2") == http.StatusServiceUnavailable })
}

// The store comes back from a copy that lacks the latest configuration. A host that starts just then
// does not serve a key that its peer knows to be withdrawn.
func TestStartingHostServesNoWithdrawnKey(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.store.CountEras()
	one := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", one.ready)
	cluster.store.TakeCopy()
	cluster.writeConfiguration(5, "key-2")
	eventually(t, 2*time.Second, "the new key", func() bool { return one.get("/read/a", "key-2") == http.StatusOK })
	cluster.store.Restore()
	two := cluster.startNode("h2")
	served := false
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		is.True(two.get("/read/a", "key-1") != http.StatusOK)
		served = served || two.get("/read/a", "key-2") == http.StatusOK
	}
	is.True(served)
}

// usageCalls returns the accepted usage reports of a cluster.
func (c *testCluster) usageCalls() []prepared.DutyCall {
	var accepted []prepared.DutyCall
	for _, call := range c.duties.Calls("/usage") {
		if call.Status == http.StatusOK {
			accepted = append(accepted, call)
		}
	}
	return accepted
}

// The store loses the record of the duties, or goes back to an earlier one, while a host holds them,
// and the holder is stopped without a hand-over at the next rewind. Fences rise over all of it and no
// window is reported with two counts.
func TestDutiesSurviveAStoreThatComesBackFromACopy(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.store.CountEras()
	cluster.store.TakeCopy() // without a record
	nodes := []*testNode{cluster.startNode("h1"), cluster.startNode("h2")}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				nodes[0].get("/read/a", "key-1")
				nodes[1].get("/read/a", "key-1")
			}
		}
	}()
	reports := func(n int) func() bool { return func() bool { return len(cluster.usageCalls()) >= n } }
	eventually(t, 15*time.Second, "reports", reports(2))
	for range 2 {
		count := len(cluster.usageCalls())
		cluster.store.Restore()
		cluster.writeConfiguration(1, "key-1")
		cluster.store.Write(platform.TargetsCollection, "i-1", cluster.target.Entry("desk", "a"))
		eventually(t, 20*time.Second, "reports after the rewind", reports(count+2))
	}
	holder := nodes[0]
	if !nodes[0].log.contains("duties_renewed") {
		holder = nodes[1]
	}
	cluster.store.Restore()
	holder.stop()
	count := len(cluster.usageCalls())
	eventually(t, 30*time.Second, "reports of the other host", reports(count+2))
	figures, highest := make(map[any]string), uint64(0)
	for _, call := range cluster.usageCalls() {
		counts, err := json.Marshal(call.Body["Counts"])
		is.NoErr(err)
		window := call.Body["WindowId"]
		if earlier, ok := figures[window]; ok && earlier != string(counts) {
			t.Errorf("window %v was reported as %s and %s", window, earlier, counts)
		}
		figures[window] = string(counts)
		is.True(call.Fence >= highest)
		highest = call.Fence
	}
	is.True(store.EraOf(highest) >= 3) // acquired anew in each era
}
