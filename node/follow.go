package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/peers"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/store"
	"zinniapin/target"
)

// follower follows one collection.
type follower struct {
	name    string
	reach   *reach
	list    func(store.Listing, bool)
	changed func(store.Changes)
}

const (
	// watchWait bounds a watch: a connection that fell silent is noticed after
	// it. Shorter waits cost calls.
	watchWait = 2 * time.Second
	// retryLeast and retryMost bound the wait after a failed call.
	retryLeast = 80 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// outageTime is how long calls must fail before entries may have lapsed for
	// that reason; targets write theirs about once a second.
	outageTime = time.Second
)

// follow keeps what is known of a collection up to date.
func (n *Node) follow(ctx context.Context, f follower) {
	listed, wait := false, retryLeast
	var revision uint64
	for ctx.Err() == nil {
		if f.reach.takeDoubt() {
			listed = false
		}
		if !n.watches() {
			f.reach.standby()
			listed = false
			time.Sleep(standbyPause)
			continue
		}
		n.pace(f, listed)
		call, end := f.reach.begin(ctx)
		next, err := n.followOnce(call, f, listed, revision)
		interrupted := call.Err() != nil
		end()
		if err == nil {
			listed, revision, wait = true, next, retryLeast
			continue
		}
		listed = false
		if errors.Is(err, store.ErrCompacted) || interrupted {
			continue
		}
		if ctx.Err() == nil && f.reach.failed(time.Now()) {
			event.StoreLost.Log(n.log).Str("collection", f.name).Uint64("revision", revision).Err(err).Send()
		}
		time.Sleep(wait/2 + time.Duration(rand.Int64N(int64(wait))))
		wait = min(2*wait, retryMost)
	}
}

const (
	// zoneWatchers is the number of hosts of each availability zone that watch
	// the store in a large fleet; the others hear from them.
	zoneWatchers = 2
	// standbyPause is the pace at which the others look whether they must.
	standbyPause = 300 * time.Millisecond
	// batchPause is the least time between two watches in a large fleet, so that
	// one answer carries several changes.
	batchPause = 300 * time.Millisecond
)

// watches tells whether this host follows the store itself: all do in a small
// fleet, and those first in order of each zone in a large one. Whoever knows
// nothing yet, or does not reach the store, goes on trying.
func (n *Node) watches() bool {
	live := n.live()
	if peers.SmallFleet(len(live)) || n.table.Load() == nil || !n.targetsLink.ok() || !n.configurationLink.ok() {
		return true
	}
	if n.behindFor() > aloneTime {
		return true // peers that know more do not answer
	}
	before := 0
	self := dispatch.KeyOf(target.ID(n.settings.Host))
	for _, p := range live {
		d := p.Digest
		if d.Zone == string(n.settings.Zone) && d.StoreReachable && !d.Leaving && dispatch.KeyOf(target.ID(d.Host)) < self {
			before++
		}
	}
	return before < zoneWatchers
}

// pace waits before a watch in a large fleet.
func (n *Node) pace(f follower, listed bool) {
	if !listed || peers.SmallFleet(len(n.live())) {
		return
	}
	wait := batchPause - time.Since(f.reach.lastCall())
	if wait > 0 {
		time.Sleep(wait)
	}
}

// followOnce lists the collection or waits for its changes.
func (n *Node) followOnce(ctx context.Context, f follower, listed bool, revision uint64) (uint64, error) {
	if listed {
		changes, err := n.platform.Objects.Watch(ctx, f.name, revision, watchWait)
		if err != nil {
			return 0, err
		}
		f.reach.succeeded(time.Now())
		f.changed(changes)
		return max(changes.Revision, revision), nil
	}
	listing, err := n.platform.Objects.List(ctx, f.name)
	if err != nil {
		return 0, err
	}
	ended := f.reach.succeeded(time.Now())
	if ended.lasted > 0 {
		event.StoreBack.Log(n.log).Str("collection", f.name).Uint64("revision", listing.Revision).Float64("seconds", ended.lasted.Seconds()).Bool("own", ended.own).Send()
	}
	f.list(listing, ended.lapsing())
	return listing.Revision, nil
}

