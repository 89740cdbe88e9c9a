package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"zinniapin/affinity"
	"zinniapin/event"
	"zinniapin/roster"
	"zinniapin/store"
)

// Collections of the store that hold what must outlast all hosts.
const (
	// historiesCollection has an affinity.StoredHistory a service, by its name.
	historiesCollection = "zinnia-versions"
	// recordsCollection has an affinity.StoredRecords a host, by its name.
	recordsCollection = "zinnia-streams"
)

const (
	// confirmTimeout bounds the calls that confirm a history, searchTimeout the one that searches the records in
	// the store, and awayTimeout the wait for either while the store does not answer.
	confirmTimeout = 500 * time.Millisecond
	searchTimeout  = time.Second
	awayTimeout    = 150 * time.Millisecond
	// historySpread is the time over which the hosts of a small fleet spread their look at the histories after a
	// change, most of which need no write then; historySpreadLarge is that in a large one.
	historySpread      = 100 * time.Millisecond
	historySpreadLarge = time.Second
	// maxWriteDelay is the longest time between two attempts to write a history, or records.
	maxWriteDelay = 2 * time.Second
	// minRecordInterval is the time between two writes of a host's records, to which each other host adds
	// recordIntervalPerHost up to maxRecordInterval, so that all hosts together stay well below the store's rate.
	minRecordInterval     = 150 * time.Millisecond
	recordIntervalPerHost = 12 * time.Millisecond
	maxRecordInterval     = 1500 * time.Millisecond
	// searchInterval is the time between two searches of the records in the store in a small fleet,
	// searchIntervalLarge that in a large one. What hosts write meanwhile their peers know as well.
	searchInterval      = 200 * time.Millisecond
	searchIntervalLarge = time.Second
)

// confirmHistory returns what the history of a service tells, confirmed with the store after the call. If the
// store does not answer, the error is set and the finding is what this host knows.
func (s *streamVersions) confirmHistory(ctx context.Context, service string, age time.Duration) (string, affinity.Finding, error) {
	find := func() (string, affinity.Finding) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.find(s.node.clock.Now(), service, age)
	}
	version, finding := find()
	if finding == affinity.Several {
		return version, finding, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout(confirmTimeout))
	defer cancel()
	err := s.confirm.join(ctx)
	version, finding = find()
	return version, finding, err
}

// readVersions reads the histories from the store, and in a small fleet the present targets: a host of a build that does not
// announce versions may have begun streams at one that no history names yet.
func (s *streamVersions) readVersions() error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if _, err := s.readHistories(ctx); err != nil || s.node.largeFleet() {
		return err
	}
	listing, err := s.node.platform.Objects.List(ctx, s.node.platform.TargetsCollection)
	if err != nil {
		return err
	}
	var targets []roster.Target
	for _, m := range listing.Members {
		if t, err := s.node.platform.DecodeTarget(m); err == nil { // else the follower of the targets logs it
			targets = append(targets, t)
		}
	}
	s.mu.Lock()
	s.versions.Note(s.node.clock.Now(), targets)
	s.mu.Unlock()
	return nil
}

// heldHistory is a history in the store.
type heldHistory struct {
	stored   affinity.StoredHistory
	revision uint64 // 0 if the store holds none
}

// readHistories takes in the histories in the store and returns them by service.
func (s *streamVersions) readHistories(ctx context.Context) (map[string]heldHistory, error) {
	histories, err := s.node.platform.Objects.List(ctx, historiesCollection)
	if err != nil {
		return nil, err
	}
	held := make(map[string]heldHistory)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.clock.Now()
	for _, m := range histories.Members {
		h := heldHistory{revision: m.Revision}
		if json.Unmarshal(m.Value, &h.stored) != nil {
			h.stored = affinity.StoredHistory{} // of another writer; it is replaced
		}
		held[m.Name] = h
		s.versions.Merge(now, m.Name, h.stored)
		s.noteAnnounced(m.Name, h.stored)
	}
	return held, nil
}

