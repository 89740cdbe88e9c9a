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

// peer is a live host that reaches the store and holds the duties where the
// record names it.
func peer(host string, heard time.Time) duty.Peer {
	return duty.Peer{Host: host, StoreReachable: true, HoldsDuties: true, LastSeen: heard}
}

// wait returns after how long an elector tries, or false within a minute.
func wait(e *duty.Elector, from time.Time, try func(now time.Time) bool) (time.Duration, bool) {
	for d := time.Duration(0); d < time.Minute; d += 100 * time.Millisecond {
		if try(from.Add(d)) {
			return d, true
		}
	}
	return 0, false
}

func TestLiveHolderIsLeftAlone(t *testing.T) {
	is := is.New(t)
	e := duty.NewElector("a", lease, start)
	_, tried := wait(e, start, func(now time.Time) bool {
		return e.ShouldAcquire(now, true, []duty.Peer{peer("b", now)}, "b")
	})
	is.True(!tried)
}

// A holder that is not heard, does not reach the store or leaves is replaced,
// not before its lease has passed.
func TestHolderIsReplacedAfterItsLease(t *testing.T) {
	for name, of := range map[string]func(now time.Time) []duty.Peer{
		"silent":  func(time.Time) []duty.Peer { return nil },
		"cut off": func(now time.Time) []duty.Peer { return []duty.Peer{{Host: "b", HoldsDuties: true, LastSeen: now}} },
		"leaving": func(now time.Time) []duty.Peer {
			return []duty.Peer{{Host: "b", StoreReachable: true, HoldsDuties: true, Leaving: true, LastSeen: now}}
		},
		"not heard":   func(now time.Time) []duty.Peer { return []duty.Peer{peer("b", start.Add(-time.Minute))} },
		"other alive": func(now time.Time) []duty.Peer { return []duty.Peer{{Host: "c", LastSeen: now}} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := duty.NewElector("a", lease, start.Add(-time.Minute))
			after, tried := wait(e, start, func(now time.Time) bool { return e.ShouldAcquire(now, true, of(now), "b") })
			is.True(tried)
			is.True(after >= lease && after < lease+2*time.Second)
		})
	}
}

// The holder's process was killed and is back under its host's name. It knows
// nothing of the windows that ended meanwhile, so a host that heard all counts
// goes before it, a lease after the old process was heard last.
func TestRestartedHolderComesAfterItsPeers(t *testing.T) {
	is := is.New(t)
	old := duty.NewElector("a", lease, start.Add(-time.Minute))
	restarted := start.Add(time.Second)
	anew := duty.NewElector("b", lease, restarted)
	after, tried := wait(old, start, func(now time.Time) bool {
		if now.Before(restarted) {
			return old.ShouldAcquire(now, true, nil, "b")
		}
		return old.ShouldAcquire(now, true, []duty.Peer{{Host: "b", StoreReachable: true, LastSeen: now}}, "b")
	})
	is.True(tried)
	is.True(after >= lease && after < lease+time.Second)
	again, tried := wait(anew, restarted, func(now time.Time) bool { return anew.ShouldAcquire(now, true, []duty.Peer{peer("a", now)}, "b") })
	is.True(tried)
	is.True(again >= lease) // if the others have not taken them by then
}

func TestWhoLostStaysAway(t *testing.T) {
	is := is.New(t)
	e := duty.NewElector("a", lease, start.Add(-time.Minute))
	e.MarkLost(start)
	after, tried := wait(e, start, func(now time.Time) bool { return e.ShouldAcquire(now, true, nil, "") })
	is.True(tried)
	is.True(after > lease)
}

func TestWhoDoesNotReachTheStoreDoesNotTry(t *testing.T) {
	is := is.New(t)
	e := duty.NewElector("a", lease, start.Add(-time.Minute))
	_, tried := wait(e, start, func(now time.Time) bool { return e.ShouldAcquire(now, false, nil, "") })
	is.True(!tried)
}

// A new holder begins a vacancy anew: hosts that missed the old one do not all
// try against the new one.
func TestVacancyIsAboutOneHolder(t *testing.T) {
	is := is.New(t)
	e := duty.NewElector("a", lease, start.Add(-time.Minute))
	for d := time.Duration(0); d < lease-200*time.Millisecond; d += 100 * time.Millisecond {
		is.True(!e.ShouldAcquire(start.Add(d), true, nil, "b"))
	}
	// c takes over; this host has not heard it yet.
	after, tried := wait(e, start.Add(lease), func(now time.Time) bool { return e.ShouldAcquire(now, true, nil, "c") })
	is.True(tried)
	is.True(after >= lease)
}

// A simulation of hosts that are killed, cut off and frozen: acts of two
// holders never alternate a, b, a within a lease.
func TestHoldersDoNotTakeTurnsWithinALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		type host struct {
			elector *duty.Elector
			fence   uint64 // held; 0 when not holding
			up      time.Time
			reaches bool
		}
		hosts := make([]*host, n)
		name := func(i int) string { return fmt.Sprintf("h%d", i) }
		for i := range hosts {
			hosts[i] = &host{elector: duty.NewElector(name(i), lease, start), up: start, reaches: true}
		}
		var record struct {
			holder int
			fence  uint64
		}
		type act struct {
			host int
			at   time.Time
		}
		var acts []act
		for step := 0; step < 300; step++ {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			if rapid.IntRange(0, 15).Draw(t, "fault") == 0 {
				i := rapid.IntRange(0, n-1).Draw(t, "host")
				switch rapid.IntRange(0, 2).Draw(t, "kind") {
				case 0: // killed: another process, back after a second
					hosts[i] = &host{elector: duty.NewElector(name(i), lease, now), up: now.Add(time.Second), reaches: true}
				case 1:
					hosts[i].reaches = !hosts[i].reaches
				case 2: // frozen: it keeps what it believes
					hosts[i].up = now.Add(4 * time.Second)
				}
			}
			var peers []duty.Peer
			for i, h := range hosts {
				if !now.Before(h.up) {
					peers = append(peers, duty.Peer{Host: name(i), StoreReachable: h.reaches, HoldsDuties: h.fence != 0, LastSeen: now})
				}
			}
			known := ""
			if record.fence > 0 {
				known = name(record.holder)
			}
			for i, h := range hosts {
				if now.Before(h.up) {
					continue
				}
				if h.fence != 0 && h.fence < record.fence { // heard of the newer one
					h.fence = 0
					h.elector.MarkLost(now)
				}
				if h.fence != 0 && h.reaches {
					acts = append(acts, act{i, now})
				}
				if h.fence == 0 && h.elector.ShouldAcquire(now, h.reaches, peers, known) {
					record.holder, record.fence = i, record.fence+1
					h.fence = record.fence
				}
			}
		}
		for i := range acts {
			for j := i + 1; j < len(acts) && acts[j].at.Sub(acts[i].at) < lease; j++ {
				if acts[j].host == acts[i].host {
					continue
				}
				for _, back := range acts[j+1:] {
					if back.at.Sub(acts[i].at) >= lease {
						break
					}
					if back.host == acts[i].host {
						t.Fatalf("%d, %d, %d within %v", acts[i].host, acts[j].host, back.host, back.at.Sub(acts[i].at))
					}
				}
			}
		}
	})
}
