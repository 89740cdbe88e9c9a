package duty_test

import (
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapin/duty"
	"zinniapin/store"
)

// rewindModel has hosts that hold the duties in turn over a store that comes back from older copies of
// itself. The platform checks no fence.
type rewindModel struct {
	hosts []*rewindHost
	era   uint64
	// record is that in the store, at a revision within the era; 0 if there is none.
	record   duty.Record
	revision uint64
	copies   []rewindCopy
	calls    []windowCall
	counts   uint32 // gives each frozen window counts of its own
}

// rewindCopy is a copy of the store.
type rewindCopy struct {
	record   duty.Record
	revision uint64
}

// rewindHost is a host of a rewindModel.
type rewindHost struct {
	name           string
	elector        *duty.Elector
	hold           duty.Hold
	holding        bool
	record         duty.Record // as last read or written
	revision       uint64      // with its era
	knownFence     uint64
	knownHolder    string
	reported       map[uint64]bool
	upAt           time.Time
	storeReachable bool
	peersReachable bool
}

// windowCall is a report of a usage window.
type windowCall struct {
	host    string
	fence   uint64
	window  uint64
	counts  uint32
	arrives time.Time
}

// windowLength is the length of a usage window in the model, windowDelay the time from its end to its
// report.
const (
	windowLength = 2 * time.Second
	windowDelay  = 2500 * time.Millisecond
)

// windowAt returns the window of a time.
func windowAt(now time.Time) uint64 { return 1000 + uint64(now.Sub(start)/windowLength) }

// at returns the revision that the store shows of the record.
func (m *rewindModel) at() uint64 { return store.RevisionIn(m.era, m.revision) }

// write updates the record if its revision is the given one, and returns whether the host may rely on
// that. The store compares the revision alone, which it may have given out again since a rewind.
func (m *rewindModel) write(h *rewindHost, next duty.Record, revision uint64) bool {
	if !h.storeReachable || store.WithinEra(revision) != m.revision {
		return false
	}
	next.Windows = maps.Clone(next.Windows)
	m.record, m.revision = next, m.revision+1
	if store.EraOf(revision) != m.era || next.Outdated(m.at()) {
		return false
	}
	h.record, h.revision = next, m.at()
	h.observe(next.Holder, next.Fence)
	return true
}

// observe notes a holder.
func (h *rewindHost) observe(holder string, fence uint64) {
	if fence > h.knownFence {
		h.knownFence, h.knownHolder = fence, holder
	}
}

// claim makes a host the holder if the store takes its record.
func (m *rewindModel) claim(now time.Time, h *rewindHost, from duty.Record, revision uint64) bool {
	next := from.Claim(h.name, uint64(h.upAt.UnixNano()), revision, h.knownFence, windowAt(now))
	if !m.write(h, next, revision) {
		return false
	}
	h.hold.Acquire(now)
	return true
}

// lose ends a host's hold.
func (h *rewindHost) lose(now time.Time) {
	h.holding = false
	h.elector.MarkLost(now)
}

// confirm reads the record and tells whether the host may act.
func (m *rewindModel) confirm(now time.Time, h *rewindHost) bool {
	switch {
	case !h.storeReachable:
		return false
	case m.record.Outdated(m.at()):
		if !m.claim(now, h, h.record, m.at()) {
			h.lose(now)
		}
		return false
	case m.record.Incarnation != h.record.Incarnation || m.record.Fence != h.record.Fence:
		h.observe(m.record.Holder, m.record.Fence)
		h.lose(now)
		return false
	}
	h.record, h.revision = m.record, m.at()
	h.hold.Confirm(now)
	return true
}

