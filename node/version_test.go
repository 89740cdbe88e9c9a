package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
)

// versionedEngines adds engines of software versions to a cluster, so many of each.
func (c *testCluster) versionedEngines(each int, versions ...string) []*prepared.Target {
	var all []*prepared.Target
	for _, version := range versions {
		for i := range each {
			e := prepared.NewTarget(fmt.Sprint("e-", version, "-", i))
			c.t.Cleanup(e.Close)
			e.Stage, e.Version, e.Events = "decode", version, 6
			c.store.Write(platform.TargetsCollection, e.ID, e.Entry("model", "a"))
			all = append(all, e)
		}
	}
	return all
}

// ranAt returns the engine at which a request ran; nil if it ran at none.
func ranAt(all []*prepared.Target, request string) *prepared.Target {
	for _, e := range all {
		for _, arrival := range e.Arrivals() {
			if arrival.Header.Get("X-Request-Id") == request && arrival.Executed {
				return e
			}
		}
	}
	return nil
}

// A caller takes up streams at the host that began them and at another one, while engines of two
// software versions serve. Each stream goes on at the version that began it.
func TestCallerTakesUpAStreamAtItsVersion(t *testing.T) {
	cluster := newTestCluster(t)
	engines := cluster.versionedEngines(3, "v1", "v2")
	first, second := cluster.startNode("h1"), cluster.startNode("h2")
	eventually(t, 3*time.Second, "ready", func() bool {
		return first.ready() && second.ready() && first.log.contains("peer_found") && second.log.contains("peer_found")
	})
	for i := range 12 {
		begun, again := fmt.Sprint("begun-", i), fmt.Sprint("again-", i)
		first.send(begun, "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}})
		at := second
		if i%2 == 0 {
			at = first
		}
		at.send(again, "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}, "Last-Event-Id": {"3"}, "Resumes": {begun}})
		one, two := ranAt(engines, begun), ranAt(engines, again)
		if one == nil || two == nil {
			t.Fatalf("stream %d did not run and go on: %v, %v", i, one, two)
		}
		if one.Version != two.Version {
			t.Errorf("stream %d began at %s and went on at %s", i, one.Version, two.Version)
		}
	}
}

// A release ends and a host starts anew, which knows the new version alone. It does not let a stream
// of the old one go on at the new one.
func TestNewHostAsksForTheOriginOfAStream(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	engines := cluster.versionedEngines(1, "v1")
	first := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", first.ready)
	first.send("begun", "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}})
	newer := cluster.versionedEngines(1, "v2")
	cluster.store.Remove(platform.TargetsCollection, engines[0].ID)
	second := cluster.startNode("h2")
	eventually(t, 3*time.Second, "ready", func() bool { return second.ready() && second.log.contains("peer_found") })
	status := second.send("again", "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}, "Last-Event-Id": {"3"}, "Resumes": {"begun"}})
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(newer[0].Runs(), 0)
	expectLogged(t, "again", "request_done", second, "reason=version_away")
}
