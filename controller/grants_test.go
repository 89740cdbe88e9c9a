package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
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
	share, ok := state.Ask(now, "a", limits, fleet, control.Demand{RequestsPerSecond: 30})
	is.True(ok) // it was the grantor all along
	is.Equal(share.Term, grant.LongTerm)

	now = now.Add(grant.LongTerm - time.Second)
	g.prune(now, look)
	again, fresh := g.organisation(now, name, look)
	is.True(!fresh)
	is.Equal(again.Held(now).RequestsPerSecond, share.RequestsPerSecond)

	o.owns = [usage.DefaultShards]bool{}
	now = now.Add(10 * time.Second)
	g.prune(now, look)
	o.owns[usage.ShardOf(name, usage.DefaultShards)] = true
	now = now.Add(2 * time.Second)
	state, fresh = g.organisation(now, name, look)
	is.True(fresh) // another had the shard
	_, ok = state.Ask(now, "a", limits, fleet, control.Demand{})
	is.True(!ok)

	o.refuted++
	now = now.Add(10 * time.Second)
	state, fresh = g.organisation(now, name, look)
	is.True(fresh) // others took this controller for dead
	_, ok = state.Ask(now, "a", limits, fleet, control.Demand{})
	is.True(!ok)
}
