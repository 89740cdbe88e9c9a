package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/store"
)

// spreadBound is the time in which an accepted configuration must be in force
// everywhere.
const spreadBound = 14 * time.Second

// oldestReport bounds the age of the reports that controllers see.
const oldestReport = 12 * time.Second

// sizes returns the numbers of hosts to run: the small ones, or those that the
// variable names, separated by commas.
func sizes(variable string, small ...int) []int {
	named := os.Getenv(variable)
	if named == "" {
		return small
	}
	var all []int
	for field := range strings.SplitSeq(named, ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			panic(err)
		}
		all = append(all, n)
	}
	return all
}

// TestSpread checks that a change is in force at every host within the bound.
func TestSpread(t *testing.T) {
	for _, n := range sizes("ZINNIA_CAPACITY_SPREAD", 7, 30) {
		t.Run(fmt.Sprint("hosts=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { spread(t, n) })
		})
	}
}

// spread accepts changes at uneven moments and measures the longest spread.
func spread(t *testing.T, n int) {
	is := is.New(t)
	f, err := newFleet(2*n, 200, 0)
	is.NoErr(err)
	defer f.close()
	f.fabric.SetDelay(20 * time.Millisecond)
	f.grow(n)
	time.Sleep(30 * time.Second)
	is.Equal(f.behind(1), 0)
	_, oldest := f.ages()
	is.True(oldest < oldestReport)
	var worst, sum time.Duration
	const changes = 6
	for i := range changes {
		time.Sleep(time.Duration(i*370+150) * time.Millisecond)
		revision, err := f.accept(i)
		is.NoErr(err)
		began := time.Now()
		for f.behind(revision) > 0 && time.Since(began) < spreadBound {
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(f.behind(revision), 0)
		worst = max(worst, time.Since(began))
		sum += time.Since(began)
	}
	t.Logf("spread at %d hosts: mean %.2f s, longest of %d changes %.2f s", n, (sum / changes).Seconds(), changes, worst.Seconds())
}

// TestSteady prints what the control of a host spends in steady state, with
// an organisation's contract changed every half a minute.
func TestSteady(t *testing.T) {
	for _, n := range sizes("ZINNIA_CAPACITY_STEADY", 7) {
		t.Run(fmt.Sprint("hosts=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { steady(t, n, 0, load{}) })
		})
	}
}

// TestGrants prints what grants add for active organisations.
func TestGrants(t *testing.T) {
	for _, active := range sizes("ZINNIA_CAPACITY_GRANTS", 10) {
		t.Run(fmt.Sprint("active=", active), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { steady(t, 7, active, load{asks: true}) })
		})
	}
}

// TestUsage prints what usage adds for active organisations, each with a
// request a second at every gateway.
func TestUsage(t *testing.T) {
	for _, active := range sizes("ZINNIA_CAPACITY_USAGE", 10) {
		t.Run(fmt.Sprint("active=", active), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steady(t, sizes("ZINNIA_CAPACITY_USAGE_HOSTS", 7)[0], active, load{asks: true, counts: true})
			})
		})
	}
}

// callersOrganisations is the number of organisations whose callers come.
const callersOrganisations = 2_000

// TestCallers prints what grants add where each gateway serves many
// organisations that each send it a request now and then. The variable names
// rates, in tenths of requests a second at each gateway; each organisation sends
// as much as at the size to design for at 23.
func TestCallers(t *testing.T) {
	hosts := sizes("ZINNIA_CAPACITY_CALLERS_HOSTS", 7)[0]
	for _, tenths := range sizes("ZINNIA_CAPACITY_CALLERS", 6) {
		t.Run(fmt.Sprint("rate=", float64(tenths)/10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { called(t, hosts, float64(tenths)/10) })
		})
	}
}

// TestUsageAlone prints what usage adds without grants.
func TestUsageAlone(t *testing.T) {
	for _, active := range sizes("ZINNIA_CAPACITY_USAGE", 10) {
		t.Run(fmt.Sprint("active=", active), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steady(t, sizes("ZINNIA_CAPACITY_USAGE_HOSTS", 7)[0], active, load{counts: true})
			})
		})
	}
}

// called runs a fleet with callers.
func called(t *testing.T, n int, rate float64) {
	is := is.New(t)
	f, err := newFleetOf(targetsFor(n), smallContracts(callersOrganisations, n), 0)
	is.NoErr(err)
	defer f.close()
	f.rate = rate
	f.fabric.SetDelay(time.Millisecond)
	f.grow(n)
	time.Sleep(warmTime(n) + 2*time.Minute) // the first grantors have waited
	is.Equal(f.behind(1), 0)
	before := f.spent()
	arrivedBefore, refusedBefore := f.refusals()
	span := time.Minute
	time.Sleep(span)
	f.print(t, fmt.Sprintf("callers, %d hosts, %.1f requests a second a gateway", n, rate), n, span, before)
	arrived, refused := f.refusals()
	t.Logf("  %d requests, %.1f%% refused", arrived-arrivedBefore, 100*float64(refused-refusedBefore)/float64(max(1, arrived-arrivedBefore)))
}

