// Package targetbench replays loads on targets that fail, in virtual time: targets that crash under a part of
// prompts, and overloaded ones that name a limit. It compares the decisions of a node with simpler ones.
package targetbench

import (
	"math/rand/v2"
	"slices"
	"time"

	"zinniapin/poison"
)

// CrashLoad is a load on engines, some of whose requests may crash them.
type CrashLoad struct {
	Seed           uint64
	Hosts, Targets int
	Steps          int // of crashStep each, in each of which a request comes
	// PoisonShare is the share of the requests that have the part which crashes targets, from PoisonFrom on.
	PoisonShare float64
	PoisonFrom  int
	// MassCrashes are the steps at which half of the targets crash for another reason.
	MassCrashes []int
}

// CrashResult is what came of a load.
type CrashResult struct {
	Crashes       int
	LatePoison    int // requests with the part sent more than a second after the fifth crash
	SoundRejected int
	SoundBroken   int // sound requests whose targets crashed before they had answered
	Sound         int
	// LongestBlock is the longest time for which a sound part was blocked at a host.
	LongestBlock time.Duration
}

const (
	crashStep = 10 * time.Millisecond
	// gossipSteps is the number of steps between two exchanges of evidence between hosts.
	gossipSteps = 10
	// restartSteps is the number of steps after which a target that crashed runs again.
	restartSteps = 300
	// minPrefillSteps and prefillSteps bound the time until an answer begins, answeredSteps is how much later
	// it counts as one that goes on, and answerSteps how long it takes.
	minPrefillSteps, prefillSteps, answeredSteps, answerSteps = 6, 25, 10, 80
	// popularParts and rareParts are the numbers of first parts and of second parts of prompts.
	popularParts, rareParts = 3, 300
	// lateSteps is the time after the fifth crash from which LatePoison counts.
	lateSteps = 100
	fifth     = 5
)

// poisonPart is the part that crashes targets.
const poisonPart = poison.Part(1 << 40)

// epoch is the time at which each replay begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// crashJob is a request under way.
type crashJob struct {
	host     int
	parts    []poison.Part
	begins   int // step at which its answer begins
	answered bool
}

// crashReplay is the state of a replay.
type crashReplay struct {
	load      CrashLoad
	random    *rand.Rand
	hosts     []CrashGuard
	jobs      [][]*crashJob // by target
	runsFrom  []int         // step from which a target runs
	crashedAt []int         // steps of the crashes
	blocked   map[int]map[poison.Part]int
	result    CrashResult
}

// ReplayCrashes plays a load with a guard at each host.
func ReplayCrashes(load CrashLoad, newGuard func() CrashGuard) CrashResult {
	r := &crashReplay{load: load, random: rand.New(rand.NewPCG(load.Seed, 1)), jobs: make([][]*crashJob, load.Targets), runsFrom: make([]int, load.Targets), blocked: make(map[int]map[poison.Part]int)}
	for i := range load.Hosts {
		r.hosts = append(r.hosts, newGuard())
		r.blocked[i] = make(map[poison.Part]int)
	}
	for step := range load.Steps {
		r.place(step)
		if slices.Contains(load.MassCrashes, step) {
			for target := 0; target < load.Targets; target += 2 {
				r.crash(step, target)
			}
		}
		r.advance(step)
		if step%gossipSteps == 0 {
			r.gossip(step)
		}
		r.countBlocked()
	}
	return r.result
}

// timeOf returns the time of a step.
func timeOf(step int) time.Time { return epoch.Add(time.Duration(step) * crashStep) }

// place sends one request from a random host to a random target.
func (r *crashReplay) place(step int) {
	parts := []poison.Part{poison.Part(r.random.IntN(popularParts)), poison.Part(popularParts + r.random.IntN(rareParts))}
	poisoned := step >= r.load.PoisonFrom && r.random.Float64() < r.load.PoisonShare
	if poisoned {
		parts = append(parts, poisonPart)
	} else {
		r.result.Sound++
	}
	host, target := r.random.IntN(len(r.hosts)), r.random.IntN(len(r.jobs))
	if r.hosts[host].Rejects(parts) {
		if !poisoned {
			r.result.SoundRejected++
		}
		return
	}
	if poisoned && len(r.crashedAt) >= fifth && step-r.crashedAt[fifth-1] > lateSteps {
		r.result.LatePoison++
	}
	if r.runsFrom[target] <= step {
		begins := step + minPrefillSteps + r.random.IntN(prefillSteps)
		r.jobs[target] = append(r.jobs[target], &crashJob{host: host, parts: parts, begins: begins})
	}
}

// crash ends a target under all requests there.
func (r *crashReplay) crash(step, target int) {
	r.crashedAt = append(r.crashedAt, step)
	r.result.Crashes++
	r.runsFrom[target] = step + restartSteps
	for _, j := range r.jobs[target] {
		if j.answered {
			continue
		}
		r.hosts[j.host].Crashed(timeOf(step), poison.Crash{Process: poison.Process(target), At: timeOf(step)}, j.parts)
		if !slices.Contains(j.parts, poisonPart) {
			r.result.SoundBroken++
		}
	}
	r.jobs[target] = nil
}

// advance lets answers begin, go on and end, and crashes the targets of those with poisonPart.
func (r *crashReplay) advance(step int) {
	for target := range r.jobs {
		for _, j := range r.jobs[target] {
			if j.begins == step && slices.Contains(j.parts, poisonPart) {
				r.crash(step, target)
				break
			}
			if j.begins+answeredSteps == step {
				r.hosts[j.host].Answered(timeOf(step), j.parts)
				j.answered = true
			}
		}
		r.jobs[target] = slices.DeleteFunc(r.jobs[target], func(j *crashJob) bool { return j.begins+answerSteps < step })
	}
}

// gossip lets each host tell all others what it knows.
func (r *crashReplay) gossip(step int) {
	for _, from := range r.hosts {
		for _, to := range r.hosts {
			if to != from {
				from.Tell(timeOf(step), to)
			}
		}
	}
}

// countBlocked updates for how long each sound part has been blocked at each host.
func (r *crashReplay) countBlocked() {
	for i, h := range r.hosts {
		now := make(map[poison.Part]int)
		for _, p := range h.BlockedAlone() {
			if p != poisonPart {
				now[p] = r.blocked[i][p] + 1
				r.result.LongestBlock = max(r.result.LongestBlock, time.Duration(now[p])*crashStep)
			}
		}
		r.blocked[i] = now
	}
}
