package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"zinniapin/duty"
	"zinniapin/event"
	"zinniapin/store"
)

// readRecord reads the record. A missing one has a revision without a number within its era; one that
// another writer spoiled is empty and outdated.
func (r *dutyRunner) readRecord(ctx context.Context) (duty.Record, uint64, error) {
	member, err := r.node.platform.Objects.Get(ctx, dutiesCollection, dutiesName)
	if errors.Is(err, store.ErrNotFound) {
		return duty.Record{}, store.RevisionIn(r.node.era.current(), 0), nil
	}
	if err != nil {
		return duty.Record{}, 0, err // followCollection logs store outages
	}
	r.node.observeEra(member.Revision, "store")
	record, err := duty.Decode(member.Value, member.Revision)
	if member.Err != nil {
		err = member.Err
	}
	if err != nil {
		event.DutiesFailed.Log(r.node.log).Uint64("revision", member.Revision).Err(err).Send()
	}
	return record, member.Revision, nil
}

// claim writes this process into the record, with the next fence.
func (r *dutyRunner) claim(ctx context.Context, record duty.Record, revision uint64) bool {
	_, knownFence := r.newestHolder()
	next := record.Claim(r.node.settings.Host, r.node.self.Incarnation, revision, knownFence, r.window())
	if !r.writeRecord(ctx, next, revision) {
		return false
	}
	r.hold.Acquire(time.Now())
	return true
}

// window returns the usage window that is open.
func (r *dutyRunner) window() uint64 {
	at := r.node.clock.Now()
	r.node.ledgerMu.Lock()
	defer r.node.ledgerMu.Unlock()
	return uint64(r.node.ledger.WindowAt(at))
}

// writeRecord writes the record by a conditional update on its revision, without a number within its
// era for a new record, and returns whether it was written. When the answer is lost, it
// reads the record back to find out. A record that the store took in a later era than that of its fence
// does not count.
func (r *dutyRunner) writeRecord(ctx context.Context, record duty.Record, revision uint64) bool {
	value, err := json.Marshal(record)
	if err != nil {
		event.DutiesFailed.Log(r.node.log).Err(err).Send()
		return false
	}
	var member store.Member
	begun := time.Now()
	if store.WithinEra(revision) == 0 {
		member, err = r.node.platform.Objects.Create(ctx, dutiesCollection, dutiesName, value)
	} else {
		member, err = r.node.platform.Objects.Replace(ctx, dutiesCollection, dutiesName, revision, value)
	}
	if errors.Is(err, store.ErrUnknown) {
		member, err = r.readBack(ctx, record)
	}
	if err == nil && record.Outdated(member.Revision) {
		err = errEraOver
	}
	if err != nil {
		r.node.observeEra(member.Revision, "store")
		event.DutiesFailed.Log(r.node.log).Uint64("fence", record.Fence).Err(err).Send()
		return false
	}
	r.record, r.revision = record, member.Revision
	r.hold.Confirm(begun)
	r.observeHolder(record.Holder, record.Fence)
	return true
}

// errEraOver means that the store came back from an older copy before it took the record.
var errEraOver = errors.New("the store came back from an older copy")

// readBack returns the stored record if it is the one that was written, in every field, and
// store.ErrConflict otherwise.
func (r *dutyRunner) readBack(ctx context.Context, written duty.Record) (store.Member, error) {
	member, err := r.node.platform.Objects.Get(ctx, dutiesCollection, dutiesName)
	if err == nil && !written.StoredAs(member.Value) {
		err = store.ErrConflict
	}
	return member, err
}

// confirmHolding reads the record and returns whether it still names this
// process. The time is that before the call.
func (r *dutyRunner) confirmHolding(ctx context.Context, now time.Time) bool {
	found, revision, err := r.readRecord(ctx)
	if err != nil {
		return false
	}
	if found.Outdated(revision) {
		return r.renew(ctx, now, revision)
	}
	if !r.isOwn(found) {
		r.observeHolder(found.Holder, found.Fence)
		r.stopHolding(now, "the record names another holder")
		return false
	}
	r.record, r.revision = found, revision
	r.hold.Confirm(now)
	r.setConfirmed()
	return true
}

// isOwn tells whether a stored record names this process as the holder, with the fence that it acquired last.
func (r *dutyRunner) isOwn(found duty.Record) bool {
	return found.Holder == r.node.settings.Host && found.Incarnation == r.record.Incarnation && found.Fence == r.record.Fence
}

// setConfirmed notes that the record was read as requested.
func (r *dutyRunner) setConfirmed() {
	r.mu.Lock()
	r.mustConfirm = false
	r.mu.Unlock()
}

// renew claims the duties again after the store came back from an older copy, or another writer spoiled the
// record, so that it lost this process's hold, or that of a later holder: only the store's latest record decides among those who believe to
// hold them. The counts of windows that this process has frozen are written again.
func (r *dutyRunner) renew(ctx context.Context, now time.Time, revision uint64) bool {
	former, record := r.record.Fence, r.record
	if !record.Outdated(revision) { // the stored one was spoiled, which may have been a later holder's
		record.DueFrom = max(record.DueFrom, r.window())
	}
	if !r.claim(ctx, record, revision) {
		r.stopHolding(now, "the record was lost and could not be written again")
		return false
	}
	r.setConfirmed()
	event.DutiesRenewed.Log(r.node.log).Uint64("former_fence", former).Uint64("fence", r.record.Fence).Uint64("due_from", r.record.DueFrom).Send()
	return r.node.currentSettings().Bounds.FencesChecked // elsewhere calls wait, see Hold
}