// configurationFollower follows the configuration.
func (n *Node) configurationFollower() follower {
	take := func(m store.Member) {
		if m.Name != n.platform.ConfigurationName {
			return
		}
		c, err := n.platform.DecodeConfiguration(m)
		if err != nil {
			event.ConfigurationBad.Log(n.log).Uint64("revision", m.Revision).Err(err).Send()
			return
		}
		n.takeConfiguration(c, "store")
	}
	return follower{
		name: n.platform.ConfigurationsCollection, reach: &n.configurationLink,
		list: func(l store.Listing, _ bool) {
			for _, m := range l.Members {
				take(m)
			}
		},
		changed: func(c store.Changes) {
			for _, change := range c.Changes {
				if !change.Deleted {
					take(change.Member)
				}
			}
		},
	}
}

// takeConfiguration puts a configuration in force unless it is not newer.
func (n *Node) takeConfiguration(c *route.Configuration, from string) {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	held := n.table.Load()
	if held != nil && c.Version <= held.Version() {
		return
	}
	t, err := route.NewTable(c)
	if err != nil {
		event.ConfigurationBad.Log(n.log).Uint64("configuration", c.Version).Str("from", from).Err(err).Send()
		return
	}
	n.handler.PlannerMu.Lock()
	n.handler.Planner.SetServices(c.Services)
	n.handler.PlannerMu.Unlock()
	n.raw.Store(c)
	n.table.Store(t)
	event.ConfigurationTaken.Log(n.log).Uint64("configuration", c.Version).Str("from", from).Int("routes", len(c.Routes)).Send()
}

// targetsFollower follows the list of targets.
func (n *Node) targetsFollower() follower {
	return follower{
		name: n.platform.TargetsCollection, reach: &n.targetsLink,
		list: func(l store.Listing, afterOutage bool) {
			var entries []roster.Entry
			for _, m := range l.Members {
				t, err := n.platform.DecodeTarget(m)
				if err != nil {
					event.EntryBad.Log(n.log).Str("entry", m.Name).Uint64("revision", m.Revision).Err(err).Send()
					continue
				}
				entries = append(entries, roster.Entry{Target: t, Revision: m.Revision})
			}
			n.takeTargets(entries, l.Revision, afterOutage)
		},
		changed: func(c store.Changes) {
			n.rosterMu.Lock()
			before := n.roster.Version()
			for _, change := range c.Changes {
				n.takeChange(change)
			}
			n.roster.AdvanceRevision(c.Revision)
			changed := n.roster.Version() != before
			n.rosterMu.Unlock()
			if changed {
				n.publishTargets()
			}
		},
	}
}

// takeChange applies one change of an entry. The caller holds rosterMu.
func (n *Node) takeChange(change store.Change) {
	t, err := n.platform.DecodeTarget(change.Member)
	if err != nil && !change.Deleted {
		event.EntryBad.Log(n.log).Str("entry", change.Member.Name).Uint64("revision", change.Member.Revision).Err(err).Send()
	}
	if err != nil {
		t.ID = targetID(change.Member.Name)
	}
	n.roster.ApplyChange(roster.Entry{Target: t, Revision: change.Member.Revision}, change.Deleted || err != nil)
}

// takeTargets applies a whole list.
func (n *Node) takeTargets(entries []roster.Entry, revision uint64, afterOutage bool) {
	n.rosterMu.Lock()
	before, known := n.roster.Version(), n.roster.HasSynced()
	n.roster.ApplyList(time.Now(), entries, revision, afterOutage)
	changed := n.roster.Version() != before || !known
	if !known {
		n.listed = time.Now()
	}
	n.rosterMu.Unlock()
	if changed {
		n.publishTargets()
	}
}

// listedFor tells whether the list of targets has been known for a time.
func (n *Node) listedFor(d time.Duration) bool {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	return !n.listed.IsZero() && time.Since(n.listed) >= d
}
