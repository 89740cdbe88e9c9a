// Package poison finds what crashes the targets that answer it (a "query of death"), a part of prompts or a
// request that comes again, and tells which requests must not be sent for that reason. Every host collects
// evidence and exchanges it with its peers, so that a part is known to all after a few crashes, whichever
// hosts sent the requests with it.
//
// The parts of a request are those of its prompt that it may share, and one that stands for all of it.
//
// A crash of a target is evidence against each part of each request whose answer had hardly begun
// there. An answer that went on is evidence for its parts. A crash is attributed to one part, or to parts
// that always occurred together: the ones with the most crashes. The others are innocent of it.
//
// A Detector has no I/O, no goroutine and no clock of its own; it is not safe for concurrent use. Its
// times are those of a clock that all hosts share, since evidence travels with the time at which it arose.
package poison

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"zinniapin/target"
)

// Process identifies a process of a target, as far as is known: one that has crashed and started again may
// still be known as the one before.
type Process uint32

// ProcessOf returns the process of a target that started at a time.
func ProcessOf(id target.ID, startedMillis int64) Process {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	for i := range 8 {
		_, _ = h.Write([]byte{byte(startedMillis >> (8 * i))})
	}
	return Process(h.Sum32())
}

// Crash is the end of a process of a target at a time.
type Crash struct {
	Process Process
	At      time.Time
}

// same tells whether two hosts have noticed the same end. A process doesn't start again so soon.
func (c Crash) same(other Crash) bool {
	return c.Process == other.Process && c.At.Sub(other.At).Abs() < sameCrashTime
}

// compareCrashes orders crashes by process and time.
func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Process, b.Process), a.At.Compare(b.At))
}

const (
	// minCrashes is the number of crashes from which a part is blocked, minCrashesOfSound the same for
	// a part that was answered within soundMemory: it may be under way in several crashes by chance.
	minCrashes        = 3
	minCrashesOfSound = 6
	// soundMemory is how long a part counts as sound after it was answered.
	soundMemory = time.Minute
	// sameCrashTime is the time within which hosts notice the same crash.
	sameCrashTime = 500 * time.Millisecond
	// crashMemory is how long a crash counts, and so how long a part is blocked after its latest ones.
	crashMemory = 20 * time.Minute
	// maxCrashes bounds the crashes that are kept for a part, the latest ones.
	maxCrashes = 16
	// maxSuspects bounds the parts with crashes, maxSound those known to be sound.
	maxSuspects = 512
	maxSound    = 8192
)

// Evidence is what is known of a part.
type Evidence struct {
	Part Part
	// Crashes are the ends of targets under requests with the part since SoundAt, in no order.
	Crashes []Crash
	// SoundAt is when a request with the part was last answered; zero if never.
	SoundAt time.Time
	// changedAt is when this host last learnt something new of the part.
	changedAt time.Time
}

// Detector holds the evidence and what follows from it.
type Detector struct {
	suspects map[Part]*Evidence
	sound    soundParts // of prompts, the suspects included
	requests soundParts // that stand for whole requests, likewise
	blocked  [][]Part   // groups; a request with all parts of one is rejected
	next     int        // index of the next suspect for Recent
}

// New returns a detector without evidence.
func New() *Detector {
	return &Detector{suspects: make(map[Part]*Evidence), sound: make(soundParts), requests: make(soundParts)}
}

// Answered records that a target answered a request with these parts and went on. It returns whether
// that changes what is blocked.
func (d *Detector) Answered(now time.Time, parts []Part) bool {
	changed := false
	for _, p := range parts {
		changed = d.markSound(now, p) || changed
	}
	return changed && d.evaluate(now)
}

// markSound records that a part was answered at a time, and returns whether it is a suspect.
func (d *Detector) markSound(at time.Time, p Part) bool {
	if !d.soundOf(p).mark(at, p) {
		return false
	}
	e := d.suspects[p]
	if e == nil {
		return false
	}
	e.SoundAt = at
	suspected := len(e.Crashes) > 0
	if suspected {
		e.changedAt = at
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return !c.At.After(at) })
	return suspected
}

