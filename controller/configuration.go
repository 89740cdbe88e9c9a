package controller

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"zinniapin/configuration"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/store"
)

const (
	// watchers is the number of controllers of a region that watch the root of
	// the configuration in the store.
	watchers = 2
	// watchKey is the rendezvous key by which the watchers are selected.
	watchKey = "watch/" + configuration.RootKey
	// watchTimeout bounds one watch call. After it the watcher reads the root,
	// which confirms the configuration. Each watcher makes one watch and one read
	// per watchTimeout: 3 regions with 2 watchers each keep 6 watches open and
	// begin 1.2 reads and 1.2 watches a second, whatever the number of hosts.
	watchTimeout = 5 * time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// staleAfter is the age of the last confirmation after which more
	// controllers than the watchers read the store themselves: twice as many
	// after each widenInterval, up to maxWatchers in a region. Every
	// rotateInterval other controllers are selected, so that one that can reach
	// the store is found. With 3 regions and the store down this makes some 16
	// reads a second, 24 at most, and each caller reads every one to two seconds;
	// membership.StoreFailureTTL depends on that interval.
	staleAfter     = 7 * time.Second
	widenInterval  = time.Second
	maxWatchers    = 8
	rotateInterval = 30 * time.Second
	// minRetry and maxRetry bound the backoff after a failed call of the store.
	minRetry = 500 * time.Millisecond
	maxRetry = 2 * time.Second
)

// watchConfiguration reads the root of the configuration once, and watches it
// while this controller is among the watchers of its region.
func (k *Controller) watchConfiguration(ctx context.Context) error {
	retry := minRetry
	version := store.Absent
	for ctx.Err() == nil {
		if k.hasReadStore() && !k.isWatcher(time.Now()) {
			k.sleep(ctx, tickInterval)
			continue
		}
		read, err := k.readRoot(ctx)
		if err != nil {
			k.sleep(ctx, retry/2+rand.N(retry/2))
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = minRetry
		version = max(version, read)
		k.waitForRootChange(ctx, version)
	}
	return nil
}

// isWatcher reports whether this controller is among those of its region that
// call the store for the configuration.
func (k *Controller) isWatcher(now time.Time) bool {
	key, n := watchersFor(now.Sub(k.replica.Confirmed().At))
	return k.Owns(key, n, k.config.Self.Zone.Region) ||
		k.Owns(watchKey, watchers, k.config.Self.Zone.Region)
}

// watchersFor returns the rendezvous key and the number of the controllers of a
// region that call the store when the last confirmation has the given age.
func watchersFor(age time.Duration) (key string, n int) {
	if age < staleAfter {
		return watchKey, watchers
	}
	doublings := min(int((age-staleAfter)/widenInterval), bits.Len(maxWatchers))
	n = min(watchers<<doublings, maxWatchers)
	rotation := int(age / rotateInterval)
	if rotation == 0 {
		return watchKey, n
	}
	return fmt.Sprint(watchKey, "/", rotation), n
}

// hasReadStore reports whether this process has read the root since its start.
func (k *Controller) hasReadStore() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storeRead
}

// sleep waits for d or until ctx ends.
func (k *Controller) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readRoot reads the accepted configuration from the store and applies it if it
// is newer. It returns the store's version of the root.
func (k *Controller) readRoot(ctx context.Context) (store.Version, error) {
	at := time.Now()
	bounded := &timeoutStore{Store: k.config.Store}
	bundle, version, err := configuration.Load(ctx, bounded, k.replica.Bundle())
	if errors.Is(err, store.ErrNotFound) && bundle == nil {
		k.recordStoreState(true, at)
		k.replica.Confirm(0, at)
		return store.Absent, nil
	}
	k.recordStoreState(err == nil || bounded.answered.Load(), at)
	if err != nil {
		return store.Absent, err
	}
	snapshot, err := k.replica.Apply(bundle)
	if err != nil {
		event.ConfigurationFetchFailed.Log(k.config.Log).Err(err).Send()
		return store.Absent, err
	}
	k.replica.Confirm(bundle.Root.Revision, at)
	k.announceRevision(snapshot)
	return version, nil
}

// timeoutStore is a store whose reads, of the root and of the parts that this
// process lacks, each end after storeTimeout.
type timeoutStore struct {
	store.Store
	answered atomic.Bool // at least one read succeeded; reads run beside each other
}

// Get implements store.Store.
func (t *timeoutStore) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := t.Store.Get(ctx, p, key)
	if err == nil {
		t.answered.Store(true)
	}
	return object, err
}

// waitForRootChange waits until the root differs from version, for watchTimeout
// at most.
func (k *Controller) waitForRootChange(ctx context.Context, version store.Version) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	beganAt := time.Now()
	_, err := k.config.Store.Watch(watchCtx, store.PurposeConfiguration, configuration.RootKey, version)
	if err != nil && time.Since(beganAt) < minRetry {
		k.sleep(ctx, minRetry)
	}
}

// recordStoreState records whether the store answered a call that began at the
// given time, and logs each change.
func (k *Controller) recordStoreState(up bool, beganAt time.Time) {
	k.mu.Lock()
	changed := k.storeUp != up
	k.storeUp = up
	if !up {
		k.storeFailedAt = beganAt
	}
	k.storeRead = k.storeRead || up
	k.mu.Unlock()
	if changed {
		event.StoreStateChanged.Log(k.config.Log).Bool("reachable", up).Send()
	}
}

// fetchTimeout bounds the fetch of a newer configuration that a peer announced
// in a heartbeat.
const fetchTimeout = 10 * time.Second

// fetchNewer fetches the newer configuration that a peer announced in its
// request.
func (k *Controller) fetchNewer(from link.Link) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	k.fetchFrom(ctx, from)
}

// fetchFrom fetches and applies a newer configuration from a peer.
func (k *Controller) fetchFrom(ctx context.Context, peer link.Link) {
	snapshot, err := k.replica.Fetch(ctx, peer)
	if err != nil {
		event.ConfigurationFetchFailed.Log(k.config.Log).Str("peer", peer.Peer().ID()).Err(err).Send()
		return
	}
	k.announceRevision(snapshot)
}
