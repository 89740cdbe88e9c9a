package targetview

import (
	"time"

	"zinniapin/control"
	"zinniapin/platform"
	"zinniapin/target"
	"zinniapin/wire"
	"zinniapin/zone"
)

// toWire returns the message of a state. A compact one holds only the load,
// for a reader that knows the rest.
func toWire(now time.Time, s *control.TargetState, compact bool) *wire.TargetState {
	r := &s.Report
	w := &wire.TargetState{
		Id:            string(s.Target.ID),
		Sequence:      r.Sequence,
		Running:       int32(r.Running),
		Waiting:       int32(r.Waiting),
		PrefillTokens: int32(r.PrefillTokens),
		KvPiecesUsed:  int32(r.KVPiecesUsed),
	}
	if !r.Taken.IsZero() {
		w.AgeMs = max(0, now.Sub(r.Taken).Milliseconds())
	}
	if compact {
		w.BootTag = bootTag(r.Boot)
		return w
	}
	describe(w, s)
	return w
}

// bootTagMask selects the bits of a boot that go with the load.
const bootTagMask = 1<<14 - 1

// bootTag returns the low bits of a boot, which tell whether a load belongs to
// the boot that the reader knows.
func bootTag(boot uint64) uint32 {
	return uint32(boot & bootTagMask)
}

// describe adds what a compact message leaves out.
func describe(w *wire.TargetState, s *control.TargetState) {
	r := &s.Report
	w.Kind = string(s.Target.Kind)
	w.Class = string(s.Target.Class)
	w.Pool = s.Target.Pool
	w.Zone = string(s.Target.Zone)
	w.Address = s.Target.Address
	w.ChecksFence = s.Target.ChecksFence
	w.State = string(s.State)
	if !s.LeavesAt.IsZero() {
		w.LeavesAtMs = s.LeavesAt.UnixMilli()
	}
	w.Cordoned = s.Cordoned
	w.CordonEpoch = s.CordonEpoch
	w.Boot = r.Boot
	w.Role = string(r.Role)
	w.Changing = r.Changing
	w.Fence = r.Fence
	w.LastOrder = r.LastOrder
	w.Models = r.Models
	w.KvPiecesTotal = int32(r.KVPiecesTotal)
	w.PrefillRate = r.PrefillRate
	w.DecodeRate = r.DecodeRate
	w.Capacity = int32(r.Capacity)
}

// isCompact tells whether a message holds only the load.
func isCompact(w *wire.TargetState) bool {
	return w.State == "" && w.Kind == "" && w.CordonEpoch == 0
}

// Merge takes in a state that a peer told of. It returns false when the
// message is compact and the target is not known as the peer knows it, so that
// the peer must tell it in full.
func (t *Table) Merge(now time.Time, source uint64, w *wire.TargetState) bool {
	if isCompact(w) {
		return t.mergeLoad(now, source, w)
	}
	e := t.add(target.ID(w.Id))
	if e == nil {
		return true
	}
	version := t.version
	if w.State != "" {
		t.list(now, source, describedBy(w), platform.HostState(w.State), leavesAt(w))
	}
	if w.CordonEpoch > 0 {
		t.cordon(e, source, w.CordonEpoch, w.Cordoned)
	}
	r := reportOf(now, w)
	if w.Boot != 0 && newer(&r, &e.state.Report) {
		e.state.Report = r
		e.published = now
		t.touch(e, source, true)
	}
	if t.version != version && !agrees(e, w) {
		e.source, e.origin = 0, 0 // the peer lacks a part of what is known here
	}
	return true
}

// agrees tells whether a peer knows all that is known here.
func agrees(e *entry, w *wire.TargetState) bool {
	s := &e.state
	if string(s.State) != w.State || s.CordonEpoch != w.CordonEpoch || s.Cordoned != w.Cordoned {
		return false
	}
	return s.Report.Boot == w.Boot && s.Report.Sequence == w.Sequence
}

// mergeLoad takes in a compact message. One of another boot is left aside: the
// newer of the two boots is on its way in full, one way or the other.
func (t *Table) mergeLoad(now time.Time, source uint64, w *wire.TargetState) bool {
	e, ok := t.entries[target.ID(w.Id)]
	if !ok {
		return false
	}
	r := e.state.Report
	if bootTag(r.Boot) != w.BootTag || w.Sequence <= r.Sequence {
		return true
	}
	r.Sequence = w.Sequence
	r.Taken = now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
	r.Running = int(w.Running)
	r.Waiting = int(w.Waiting)
	r.PrefillTokens = int(w.PrefillTokens)
	r.KVPiecesUsed = int(w.KvPiecesUsed)
	e.state.Report = r
	e.published = now
	t.touch(e, source, false)
	return true
}

// describedBy returns the target of a full message.
func describedBy(w *wire.TargetState) target.Target {
	return target.Target{
		ID:          target.ID(w.Id),
		Kind:        target.Kind(w.Kind),
		Class:       target.Class(w.Class),
		Pool:        w.Pool,
		Zone:        zone.Name(w.Zone),
		Address:     w.Address,
		ChecksFence: w.ChecksFence,
	}
}

// leavesAt returns when the target of a full message goes.
func leavesAt(w *wire.TargetState) time.Time {
	if w.LeavesAtMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(w.LeavesAtMs)
}

// reportOf returns the report of a full message.
func reportOf(now time.Time, w *wire.TargetState) target.Report {
	return target.Report{
		Target:        target.ID(w.Id),
		Boot:          w.Boot,
		Sequence:      w.Sequence,
		Taken:         now.Add(-time.Duration(w.AgeMs) * time.Millisecond),
		Role:          target.Role(w.Role),
		Changing:      w.Changing,
		Fence:         w.Fence,
		LastOrder:     w.LastOrder,
		Models:        w.Models,
		Running:       int(w.Running),
		Waiting:       int(w.Waiting),
		PrefillTokens: int(w.PrefillTokens),
		KVPiecesUsed:  int(w.KvPiecesUsed),
		KVPiecesTotal: int(w.KvPiecesTotal),
		PrefillRate:   w.PrefillRate,
		DecodeRate:    w.DecodeRate,
		Capacity:      int(w.Capacity),
	}
}
