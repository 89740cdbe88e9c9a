package targetbench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// crashSeeds is the number of seeds over which Print takes sums.
const crashSeeds = 5

// Print plays the replays and prints how the policies compare.
func Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "load\tpolicy\tcrashes\tsent late\tsound broken\tsound rejected\tlongest block"); err != nil {
		return err
	}
	for _, load := range CrashLoads() {
		for _, policy := range CrashPolicies() {
			var sum CrashResult
			for seed := range uint64(crashSeeds) {
				load.Load.Seed = seed
				r := ReplayCrashes(load.Load, policy.New)
				sum.Crashes += r.Crashes
				sum.LatePoison += r.LatePoison
				sum.SoundBroken += r.SoundBroken
				sum.SoundRejected += r.SoundRejected
				sum.LongestBlock = max(sum.LongestBlock, r.LongestBlock)
			}
			if _, err := fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%v\n", load.Name, policy.Name, sum.Crashes, sum.LatePoison, sum.SoundBroken, sum.SoundRejected, sum.LongestBlock); err != nil {
				return err
			}
		}
	}
	if _, err := fmt.Fprintln(t, "\nhosts\tlimit\tload\tpolicy\tmost in 4 s\tallowed\tmean a second"); err != nil {
		return err
	}
	for _, load := range append(LimitLoads(), LimitTroubles()...) {
		for _, policy := range LimitPolicies() {
			r := ReplayLimit(load, policy.Policy)
			if _, err := fmt.Fprintf(t, "%d\t%v\t%s\t%s\t%d\t%.4g\t%.2f\n", load.Hosts, load.PerSecond, load.kind(), policy.Name, r.Most, r.Allowed, r.Mean); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

// NamedCrashLoad is a load with its name in the table.
type NamedCrashLoad struct {
	Name string
	Load CrashLoad
}

// CrashLoads returns the loads that Print plays: requests that crash targets, and targets that crash all by
// themselves.
func CrashLoads() []NamedCrashLoad {
	base := CrashLoad{Hosts: 6, Targets: 12, Steps: 2000}
	poisoned, mass := base, base
	poisoned.PoisonShare, poisoned.PoisonFrom = 0.05, 500
	mass.MassCrashes = []int{800, 1400}
	return []NamedCrashLoad{{"5 % crash targets", poisoned}, {"half of all crash twice", mass}}
}

// CrashPolicy is a guard with its name in the table.
type CrashPolicy struct {
	Name string
	New  func() CrashGuard
}

// CrashPolicies returns the guards that Print compares; the last one is that of a node.
func CrashPolicies() []CrashPolicy {
	return []CrashPolicy{
		{"none", func() CrashGuard { return &NoGuard{} }},
		{"count", func() CrashGuard { return NewCountingGuard() }},
		{"blame", func() CrashGuard { return NewBlamingGuard() }},
	}
}

// limitSteps is the length of a replay of a limit.
const limitSteps = 6000

// LimitLoads returns the loads on targets with a limit that Print plays.
func LimitLoads() []LimitLoad {
	return []LimitLoad{
		{Hosts: 1, PerSecond: 1.4, Steps: limitSteps}, {Hosts: 6, PerSecond: 1.4, Steps: limitSteps}, {Hosts: 6, PerSecond: 1.4, Uneven: true, Steps: limitSteps},
		{Hosts: 6, PerSecond: 0, Steps: limitSteps}, {Hosts: 6, PerSecond: 0.1, Steps: limitSteps}, {Hosts: 6, PerSecond: 40, Steps: limitSteps}, {Hosts: 6, PerSecond: 1e300, Steps: limitSteps},
		{Hosts: 63, PerSecond: 1, Steps: limitSteps}, {Hosts: 300, PerSecond: 1, Steps: limitSteps}, {Hosts: 300, PerSecond: 12.5, Steps: limitSteps}, {Hosts: 300, PerSecond: 12.5, Uneven: true, Steps: limitSteps},
	}
}

// kind describes in a word what a load has.
func (l *LimitLoad) kind() string {
	switch {
	case l.Surges && l.Faults:
		return "surges, faults"
	case l.Surges:
		return "surges"
	case l.Faults:
		return "faults"
	case l.Uneven:
		return "uneven"
	}
	return "even"
}

// LimitTroubles returns loads with surges, with hosts that crash, start and are cut off, and with both.
func LimitTroubles() []LimitLoad {
	var all []LimitLoad
	for _, l := range []LimitLoad{{Hosts: 6, PerSecond: 1.4}, {Hosts: 6, PerSecond: 40}, {Hosts: 63, PerSecond: 1}, {Hosts: 63, PerSecond: 25}, {Hosts: 300, PerSecond: 1}, {Hosts: 300, PerSecond: 12.5}} {
		l.Steps = limitSteps
		surges, faults, both := l, l, l
		surges.Surges, faults.Faults, both.Surges, both.Faults = true, true, true, true
		all = append(all, surges, faults, both)
	}
	return all
}

// LimitPolicy is a policy with its name in the table.
type LimitPolicy struct {
	Name   string
	Policy SenderPolicy
}

// LimitPolicies returns the policies that Print compares; the last one is that of nodes.
func LimitPolicies() []LimitPolicy {
	return []LimitPolicy{{"each alone", Alone}, {"equal shares", EqualShares}, {"turns", Turns}}
}
