package targetview

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapin/control"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/wire"
	"zinniapin/zone"
)

// toWire returns the message of a state.
func toWire(now time.Time, s *control.TargetState) *wire.TargetState {
	r := &s.Report
	w := &wire.TargetState{
		Id:            string(s.Target.ID),
		AgeMs:         age(now, r),
		Sequence:      r.Sequence,
		Running:       int32(r.Running),
		Waiting:       int32(r.Waiting),
		PrefillTokens: int32(r.PrefillTokens),
		KvPiecesUsed:  int32(r.KVPiecesUsed),
	}
	describe(w, s)
	return w
}

// age returns the age of a report in milliseconds, 0 if there is none.
func age(now time.Time, r *target.Report) int64 {
	if r.ReceivedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.ReceivedAt).Milliseconds())
}

// tagOf returns the hash of an id by which a load names its target.
func tagOf(id target.ID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// addLoad adds the load of a target to news.
func (n *ChangeSet) addLoad(now time.Time, s *control.TargetState) {
	if n.Loads == nil {
		n.Loads = &wire.Loads{}
	}
	r, l := &s.Report, n.Loads
	l.Tags = append(l.Tags, tagOf(s.Target.ID))
	l.BootTags = append(l.BootTags, bootTag(r.Boot))
	l.Sequences = append(l.Sequences, r.Sequence)
	l.AgesMs = append(l.AgesMs, uint32(min(age(now, r), math.MaxUint32)))
	l.Running = append(l.Running, int32(r.Running))
	l.Waiting = append(l.Waiting, int32(r.Waiting))
	l.PrefillTokens = append(l.PrefillTokens, int32(r.PrefillTokens))
	l.KvPiecesUsed = append(l.KvPiecesUsed, int32(r.KVPiecesUsed))
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

// Merge takes in a state that a peer told of.
func (t *Table) Merge(now time.Time, source uint64, w *wire.TargetState) {
	e := t.add(target.ID(w.Id))
	if e == nil {
		return
	}
	version := t.version
	if w.State != "" {
		t.list(now, source, describedBy(w), provider.HostState(w.State), leavesAt(w))
	}
	if w.CordonEpoch > 0 {
		t.cordon(e, source, w.CordonEpoch, w.Cordoned)
	}
	r := reportOf(now, w)
	if w.Boot != 0 && newer(&r, &e.state.Report) {
		static := differs(&r, &e.state.Report)
		e.state.Report = r
		e.published = now
		t.touch(e, source, static)
	}
	if t.version != version && !agrees(e, w) {
		e.source, e.origin = 0, 0 // the peer lacks a part of what is known here
	}
}

// UrgentVersion returns the version of the last urgent change: a known target
// that is leaving or gone. Such news is pushed on and does not wait to be asked
// for.
func (t *Table) UrgentVersion() uint64 {
	return t.urgent
}

// Urgent returns the targets with an urgent change after a version, but for
// those that the reader told of, and the version that they reach.
func (t *Table) Urgent(now time.Time, version, reader uint64) ([]*wire.TargetState, uint64) {
	if t.urgent <= version {
		return nil, t.urgent
	}
	var states []*wire.TargetState
	for _, e := range t.entries {
		if e.urgent > version && e.origin != reader {
			states = append(states, toWire(now, &e.state))
		}
	}
	return states, t.urgent
}

// agrees tells whether a peer knows all that is known here.
func agrees(e *entry, w *wire.TargetState) bool {
	s := &e.state
	if string(s.State) != w.State || s.CordonEpoch != w.CordonEpoch || s.Cordoned != w.Cordoned {
		return false
	}
	return s.Report.Boot == w.Boot && s.Report.Sequence == w.Sequence
}

// MergeLoads takes in the loads that a peer told of. It returns false when one
// is of a target that is not known, so that the peer must tell all in full.
func (t *Table) MergeLoads(now time.Time, source uint64, l *wire.Loads) bool {
	n := len(l.GetTags())
	for _, length := range []int{len(l.GetBootTags()), len(l.GetSequences()), len(l.GetAgesMs()), len(l.GetRunning()),
		len(l.GetWaiting()), len(l.GetPrefillTokens()), len(l.GetKvPiecesUsed())} {
		if length != n {
			return false
		}
	}
	understood := true
	for i, tag := range l.GetTags() {
		if len(t.tags[tag]) != 1 {
			understood = false
			continue
		}
		t.mergeLoad(now, source, t.tags[tag][0], l, i)
	}
	return understood
}

// mergeLoad takes in row i of loads. One of another boot is left aside: the
// newer of the two boots is on its way in full, one way or the other.
func (t *Table) mergeLoad(now time.Time, source uint64, e *entry, l *wire.Loads, i int) {
	r := e.state.Report
	if bootTag(r.Boot) != l.BootTags[i] || l.Sequences[i] <= r.Sequence {
		return
	}
	r.Sequence = l.Sequences[i]
	r.ReceivedAt = now.Add(-time.Duration(l.AgesMs[i]) * time.Millisecond)
	r.Running = int(l.Running[i])
	r.Waiting = int(l.Waiting[i])
	r.PrefillTokens = int(l.PrefillTokens[i])
	r.KVPiecesUsed = int(l.KvPiecesUsed[i])
	e.state.Report = r
	e.published = now
	t.touch(e, source, false)
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
		ReceivedAt:    now.Add(-time.Duration(w.AgeMs) * time.Millisecond),
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
