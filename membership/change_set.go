package membership

import (
	"sort"
	"time"

	"zinniapin/wire"
)

// Sizes in bytes, rounded up, of one process in a heartbeat: as a beat or as a
// full record.
const (
	beatBytes   = 8
	recordBytes = 110
)

// tagOf returns the low bits of an incarnation, which identify the process of a
// beat.
func tagOf(incarnation uint64) uint32 {
	return uint32(incarnation)
}

// add adds an entry to the table and its tag to the index.
func (t *Table) add(e *entry) {
	incarnation := e.Process.Incarnation
	t.entries[incarnation] = e
	t.stateVersion++
	t.tagCounts[tagOf(incarnation)]++
	t.byTag[tagOf(incarnation)] = e
}

// remove removes an entry from the table and the index.
func (t *Table) remove(e *entry) {
	incarnation := e.Process.Incarnation
	tag := tagOf(incarnation)
	delete(t.entries, incarnation)
	t.stateVersion++
	t.tagCounts[tag]--
	if t.tagCounts[tag] == 0 {
		delete(t.tagCounts, tag)
		delete(t.byTag, tag)
		return
	}
	for _, other := range t.entries {
		if tagOf(other.Process.Incarnation) == tag {
			t.byTag[tag] = other
		}
	}
}

// ChangeSet holds the changes of a table that a reader lacks.
type ChangeSet struct {
	// Members are full records, of processes whose static part the reader lacks.
	Members []*wire.Member
	// Beats are the beats of processes whose static part the reader has.
	Beats []*wire.Beats
	// Version is the version of the table that the reader has read up to once it
	// has merged both.
	Version uint64
}

// beatGroups collects beats by the fields that they share in a message.
type beatGroups map[beatGroupKey]*wire.Beats

// beatGroupKey holds the fields that are equal for all processes of one
// wire.Beats.
type beatGroupKey struct {
	revision                                                 uint64
	leaving, storeReachable, storeFailed, settled, suspected bool
}

// add adds the beat of an entry to changes.
func (b beatGroups) add(e *entry, changes *ChangeSet) {
	key := beatGroupKey{uint64(e.Revision), e.Leaving, e.StoreReachable, e.StoreFailed, e.Settled, !e.suspectedAt.IsZero()}
	group := b[key]
	if group == nil {
		group = &wire.Beats{
			ConfigRevision: key.revision,
			Leaving:        key.leaving,
			StoreReachable: key.storeReachable,
			StoreFailed:    key.storeFailed,
			Settled:        key.settled,
			Doubted:        key.suspected,
		}
		b[key] = group
		changes.Beats = append(changes.Beats, group)
	}
	group.Tags = append(group.Tags, tagOf(e.Process.Incarnation))
	group.Beats = append(group.Beats, e.Beat)
}

// Since returns the changes after a version, oldest first and about maxBytes at
// most. The reader is given by its incarnation. Changes that came from it are left
// out, and so is its own record unless the reader is suspected and has to refute
// that. For a version above the present one Since returns the present version and
// no changes.
func (t *Table) Since(version, reader uint64, maxBytes int) ChangeSet {
	if version > t.version {
		return ChangeSet{Version: t.version}
	}
	var changed []*entry
	for _, e := range t.entries {
		if e.changed > version {
			changed = append(changed, e)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].changeVersion(version) < changed[j].changeVersion(version) })
	changes := ChangeSet{Version: version}
	beats := beatGroups{} // the beats in changes, by the fields that they share
	used := 0
	for _, e := range changed {
		if used >= maxBytes {
			return changes
		}
		changes.Version = e.changeVersion(version)
		if e.source == reader || e.Process.Incarnation == reader && e.suspectedAt.IsZero() {
			continue
		}
		// A beat names its process only by tag, so it is enough only if the reader has the
		// static part and no other process has the tag.
		if e.staticChanged <= version && t.tagCounts[tagOf(e.Process.Incarnation)] == 1 {
			beats.add(e, &changes)
			used += beatBytes
			continue
		}
		w := e.ToWire()
		w.Doubted = !e.suspectedAt.IsZero()
		w.Silent = !t.live(e, t.lastTick)
		changes.Members = append(changes.Members, w)
		used += recordBytes
	}
	changes.Version = max(changes.Version, t.version)
	return changes
}

// MergeBeats merges beats received from a peer. It returns false when the
// message is malformed or the tag of a beat matches no process or several, so
// that the peer must send full records.
func (t *Table) MergeBeats(now time.Time, source uint64, b *wire.Beats) bool {
	if len(b.Beats) != len(b.Tags) {
		return false
	}
	allKnown := true
	w := wire.Member{
		ConfigRevision: b.ConfigRevision,
		Leaving:        b.Leaving,
		StoreReachable: b.StoreReachable,
		StoreFailed:    b.StoreFailed,
		Settled:        b.Settled,
		Doubted:        b.Doubted,
	}
	for i, tag := range b.Tags {
		e := t.byTag[tag]
		if e == nil || t.tagCounts[tag] > 1 {
			allKnown = false
			continue
		}
		w.Incarnation = e.Process.Incarnation
		w.Beat = b.Beats[i]
		t.Merge(now, source, &w)
	}
	return allKnown
}
