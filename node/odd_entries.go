package node

import (
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"zinniapin/event"
	"zinniapin/roster"
	"zinniapin/store"
)

const (
	// oddLinesPerMinute bounds the lines on odd entries. What one writer spoils usually has one cause.
	oddLinesPerMinute = 60
	// maxOddKnown bounds the odd entries that are remembered, 16 bytes each.
	maxOddKnown = 4096
	// shownNameBytes is how much of an entry's name is logged.
	shownNameBytes = 64
)

// oddEntries remembers what was odd in which entry, so that each oddity is logged once and not with each
// list.
type oddEntries struct {
	mu       sync.Mutex
	known    map[uint64]uint64 // hash of the oddity by hash of the name
	minute   time.Time
	lines    int
	unlogged int // since the latest line
}

// note returns whether an oddity is to be logged, and how many were not since the latest that was. An
// empty oddity means that the entry is sound.
func (o *oddEntries) note(now time.Time, name, oddity string) (isNew bool, unlogged int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key, what := hashOf(name), hashOf(oddity)
	if oddity == "" {
		delete(o.known, key)
		return false, 0
	}
	if o.known[key] == what {
		return false, 0
	}
	if o.known == nil || len(o.known) >= maxOddKnown {
		o.known = make(map[uint64]uint64)
	}
	o.known[key] = what
	if now.Sub(o.minute) >= time.Minute {
		o.minute, o.lines = now, 0
	}
	if o.lines++; o.lines > oddLinesPerMinute {
		o.unlogged++
		return false, 0
	}
	unlogged, o.unlogged = o.unlogged, 0
	return true, unlogged
}

// hashOf returns the hash of a text.
func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}

// errOwnAddress means that a target would be this host itself.
var errOwnAddress = errors.New("the address is this host's own")

// decodeEntry decodes a target's entry, and logs what is odd in it.
func (n *Node) decodeEntry(m store.Member) (roster.Target, bool) {
	t, err := n.platform.DecodeTarget(m)
	if err == nil {
		err = n.checkNotOwn(&t)
	}
	return t, n.admitEntry("store", m.Name, m.Revision, err)
}

// checkNotOwn returns an error if requests to a target would come back to this host.
func (n *Node) checkNotOwn(t *roster.Target) error {
	switch t.Address {
	case n.settings.Listen, n.settings.Ready, n.settings.Mesh:
		return errOwnAddress
	default:
		return nil
	}
}

// admitEntry returns whether an entry names a target, and logs why not. The source is "store" or a peer.
func (n *Node) admitEntry(from, name string, revision uint64, err error) bool {
	if err == nil {
		n.oddEntries.note(time.Now(), name, "")
		return true
	}
	if isNew, unlogged := n.oddEntries.note(time.Now(), name, err.Error()); isNew {
		event.EntryBad.Log(n.log).Str("entry", name[:min(len(name), shownNameBytes)]).Str("from", from).Uint64("revision", revision).Int("unlogged", unlogged).Err(err).Send()
	}
	return false
}
