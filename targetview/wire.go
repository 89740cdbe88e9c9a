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

// toWire converts the state of a target to its wire message.
func toWire(now time.Time, s *control.TargetState) *wire.TargetState {
	r := &s.Report
	w := &wire.TargetState{
		Id:            string(s.Target.ID),
		AgeMs:         ageMillis(now, r),
		Sequence:      r.Sequence,
		Running:       int32(r.Running),
		Waiting:       int32(r.Waiting),
		PrefillTokens: int32(r.PrefillTokens),
		KvPiecesUsed:  int32(r.KVPiecesUsed),
	}
	addStatic(w, s)
	return w
}

// ageMillis returns the age of a report in milliseconds, or 0 if there is no
// report.
func ageMillis(now time.Time, r *target.Report) int64 {
	if r.ReceivedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.ReceivedAt).Milliseconds())
}

// tagOf returns the hash of an id that identifies the target of a load.
func tagOf(id target.ID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// addLoad adds the load of a target to the changes.
func (c *ChangeSet) addLoad(now time.Time, s *control.TargetState) {
	if c.Loads == nil {
		c.Loads = &wire.Loads{}
	}
	r, l := &s.Report, c.Loads
	l.Tags = append(l.Tags, tagOf(s.Target.ID))
	l.BootTags = append(l.BootTags, bootTag(r.Boot))
	l.Sequences = append(l.Sequences, r.Sequence)
	l.AgesMs = append(l.AgesMs, uint32(min(ageMillis(now, r), math.MaxUint32)))
	l.Running = append(l.Running, int32(r.Running))
	l.Waiting = append(l.Waiting, int32(r.Waiting))
	l.PrefillTokens = append(l.PrefillTokens, int32(r.PrefillTokens))
	l.KvPiecesUsed = append(l.KvPiecesUsed, int32(r.KVPiecesUsed))
}

// bootTagMask selects the bits of a boot that are sent with a load.
const bootTagMask = 1<<14 - 1

// bootTag returns the low bits of a boot, by which a reader checks that a load
// belongs to the boot that it knows.
func bootTag(boot uint64) uint32 {
	return uint32(boot & bootTagMask)
}

// addStatic adds the fields that a load does not have.
func addStatic(w *wire.TargetState, s *control.TargetState) {
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

// Merge merges the state of a target received from a peer.
func (t *Table) Merge(now time.Time, source uint64, w *wire.TargetState) {
	e := t.findOrAdd(target.ID(w.Id))
	if e == nil {
		return
	}
	version := t.version
	if w.State != "" {
		t.mergeListed(now, source, targetFromWire(w), provider.HostState(w.State), leavesAtFromWire(w))
	}
	if w.CordonEpoch > 0 {
		t.mergeCordon(e, source, w.CordonEpoch, w.Cordoned)
	}
	r := reportFromWire(now, w)
	if w.Boot != 0 && newer(&r, &e.state.Report) {
		static := staticDiffers(&r, &e.state.Report)
		e.state.Report = r
		e.publishedAt = now
		t.markChanged(e, source, static)
	}
	if t.version != version && !matchesWire(e, w) {
		// A part of the peer's state is out of date, so Since must return the entry to it.
		e.source, e.staticSource = 0, 0
	}
}

// UrgentVersion returns the table version of the last urgent change. A change is
// urgent when a target that was known before becomes leaving or gone. Processes
// push urgent changes to their peers instead of waiting for the next request.
func (t *Table) UrgentVersion() uint64 {
	return t.urgentVersion
}

// Urgent returns the targets with an urgent change after a version, without those
// whose change came from the reader, and the version that the reader has then
// read up to.
func (t *Table) Urgent(now time.Time, version, reader uint64) ([]*wire.TargetState, uint64) {
	if t.urgentVersion <= version {
		return nil, t.urgentVersion
	}
	var states []*wire.TargetState
	for _, e := range t.entries {
		if e.urgentChanged > version && e.staticSource != reader {
			states = append(states, toWire(now, &e.state))
		}
	}
	return states, t.urgentVersion
}

// matchesWire tells whether the state that a peer sent equals the merged entry.
func matchesWire(e *entry, w *wire.TargetState) bool {
	s := &e.state
	if string(s.State) != w.State || s.CordonEpoch != w.CordonEpoch || s.Cordoned != w.Cordoned {
		return false
	}
	return s.Report.Boot == w.Boot && s.Report.Sequence == w.Sequence
}

// MergeLoads merges loads received from a peer. It returns false when the message
// is malformed or the tag of a load matches no target or several, so that the peer
// must send full states.
func (t *Table) MergeLoads(now time.Time, source uint64, l *wire.Loads) bool {
	n := len(l.GetTags())
	for _, length := range []int{len(l.GetBootTags()), len(l.GetSequences()), len(l.GetAgesMs()), len(l.GetRunning()),
		len(l.GetWaiting()), len(l.GetPrefillTokens()), len(l.GetKvPiecesUsed())} {
		if length != n {
			return false
		}
	}
	allKnown := true
	for i, tag := range l.GetTags() {
		if len(t.byTag[tag]) != 1 {
			allKnown = false
			continue
		}
		t.mergeLoad(now, source, t.byTag[tag][0], l, i)
	}
	return allKnown
}

// mergeLoad merges row i of loads. It ignores a load of another boot: the full
// report of the newer of the two boots is sent anyway, by the peer or to it.
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
	e.publishedAt = now
	t.markChanged(e, source, false)
}

// targetFromWire returns the description of the target in a full state message.
func targetFromWire(w *wire.TargetState) target.Target {
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

// leavesAtFromWire returns when the host of the target in a full state message will
// be gone (provider.Host.LeavesAt), or the zero time if that is not known.
func leavesAtFromWire(w *wire.TargetState) time.Time {
	if w.LeavesAtMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(w.LeavesAtMs)
}

// reportFromWire returns the report in a full state message.
func reportFromWire(now time.Time, w *wire.TargetState) target.Report {
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
