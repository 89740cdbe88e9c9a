package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/peers"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/store"
	"zinniapin/target"
)

// reach tells whether a part of the store is reached.
type reach struct {
	mu       sync.Mutex
	failing  time.Time // since when calls fail; zero when the last one did not
	doubtful bool      // the next watch must be a list
	reached  bool      // ever
	called   time.Time // when a call was answered last
	// interrupt ends the call under way.
	interrupt context.CancelFunc
}

// begin returns the context of a call that doubt ends.
func (r *reach) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.interrupt = cancel
	r.mu.Unlock()
	return ctx, cancel
}

// lastCall returns when a call was answered last.
func (r *reach) lastCall() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.called
}

// failed notes a failed call and returns whether it is the first in a row.
func (r *reach) failed(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing.IsZero() {
		return false
	}
	r.failing = now
	return true
}

// succeeded notes a call that was answered and returns for how long calls
// failed before.
func (r *reach) succeeded(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached, r.called = true, now
	if r.failing.IsZero() {
		return 0
	}
	lasted := now.Sub(r.failing)
	r.failing = time.Time{}
	return lasted
}

// doubt asks for a list: what is known may be old, and the call under way may
// be on a connection that has fallen silent.
func (r *reach) doubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtful = true
	if r.interrupt != nil {
		r.interrupt()
	}
}

// takeDoubt returns whether a list was asked for.
func (r *reach) takeDoubt() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.doubtful
	r.doubtful = false
	return d
}

// ok tells whether the last call was answered.
func (r *reach) ok() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reached && r.failing.IsZero()
}

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
			f.reach.succeeded(time.Now()) // of what is not called nothing is known
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
	if peers.Small(len(live)) || n.table.Load() == nil || !n.targetsLink.ok() || !n.configurationLink.ok() {
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
	if !listed || peers.Small(len(n.live())) {
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
	failed := f.reach.succeeded(time.Now())
	if failed > 0 {
		event.StoreBack.Log(n.log).Str("collection", f.name).Uint64("revision", listing.Revision).Float64("seconds", failed.Seconds()).Send()
	}
	f.list(listing, failed > outageTime && !n.peersReach())
	return listing.Revision, nil
}

// peersReach tells whether a peer reaches the store: then an outage was this
// host's own, and no entry has lapsed for it.
func (n *Node) peersReach() bool {
	for _, p := range n.mesh.Live(time.Now()) {
		if p.Digest.StoreReachable {
			return true
		}
	}
	return false
}

// configurationFollower follows the configuration.
func (n *Node) configurationFollower() follower {
	take := func(m store.Member) {
		if m.Name != n.platform.Configuration {
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
		name: n.platform.Configurations, reach: &n.configurationLink,
		list: func(l store.Listing, _ bool) {
			for _, m := range l.Members {
				take(m)
			}
		},
		changed: func(c store.Changes) {
			for _, change := range c.Changes {
				if !change.Ended {
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
	n.handler.Planning.Lock()
	n.handler.Planner.SetServices(c.Services)
	n.handler.Planning.Unlock()
	n.raw.Store(c)
	n.table.Store(t)
	event.ConfigurationTaken.Log(n.log).Uint64("configuration", c.Version).Str("from", from).Int("routes", len(c.Routes)).Send()
}

// targetsFollower follows the list of targets.
func (n *Node) targetsFollower() follower {
	return follower{
		name: n.platform.Targets, reach: &n.targetsLink,
		list: func(l store.Listing, afterOutage bool) {
			var entries []roster.Entry
			for _, m := range l.Members {
				t, err := n.platform.Target(m)
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
			n.roster.Advance(c.Revision)
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
	t, err := n.platform.Target(change.Member)
	if err != nil && !change.Ended {
		event.EntryBad.Log(n.log).Str("entry", change.Member.Name).Uint64("revision", change.Member.Revision).Err(err).Send()
	}
	if err != nil {
		t.ID = targetID(change.Member.Name)
	}
	n.roster.Change(roster.Entry{Target: t, Revision: change.Member.Revision}, change.Ended || err != nil)
}

// takeTargets applies a whole list.
func (n *Node) takeTargets(entries []roster.Entry, revision uint64, afterOutage bool) {
	n.rosterMu.Lock()
	before, known := n.roster.Version(), n.roster.Known()
	n.roster.List(time.Now(), entries, revision, afterOutage)
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
