package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"zinniapin/quota"
	"zinniapin/store"
)

const (
	// limitsCollection and fleetName locate the fleetRecord in the store.
	limitsCollection = "zinnia-limits"
	fleetName        = "fleet"
	// maxRecordedHosts is the largest number of hosts in a record that counts.
	maxRecordedHosts = 10_000
	// fleetFallInterval is the shortest time between a write and one of a lower number of hosts.
	fleetFallInterval = 30 * time.Second
	// minFleetRetryDelay and maxFleetRetryDelay bound the backoff of the writer after failed calls.
	minFleetRetryDelay = time.Second
	maxFleetRetryDelay = 30 * time.Second
)

// fleetRecord is the value of the member fleetName: the number of hosts, so that hosts that start need not wait until
// they know it.
type fleetRecord struct {
	Hosts int `json:"hosts"`
}

// decodeFleetRecord returns the number of hosts of a record, 0 if it holds none that counts.
func decodeFleetRecord(m store.Member) int {
	var record fleetRecord
	if m.Err != nil || json.Unmarshal(m.Value, &record) != nil || record.Hosts < 1 || record.Hosts > maxRecordedHosts {
		return 0
	}
	return record.Hosts
}

// fleetSource is the part of organisationLimits that tells and takes the number of hosts.
type fleetSource interface {
	active() bool
	fleetSize() (hosts int, settled bool)
	setFleetHint(hosts int)
}

// readFleetHint reads the recorded number of hosts once, when the first limits come into force and unless this host
// is settled by then. It retries with jittered backoff while the store does not answer, until this host is settled.
func (n *Node) readFleetHint(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.sharedLimits.limited:
	}
	for delay := minRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
		if _, settled := n.sharedLimits.fleetSize(); settled {
			return
		}
		member, err := n.platform.Objects.Get(ctx, limitsCollection, fleetName)
		if err == nil {
			n.observeEra(member.Revision, "store")
			n.sharedLimits.setFleetHint(decodeFleetRecord(member))
			return
		}
		if errors.Is(err, store.ErrNotFound) {
			return
		}
		time.Sleep(delay/2 + time.Duration(rand.Int64N(int64(delay)))) // followCollection logs store outages
	}
}

// fleetWriter keeps the recorded number of hosts while this process holds the duties. dutyRunner.runMu guards it.
type fleetWriter struct {
	objects store.Collections
	limits  fleetSource
	era     func() uint64
	started time.Time
	// known tells whether the record is known: hosts is its number, 0 if it holds none that counts, and revision its
	// revision, without a number within its era if it is missing.
	known    bool
	hosts    int
	revision uint64
	// wroteAt is when the record was last written or read, retryAt when calls are made again after a failed one.
	wroteAt, retryAt time.Time
	delay            time.Duration
}

// forget makes the next keep read the record: another host may have written it.
func (w *fleetWriter) forget() { w.known = false }

// keep writes the record if the number of hosts differs from it. Only a host that knows that number writes; a fall is
// written fleetFallInterval after the last write at the earliest.
func (w *fleetWriter) keep(ctx context.Context, now time.Time) {
	if !w.limits.active() || now.Before(w.retryAt) {
		return
	}
	hosts, settled := w.limits.fleetSize()
	if !settled {
		return
	}
	hosts = min(hosts, maxRecordedHosts)
	if w.known && store.EraOf(w.revision) < w.era() {
		w.known = false // the store may have lost the record
	}
	var err error
	switch {
	case !w.known:
		err = w.read(ctx, now)
	case hosts > w.hosts || hosts < w.hosts && now.Sub(w.wroteAt) >= fleetFallInterval:
		err = w.write(ctx, now, hosts)
	default:
		return
	}
	if err == nil {
		return
	}
	w.known = false // a lost answer or a conflict: the record may hold another number
	w.delay = min(max(2*w.delay, minFleetRetryDelay), maxFleetRetryDelay)
	w.retryAt = now.Add(w.delay/2 + rand.N(w.delay/2))
}

// read reads the record. A process that has not run for quota.HintTime may have forgotten hosts that the process before
// it remembered, so it takes the number as a lower bound rather than writing a lower one.
func (w *fleetWriter) read(ctx context.Context, now time.Time) error {
	era := w.era()
	member, err := w.objects.Get(ctx, limitsCollection, fleetName)
	switch {
	case errors.Is(err, store.ErrNotFound):
		w.hosts, w.revision = 0, store.RevisionIn(era, 0)
	case err != nil:
		return err
	default:
		w.hosts, w.revision = decodeFleetRecord(member), member.Revision
	}
	w.known, w.wroteAt = true, now
	if now.Sub(w.started) < quota.HintTime {
		w.limits.setFleetHint(w.hosts)
	}
	return nil
}

// write writes the number of hosts by a conditional update.
func (w *fleetWriter) write(ctx context.Context, now time.Time, hosts int) error {
	value, err := json.Marshal(fleetRecord{hosts})
	if err != nil {
		return err
	}
	var member store.Member
	if store.WithinEra(w.revision) == 0 {
		member, err = w.objects.Create(ctx, limitsCollection, fleetName, value)
	} else {
		member, err = w.objects.Replace(ctx, limitsCollection, fleetName, w.revision, value)
	}
	if err != nil {
		return err
	}
	// Only a write ends the backoff: a store that answers reads may refuse all writes.
	w.hosts, w.revision, w.wroteAt, w.delay = hosts, member.Revision, now, 0
	return nil
}
