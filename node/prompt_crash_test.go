package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"zinniapin/internal/knownred"
	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
)

// crashTraffic is the load of a test in which one part of a prompt ends targets: every few milliseconds
// a request with that part, and sound ones that share its first part and its caller.
type crashTraffic struct {
	nodes []*testNode
	mu    sync.Mutex
	sound []soundAnswer
}

// soundAnswer is the outcome of a sound request.
type soundAnswer struct {
	sent   time.Time
	status int
}

// poisonPart is the part of prompts that ends targets.
const poisonPart = "dead"

// run sends requests at random nodes until the time is over.
func (c *crashTraffic) run(d time.Duration) {
	var pending sync.WaitGroup
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		at := c.nodes[rand.IntN(len(c.nodes))]
		pending.Add(1)
		go func() {
			defer pending.Done()
			sent, poisoned := time.Now(), i%4 == 0
			parts := fmt.Sprintf("aa:50,%x:20,%x:30", 0xb00+rand.IntN(40), 0xc0000+i)
			if poisoned {
				parts = fmt.Sprintf("aa:50,%s:20,%x:30", poisonPart, 0xc0000+i)
			}
			status := at.send(fmt.Sprint("r-", i), "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}, "X-Prompt-Prefix": {parts}})
			if !poisoned {
				c.mu.Lock()
				c.sound = append(c.sound, soundAnswer{sent, status})
				c.mu.Unlock()
			}
		}()
		time.Sleep(15 * time.Millisecond)
	}
	pending.Wait()
}

// servedShare returns the share of the sound requests sent after a time that were answered.
func (c *crashTraffic) servedShare(after time.Time) float64 {
	served, all := 0, 0
	for _, a := range c.sound {
		if a.sent.After(after) {
			all++
			if a.status == http.StatusOK {
				served++
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

// contactTime is the time after the fifth crash from which at most three requests with the part may
// reach targets, as the platform's rules have it.
const contactTime = 3 * time.Second

// One part of a prompt ends each target that begins to answer a request with it. Requests with it come
// at all hosts, beside sound ones that share their other parts and their caller.
func TestRequestsWithAPromptPartThatEndsTargetsAreRejected(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	var engines []*prepared.Target
	for i := range 8 {
		e := prepared.NewTarget(fmt.Sprint("e-", i))
		t.Cleanup(e.Close)
		e.Stage, e.EventPause = "decode", 10*time.Millisecond
		e.CrashOn(poisonPart, time.Second)
		cluster.store.Write(platform.TargetsCollection, e.ID, e.Entry("model", "a"))
		engines = append(engines, e)
	}
	traffic := &crashTraffic{}
	for i := range 3 {
		traffic.nodes = append(traffic.nodes, cluster.startNode(fmt.Sprint("h", i)))
	}
	eventually(t, 5*time.Second, "ready", func() bool {
		return !slices.ContainsFunc(traffic.nodes, func(n *testNode) bool { return !n.ready() || !n.log.contains("peer_found") })
	})
	traffic.run(8 * time.Second)

	var crashes []time.Time
	for _, e := range engines {
		crashes = append(crashes, e.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < 5 {
		t.Logf("%d targets ended", len(crashes))
		return
	}
	late := 0
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			if prepared.HasPart(a.Header, poisonPart) && a.At.Sub(crashes[4]) > contactTime {
				late++
			}
		}
	}
	t.Logf("%d targets ended", len(crashes))
	if late > 3 {
		knownred.Fail(t, "../KNOWN-RED.txt", "prompt-part-crashes", "%d requests with the part reached targets later than %v after the fifth crash, at most 3 may", late, contactTime)
	}
	if served := traffic.servedShare(crashes[4].Add(contactTime)); served < 0.5 {
		knownred.Fail(t, "../KNOWN-RED.txt", "prompt-part-crashes", "%.2f of the sound requests are served, want 0.5 at least", served)
	}
}
