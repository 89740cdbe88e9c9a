package duty_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/duty"
	_ "zinniapin/internal/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const lease = 3 * time.Second

// activePeer returns a peer that can reach the store and holds the duties.
func activePeer(host string, lastSeen time.Time) duty.Peer {
	return duty.Peer{Host: host, StoreReachable: true, HoldsDuties: true, LastSeen: lastSeen}
}

// timeUntil calls try with from and every 100 ms of virtual time after it until try returns
// true. It returns how long after from that was, or false if it was not within a minute.
func timeUntil(e *duty.Elector, from time.Time, try func(now time.Time) bool) (time.Duration, bool) {
	for d := time.Duration(0); d < time.Minute; d += 100 * time.Millisecond {
		if try(from.Add(d)) {
			return d, true
		}
	}
	return 0, false
}

func TestLiveHolderIsNotReplaced(t *testing.T) {
	is := is.New(t)
	e := duty.NewElector("a", lease, start)
	_, tried := timeUntil(e, start, func(now time.Time) bool {
		return e.ShouldAcquire(now, true, []duty.Peer{activePeer("b", now)}, "b")
	})
	is.True(!tried)
}

// A holder that is not live, cannot reach the store or is leaving is replaced, but
// not before its lease has expired.
func TestHolderIsReplacedAfterItsLease(t *testing.T) {
	for name, peersAt := range map[string]func(now time.Time) []duty.Peer{
		"silent":  func(time.Time) []duty.Peer { return nil },
		"cut off": func(now time.Time) []duty.Peer { return []duty.Peer{{Host: "b", HoldsDuties: true, LastSeen: now}} },
		"leaving": func(now time.Time) []duty.Peer {
			return []duty.Peer{{Host: "b", StoreReachable: true, HoldsDuties: true, Leaving: true, LastSeen: now}}
		},
		"not heard":   func(now time.Time) []duty.Peer { return []duty.Peer{activePeer("b", start.Add(-time.Minute))} },
		"other alive": func(now time.Time) []duty.Peer { return []duty.Peer{{Host: "c", LastSeen: now}} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := duty.NewElector("a", lease, start.Add(-time.Minute))
			after, tried := timeUntil(e, start, func(now time.Time) bool { return e.ShouldAcquire(now, true, peersAt(now), "b") })
			is.True(tried)
			is.True(after >= lease && after < lease+2*time.Second)
		})
	}
}

// The holder's process was killed and restarted on the same host. The new process
// lacks the counts of the windows that ended meanwhile, so a host that received
// them must acquire the duties first, one lease after the vacancy began.
func TestRestartedHolderComesAfterItsPeers(t *testing.T) {
	is := is.New(t)
	survivor := duty.NewElector("a", lease, start.Add(-time.Minute))
	restartedAt := start.Add(time.Second)
	restartedHolder := duty.NewElector("b", lease, restartedAt)
	after, tried := timeUntil(survivor, start, func(now time.Time) bool {
		if now.Before(restartedAt) {
			return survivor.ShouldAcquire(now, true, nil, "b")
		}
		return survivor.ShouldAcquire(now, true, []duty.Peer{{Host: "b", StoreReachable: true, LastSeen: now}}, "b")
	})
	is.True(tried)
	is.True(after >= lease && after < lease+time.Second)
	afterRestart, tried := timeUntil(restartedHolder, restartedAt, func(now time.Time) bool {
		return restartedHolder.ShouldAcquire(now, true, []duty.Peer{activePeer("a", now)}, "b")
	})
	is.True(tried)
	is.True(afterRestart >= lease) // if no other host has acquired them by then
}

// A host that has lost the duties waits longer than a lease before it tries to acquire
// them again.
func TestElectorWaitsAfterLosingTheDuties(t *testing.T) {
	is := is.New(t)
	e := duty.NewElector("a", lease, start.Add(-time.Minute))
	e.MarkLost(start)
	after, tried := timeUntil(e, start, func(now time.Time) bool { return e.ShouldAcquire(now, true, nil, "") })
	is.True(tried)
	is.True(after > lease)
}

