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

// mostInSpan returns the most times that lie within any span of a length.
func mostInSpan(times []time.Time, span time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i, first := range times {
		n := 0
		for n < len(times)-i && times[i+n].Sub(first) < span {
			n++
		}
		most = max(most, n)
	}
	return most
}

// One of four targets names a limit while all hosts send requests to it. From contactTime later on it gets
// no more from all of them together than one and a half times what it allows in 4 s, and 5 requests.
func TestTargetGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	const span = 4 * time.Second
	for name, c := range map[string]struct {
		hosts     int
		perSecond float64
		engines   bool
	}{
		"plain, four hosts":    {4, 1.4, false},
		"engines, four hosts":  {4, 1.4, true},
		"plain, sixteen hosts": {16, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			service, path, header := "desk", "/read/a", http.Header{}
			if c.engines {
				service, path, header = "model", "/draft/a", http.Header{"X-Token-Count": {"100,20"}}
			}
			var all []*prepared.Target
			for i := range 4 {
				s := prepared.NewTarget(fmt.Sprint("t-", i))
				t.Cleanup(s.Close)
				if c.engines {
					s.Stage = "decode"
				}
				cluster.store.Write(platform.TargetsCollection, s.ID, s.Entry(service, "a"))
				all = append(all, s)
			}
			var nodes []*testNode
			for i := range c.hosts {
				nodes = append(nodes, cluster.startNodeIn(fmt.Sprint("h", i), []zone.Name{"a", "b"}[i%2]))
			}
			for _, n := range nodes {
				eventually(t, 5*time.Second, "ready", n.ready)
			}
			time.Sleep(2 * time.Second) // until the hosts know of each other
			all[0].SetHeader(fmt.Sprintf("Server-Limit: %v\r\n", c.perSecond))
			named := time.Now()
			var pending sync.WaitGroup
			served := make(chan bool, 2000)
			for time.Since(named) < contactTime+2*span {
				n := nodes[rand.IntN(len(nodes))]
				pending.Go(func() { served <- n.send("r", path, "key-1", header.Clone()) == http.StatusOK })
				time.Sleep(20 * time.Millisecond)
			}
			pending.Wait()
			var arrivals []time.Time
			for _, a := range all[0].Arrivals() {
				if a.At.Sub(named) > contactTime {
					arrivals = append(arrivals, a.At)
				}
			}
			allowed := 1.5*c.perSecond*span.Seconds() + 5
			if most := mostInSpan(arrivals, span); float64(most) > allowed {
				t.Errorf("%d requests in %v with a limit of %v a second, %v allowed", most, span, c.perSecond, allowed)
			}
			if len(arrivals) == 0 {
				t.Error("a target with a limit gets no request any more")
			}
			ok := 0
			for range len(served) {
				if <-served {
					ok++
				}
			}
			t.Logf("%d served, %d arrivals at the target with a limit", ok, len(arrivals))
		})
	}
}