// load is what the gateways of a fleet hand to their controllers for the
// organisations that are active.
type load struct {
	asks   bool // for grants
	counts bool // use
}

// targetsFor returns the number of targets that n hosts stand before.
func targetsFor(n int) int {
	return max(16, designTargets*n/designNodes)
}

// steady runs a fleet without faults and prints what it spends.
func steady(t *testing.T, n, active int, l load) {
	is := is.New(t)
	f, err := newFleet(targetsFor(n), 200+active, active)
	is.NoErr(err)
	defer f.close()
	f.counts, f.asks = l.counts, l.asks
	f.fabric.SetDelay(time.Millisecond)
	f.grow(n)
	time.Sleep(warmTime(n))
	is.Equal(f.behind(1), 0)
	before, lists, polls := f.spent(), f.targets.lists, f.targets.polls
	span := steadySpan(l.counts)
	time.Sleep(span)
	f.print(t, fmt.Sprintf("steady, %d hosts, %d targets, %d active", n, targetsFor(n), active), n, span, before)
	mean, most, temporary, mostTemporary := f.peers()
	t.Logf("  links with heartbeats to %.1f controllers on average, %d at most; %.1f temporary ones, %d at most", mean, most, temporary, mostTemporary)
	young, oldest := f.ages()
	t.Logf("  reports seen by controllers are %.1f s old on average, %.1f s at most", young.Seconds(), oldest.Seconds())
	t.Logf("  host lists %.2f/s, target reports %.2f/s a host", float64(f.targets.lists-lists)/span.Seconds(), float64(f.targets.polls-polls)/span.Seconds()/float64(n))
}

// steadySpan is how long a fleet is measured: with usage as long as windows.
func steadySpan(counts bool) time.Duration {
	if counts {
		return 3 * time.Minute
	}
	return 20 * time.Second
}

// warmTime is how long a fleet needs until controllers are settled: four beats
// and the allowance for their spread.
func warmTime(n int) time.Duration {
	return max(12*time.Second, time.Duration(4*2*n/39+6)*time.Second)
}

// print logs what was spent since before.
func (f *fleet) print(t *testing.T, what string, n int, span time.Duration, before usageOf) {
	now := f.spent()
	hosts, seconds := float64(n), span.Seconds()
	share := (now.processor - before.processor).Seconds() / hosts / seconds
	rate := float64(now.bytes-before.bytes) / hosts / seconds
	t.Logf("%s: %.2f%% of a core, %.2f kB/s of messages a host", what, 100*share, rate/1e3)
	for purpose, name := range map[store.Purpose]string{store.PurposeClaim: "claims", store.PurposeConfiguration: "configuration", store.PurposeOrder: "orders", store.PurposeUsage: "usage", store.PurposeStatus: "status"} {
		if calls := now.calls[purpose] - before.calls[purpose]; calls > 0 {
			t.Logf("  store calls for %s: %.2f/s in all", name, float64(calls)/seconds)
		}
	}
}

// TestChurn prints what a restarted host and a lost rack add, and checks that
// a change reaches every host that is left within the bound.
func TestChurn(t *testing.T) {
	for _, n := range sizes("ZINNIA_CAPACITY_CHURN", 12) {
		t.Run(fmt.Sprint("hosts=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { churn(t, n) })
		})
	}
}

// churn restarts one host and then loses a tenth of them.
func churn(t *testing.T, n int) {
	is := is.New(t)
	f, err := newFleet(targetsFor(n), 200, 0)
	is.NoErr(err)
	defer f.close()
	f.fabric.SetDelay(time.Millisecond)
	f.grow(n)
	time.Sleep(warmTime(n))
	const span = 10 * time.Second
	before := f.spent()
	time.Sleep(span)
	f.print(t, fmt.Sprintf("quiet, %d hosts", n), n, span, before)
	before = f.spent()
	f.restart(n/2, 2)
	time.Sleep(span)
	f.print(t, fmt.Sprintf("one restart, %d hosts", n), n, span, before)
	rack := max(1, n/10)
	before = f.spent()
	for i := n - rack; i < n; i++ {
		f.kill(i)
	}
	f.nodes = f.nodes[:n-rack]
	began := time.Now()
	revision, err := f.accept(0)
	is.NoErr(err)
	for f.behind(revision) > 0 && time.Since(began) < spreadBound {
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(f.behind(revision), 0)
	t.Logf("a change while %d of %d hosts go: %.2f s", rack, n, time.Since(began).Seconds())
	time.Sleep(span - time.Since(began))
	f.print(t, fmt.Sprintf("a rack of %d of %d hosts goes", rack, n), n-rack, span, before)
}
