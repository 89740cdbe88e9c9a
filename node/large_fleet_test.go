package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/platform"
)

// startLargeFleet starts so many hosts that digests go through relays, and waits until all
// are ready.
func startLargeFleet(t *testing.T) (*testCluster, []*testNode) {
	t.Helper()
	const hosts = 16
	cluster := newTestCluster(t)
	var nodes []*testNode
	for i := range hosts {
		nodes = append(nodes, cluster.startNode(fmt.Sprint("h", i)))
	}
	for _, n := range nodes {
		eventually(t, 5*time.Second, "ready", n.ready)
	}
	return cluster, nodes
}

// In a large fleet the relays watch the store for all others. A withdrawn key is refused at
// every host soon after, although most make no call.
func TestFewHostsWatchTheStore(t *testing.T) {
	is := is.New(t)
	cluster, nodes := startLargeFleet(t)
	time.Sleep(6 * time.Second) // until the relays are known and watch
	calls := func() int {
		return cluster.store.Calls(http.MethodGet, platform.TargetsCollection) + cluster.store.Calls(http.MethodGet, platform.ConfigurationsCollection)
	}
	before := calls()
	time.Sleep(6 * time.Second)
	made := calls() - before
	t.Logf("%d calls to the store in 6 s with %d hosts", made, len(nodes))
	is.True(made > 0 && made <= len(nodes)) // each host for itself would make 2 in 2 s
	cluster.writeConfiguration(5, "key-2")
	for _, n := range nodes {
		eventually(t, 2*time.Second, "the new key", func() bool { return n.get("/read/a", "key-2") == http.StatusOK })
		is.Equal(n.get("/read/a", "key-1"), http.StatusUnauthorized)
	}
}

// The usage of all hosts of a large fleet reaches the holder of the duties, whichever relay
// it is, and the next one after the holder has stopped.
func TestUsageOfALargeFleetIsReported(t *testing.T) {
	is := is.New(t)
	cluster, nodes := startLargeFleet(t)
	reported := func() (sum float64) {
		windows := make(map[any]float64) // a new holder may repeat a report of the former one
		for _, c := range cluster.duties.Calls("/usage") {
			n, _ := c.Body["Counts"].(map[string]any)["parents"].(float64)
			if before, repeated := windows[c.Body["WindowId"]]; repeated && before != n {
				t.Errorf("window %v is reported with %v and %v requests", c.Body["WindowId"], before, n)
			}
			if c.Status == http.StatusOK {
				windows[c.Body["WindowId"]] = n
			}
		}
		for _, n := range windows {
			sum += n
		}
		return sum
	}
	served := 0.0
	request := func() {
		for _, n := range nodes {
			if n.get("/read/a", "key-1") == http.StatusOK {
				served++
			}
		}
	}
	eventually(t, 15*time.Second, "a holder", func() bool { return cluster.store.Read("zinnia-duties", "holder") != nil })
	time.Sleep(2 * time.Second) // until the relays have named the holder
	for range 5 {
		request()
	}
	eventually(t, 15*time.Second, "all requests are reported", func() bool { return reported() >= served })
	is.Equal(reported(), served)
	holder := cluster.duties.Calls("/usage")[0].Holder
	kept := nodes[:0]
	for _, n := range nodes {
		if n.settings.Host == holder {
			n.stop()
			continue
		}
		kept = append(kept, n)
	}
	nodes = kept
	time.Sleep(4 * time.Second) // the holder hands over and leaves
	for range 5 {
		request()
	}
	eventually(t, 25*time.Second, "all requests are reported by the next holder", func() bool { return reported() >= served })
	is.Equal(reported(), served)
}
