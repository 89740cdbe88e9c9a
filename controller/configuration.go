package controller

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"time"

	"zinniapin/configuration"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/store"
)

const (
	// watchers is the number of controllers of a region that watch the root.
	watchers = 2
	// watchKey divides the watching.
	watchKey = "watch/" + configuration.RootKey
	// watchTime bounds one wait; after it the root is read, which confirms the
	// configuration. One watch and one read each watchTime and watcher: with 3
	// regions and 2 watchers 6 waiting watches, 1.2 reads and 1.2 watches
	// begun a second, whatever the number of hosts.
	watchTime = 5 * time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// staleAfter is the age of the last confirmation after which more
	// controllers than the watchers read the store themselves: twice as many
	// each widenEvery, up to maxWatchers in a region. Others take their turn
	// each turnEvery, so that one that reaches the store is found; with 3
	// regions and the store down that makes some 16 reads a second, 24 at most,
	// each caller's one to two seconds apart: membership.EvidenceAge counts on it.
	staleAfter  = 7 * time.Second
	widenEvery  = time.Second
	maxWatchers = 8
	turnEvery   = 30 * time.Second
	// minRetry and maxRetry bound the wait after a failed call of the store.
	minRetry = 500 * time.Millisecond
	maxRetry = 2 * time.Second
)

// watchConfiguration reads the root once and watches it while this controller
// is among the watchers of its region.
func (k *Controller) watchConfiguration(ctx context.Context) error {
	retry := minRetry
	version := store.Absent
	for ctx.Err() == nil {
		if k.hasReadStore() && !k.watches(time.Now()) {
			k.pause(ctx, tickInterval)
			continue
		}
		read, err := k.readRoot(ctx)
		if err != nil {
			k.pause(ctx, retry/2+rand.N(retry/2))
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = minRetry
		version = max(version, read)
		k.awaitRoot(ctx, version)
	}
	return nil
}

// watches tells whether this controller is among those of its region that call
// the store for the configuration.
func (k *Controller) watches(now time.Time) bool {
	key, n := watchersFor(now.Sub(k.holder.Confirmed().At))
	return k.Owns(key, n, k.config.Self.Zone.Region) ||
		k.Owns(watchKey, watchers, k.config.Self.Zone.Region)
}

// watchersFor returns the key and the number of those that call the store when
// the last confirmation has this age.
func watchersFor(age time.Duration) (key string, n int) {
	if age < staleAfter {
		return watchKey, watchers
	}
	doublings := min(int((age-staleAfter)/widenEvery), bits.Len(maxWatchers))
	n = min(watchers<<doublings, maxWatchers)
	turn := int(age / turnEvery)
	if turn == 0 {
		return watchKey, n
	}
	return fmt.Sprint(watchKey, "/", turn), n
}

// hasReadStore tells whether the root was read since the start.
func (k *Controller) hasReadStore() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storeRead
}

// pause waits for d or the end of ctx.
func (k *Controller) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readRoot reads the accepted configuration and puts it in force if it is
// newer.
func (k *Controller) readRoot(ctx context.Context) (store.Version, error) {
	at := time.Now()
	timed := &timedStore{Store: k.config.Store}
	bundle, version, err := configuration.Load(ctx, timed, k.holder.Bundle())
	if errors.Is(err, store.ErrNotFound) && bundle == nil {
		k.storeState(true, at)
		k.holder.Confirm(0, at)
		return store.Absent, nil
	}
	k.storeState(err == nil || timed.answered, at)
	if err != nil {
		return store.Absent, err
	}
	snapshot, err := k.holder.Apply(bundle)
	if err != nil {
		event.ConfigurationFetchFailed.Log(k.config.Log).Err(err).Send()
		return store.Absent, err
	}
	k.holder.Confirm(bundle.Root.Revision, at)
	k.adopted(snapshot)
	return version, nil
}

// timedStore bounds each read of the root and the parts that are missing.
type timedStore struct {
	store.Store
	answered bool // a read succeeded
}

// Get implements store.Store.
func (t *timedStore) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := t.Store.Get(ctx, p, key)
	t.answered = t.answered || err == nil
	return object, err
}

// awaitRoot waits for news of the root, up to watchTime.
func (k *Controller) awaitRoot(ctx context.Context, version store.Version) {
	waiting, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	begun := time.Now()
	_, err := k.config.Store.Watch(waiting, store.PurposeConfiguration, configuration.RootKey, version)
	if err != nil && time.Since(begun) < minRetry {
		k.pause(ctx, minRetry)
	}
}

// storeState notes whether the store answered a call that was begun at a time.
func (k *Controller) storeState(up bool, begun time.Time) {
	k.mu.Lock()
	changed := k.storeUp != up
	k.storeUp = up
	if !up {
		k.storeFailed = begun
	}
	k.storeRead = k.storeRead || up
	k.mu.Unlock()
	if changed {
		event.StoreStateChanged.Log(k.config.Log).Bool("reachable", up).Send()
	}
}

// fetchTimeout bounds the fetch of a configuration that a peer's heartbeat told
// of.
const fetchTimeout = 10 * time.Second

// fetchNewer takes over the newer configuration of a peer that called.
func (k *Controller) fetchNewer(from link.Link) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	k.fetchFrom(ctx, from)
}

// fetchFrom takes a newer configuration over from a peer.
func (k *Controller) fetchFrom(ctx context.Context, peer link.Link) {
	snapshot, err := k.holder.Fetch(ctx, peer)
	if err != nil {
		event.ConfigurationFetchFailed.Log(k.config.Log).Str("peer", peer.Peer().ID()).Err(err).Send()
		return
	}
	k.adopted(snapshot)
}
