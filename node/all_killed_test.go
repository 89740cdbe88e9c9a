package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"zinniapin/internal/knownred"
	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
)

// afterAllWereKilled starts a node that knows nothing of the others, as after the loss of all hosts.
func (c *testCluster) afterAllWereKilled(host string) *testNode {
	c.seed = ""
	n := c.startNode(host)
	eventually(c.t, 3*time.Second, "ready", n.ready)
	return n
}

// takeUp takes up a stream after its third event and returns the status.
func (n *testNode) takeUp(id, begun string) int {
	return n.send(id, "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}, "Last-Event-Id": {"3"}, "Resumes": {begun}})
}

// versionAt returns the version at which a request ran; empty if it ran nowhere.
func versionAt(all []*prepared.Target, request string) string {
	if e := ranAt(all, request); e != nil {
		return e.Version
	}
	return ""
}

// A stream went on at the only version that was left after all hosts had been killed, though another one had begun it.
func TestStreamIsNotJoinedAfterAllHostsWereKilled(t *testing.T) {
	cluster := newTestCluster(t)
	engines := cluster.versionedEngines(1, "v1")
	first := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", first.ready)
	first.send("begun", "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}})
	engines = append(engines, cluster.versionedEngines(1, "v2")...)
	cluster.store.Remove(platform.TargetsCollection, engines[0].ID)
	second := cluster.afterAllWereKilled("h2")
	if status := second.takeUp("again", "begun"); status != http.StatusServiceUnavailable || versionAt(engines, "again") != "" {
		knownred.Fail(t, "../KNOWN-RED.txt", "joined-after-kill", "a stream of v1 was taken up with status %d at %q", status, versionAt(engines, "again"))
	}
}

// Streams that had begun beside another version were refused after all hosts had been killed.
func TestStreamsGoOnAtTheirVersionAfterAllHostsWereKilled(t *testing.T) {
	cluster := newTestCluster(t)
	engines := cluster.versionedEngines(2, "v1", "v2")
	first := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", first.ready)
	for i := range 8 {
		first.send(fmt.Sprint("begun-", i), "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}})
	}
	time.Sleep(time.Second) // what must last is written
	second := cluster.afterAllWereKilled("h2")
	for i := range 8 {
		begun, again := fmt.Sprint("begun-", i), fmt.Sprint("again-", i)
		status := second.takeUp(again, begun)
		if status != http.StatusOK || versionAt(engines, again) != versionAt(engines, begun) {
			knownred.Fail(t, "../KNOWN-RED.txt", "refused-after-kill", "%s was taken up with status %d at %q", begun, status, versionAt(engines, again))
		}
	}
}
