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

// TestGrantorKeepsItsStateWhileItsShard covers a grantor that is asked seldom:
// what it granted counts as long as the shard is its own, and it waits once
// another may have granted.
func TestGrantorKeepsItsStateWhileItsShard(t *testing.T) {
	is := is.New(t)
	const name = "svetki"
	limits, fleet := contract.Limits{RequestsPerSecond: 100}, grant.Fleet{Live: 40, Known: 40}
	now := time.Unix(1_000, 0)
	var o ownership
	o.owns[usage.ShardOf(name, usage.DefaultShards)] = true
	look := func() ownership { return o }
	g := newGrantor()
	g.prune(now, look)
	now = now.Add(time.Hour)
	state, fresh := g.organisation(now, name, look)
	is.True(fresh)
	share, ok := state.Allocate(now, "a", limits, fleet, control.Demand{RequestsPerSecond: 30})
	is.True(ok) // it was the grantor all along
	is.Equal(share.Term, grant.LongTerm)

	now = now.Add(grant.LongTerm - time.Second)
	g.prune(now, look)
	again, fresh := g.organisation(now, name, look)
	is.True(!fresh)
	is.Equal(again.Outstanding(now).RequestsPerSecond, share.RequestsPerSecond)

	o.owns = [usage.DefaultShards]bool{}
	now = now.Add(10 * time.Second)
	g.prune(now, look)
	o.owns[usage.ShardOf(name, usage.DefaultShards)] = true
	now = now.Add(2 * time.Second)
	state, fresh = g.organisation(now, name, look)
	is.True(fresh) // another had the shard
	_, ok = state.Allocate(now, "a", limits, fleet, control.Demand{})
	is.True(!ok)

	o.refuted++
	now = now.Add(10 * time.Second)
	state, fresh = g.organisation(now, name, look)
	is.True(fresh) // others took this controller for dead
	_, ok = state.Allocate(now, "a", limits, fleet, control.Demand{})
	is.True(!ok)
}

// TestGrantsOfLargeFleet runs a fleet in which grants have the long term: light
// demands at every gateway, the loss of the grantor and a demand for the whole
// at one gateway. The sum stays within the contract all along.
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
		f.within(14*time.Second, "configured", func() bool { return f.everywhere(r, all...) })
		f.within(time.Minute, "all see all", f.allSeeAll)
		time.Sleep(5 * time.Second) // gateways count all
		long := func() (n int) {
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
		f.within(3*time.Minute, "long terms", func() bool { check(); return long() > hosts/2 })
		controllers := grantorsOf(f.running[1].Members())
		owner := membership.Owners(controllers, usage.ReportUnit(usage.ShardOf("svetki", usage.DefaultShards)), 1)[0]
		for i := range all {
			if hostOf(i) == owner.Process.Host {
				f.stops[i]()
			}
		}
		began := time.Now()
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
		t.Logf("%.1f of 100 a second %.1f s after the loss of the grantor", held(), time.Since(began).Seconds())
		f.within(3*time.Minute, "the greater part", func() bool { check(); return held() > 50 })
		t.Logf("%.1f of 100 a second after %.1f s", held(), time.Since(began).Seconds())
	})
}

// demand sets what a gateway wants, in requests a second.
func (f *fleet) demand(gateway int, rate float64) {
	g := f.gateways[gateway]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demands = []control.Demand{{Organisation: "svetki", RequestsPerSecond: rate, Concurrency: 1}}
}
