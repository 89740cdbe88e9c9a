package node_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/timeline"
)

// requestTimeline returns the timeline of a request, collected from nodes' logs.
func requestTimeline(t *testing.T, request string, nodes ...*testNode) []timeline.Entry {
	t.Helper()
	c := timeline.NewCollector(request)
	for _, n := range nodes {
		n.log.mu.Lock()
		text := n.log.text.String()
		n.log.mu.Unlock()
		if err := c.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return c.Entries()
}

// firstEntry returns the text of the first entry of an event; empty if there is
// none.
func firstEntry(entries []timeline.Entry, event string) string {
	for _, e := range entries {
		if e.Event == event {
			return e.Text()
		}
	}
	return ""
}

// expectLogged waits until the first entry of an event in a request's timeline
// contains all of the texts.
func expectLogged(t *testing.T, request, event string, n *testNode, texts ...string) {
	t.Helper()
	line := ""
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last %s of %s: %q", event, request, line)
		}
	})
	eventually(t, 2*time.Second, event+" of "+request, func() bool {
		line = firstEntry(requestTimeline(t, request, n), event)
		for _, text := range texts {
			if !strings.Contains(line, text) {
				return false
			}
		}
		return line != ""
	})
}

// For a refused request, the timeline of its id shows the refusal, the revision of
// the targets that it was based on, and the change that led to that revision.
func TestTrailOfARefusedRequest(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	entry := cluster.target.Entry("desk", "a")
	entry["State"] = "draining"
	cluster.store.Write(platform.TargetsCollection, "i-1", entry)
	eventually(t, time.Second, "refusals", func() bool {
		return n.getWithID("probe", "/read/a", "key-1") == http.StatusServiceUnavailable
	})
	is.Equal(n.getWithID("refused", "/read/a", "key-1"), http.StatusServiceUnavailable)
	expectLogged(t, "refused", "request_done", n, "reason=targets_away", "execution=not_run", "revision=")
	expectLogged(t, "refused", "targets_taken", n, "revision=")
	is.Equal(firstEntry(requestTimeline(t, "refused", n), "attempt_ended"), "")
}

// A target crashes during a request that must not be repeated. The timeline of the
// request's id shows the attempt, the target and how the attempt ended.
func TestTrailOfALostRequest(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	cluster.target.SetFaults(prepared.RunAndReset)
	is.Equal(n.getWithID("lost", "/take/a", "key-1"), http.StatusBadGateway)
	expectLogged(t, "lost", "attempt_ended", n, "target=i-1", "how=broken", "execution=unknown")
	expectLogged(t, "lost", "request_done", n, "reason=outcome_unknown", "sent=1", "targets=[\"i-1\"]")
}

// A stream has neither length nor chunks and ends inside an event. The timeline of the request's id
// shows the framing and the bytes of that event.
func TestTrailOfAStreamThatEndsInsideAnEvent(t *testing.T) {
	cluster := newTestCluster(t)
	engine := prepared.NewTarget("e-1")
	t.Cleanup(engine.Close)
	engine.Stage, engine.Events, engine.BreakAfter, engine.UntilClose = "decode", 4, 2, true
	cluster.store.Write(platform.TargetsCollection, "e-1", engine.Entry("model", "a"))
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	n.send("half", "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}})
	expectLogged(t, "half", "request_done", n, "framing=close", "partial_event_bytes=5")
}

// A caller leaves in the middle of a stream. The timeline of the request's id says so, and does not show
// the stream as broken off by the system.
func TestTrailOfACallerThatLeaves(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	engine := prepared.NewTarget("e-1")
	t.Cleanup(engine.Close)
	engine.Stage, engine.Events, engine.EventPause = "decode", 100, 20*time.Millisecond
	cluster.store.Write(platform.TargetsCollection, "e-1", engine.Entry("model", "a"))
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	c, err := net.Dial("tcp", n.settings.Listen)
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /draft/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: left\r\nX-Credential: key-1\r\nX-Deadline-Ms: 4000\r\nX-Token-Count: 100,20\r\n\r\n")
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(c.Close())
	expectLogged(t, "left", "request_done", n, "reason=caller_left")
}

// A caller takes up a stream. The timeline of the request's id names the request that began the
// stream, the last event that the caller has and the software version of the target.
func TestTrailOfAResumedStream(t *testing.T) {
	cluster := newTestCluster(t)
	engine := prepared.NewTarget("e-1")
	t.Cleanup(engine.Close)
	engine.Stage, engine.Version = "decode", "v7"
	cluster.store.Write(platform.TargetsCollection, "e-1", engine.Entry("model", "a"))
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	n.send("first", "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}})
	n.send("again", "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}, "Last-Event-Id": {"1"}, "Resumes": {"first"}})
	expectLogged(t, "again", "request_done", n, "resumes=first", "after_event=1", "version=v7")
}

// A host without access to the store and without peers refuses a key that a newer
// configuration allows. The timeline of the request's id shows the old version
// that was used, and the loss of the store that explains it.
func TestTrailOfAnOldView(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	cluster.store.SetDown(true)
	eventually(t, 5*time.Second, "the loss", func() bool { return n.log.contains("store_lost") })
	cluster.writeConfiguration(5, "key-2")
	is.Equal(n.getWithID("old", "/read/a", "key-2"), http.StatusUnauthorized)
	expectLogged(t, "old", "request_done", n, "configuration=1", "status=401")
	expectLogged(t, "old", "store_lost", n, "collection=")
}
