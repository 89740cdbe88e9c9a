package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/zone"
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
	engines := cluster.startCrashingEngines(8)
	traffic := &crashTraffic{}
	for i := range 3 {
		traffic.nodes = append(traffic.nodes, cluster.startNode(fmt.Sprint("h", i)))
	}
	eventually(t, 5*time.Second, "ready", func() bool {
		return !slices.ContainsFunc(traffic.nodes, func(n *testNode) bool { return !n.ready() || !n.log.contains("peer_found") })
	})
	traffic.run(8 * time.Second)

	crashes := crashesOf(engines)
	if len(crashes) == 0 {
		t.Fatal("no target has ended")
	}
	t.Logf("%d targets ended", len(crashes))
	if late := arrivalsAfter(engines, crashes, contactTime); late > 3 {
		t.Errorf("%d requests with the part reached targets later than %v after the fifth crash, at most 3 may", late, contactTime)
	}
	if served := traffic.servedShare(crashes[min(4, len(crashes)-1)].Add(contactTime)); served < 0.5 {
		t.Errorf("%.2f of the sound requests are served, want 0.5 at least", served)
	}
}

// startCrashingEngines adds engines to a cluster that end under poisonPart.
func (c *testCluster) startCrashingEngines(count int) []*prepared.Target {
	var all []*prepared.Target
	for i := range count {
		e := prepared.NewTarget(fmt.Sprint("e-", i))
		c.t.Cleanup(e.Close)
		e.Stage, e.EventPause = "decode", 10*time.Millisecond
		e.CrashOn(time.Second, poisonPart)
		c.store.Write(platform.TargetsCollection, e.ID, e.Entry("model", "a"))
		all = append(all, e)
	}
	return all
}

// crashesOf returns when targets ended, in order.
func crashesOf(all []*prepared.Target) []time.Time {
	var crashes []time.Time
	for _, e := range all {
		for _, c := range e.Crashes() {
			crashes = append(crashes, c.At)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// arrivalsAfter returns the number of requests with poisonPart that targets got later than some time after
// the fifth crash.
func arrivalsAfter(all []*prepared.Target, crashes []time.Time, wait time.Duration) int {
	late := 0
	for _, e := range all {
		for _, a := range e.Arrivals() {
			if len(crashes) >= 5 && prepared.HasPart(a.Header, poisonPart) && a.At.Sub(crashes[4]) > wait {
				late++
			}
		}
	}
	return late
}

// In a large fleet of two zones the hosts that send requests with the part are others each time. A few
// crashes suffice all the same, and a host that starts later knows the part.
func TestPromptPartThatEndsTargetsIsKnownInALargeFleet(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	engines := cluster.startCrashingEngines(12)
	var nodes []*testNode
	for i := range 16 {
		nodes = append(nodes, cluster.startNodeIn(fmt.Sprint("h", i), []zone.Name{"a", "b"}[i%2]))
	}
	for _, n := range nodes {
		eventually(t, 5*time.Second, "ready", n.ready)
	}
	time.Sleep(4 * time.Second) // until the relays are known
	send := func(n *testNode, id string) int {
		return n.send(id, "/draft/a", "key-1", http.Header{"X-Token-Count": {"100,20"}, "X-Prompt-Prefix": {"aa:50," + poisonPart + ":20," + id + ":3"}})
	}
	for i, n := range nodes {
		send(n, fmt.Sprintf("%x", 0xe000+i))
		time.Sleep(time.Second / 2)
	}
	crashes := crashesOf(engines)
	t.Logf("%d targets ended", len(crashes))
	if len(crashes) < 3 || len(crashes) > 5 {
		t.Errorf("%d targets ended, want 3 to 5", len(crashes))
	}
	late := cluster.startNodeIn("late", "b")
	eventually(t, 5*time.Second, "ready", late.ready)
	eventually(t, 3*time.Second, "the part is known", func() bool { return late.log.contains("prompt_part_blocked") })
	for _, n := range append(nodes, late) {
		if status := send(n, "e100"); status != http.StatusServiceUnavailable {
			t.Errorf("%s answers %d", n.settings.Host, status)
		}
	}
	if n := len(crashesOf(engines)); n != len(crashes) {
		t.Errorf("%d more targets ended", n-len(crashes))
	}
}