// keepHistories writes the histories of versions when they change.
func (s *streamVersions) keepHistories(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		time.Sleep(rand.N(s.historySpread()))
		for delay := minRetryDelay; ctx.Err() == nil && s.announce.join(ctx) != nil; delay = min(2*delay, maxWriteDelay) {
			time.Sleep(delay/2 + rand.N(delay))
		}
	}
}

// historySpread returns the time over which hosts spread their look at the histories after a change.
func (s *streamVersions) historySpread() time.Duration {
	if s.node.largeFleet() {
		return historySpreadLarge
	}
	return historySpread
}

// errListIsOlder means that a history names a version as listed that this host's list lacks, but may be newer than the list.
var errListIsOlder = errors.New("the list of targets is older than a history")

// syncHistories takes in the histories in the store and writes those that differ from what this host knows. It
// returns an error unless all agree.
func (s *streamVersions) syncHistories() error {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	held, err := s.readHistories(ctx)
	if err != nil {
		return err
	}
	all, revision := s.listedVersions()
	for service, listed := range all {
		h := held[service]
		if h.revision > revision {
			for version, at := range h.stored.Versions {
				if at.Open() && !listed[version] {
					listed[version] = true
					err = errListIsOlder
				}
			}
		}
		s.mu.Lock()
		next, differs := s.versions.Export(s.node.clock.Now(), service, h.stored, listed)
		s.mu.Unlock()
		if differs {
			err = errors.Join(err, s.writeHistory(ctx, service, next, h.revision))
		}
	}
	return err
}

// listedVersions returns the versions in this host's list of targets by service, and its revision.
func (s *streamVersions) listedVersions() (map[string]map[string]bool, uint64) {
	n := s.node
	n.rosterMu.Lock()
	targets, revision := n.roster.Targets(), n.roster.Revision()
	n.rosterMu.Unlock()
	all := make(map[string]map[string]bool)
	for i := range targets {
		t := &targets[i]
		if all[t.Service] == nil {
			all[t.Service] = make(map[string]bool)
		}
		all[t.Service][t.Version] = true
	}
	return all, revision
}

// writeHistory writes the history of a service over the revision held.
func (s *streamVersions) writeHistory(ctx context.Context, service string, next affinity.StoredHistory, revision uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	objects := s.node.platform.Objects
	if revision == 0 {
		_, err = objects.Create(ctx, historiesCollection, service, value)
	} else {
		_, err = objects.Replace(ctx, historiesCollection, service, revision, value)
	}
	if err == nil {
		s.mu.Lock()
		s.noteAnnounced(service, next)
		s.mu.Unlock()
	}
	return err
}

// noteAnnounced notes which versions the store shows as listed. The caller holds mu.
func (s *streamVersions) noteAnnounced(service string, stored affinity.StoredHistory) {
	all := make(map[string]bool, len(stored.Versions))
	for version, at := range stored.Versions {
		all[version] = at.Open()
	}
	s.announced[service] = all
}

// recordInterval is the time between two writes of this host's records.
func (s *streamVersions) recordInterval() time.Duration {
	return min(minRecordInterval+recordIntervalPerHost*time.Duration(s.node.mesh.LiveMembers(time.Now())), maxRecordInterval)
}

// keepRecords writes the records of streams for which there is no other evidence, and removes them when
// they have expired.
func (s *streamVersions) keepRecords(ctx context.Context) {
	w := recordWriter{s: s}
	for delay := time.Duration(0); ctx.Err() == nil; {
		time.Sleep(max(delay, s.recordInterval()))
		err := w.write(ctx)
		switch {
		case err == nil:
			delay = 0
		case delay == 0 && ctx.Err() == nil:
			event.StreamsNotStored.Log(s.node.log).Err(err).Send()
			delay = minRetryDelay
		default:
			delay = min(2*delay, maxWriteDelay)
		}
	}
}

// recordWriter writes this host's records to the store.
type recordWriter struct {
	s        *streamVersions
	revision uint64 // of what the store holds; 0 if unknown
}

