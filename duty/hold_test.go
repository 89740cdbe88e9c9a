package duty_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapin/duty"
)

// holdModel runs the hosts of a deployment whose platform checks no fencing numbers.
// The store is the record alone; calls to the platform are delayed at random.
type holdModel struct {
	hosts  []*holdHost
	holder int    // in the record
	fence  uint64 // in the record; 0 while there is none
	calls  []platformCall
}

// holdHost is one host of a holdModel.
type holdHost struct {
	elector        *duty.Elector
	hold           duty.Hold
	fence          uint64 // held; 0 when not holding
	upAt           time.Time
	thawedAt       time.Time
	storeReachable bool
	peersReachable bool
}

// platformCall is a call of a holder that the platform carries out.
type platformCall struct {
	host    int
	fence   uint64
	arrives time.Time
}

const (
	holdStep   = 100 * time.Millisecond
	freezeTime = 4 * time.Second
	thawTime   = 300 * time.Millisecond
)

// fault kills, freezes or cuts off one host, or ends a cut.
func (m *holdModel) fault(t *rapid.T, now time.Time) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	h := m.hosts[i]
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0: // another process, back after a second
		m.hosts[i] = &holdHost{elector: duty.NewElector(fmt.Sprint(i), lease, now), upAt: now.Add(time.Second), storeReachable: true, peersReachable: true}
	case 1:
		h.storeReachable = !h.storeReachable
	case 2:
		h.peersReachable = !h.peersReachable
	case 3: // its calls under way arrive before or after the thaw
		h.upAt, h.thawedAt = now.Add(freezeTime), now.Add(freezeTime)
	}
}

// step lets every host that runs try to acquire the duties or act as their holder.
func (m *holdModel) step(t *rapid.T, now time.Time) {
	var peers []duty.Peer
	for i, h := range m.hosts {
		if !now.Before(h.upAt) && h.peersReachable {
			peers = append(peers, duty.Peer{Host: fmt.Sprint(i), StoreReachable: h.storeReachable, HoldsDuties: h.fence != 0, LastSeen: now})
		}
	}
	for i, h := range m.hosts {
		if now.Before(h.upAt) {
			continue
		}
		known, heard := "", peers
		if m.fence > 0 {
			known = fmt.Sprint(m.holder)
		}
		if !h.peersReachable { // it hears of no newer holder either
			heard = nil
		} else if h.fence != 0 && h.fence < m.fence {
			h.fence = 0
			h.elector.MarkLost(now)
		}
		switch {
		case h.fence != 0:
			m.act(t, now, i)
		case h.elector.ShouldAcquire(now, h.storeReachable, heard, known):
			m.holder, m.fence = i, m.fence+1
			h.fence = m.fence
			h.hold.Acquire(now)
		}
	}
}

// act confirms the hold of a host if need be, and makes a call if it may.
func (m *holdModel) act(t *rapid.T, now time.Time, i int) {
	h := m.hosts[i]
	if h.hold.Waits(now) {
		return
	}
	if !h.hold.Confirmed(now) || !h.thawedAt.IsZero() && now.Sub(h.thawedAt) < holdStep {
		if !h.storeReachable {
			return
		}
		if h.fence != m.fence {
			h.fence = 0
			h.elector.MarkLost(now)
			return
		}
		h.hold.Confirm(now)
	}
	delay := time.Duration(rapid.IntRange(0, int(duty.CallTime/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
	m.calls = append(m.calls, platformCall{host: i, fence: h.fence, arrives: now.Add(delay)})
}

// Without a fence check at the platform, a call with a lower fence must never arrive
// after one with a higher fence, and holders must not alternate within a lease.
// Holders are killed, frozen and cut off from the store or from their peers, their
// calls are late.
func TestUncheckedFencesOnlyRise(t *testing.T) {
	for _, hosts := range []int{2, 3} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkUncheckedFences(t, hosts) }) })
	}
}

func checkUncheckedFences(t *rapid.T, hosts int) {
	m := &holdModel{}
	for i := range hosts {
		m.hosts = append(m.hosts, &holdHost{elector: duty.NewElector(fmt.Sprint(i), lease, start), upAt: start, storeReachable: true, peersReachable: true})
	}
	for step := range 300 {
		now := start.Add(time.Duration(step) * holdStep)
		if rapid.IntRange(0, 12).Draw(t, "fault") == 0 {
			m.fault(t, now)
		}
		m.step(t, now)
	}
	for _, late := range m.calls {
		for _, early := range m.calls {
			if early.fence > late.fence && early.arrives.Before(late.arrives) {
				t.Fatalf("fence %d of host %d arrives %v after fence %d of host %d", late.fence, late.host, late.arrives.Sub(early.arrives), early.fence, early.host)
			}
			if early.host == late.host && early.fence < late.fence && late.arrives.Sub(early.arrives) < lease && m.othersBetween(early, late) {
				t.Fatalf("host %d calls before and after another within %v", early.host, late.arrives.Sub(early.arrives))
			}
		}
	}
}

// othersBetween tells whether a call of another host arrives between two calls.
func (m *holdModel) othersBetween(first, last platformCall) bool {
	for _, c := range m.calls {
		if c.host != first.host && c.arrives.After(first.arrives) && c.arrives.Before(last.arrives) {
			return true
		}
	}
	return false
}