func TestNoAcquisitionWhileTheStoreIsUnreachable(t *testing.T) {
	is := is.New(t)
	e := duty.NewElector("a", lease, start.Add(-time.Minute))
	_, tried := timeUntil(e, start, func(now time.Time) bool { return e.ShouldAcquire(now, false, nil, "") })
	is.True(!tried)
}

// When the holder changes, the vacancy starts again: hosts that missed the old
// holder must not all try to replace the new one at once.
func TestVacancyStartsAgainWithEachHolder(t *testing.T) {
	is := is.New(t)
	e := duty.NewElector("a", lease, start.Add(-time.Minute))
	for d := time.Duration(0); d < lease-200*time.Millisecond; d += 100 * time.Millisecond {
		is.True(!e.ShouldAcquire(start.Add(d), true, nil, "b"))
	}
	// c acquires the duties, but its digests have not arrived at this host yet.
	after, tried := timeUntil(e, start.Add(lease), func(now time.Time) bool { return e.ShouldAcquire(now, true, nil, "c") })
	is.True(tried)
	is.True(after >= lease)
}

// Hosts are killed, cut off from the store and frozen at random. Within a lease,
// calls of two holders must never alternate, as in a, b, a.
func TestHoldersDoNotTakeTurnsWithinALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		type host struct {
			elector        *duty.Elector
			fence          uint64 // held; 0 when not holding
			upAt           time.Time
			storeReachable bool
		}
		hosts := make([]*host, n)
		name := func(i int) string { return fmt.Sprintf("h%d", i) }
		for i := range hosts {
			hosts[i] = &host{elector: duty.NewElector(name(i), lease, start), upAt: start, storeReachable: true}
		}
		var record struct {
			holder int
			fence  uint64
		}
		type action struct {
			host int
			at   time.Time
		}
		var actions []action
		for step := 0; step < 300; step++ {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			if rapid.IntRange(0, 15).Draw(t, "fault") == 0 {
				i := rapid.IntRange(0, n-1).Draw(t, "host")
				switch rapid.IntRange(0, 2).Draw(t, "kind") {
				case 0: // killed: another process, back after a second
					hosts[i] = &host{elector: duty.NewElector(name(i), lease, now), upAt: now.Add(time.Second), storeReachable: true}
				case 1:
					hosts[i].storeReachable = !hosts[i].storeReachable
				case 2: // frozen: it keeps its state
					hosts[i].upAt = now.Add(4 * time.Second)
				}
			}
			var peers []duty.Peer
			for i, h := range hosts {
				if !now.Before(h.upAt) {
					peers = append(peers, duty.Peer{Host: name(i), StoreReachable: h.storeReachable, HoldsDuties: h.fence != 0, LastSeen: now})
				}
			}
			known := ""
			if record.fence > 0 {
				known = name(record.holder)
			}
			for i, h := range hosts {
				if now.Before(h.upAt) {
					continue
				}
				if h.fence != 0 && h.fence < record.fence { // it learns of the newer holder
					h.fence = 0
					h.elector.MarkLost(now)
				}
				if h.fence != 0 && h.storeReachable {
					actions = append(actions, action{i, now})
				}
				if h.fence == 0 && h.elector.ShouldAcquire(now, h.storeReachable, peers, known) {
					record.holder, record.fence = i, record.fence+1
					h.fence = record.fence
				}
			}
		}
		for i := range actions {
			for j := i + 1; j < len(actions) && actions[j].at.Sub(actions[i].at) < lease; j++ {
				if actions[j].host == actions[i].host {
					continue
				}
				for _, third := range actions[j+1:] {
					if third.at.Sub(actions[i].at) >= lease {
						break
					}
					if third.host == actions[i].host {
						t.Fatalf("%d, %d, %d within %v", actions[i].host, actions[j].host, third.host, third.at.Sub(actions[i].at))
					}
				}
			}
		}
	})
}
