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

// beginStreams begins streams at hosts of a fleet, and then replaces the engines of v1 by ones of v2.
func beginStreams(t *testing.T, cluster *testCluster, nodes []*testNode, streams int) (newer []*prepared.Target) {
	t.Helper()
	older := cluster.versionedEngines(2, "v1")
	for _, n := range nodes {
		eventually(t, 5*time.Second, "the engines", func() bool {
			return n.send("probe", "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}}) == http.StatusOK
		})
	}
	for i := range streams {
		if status := nodes[i%len(nodes)].send(fmt.Sprint("begun-", i), "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}}); status != http.StatusOK {
			t.Fatalf("stream %d was answered with %d", i, status)
		}
	}
	newer = cluster.versionedEngines(2, "v2")
	for _, e := range older {
		cluster.store.Remove(platform.TargetsCollection, e.ID)
	}
	return newer
}

// takeUpAt takes up a stream that began at v1 and returns whether it went on at v2.
func takeUpAt(n *testNode, newer []*prepared.Target, stream int) bool {
	again := fmt.Sprintf("again-%d-%s", stream, n.settings.Host)
	n.send(again, "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}, "Last-Event-Id": {"3"}, "Resumes": {fmt.Sprint("begun-", stream)}})
	return ranAt(newer, again) != nil
}

// A host of a large fleet starts after a release, and its seeds are out of date, so that it knows no other host at
// first. A stream of the old version that is taken up there does not go on at the new one.
func TestHostWithoutPeersTakesNoStreamForOneOfTheOnlyVersionItKnows(t *testing.T) {
	cluster, nodes := startLargeFleet(t)
	time.Sleep(3 * time.Second) // until the relays are known
	newer := beginStreams(t, cluster, nodes, 8)
	cluster.seed = freeAddress(t) // nobody listens there
	late := cluster.startNode("late")
	eventually(t, 5*time.Second, "ready", late.ready)
	joined := 0
	for i := range 8 {
		if takeUpAt(late, newer, i) {
			joined++
		}
	}
	if joined > 0 {
		knownred.Fail(t, "../KNOWN-RED.txt", "host-without-peers", "%d of 8 streams began at v1 and went on at v2", joined)
	}
}

// Hosts of a large fleet start after a release, one after the other. Streams of the old version that are taken up
// there at once do not go on at the new one.
func TestHostThatJoinsALargeFleetAsksForTheOriginOfAStream(t *testing.T) {
	cluster, nodes := startLargeFleet(t)
	time.Sleep(3 * time.Second) // until the relays are known
	const streams = 40
	newer := beginStreams(t, cluster, nodes, streams)
	var late *testNode
	joined := 0
	for i := range streams {
		if i%10 == 0 {
			late = cluster.startNode(fmt.Sprint("late-", i))
			eventually(t, 5*time.Second, "ready", late.ready)
		}
		if takeUpAt(late, newer, i) {
			joined++
		}
	}
	if joined > 0 {
		knownred.Fail(t, "../KNOWN-RED.txt", "host-without-peers", "%d of %d streams began at v1 and went on at v2", joined, streams)
	}
}

// A version of which one target serves for some milliseconds is listed by the hosts that watch the store alone. A stream
// that began at it does not go on at the version that was there before and after, at a host that never listed the other.
func TestStreamOfAVersionThatCameAndWentIsNotJoined(t *testing.T) {
	cluster, nodes := startLargeFleet(t)
	older := cluster.versionedEngines(2, "v1")
	time.Sleep(18 * time.Second) // until v1 has been alone for longer than a stream can be old
	newer := cluster.versionedEngines(4, "v2")
	lists := func(n *testNode) bool { return n.log.contains(`"v2"`) }
	var watcher *testNode
	eventually(t, time.Second, "v2 at some host", func() bool {
		for _, n := range nodes {
			if lists(n) {
				watcher = n
			}
		}
		return watcher != nil
	})
	begun := ""
	for i := 0; begun == "" && i < 20; i++ {
		id := fmt.Sprint("brief-", i)
		watcher.send(id, "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}})
		if ranAt(newer, id) != nil {
			begun = id
		}
	}
	for _, e := range newer {
		cluster.store.Remove(platform.TargetsCollection, e.ID)
	}
	asked, joined := 0, 0
	for _, n := range nodes {
		if lists(n) {
			continue
		}
		again := "again-" + n.settings.Host
		n.send(again, "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}, "Last-Event-Id": {"3"}, "Resumes": {begun}})
		asked++
		if ranAt(older, again) != nil {
			joined++
		}
	}
	t.Logf("%q began at v2; it was taken up at %d hosts that had not listed v2, and joined at %d", begun, asked, joined)
	if begun == "" || asked == 0 || joined > 0 {
		t.Errorf("the stream %q was taken up at %d hosts that had not listed v2, and joined at %d", begun, asked, joined)
	}
}
