package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/roster"
	"zinniapin/store"
)

// hostWays are the ways of one host to all targets.
type hostWays struct {
	t    *testing.T
	mu   sync.Mutex
	ways map[string]*prepared.Way // by the address of the target
}

// newHostWays returns the ways of a host that is started next.
func (c *testCluster) newHostWays() *hostWays {
	w := &hostWays{t: c.t, ways: make(map[string]*prepared.Way)}
	c.decodeTarget = func(m store.Member) (roster.Target, error) {
		t, err := platform.DecodeTarget(m)
		if err == nil {
			t.Address = w.to(t.Address).Address()
		}
		return t, err
	}
	return w
}

// to returns the way to the target at an address.
func (w *hostWays) to(address string) *prepared.Way {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ways[address] == nil {
		w.ways[address] = prepared.NewWay(address)
		w.t.Cleanup(w.ways[address].Close)
	}
	return w.ways[address]
}

// set sets the mode of all ways.
func (w *hostWays) set(mode prepared.WayMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var changes sync.WaitGroup
	for _, way := range w.ways {
		changes.Go(func() { way.Set(mode) })
	}
	changes.Wait()
}

// accepted returns how many connections the host has established directly.
func (w *hostWays) accepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, way := range w.ways {
		n += way.Accepted()
	}
	return n
}

// cutCluster is a cluster whose second host loses its ways to all targets.
type cutCluster struct {
	*testCluster
	targets []*prepared.Target
	ways    *hostWays
	healthy []*testNode
	cut     *testNode
	sent    int
}

// newCutCluster starts three hosts, two targets of a plain service and two engines.
func newCutCluster(t *testing.T) *cutCluster {
	t.Helper()
	c := &cutCluster{testCluster: newTestCluster(t)}
	c.targets = []*prepared.Target{c.target}
	for i, stage := range []string{"", "decode", "decode"} {
		s := prepared.NewTarget(fmt.Sprint("i-", i+2))
		s.Stage, s.Events, s.EventPause = stage, 6, 20*time.Millisecond
		t.Cleanup(s.Close)
		c.targets = append(c.targets, s)
		service := "desk"
		if stage != "" {
			service = "model"
		}
		c.store.Write(platform.TargetsCollection, s.ID, s.Entry(service, "a"))
	}
	c.healthy = append(c.healthy, c.startNode("h1"))
	c.ways = c.newHostWays()
	c.cut = c.startNode("h2")
	c.decodeTarget = nil
	c.healthy = append(c.healthy, c.startNode("h3"))
	for _, n := range []*testNode{c.healthy[0], c.cut, c.healthy[1]} {
		eventually(t, 3*time.Second, "ready", n.ready)
	}
	return c
}

// load sends requests of all kinds to a host for a time, one each 10 ms, and returns how many were served and
// how many were sent.
func (c *cutCluster) load(n *testNode, span time.Duration) (served, sent int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(10 * time.Millisecond) {
		c.sent++
		id, kind := fmt.Sprintf("%s-%d", n.settings.Host, c.sent), c.sent%3
		sent++
		all.Go(func() {
			status := 0
			switch kind {
			case 0:
				status = n.getWithID(id, "/read/a", "key-1")
			case 1:
				status = n.sendBody(http.MethodPost, id, "/take/a", "key-1", "{}", http.Header{})
			case 2:
				status = n.sendBody(http.MethodPost, id, "/draft/a", "key-1", "{}", http.Header{"X-Token-Count": {"100,20"}, "X-Model": {"m"}, "X-Prompt-Prefix": {"aa:50,bb:50"}})
			}
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				served++
			}
		})
	}
	all.Wait()
	return served, sent
}

// runsTwice returns the requests that may run only once and ran more often.
func (c *cutCluster) runsTwice() []string {
	runs := make(map[string]int)
	for _, t := range c.targets {
		for _, a := range t.Arrivals() {
			if a.Executed && strings.HasPrefix(a.RequestURI, "/take/") {
				runs[a.ID]++
			}
		}
	}
	var twice []string
	for id, n := range runs {
		if n > 1 {
			twice = append(twice, id)
		}
	}
	return twice
}

