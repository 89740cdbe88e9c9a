package targetbench

import (
	"fmt"
	"testing"

	"time"
	"zinniapin/internal/knownred"
)

// Requests with a part that crashes targets come beside sound ones, or targets crash all by themselves. The
// part is rejected soon, and no sound part for long.
func TestReplayOfCrashesUnderLoad(t *testing.T) {
	for _, load := range CrashLoads() {
		for seed := range uint64(crashSeeds) {
			t.Run(fmt.Sprint(load.Name, seed), func(t *testing.T) {
				load.Load.Seed = seed
				r := ReplayCrashes(load.Load, func() CrashGuard { return NewBlamingGuard() })
				t.Logf("%+v", r)
				if r.LatePoison > 3 {
					t.Errorf("%d requests with the part are sent a second after the fifth crash, at most 3 may", r.LatePoison)
				}
				if r.LongestBlock > time.Second {
					t.Errorf("a sound part is blocked for %v", r.LongestBlock)
				}
				if load.Load.PoisonShare > 0 && (r.Crashes < 3 || r.Crashes > 8) {
					t.Errorf("%d crashes", r.Crashes)
				}
			})
		}
	}
}

// Requests come at all hosts evenly, or most at a few of them, far more than a target takes that names a
// limit. It gets no more than the limit allows, and on the mean a quarter of it at least.
func TestLimitHoldsForAllHostsTogether(t *testing.T) {
	for _, load := range LimitLoads() {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			r := ReplayLimit(load, Turns)
			t.Logf("%+v", r)
			if float64(r.Most) > r.Allowed {
				t.Errorf("%d requests in %v, %v allowed", r.Most, limitSpan, r.Allowed)
			}
			if offered := limitRequests / limitStep.Seconds(); r.Mean < min(load.PerSecond, offered)/4 {
				t.Errorf("%.2f requests a second reach a target that takes %v", r.Mean, load.PerSecond)
			}
		})
	}
}

// Demand surges; hosts crash, start and are cut off, so that they have different views of each other. A target
// that names a limit still gets no more than the limit allows.
func TestLimitHoldsInTroubles(t *testing.T) {
	for _, load := range LimitTroubles() {
		for seed := range uint64(3) {
			load := load
			load.Seed = seed
			t.Run(fmt.Sprintf("%d hosts, %v, %s, seed %d", load.Hosts, load.PerSecond, load.kind(), seed), func(t *testing.T) {
				t.Parallel()
				r := ReplayLimit(load, Turns)
				t.Logf("%+v", r)
				if float64(r.Most) > r.Allowed {
					t.Errorf("%d requests in %v, %v allowed", r.Most, limitSpan, r.Allowed)
				}
			})
		}
	}
}

// Each of 300 hosts has little demand, and all together far more than a target takes that names a limit. The
// target gets most of what it takes, even if most requests come at a few hosts.
func TestTargetGetsMostOfItsLimitFromManyHosts(t *testing.T) {
	const least = 0.8 // share of the limit
	for _, c := range []struct {
		perSecond float64
		uneven    bool
	}{{1, false}, {12.5, false}, {12.5, true}} {
		load := LimitLoad{Hosts: 300, PerSecond: c.perSecond, Uneven: c.uneven, Steps: 3 * limitSteps}
		t.Run(fmt.Sprint(c.perSecond, load.kind()), func(t *testing.T) {
			t.Parallel()
			r := ReplayLimit(load, Turns)
			t.Logf("%+v", r)
			if r.Mean < least*c.perSecond {
				tag := "limit-even"
				if c.uneven {
					tag = "limit-uneven"
				}
				knownred.Fail(t, "../../KNOWN-RED.txt", tag, "%.2f requests a second reach a target that takes %v", r.Mean, c.perSecond)
			}
		})
	}
}
