package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/membership"
	"zinniapin/usage"
)

// TestGrantorKeepsStateWhileOwningShard checks a grantor that rarely receives
// requests. It must keep its grants while it owns the shard, and start anew with a
// wait when another controller may have made grants in the meantime: after it lost
// and regained the shard, and after others suspected it.
func TestGrantorKeepsStateWhileOwningShard(t *testing.T) {
	is := is.New(t)
	const name = "svetki"
	limits, fleet := contract.Limits{RequestsPerSecond: 100}, grant.Fleet{Live: 40, Known: 40}
	now := time.Unix(1_000, 0)
	var o ownership
	o.owns[usage.ShardOf(name, usage.DefaultShards)] = true
	readOwnership := func() ownership { return o }
	g := newGrantor()
	g.prune(now, fleet, readOwnership)
	now = now.Add(time.Hour)
	allocator, created := g.allocatorFor(now, name, readOwnership)
	is.True(created)
	share, ok := allocator.Allocate(now, "a", limits, fleet, control.Demand{RequestsPerSecond: 30})
	is.True(ok) // it owned the shard all the time, so it does not wait
	is.Equal(share.Term, grant.LongTerm)

	now = now.Add(grant.LongTerm - time.Second)
	g.prune(now, fleet, readOwnership)
	again, created := g.allocatorFor(now, name, readOwnership)
	is.True(!created)
	is.Equal(again.Outstanding(now).RequestsPerSecond, share.RequestsPerSecond)

	o.owns = [usage.DefaultShards]bool{}
	now = now.Add(10 * time.Second)
	g.prune(now, fleet, readOwnership)
	o.owns[usage.ShardOf(name, usage.DefaultShards)] = true
	now = now.Add(2 * time.Second)
	allocator, created = g.allocatorFor(now, name, readOwnership)
	is.True(created) // another controller owned the shard for a while
	_, ok = allocator.Allocate(now, "a", limits, fleet, control.Demand{})
	is.True(!ok)

	o.refutations++
	now = now.Add(10 * time.Second)
	allocator, created = g.allocatorFor(now, name, readOwnership)
	is.True(created) // others suspected this controller and may have used another
	_, ok = allocator.Allocate(now, "a", limits, fleet, control.Demand{})
	is.True(!ok)
}

// TestGrantsOfLargeFleet runs a fleet that is large enough for grants with the long
// term. Every gateway has a small demand; then the grantor stops and one gateway
// demands more than the whole limit. Grants and guaranteed shares together must
// stay within the limit all the time.
func TestGrantsOfLargeFleet(t *testing.T) {
	const hosts = grant.LongTermMinGateways + 1
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts)
		c := &chaosRun{fleet: f}
		r := f.accept(0, 100)
		all := make([]int, hosts)
		for i := range all {
			all[i] = i
			f.demand(i, 0.9)
		}
		f.within(14*time.Second, "configured", func() bool { return f.inForce(r, all...) })
		f.within(time.Minute, "all members live everywhere", f.membershipComplete)
		time.Sleep(5 * time.Second) // until every gateway counts all gateways
		longTerms := func() (n int) {
			for _, g := range f.gateways {
				g.mu.Lock()
				if time.Until(g.grants["svetki"].Expires) > 2*grant.Term {
					n++
				}
				g.mu.Unlock()
			}
			return n
		}
		check := func() {
			t.Helper()
			if sum := c.inUse(); sum > 100.0001 {
				t.Fatalf("%.2f of 100 in use", sum)
			}
		}
		f.within(3*time.Minute, "long terms at most gateways", func() bool { check(); return longTerms() > hosts/2 })
		controllers := grantorsOf(f.running[1].Members())
		owner := membership.Owners(controllers, usage.ReportUnit(usage.ShardOf("svetki", usage.DefaultShards)), 1)[0]
		for i := range all {
			if hostOf(i) == owner.Process.Host {
				f.stops[i]()
			}
		}
		stoppedAt := time.Now()
		f.demand(3, 200)
		held := func() float64 {
			f.gateways[3].mu.Lock()
			defer f.gateways[3].mu.Unlock()
			if g := f.gateways[3].grants["svetki"]; time.Now().Before(g.Expires) {
				return g.RequestsPerSecond
			}
			return 0
		}
		f.within(time.Minute, "a grant by the new grantor", func() bool { check(); return held() > 10 })
		t.Logf("%.1f of 100 a second %.1f s after the loss of the grantor", held(), time.Since(stoppedAt).Seconds())
		f.within(3*time.Minute, "more than half of the limit", func() bool { check(); return held() > 50 })
		t.Logf("%.1f of 100 a second after %.1f s", held(), time.Since(stoppedAt).Seconds())
	})
}

// demand sets the demand of a gateway, in requests a second.
func (f *fleet) demand(gateway int, rate float64) {
	g := f.gateways[gateway]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demands = []control.Demand{{Organisation: "svetki", RequestsPerSecond: rate, Concurrency: 1}}
}
