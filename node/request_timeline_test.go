package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/timeline"
)

// trail returns what the logs of nodes say of a request.
func trail(t *testing.T, request string, nodes ...*running) []timeline.Entry {
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

// find returns the text of the first entry of an event.
func find(entries []timeline.Entry, event string) string {
	for _, e := range entries {
		if e.Event == event {
			return e.Text()
		}
	}
	return ""
}

// says waits until the logs say something of a request under an event.
func says(t *testing.T, request, event string, n *running, texts ...string) {
	t.Helper()
	eventually(t, 2*time.Second, event+" of "+request, func() bool {
		line := find(trail(t, request, n), event)
		for _, text := range texts {
			if !strings.Contains(line, text) {
				return false
			}
		}
		return line != ""
	})
}

// A request is refused: its id leads to the refusal, to what was known, and to
// the change of the list of targets that caused it.
func TestTrailOfARefusedRequest(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	entry := r.target.Entry("desk", "a")
	entry["State"] = "draining"
	r.store.Write(platform.TargetsCollection, "i-1", entry)
	eventually(t, time.Second, "refusals", func() bool {
		return n.getAs("probe", "/read/a", "key-1") == http.StatusServiceUnavailable
	})
	is.Equal(n.getAs("refused", "/read/a", "key-1"), http.StatusServiceUnavailable)
	says(t, "refused", "request_done", n, "reason=targets_away", "execution=not_run", "revision=")
	says(t, "refused", "targets_taken", n, "revision=")
	is.Equal(find(trail(t, "refused", n), "attempt_ended"), "")
}

// A target crashes under a request that may not be repeated: its id leads to
// the attempt, its target and how it ended.
func TestTrailOfALostRequest(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	r.target.Next(prepared.Lost)
	is.Equal(n.getAs("lost", "/take/a", "key-1"), http.StatusBadGateway)
	says(t, "lost", "attempt_ended", n, "target=i-1", "how=broken", "execution=unknown")
	says(t, "lost", "request_done", n, "reason=outcome_unknown", "sent=1", "targets=[\"i-1\"]")
}

// A host that the store turns away, and that hears no peer, refuses a key that
// is in force elsewhere: its id leads to the version that decided, and to the
// loss of the store that made it old.
func TestTrailOfAnOldView(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	r.store.SetDown(true)
	eventually(t, 5*time.Second, "the loss", func() bool { return n.log.have("store_lost") })
	r.configure(5, "key-2")
	is.Equal(n.getAs("old", "/read/a", "key-2"), http.StatusUnauthorized)
	says(t, "old", "request_done", n, "configuration=1", "status=401")
	says(t, "old", "store_lost", n, "collection=")
}