// A host that has lost its links to all targets serves its callers all the same while other hosts reach them, and
// nobody takes the targets for failed.
func TestHostWithoutAWayToTargetsServesThroughPeers(t *testing.T) {
	for _, mode := range prepared.WayModes {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			c := newCutCluster(t)
			served, sent := c.load(c.cut, 500*time.Millisecond) // leaves kept connections
			is.Equal(served, sent)
			c.ways.set(mode)
			c.load(c.cut, 1500*time.Millisecond) // the host notices
			served, sent = c.load(c.cut, time.Second)
			t.Logf("%d of %d requests are served in the cut", served, sent)
			is.True(10*served >= 9*sent)
			for _, n := range c.healthy {
				served, sent := c.load(n, 300*time.Millisecond)
				is.True(10*served >= 9*sent)
				is.True(!n.log.contains("target_quarantined")) // peers reach the targets
			}
			is.True(!c.cut.log.contains("target_crashed"))
			c.ways.set(prepared.WayOpen)
			before := c.ways.accepted()
			eventually(t, 3*time.Second, "the host uses its own links again", func() bool {
				served, sent = c.load(c.cut, 200*time.Millisecond)
				return served == sent && c.ways.accepted() > before+1
			})
			is.Equal(len(c.runsTwice()), 0)
		})
	}
}

// When no host reaches the targets, callers are turned away at once with the word that nothing ran, and are served
// soon after the links are back.
func TestRequestsAreRejectedAtOnceWhileNoHostHasAWay(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	second := prepared.NewTarget("i-2")
	t.Cleanup(second.Close)
	cluster.store.Write(platform.TargetsCollection, second.ID, second.Entry("desk", "a"))
	var nodes []*testNode
	var ways []*hostWays
	for _, host := range []string{"h1", "h2"} {
		ways = append(ways, cluster.newHostWays())
		nodes = append(nodes, cluster.startNode(host))
	}
	for _, n := range nodes {
		eventually(t, 3*time.Second, "ready", n.ready)
		is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
	}
	for _, w := range ways {
		w.set(prepared.WaySilent)
	}
	for range 10 {
		nodes[0].get("/read/a", "key-1")
		nodes[1].get("/read/a", "key-1")
	}
	for _, n := range nodes {
		begun := time.Now()
		for range 5 {
			is.Equal(n.get("/read/a", "key-1"), http.StatusServiceUnavailable)
		}
		is.True(time.Since(begun) < time.Second) // an attempt to connect takes 400 ms
	}
	for _, w := range ways {
		w.set(prepared.WayOpen)
	}
	for _, n := range nodes {
		eventually(t, 2*time.Second, "served again", func() bool { return n.get("/read/a", "key-1") == http.StatusOK })
	}
}

// Connections that are reset, and new ones that are refused, are no crash of the target if other hosts reach it: the
// requests that were under way must not be rejected anywhere.
func TestResetLinksAreNoCrashOfTargets(t *testing.T) {
	is := is.New(t)
	c := newCutCluster(t)
	for _, s := range c.targets {
		s.Change(func(s *prepared.TargetSwitches) { s.Delay = 300 * time.Millisecond })
	}
	c.load(c.cut, 100*time.Millisecond)
	var loads sync.WaitGroup
	for range 3 { // three crashes of targets under a request would block it
		loads.Go(func() { c.load(c.cut, 100*time.Millisecond) })
		time.Sleep(200 * time.Millisecond)
		c.ways.set(prepared.WayReset)
		time.Sleep(600 * time.Millisecond)
		c.ways.set(prepared.WayOpen)
		time.Sleep(700 * time.Millisecond)
		loads.Wait()
	}
	is.True(c.cut.log.contains("links_lost"))
	for _, n := range append(c.healthy, c.cut) {
		is.True(!n.log.contains("target_crashed"))
		is.True(!n.log.contains("prompt_part_blocked"))
	}
}

// A host that stops finishes what it carries for others, and gets nothing new of them.
func TestHostThatStopsCutsNoTunnel(t *testing.T) {
	is := is.New(t)
	c := newCutCluster(t)
	for _, s := range c.targets {
		s.Change(func(s *prepared.TargetSwitches) { s.Delay = 100 * time.Millisecond })
	}
	c.ways.set(prepared.WayReset)
	c.load(c.cut, time.Second) // the host notices, and both others carry tunnels
	stopping := c.healthy[0]
	stopping.stop()
	served, sent := c.load(c.cut, 4*time.Second)
	is.Equal(served, sent)
	select {
	case <-stopping.ended:
	case <-time.After(6 * time.Second):
		t.Fatal("the host waits for tunnels that carry nothing")
	}
	is.Equal(len(c.runsTwice()), 0)
}