// soundOf returns the sound parts of the kind of a part.
func (d *Detector) soundOf(p Part) soundParts {
	if p.IsRequest() {
		return d.requests
	}
	return d.sound
}

// Crashed records that a target ended before it had answered a request with these parts. It returns
// whether that changes what is blocked.
func (d *Detector) Crashed(now time.Time, c Crash, parts []Part) bool {
	changed := false
	for _, p := range parts {
		changed = d.addCrash(now, p, c) || changed
	}
	return changed && d.evaluate(now)
}

// addCrash records a crash for a part, and returns whether it is new.
func (d *Detector) addCrash(now time.Time, p Part, c Crash) bool {
	if now.Sub(c.At) > crashMemory || !c.At.After(d.soundOf(p)[p]) {
		return false
	}
	e := d.suspects[p]
	if e == nil {
		d.makeRoom(now)
		e = &Evidence{Part: p, SoundAt: d.soundOf(p)[p]}
		d.suspects[p] = e
	}
	if i := slices.IndexFunc(e.Crashes, c.same); i >= 0 {
		if c.At.Before(e.Crashes[i].At) {
			e.Crashes[i].At = c.At // all hosts keep the earliest time
		}
		return false
	}
	e.Crashes, e.changedAt = append(e.Crashes, c), now
	if len(e.Crashes) > maxCrashes {
		oldest := slices.MinFunc(e.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
		e.Crashes = slices.DeleteFunc(e.Crashes, func(other Crash) bool { return other == oldest })
		return oldest != c
	}
	return true
}

// makeRoom removes the suspect with the fewest crashes if there are too many.
func (d *Detector) makeRoom(now time.Time) {
	if len(d.suspects) < maxSuspects {
		return
	}
	d.Expire(now)
	if len(d.suspects) < maxSuspects {
		return
	}
	var least *Evidence
	for _, e := range d.suspects {
		if least == nil || len(e.Crashes) < len(least.Crashes) {
			least = e
		}
	}
	delete(d.suspects, least.Part)
}

// Merge adds the evidence of a peer, and returns whether that changes what is blocked.
func (d *Detector) Merge(now time.Time, e Evidence) bool {
	changed := false
	if !e.SoundAt.IsZero() && !e.SoundAt.After(now) {
		changed = d.markSound(e.SoundAt, e.Part)
	}
	for _, c := range e.Crashes {
		if c.At.After(now) {
			c.At = now // the clocks of hosts differ a little
		}
		changed = d.addCrash(now, e.Part, c) || changed
	}
	return changed && d.evaluate(now)
}

// Recent returns the evidence on at most n suspects of which this host has learnt something new since a
// time, others each time, for peers. Parts that are blocked or nearly so come first, so that a host which
// has just started learns of them soon.
func (d *Detector) Recent(n int, since time.Time) []Evidence {
	var chosen, others []Part
	for p, e := range d.suspects { // in random order
		switch {
		case e.changedAt.Before(since):
		case len(chosen) < n && (d.inBlocked(p) || len(e.Crashes) >= minCrashes-1):
			chosen = append(chosen, p)
		default:
			others = append(others, p)
		}
	}
	slices.Sort(others)
	for range min(n-len(chosen), len(others)) {
		d.next++
		chosen = append(chosen, others[d.next%len(others)])
	}
	evidence := make([]Evidence, len(chosen))
	for i, p := range chosen {
		evidence[i] = d.suspects[p].clone()
	}
	return evidence
}

// clone returns a copy that does not change with the detector.
func (e *Evidence) clone() Evidence {
	return Evidence{Part: e.Part, SoundAt: e.SoundAt, Crashes: slices.Clone(e.Crashes)}
}

// Expire forgets old evidence, and returns whether that changes what is blocked.
func (d *Detector) Expire(now time.Time) bool {
	if len(d.suspects) == 0 {
		return false
	}
	for p, e := range d.suspects {
		e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return now.Sub(c.At) > crashMemory })
		// One that was found sound is kept for a while, so that peers learn of it.
		if len(e.Crashes) == 0 && now.Sub(e.SoundAt) > soundMemory {
			delete(d.suspects, p)
		}
	}
	return d.evaluate(now)
}
