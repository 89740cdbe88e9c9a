package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"zinniapin/event"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/store"
)

// collectionFollower describes how to follow one collection of the store.
type collectionFollower struct {
	name   string
	health *storeHealth
	// onList receives a complete listing, and whether it is the first after an
	// outage in which entries may have lapsed.
	onList func(store.Listing, bool)
	// onChanges receives the changes of one watch.
	onChanges func(store.Changes)
}

const (
	// watchTimeout bounds one watch, so a dead connection is noticed after this
	// time. A shorter timeout would cost more calls to the store. In a large fleet
	// other hosts watch as well, so that a dead connection delays nothing.
	watchTimeout           = 2 * time.Second
	largeFleetWatchTimeout = 4 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls.
	minRetryDelay = 80 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minLapseOutage is the shortest outage that can make entries of live
	// targets lapse; targets renew their entries about once a second.
	minLapseOutage = time.Second
)

// followCollection keeps this host's copy of a collection up to date: it lists
// the collection, watches it for changes, and lists it again after each error.
// While other hosts watch the store for this one, it makes no calls.
func (n *Node) followCollection(ctx context.Context, f collectionFollower) {
	listed, delay := false, minRetryDelay
	var revision uint64
	for ctx.Err() == nil {
		if f.health.takeRelistRequest() {
			listed = false
		}
		if !n.shouldWatchStore() {
			f.health.recordStandby()
			listed = false
			time.Sleep(standbyPollInterval)
			continue
		}
		n.delayWatch(f, listed)
		callCtx, endCall := f.health.beginCall(ctx)
		next, err := n.listOrWatch(callCtx, f, listed, revision)
		interrupted := callCtx.Err() != nil
		endCall()
		if err == nil {
			listed, revision, delay = true, next, minRetryDelay
			continue
		}
		listed = false
		if errors.Is(err, store.ErrCompacted) || interrupted {
			continue
		}
		if ctx.Err() == nil && f.health.recordFailure(time.Now()) {
			event.StoreLost.Log(n.log).Str("collection", f.name).Uint64("revision", revision).Err(err).Send()
		}
		time.Sleep(delay/2 + time.Duration(rand.Int64N(int64(delay))))
		delay = min(2*delay, maxRetryDelay)
	}
}

const (
	// standbyPollInterval is how often a host that does not watch the store
	// checks whether it has to.
	standbyPollInterval = 300 * time.Millisecond
	// minWatchInterval is the least time between two watches, so that one answer
	// carries several changes.
	minWatchInterval = 300 * time.Millisecond
	// discoveryTime is how long after its start a host waits for digests before it
	// watches the store: until then it cannot tell whether others do so for it.
	discoveryTime = 1500 * time.Millisecond
)

// minWatchers is the least number of hosts that watch the store in a large fleet. They
// are spread over the availability zones, so that an outage of the store for some hosts
// leaves others that watch.
const minWatchers = 6

// shouldWatchStore reports whether this host watches the store itself. In a small
// fleet all hosts do. In a large one some relays do, and hosts that hear no relay, that
// have had no list yet, whose last call to the store failed, or that have lagged behind
// their peers for longer than storeFallbackDelay.
func (n *Node) shouldWatchStore() bool {
	if !n.targetsStore.reachable() || !n.configurationStore.reachable() {
		return true
	}
	if !n.largeFleet() {
		return n.alone() || time.Since(n.started) >= discoveryTime
	}
	if n.behindFor() > storeFallbackDelay {
		return true // peers with newer data did not answer the snapshot requests
	}
	now := time.Now()
	if !n.mesh.Relays(now) {
		return !n.mesh.HearsRelay(now) && time.Since(n.started) >= discoveryTime
	}
	perZone := (minWatchers + n.mesh.ZoneCount(now) - 1) / n.mesh.ZoneCount(now)
	return n.precedingRelays() < perZone
}

// precedingRelays returns the number of relays of this zone that reach the store and come
// before this host in the order of addresses.
func (n *Node) precedingRelays() int {
	preceding := 0
	for _, p := range n.livePeers() {
		d := p.Digest
		if d.Relays && d.Zone == string(n.settings.Zone) && d.StoreReachable && !d.Leaving && d.Address < n.settings.Mesh {
			preceding++
		}
	}
	return preceding
}

// alone reports whether this host knows of no other.
func (n *Node) alone() bool { return n.mesh.KnownHostCount() == 0 }

// delayWatch keeps minWatchInterval between two watches.
func (n *Node) delayWatch(f collectionFollower, listed bool) {
	if !listed {
		return
	}
	wait := minWatchInterval - time.Since(f.health.lastAnswer())
	if wait > 0 {
		time.Sleep(wait)
	}
}