// write writes the records if there are new ones, and deletes them once all have expired.
func (w *recordWriter) write(ctx context.Context) error {
	s := w.s
	s.mu.Lock()
	now := s.node.clock.Now()
	oldest := now.Add(-s.longestWindow())
	s.unfinished.Expire(now, oldest)
	unwritten, over := s.unfinished.HasUnwritten(), s.unfinished.AddedBefore(oldest)
	s.mu.Unlock()
	switch {
	case unwritten:
		return w.replace(ctx)
	case over && w.revision != 0:
		err := s.node.platform.Objects.Delete(ctx, recordsCollection, s.node.settings.Host, w.revision)
		w.revision = 0
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		return err
	}
	return nil
}

// replace writes the records over what the store holds. What an earlier process of the host wrote is kept.
func (w *recordWriter) replace(ctx context.Context) error {
	s, objects, host := w.s, w.s.node.platform.Objects, w.s.node.settings.Host
	create := false
	if w.revision == 0 {
		held, err := objects.Get(ctx, recordsCollection, host)
		switch {
		case errors.Is(err, store.ErrNotFound):
			create = true
		case err != nil:
			return err
		default:
			w.revision = held.Revision
			if earlier, err := affinity.DecodeStoredRecords(held.Value); err == nil { // else of another writer
				s.mu.Lock()
				s.unfinished.Merge(earlier)
				s.mu.Unlock()
			}
		}
	}
	s.mu.Lock()
	records, unwritten := s.unfinished.Value()
	s.mu.Unlock()
	value, err := json.Marshal(records)
	if err != nil {
		return err
	}
	var held store.Member
	if create {
		held, err = objects.Create(ctx, recordsCollection, host, value)
	} else {
		held, err = objects.Replace(ctx, recordsCollection, host, w.revision, value)
	}
	if err != nil {
		w.revision = 0
		return err
	}
	w.revision = held.Revision
	s.mu.Lock()
	s.unfinished.Written(unwritten)
	s.mu.Unlock()
	return nil
}

// longestWindow returns the longest time for which a record is needed. The caller holds mu.
func (s *streamVersions) longestWindow() time.Duration {
	longest := clockMargin
	for _, w := range s.windows {
		longest = max(longest, w)
	}
	return longest
}

// searchRecords takes in the records that the store holds, unless that was done a moment ago.
func (s *streamVersions) searchRecords(ctx context.Context) error {
	interval := searchInterval
	if s.node.largeFleet() {
		interval = searchIntervalLarge
	}
	s.mu.Lock()
	recent := time.Since(s.searchedAt) < interval
	s.mu.Unlock()
	if recent {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout(searchTimeout))
	defer cancel()
	return s.search.join(ctx)
}

// storeTimeout returns how long to wait for the store, given the usual bound.
func (s *streamVersions) storeTimeout(usual time.Duration) time.Duration {
	if s.node.targetsStore.reachable() {
		return usual
	}
	return awayTimeout
}

// readRecords reads the records in the store.
func (s *streamVersions) readRecords() error {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	objects, begun := s.node.platform.Objects, time.Now()
	listing, err := objects.List(ctx, recordsCollection)
	if err != nil {
		return err
	}
	now := s.node.clock.Now()
	s.mu.Lock()
	s.searchedAt = begun
	s.mu.Unlock()
	for _, m := range listing.Members {
		records, err := affinity.DecodeStoredRecords(m.Value)
		if err != nil {
			continue // of another writer
		}
		if s.node.isHolder() && now.Sub(records.Newest()) > leftRecordsTTL {
			_ = objects.Delete(ctx, recordsCollection, m.Name, m.Revision) // a later search does it if this fails
			continue
		}
		s.mu.Lock()
		records.All(func(stream uint64, r affinity.Record) { s.found.Put(now, stream, r) })
		s.mu.Unlock()
	}
	return nil
}

// leftRecordsTTL is how long the records of a host that is gone stay in the store.
const leftRecordsTTL = 10 * time.Minute

// behindPeers tells whether a peer has announced a later change of the targets than this host knows.
func (n *Node) behindPeers() bool {
	n.rosterMu.Lock()
	revision := n.roster.Revision()
	n.rosterMu.Unlock()
	n.gossip.mu.Lock()
	defer n.gossip.mu.Unlock()
	return n.gossip.newestTargets > revision
}
