package membership

import (
	"sort"
	"time"

	"zinniapin/wire"
)

// Sizes of what a heartbeat tells of a process, rounded up, in bytes.
const (
	beatBytes   = 8
	recordBytes = 110
)

// tagOf returns the low bits of an incarnation, by which a beat names its
// process.
func tagOf(incarnation uint64) uint32 {
	return uint32(incarnation)
}

// add adds an entry to the table and its tag to the index.
func (t *Table) add(e *entry) {
	incarnation := e.Process.Incarnation
	t.entries[incarnation] = e
	t.shape++
	t.tags[tagOf(incarnation)]++
	t.byTag[tagOf(incarnation)] = e
}

// remove takes an entry out of the table and the index.
func (t *Table) remove(e *entry) {
	incarnation := e.Process.Incarnation
	tag := tagOf(incarnation)
	delete(t.entries, incarnation)
	t.shape++
	t.tags[tag]--
	if t.tags[tag] == 0 {
		delete(t.tags, tag)
		delete(t.byTag, tag)
		return
	}
	for _, other := range t.entries {
		if tagOf(other.Process.Incarnation) == tag {
			t.byTag[tag] = other
		}
	}
}

// ChangeSet is what a table tells a reader.
type ChangeSet struct {
	// Members are the records that the reader lacks.
	Members []*wire.Member
	// Beats tell of the processes that the reader knows.
	Beats []*wire.Beats
	// Version is the version of the table that the two reach.
	Version uint64
}

// beatsOf collects beats by all else that they say.
type beatsOf map[shared]*wire.Beats

// shared is what the processes of one wire.Beats have in common.
type shared struct {
	revision                                               uint64
	leaving, storeReachable, storeFailed, settled, doubted bool
}

// add adds the beat of an entry to news.
func (b beatsOf) add(e *entry, news *ChangeSet) {
	s := shared{uint64(e.Revision), e.Leaving, e.StoreReachable, e.StoreFailed, e.Settled, !e.doubted.IsZero()}
	group := b[s]
	if group == nil {
		group = &wire.Beats{
			ConfigRevision: s.revision,
			Leaving:        s.leaving,
			StoreReachable: s.storeReachable,
			StoreFailed:    s.storeFailed,
			Settled:        s.settled,
			Doubted:        s.doubted,
		}
		b[s] = group
		news.Beats = append(news.Beats, group)
	}
	group.Tags = append(group.Tags, tagOf(e.Process.Incarnation))
	group.Beats = append(group.Beats, e.Beat)
}

// Since returns what changed after a version, oldest change first and about
// maxBytes at most. What the reader itself was the source of is left out. For a
// version above the present one it returns the present one alone.
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
	sort.Slice(changed, func(i, j int) bool { return changed[i].due(version) < changed[j].due(version) })
	news := ChangeSet{Version: version}
	beats := beatsOf{}
	used := 0
	for _, e := range changed {
		if used >= maxBytes {
			return news
		}
		news.Version = e.due(version)
		if e.source == reader || e.Process.Incarnation == reader && e.doubted.IsZero() {
			continue
		}
		if e.introduced <= version && t.tags[tagOf(e.Process.Incarnation)] == 1 {
			beats.add(e, &news)
			used += beatBytes
			continue
		}
		w := e.ToWire()
		w.Doubted = !e.doubted.IsZero()
		w.Silent = !t.live(e, t.ticked)
		news.Members = append(news.Members, w)
		used += recordBytes
	}
	news.Version = max(news.Version, t.version)
	return news
}

// MergeBeats takes in beats that a peer told of. It returns false when one is
// of a process that is not known, so that the peer must tell all in full.
func (t *Table) MergeBeats(now time.Time, source uint64, b *wire.Beats) bool {
	if len(b.Beats) != len(b.Tags) {
		return false
	}
	understood := true
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
		if e == nil || t.tags[tag] > 1 {
			understood = false
			continue
		}
		w.Incarnation = e.Process.Incarnation
		w.Beat = b.Beats[i]
		t.Merge(now, source, &w)
	}
	return understood
}