// listOrWatch makes one call: a list if the collection was not listed yet, and
// otherwise a watch for changes after the revision. It returns the new revision.
func (n *Node) listOrWatch(ctx context.Context, f collectionFollower, listed bool, revision uint64) (uint64, error) {
	if listed {
		timeout := watchTimeout
		if n.largeFleet() {
			timeout = largeFleetWatchTimeout
		}
		changes, err := n.platform.Objects.Watch(ctx, f.name, revision, timeout)
		if err != nil {
			return 0, err
		}
		f.health.recordSuccess(time.Now())
		n.observeEra(changes.Revision, "store")
		f.onChanges(changes)
		return max(changes.Revision, revision), nil
	}
	listing, err := n.platform.Objects.List(ctx, f.name)
	if err != nil {
		return 0, err
	}
	outage := f.health.recordSuccess(time.Now())
	n.observeEra(listing.Revision, "store")
	if outage.duration > 0 {
		event.StoreBack.Log(n.log).Str("collection", f.name).Uint64("revision", listing.Revision).Float64("seconds", outage.duration.Seconds()).Bool("own", outage.local).Send()
	}
	f.onList(listing, outage.mayHaveLapsedEntries())
	return listing.Revision, nil
}

// configurationFollower returns the follower of the configuration's collection.
func (n *Node) configurationFollower() collectionFollower {
	apply := func(m store.Member) {
		if m.Name != n.platform.ConfigurationName {
			return
		}
		c, err := n.platform.DecodeConfiguration(m)
		if err != nil {
			event.ConfigurationBad.Log(n.log).Uint64("revision", m.Revision).Err(err).Send()
			return
		}
		n.applyConfiguration(c, "store")
	}
	return collectionFollower{
		name: n.platform.ConfigurationsCollection, health: &n.configurationStore,
		onList: func(l store.Listing, _ bool) {
			for _, m := range l.Members {
				apply(m)
			}
		},
		onChanges: func(c store.Changes) {
			for _, change := range c.Changes {
				if !change.Deleted {
					apply(change.Member)
				}
			}
		},
	}
}

// applyConfiguration puts a configuration in force if it is valid and newer than
// the current one. The source, "store" or a peer's host, is logged.
func (n *Node) applyConfiguration(c *route.Configuration, from string) {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	current := n.table.Load()
	if current != nil && c.Version <= current.Version() {
		return
	}
	table, err := route.NewTable(c)
	if err != nil {
		event.ConfigurationBad.Log(n.log).Uint64("configuration", c.Version).Str("from", from).Err(err).Send()
		return
	}
	n.handler.PlannerMu.Lock()
	n.handler.Planner.SetServices(c.Services)
	n.handler.PlannerMu.Unlock()
	n.sharedLimits.setLimits(limitsOf(c))
	n.rawConfiguration.Store(c)
	n.table.Store(table)
	event.ConfigurationTaken.Log(n.log).Uint64("configuration", c.Version).Str("from", from).Int("routes", len(c.Routes)).Send()
}

// targetsFollower returns the follower of the targets' collection.
func (n *Node) targetsFollower() collectionFollower {
	return collectionFollower{
		name: n.platform.TargetsCollection, health: &n.targetsStore,
		onList: func(l store.Listing, afterOutage bool) {
			var entries []roster.Entry
			for _, m := range l.Members {
				if t, ok := n.decodeEntry(m); ok {
					entries = append(entries, roster.Entry{Target: t, Revision: m.Revision})
				}
			}
			n.applyTargetList(entries, l.Revision, afterOutage)
		},
		onChanges: func(c store.Changes) {
			n.rosterMu.Lock()
			before := n.roster.Version()
			for _, change := range c.Changes {
				n.applyTargetChange(change)
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

// applyTargetChange applies one change of an entry to the roster. An entry that
// cannot be decoded removes its target. The caller holds rosterMu.
func (n *Node) applyTargetChange(change store.Change) {
	e := roster.Entry{Target: roster.Target{ID: targetID(change.Member.Name)}, Revision: change.Member.Revision}
	usable := false
	if !change.Deleted {
		if t, ok := n.decodeEntry(change.Member); ok {
			e.Target, usable = t, true
		}
	}
	n.roster.ApplyChange(time.Now(), e, !usable)
}

// applyTargetList applies a complete list of targets to the roster and passes
// the result to the planner if it differs.
func (n *Node) applyTargetList(entries []roster.Entry, revision uint64, afterOutage bool) {
	n.rosterMu.Lock()
	before, synced := n.roster.Version(), n.roster.HasSynced()
	n.roster.ApplyList(time.Now(), entries, revision, afterOutage)
	changed := n.roster.Version() != before || !synced
	if !synced {
		n.targetsListedAt = time.Now()
	}
	n.rosterMu.Unlock()
	if changed {
		n.publishTargets()
	}
}

// targetsKnownFor reports whether the first list of targets was applied at
// least the given time ago.
func (n *Node) targetsKnownFor(d time.Duration) bool {
	n.rosterMu.Lock()
	defer n.rosterMu.Unlock()
	return !n.targetsListedAt.IsZero() && time.Since(n.targetsListedAt) >= d
}