// act reports the windows that are due.
func (m *rewindModel) act(t *rapid.T, now time.Time, h *rewindHost) {
	for w := windowAt(now.Add(-windowDelay-4*windowLength)) + 1; w < windowAt(now.Add(-windowDelay)); w++ {
		key := strconv.FormatUint(w, 10)
		counts, frozen := h.record.Windows[key]
		if h.reported[w] || !frozen && w < h.record.DueFrom {
			continue
		}
		if !frozen {
			m.counts++
			counts = map[string]uint32{"o": m.counts}
			next := h.record
			next.Windows = maps.Clone(next.Windows)
			if next.Windows == nil {
				next.Windows = make(map[string]map[string]uint32)
			}
			next.Windows[key] = counts
			if !m.write(h, next, h.revision) {
				m.confirm(now, h)
				return
			}
			h.hold.Confirm(now)
		}
		if h.hold.Waits(now) || !h.hold.Confirmed(now) && !m.confirm(now, h) {
			return
		}
		delay := time.Duration(rapid.IntRange(0, int(duty.CallTime/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
		m.calls = append(m.calls, windowCall{h.name, h.record.Fence, w, counts["o"], now.Add(delay)})
		h.reported[w] = true
	}
}

// newHost returns a host whose process is up from a time on.
func newHost(name string, upAt time.Time) *rewindHost {
	return &rewindHost{name: name, elector: duty.NewElector(name, lease, upAt), upAt: upAt, storeReachable: true, peersReachable: true, reported: make(map[uint64]bool)}
}

// fault injects a fault, or lets the store come back from one of its copies.
func (m *rewindModel) fault(t *rapid.T, now time.Time) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	h := m.hosts[i]
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		m.hosts[i] = newHost(h.name, now.Add(time.Second))
	case 1:
		h.storeReachable = !h.storeReachable
	case 2:
		h.peersReachable = !h.peersReachable
	case 3:
		m.copies = append(m.copies, rewindCopy{m.record, m.revision})
	default:
		if len(m.copies) > 0 {
			c := m.copies[len(m.copies)-1]
			m.record, m.revision = c.record, c.revision
			m.era++
		}
	}
}

// step lets each host act once.
func (m *rewindModel) step(t *rapid.T, now time.Time) {
	var peers []duty.Peer
	for _, h := range m.hosts {
		if !now.Before(h.upAt) && h.peersReachable {
			peers = append(peers, duty.Peer{Host: h.name, StoreReachable: h.storeReachable, HoldsDuties: h.holding, LastSeen: now})
			for _, other := range m.hosts {
				if other.peersReachable && !now.Before(other.upAt) {
					other.observe(h.knownHolder, h.knownFence)
				}
			}
		}
	}
	for _, h := range m.hosts {
		if now.Before(h.upAt) {
			continue
		}
		heard := peers
		if !h.peersReachable {
			heard = nil
		}
		if h.holding && h.knownFence > h.record.Fence {
			h.lose(now)
		}
		if h.holding {
			m.act(t, now, h)
			continue
		}
		if !h.elector.ShouldAcquire(now, h.storeReachable, heard, h.knownHolder) {
			continue
		}
		if m.record.Fence > h.knownFence && m.record.Holder != "" && m.record.Holder != h.name && !m.record.Outdated(m.at()) {
			h.observe(m.record.Holder, m.record.Fence)
			continue
		}
		if m.claim(now, h, m.record, m.at()) {
			h.holding, h.reported = true, make(map[uint64]bool)
		} else {
			h.elector.MarkLost(now)
		}
	}
}

// A store that comes back from older copies, at any point and more than once, lets no fence fall or
// serve two hosts, and no window be reported with two counts, whatever calls arrive late.
func TestDutiesOverAStoreThatComesBackFromACopy(t *testing.T) {
	for _, hosts := range []int{2, 3} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkRewinds(t, hosts) }) })
	}
}

// checkRewinds runs a random schedule of a rewindModel and checks its calls.
func checkRewinds(t *rapid.T, hosts int) {
	m := &rewindModel{era: 1}
	for i := range hosts {
		m.hosts = append(m.hosts, newHost(fmt.Sprint(i), start))
	}
	for step := range 300 {
		now := start.Add(time.Duration(step) * holdStep)
		if rapid.IntRange(0, 12).Draw(t, "fault") == 0 {
			m.fault(t, now)
		}
		m.step(t, now)
	}
	counts, holders := make(map[uint64]uint32), make(map[uint64]string)
	for _, c := range m.calls {
		if earlier, ok := counts[c.window]; ok && earlier != c.counts {
			t.Fatalf("window %d was reported with %d and %d", c.window, earlier, c.counts)
		}
		counts[c.window] = c.counts
		if earlier, ok := holders[c.fence]; ok && earlier != c.host {
			t.Fatalf("fence %d was used by %s and %s", c.fence, earlier, c.host)
		}
		holders[c.fence] = c.host
		for _, early := range m.calls {
			if early.fence > c.fence && early.arrives.Before(c.arrives) {
				t.Fatalf("fence %d of host %s arrives %v after fence %d of host %s", c.fence, c.host, c.arrives.Sub(early.arrives), early.fence, early.host)
			}
		}
	}
}
