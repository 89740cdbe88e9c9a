package targetbench

import (
	"time"

	"zinniapin/poison"
)

// CrashGuard decides at one host which requests are rejected because of crashes.
type CrashGuard interface {
	// Answered records that a target answered a request with these parts.
	Answered(now time.Time, parts []poison.Part)
	// Crashed records that a target crashed before it had answered such a request.
	Crashed(now time.Time, c poison.Crash, parts []poison.Part)
	// Rejects tells whether a request with these parts is rejected.
	Rejects(parts []poison.Part) bool
	// BlockedAlone returns the parts that suffice for a request to be rejected.
	BlockedAlone() []poison.Part
	// Tell passes on to the guard of another host what this one knows.
	Tell(now time.Time, other CrashGuard)
}

// NoGuard rejects nothing.
type NoGuard struct{ _ int }

// Answered implements CrashGuard.
func (*NoGuard) Answered(time.Time, []poison.Part) {}

// Crashed implements CrashGuard.
func (*NoGuard) Crashed(time.Time, poison.Crash, []poison.Part) {}

// Rejects implements CrashGuard.
func (*NoGuard) Rejects([]poison.Part) bool { return false }

// BlockedAlone implements CrashGuard.
func (*NoGuard) BlockedAlone() []poison.Part { return nil }

// Tell implements CrashGuard.
func (*NoGuard) Tell(time.Time, CrashGuard) {}

// countingLimit is the number of crashes from which CountingGuard blocks a part.
const countingLimit = 3

// CountingGuard blocks each part that was under way in so many crashes.
type CountingGuard struct {
	crashes map[poison.Part]map[poison.Crash]bool
}

// NewCountingGuard returns a guard that has seen no crash.
func NewCountingGuard() *CountingGuard {
	return &CountingGuard{crashes: make(map[poison.Part]map[poison.Crash]bool)}
}

// Answered implements CrashGuard.
func (*CountingGuard) Answered(time.Time, []poison.Part) {}

// Crashed implements CrashGuard.
func (g *CountingGuard) Crashed(_ time.Time, c poison.Crash, parts []poison.Part) {
	for _, p := range parts {
		if g.crashes[p] == nil {
			g.crashes[p] = make(map[poison.Crash]bool)
		}
		g.crashes[p][c] = true
	}
}

// Rejects implements CrashGuard.
func (g *CountingGuard) Rejects(parts []poison.Part) bool {
	for _, p := range parts {
		if len(g.crashes[p]) >= countingLimit {
			return true
		}
	}
	return false
}

// BlockedAlone implements CrashGuard.
func (g *CountingGuard) BlockedAlone() []poison.Part {
	var all []poison.Part
	for p, crashes := range g.crashes {
		if len(crashes) >= countingLimit {
			all = append(all, p)
		}
	}
	return all
}

// Tell implements CrashGuard.
func (g *CountingGuard) Tell(now time.Time, other CrashGuard) {
	for p, crashes := range g.crashes {
		for c := range crashes {
			other.Crashed(now, c, []poison.Part{p})
		}
	}
}

// suspectsPerTell is the number of suspects that a host names to another one at a time.
const suspectsPerTell = 4

// BlamingGuard is what a node does.
type BlamingGuard struct{ detector *poison.Detector }

// NewBlamingGuard returns a guard without evidence.
func NewBlamingGuard() *BlamingGuard { return &BlamingGuard{poison.New()} }

// Answered implements CrashGuard.
func (g *BlamingGuard) Answered(now time.Time, parts []poison.Part) { g.detector.Answered(now, parts) }

// Crashed implements CrashGuard.
func (g *BlamingGuard) Crashed(now time.Time, c poison.Crash, parts []poison.Part) {
	g.detector.Crashed(now, c, parts)
}

// Rejects implements CrashGuard.
func (g *BlamingGuard) Rejects(parts []poison.Part) bool {
	_, _, rejected := g.detector.Rejects(parts)
	return rejected
}

// BlockedAlone implements CrashGuard.
func (g *BlamingGuard) BlockedAlone() []poison.Part {
	var all []poison.Part
	for _, group := range g.detector.Blocked() {
		if len(group) == 1 {
			all = append(all, group[0])
		}
	}
	return all
}

// Tell implements CrashGuard.
func (g *BlamingGuard) Tell(now time.Time, other CrashGuard) {
	if to, ok := other.(*BlamingGuard); ok {
		for _, e := range g.detector.Recent(suspectsPerTell, time.Time{}) {
			to.detector.Merge(now, e)
		}
	}
}
