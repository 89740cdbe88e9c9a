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

// propagationBound is the time within which an accepted configuration must be
// in force at every host.
const propagationBound = 14 * time.Second

// maxReportAge is the upper bound of the age of target reports at controllers.
const maxReportAge = 12 * time.Second

// sizesFromEnvironment returns the sizes to run: those in the environment
// variable, separated by commas, or the small ones if it is not set.
func sizesFromEnvironment(variable string, small ...int) []int {
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

// TestSpread checks that a change of the configuration is in force at every
// host within propagationBound.
func TestSpread(t *testing.T) {
	for _, n := range sizesFromEnvironment("ZINNIA_CAPACITY_SPREAD", 7, 30) {
		t.Run(fmt.Sprint("hosts=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkPropagation(t, n) })
		})
	}
}

// checkPropagation accepts changes at uneven intervals, checks that each is in
// force at all n hosts within propagationBound, and logs the times.
func checkPropagation(t *testing.T, n int) {
	is := is.New(t)
	f, err := newFleet(2*n, 200, 0)
	is.NoErr(err)
	defer f.close()
	f.fabric.SetDelay(20 * time.Millisecond)
	f.growTo(n)
	time.Sleep(30 * time.Second)
	is.Equal(f.hostsBehind(1), 0)
	_, oldestAge := f.reportAges()
	is.True(oldestAge < maxReportAge)
	var worst, sum time.Duration
	const changes = 6
	for i := range changes {
		time.Sleep(time.Duration(i*370+150) * time.Millisecond)
		revision, err := f.accept(i)
		is.NoErr(err)
		started := time.Now()
		for f.hostsBehind(revision) > 0 && time.Since(started) < propagationBound {
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(f.hostsBehind(revision), 0)
		worst = max(worst, time.Since(started))
		sum += time.Since(started)
	}
	t.Logf("spread at %d hosts: mean %.2f s, longest of %d changes %.2f s", n, (sum / changes).Seconds(), changes, worst.Seconds())
}

// TestSteady logs the resources that the control traffic of a host uses in
// steady state.
func TestSteady(t *testing.T) {
	for _, n := range sizesFromEnvironment("ZINNIA_CAPACITY_STEADY", 7) {
		t.Run(fmt.Sprint("hosts=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSteady(t, n, 0, gatewayLoad{}) })
		})
	}
}

// TestGrants logs the resources used when gateways request grants for active
// organisations.
func TestGrants(t *testing.T) {
	for _, active := range sizesFromEnvironment("ZINNIA_CAPACITY_GRANTS", 10) {
		t.Run(fmt.Sprint("active=", active), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSteady(t, 7, active, gatewayLoad{requestsGrants: true}) })
		})
	}
}

// TestUsage logs the resources used when gateways request grants and count
// usage for active organisations, each with a request a second at every gateway.
func TestUsage(t *testing.T) {
	for _, active := range sizesFromEnvironment("ZINNIA_CAPACITY_USAGE", 10) {
		t.Run(fmt.Sprint("active=", active), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runSteady(t, sizesFromEnvironment("ZINNIA_CAPACITY_USAGE_HOSTS", 7)[0], active, gatewayLoad{requestsGrants: true, countsUsage: true})
			})
		})
	}
}

// callersOrganisations is the number of organisations that send requests in
// TestCallers.
const callersOrganisations = 2_000

// TestCallers logs the resources used when each gateway serves many
// organisations that each send it a request now and then. The environment
// variable lists rates, in tenths of a request a second at each gateway. At 23,
// each organisation sends as much as at the design size.
func TestCallers(t *testing.T) {
	hosts := sizesFromEnvironment("ZINNIA_CAPACITY_CALLERS_HOSTS", 7)[0]
	for _, tenths := range sizesFromEnvironment("ZINNIA_CAPACITY_CALLERS", 6) {
		t.Run(fmt.Sprint("rate=", float64(tenths)/10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWithCallers(t, hosts, float64(tenths)/10) })
		})
	}
}

// TestUsageAlone is like TestUsage without requests for grants.
func TestUsageAlone(t *testing.T) {
	for _, active := range sizesFromEnvironment("ZINNIA_CAPACITY_USAGE", 10) {
		t.Run(fmt.Sprint("active=", active), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runSteady(t, sizesFromEnvironment("ZINNIA_CAPACITY_USAGE_HOSTS", 7)[0], active, gatewayLoad{countsUsage: true})
			})
		})
	}
}

// runWithCallers runs a fleet of n hosts with callers and logs the resources
// used and the share of refused requests.
func runWithCallers(t *testing.T, n int, rate float64) {
	is := is.New(t)
	f, err := newFleetOf(targetsFor(n), scaledContracts(callersOrganisations, n), 0)
	is.NoErr(err)
	defer f.close()
	f.rate = rate
	f.fabric.SetDelay(time.Millisecond)
	f.growTo(n)
	time.Sleep(warmTime(n) + 2*time.Minute) // until the initial waiting time of grantors is over
	is.Equal(f.hostsBehind(1), 0)
	before := f.resourcesUsed()
	arrivedBefore, refusedBefore := f.requestCounts()
	span := time.Minute
	time.Sleep(span)
	f.logUsed(t, fmt.Sprintf("callers, %d hosts, %.1f requests a second a gateway", n, rate), n, span, before)
	arrived, refused := f.requestCounts()
	t.Logf("  %d requests, %.1f%% refused", arrived-arrivedBefore, 100*float64(refused-refusedBefore)/float64(max(1, arrived-arrivedBefore)))
}

// gatewayLoad selects what gateways send to their controllers for active
// organisations.
type gatewayLoad struct {
	requestsGrants bool // requests for grants
	countsUsage    bool // usage counters
}

// targetsFor returns the number of targets in a fleet of n hosts.
func targetsFor(n int) int {
	return max(16, designTargets*n/designHosts)
}

// runSteady runs a fleet of n hosts without faults and logs the resources used.
func runSteady(t *testing.T, n, active int, l gatewayLoad) {
	is := is.New(t)
	f, err := newFleet(targetsFor(n), 200+active, active)
	is.NoErr(err)
	defer f.close()
	f.countsUsage, f.requestsGrants = l.countsUsage, l.requestsGrants
	f.fabric.SetDelay(time.Millisecond)
	f.growTo(n)
	time.Sleep(warmTime(n))
	is.Equal(f.hostsBehind(1), 0)
	before, lists, polls := f.resourcesUsed(), f.targets.listCalls, f.targets.reportCalls
	span := steadySpan(l.countsUsage)
	time.Sleep(span)
	f.logUsed(t, fmt.Sprintf("steady, %d hosts, %d targets, %d active", n, targetsFor(n), active), n, span, before)
	mean, most, temporary, mostTemporary := f.linkCounts()
	t.Logf("  links with heartbeats to %.1f controllers on average, %d at most; %.1f temporary ones, %d at most", mean, most, temporary, mostTemporary)
	meanAge, oldestAge := f.reportAges()
	t.Logf("  reports seen by controllers are %.1f s old on average, %.1f s at most", meanAge.Seconds(), oldestAge.Seconds())
	t.Logf("  host lists %.2f/s, target reports %.2f/s a host", float64(f.targets.listCalls-lists)/span.Seconds(), float64(f.targets.reportCalls-polls)/span.Seconds()/float64(n))
}

// steadySpan returns how long a fleet is measured. With usage it covers several
// usage windows.
func steadySpan(counts bool) time.Duration {
	if counts {
		return 3 * time.Minute
	}
	return 20 * time.Second
}

// warmTime returns how long a fleet of n hosts runs before it is measured, so
// that its controllers are settled: eight times the beat interval of its 2n
// processes, which is 2n/78 s in a large fleet (see membership.BeatInterval), and
// 6 s for the beats to spread.
func warmTime(n int) time.Duration {
	return max(12*time.Second, time.Duration(4*2*n/39+6)*time.Second)
}

// logUsed logs the resources used since before, as rates per host.
func (f *fleet) logUsed(t *testing.T, what string, n int, span time.Duration, before resources) {
	now := f.resourcesUsed()
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

// TestChurn logs the resources used after the restart of a host and the loss of
// a rack, and checks that a change then reaches every remaining host within
// propagationBound.
func TestChurn(t *testing.T) {
	for _, n := range sizesFromEnvironment("ZINNIA_CAPACITY_CHURN", 12) {
		t.Run(fmt.Sprint("hosts=", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChurn(t, n) })
		})
	}
}

// runChurn restarts one host of n, and then kills a tenth of the hosts and
// accepts a change.
func runChurn(t *testing.T, n int) {
	is := is.New(t)
	f, err := newFleet(targetsFor(n), 200, 0)
	is.NoErr(err)
	defer f.close()
	f.fabric.SetDelay(time.Millisecond)
	f.growTo(n)
	time.Sleep(warmTime(n))
	const span = 10 * time.Second
	before := f.resourcesUsed()
	time.Sleep(span)
	f.logUsed(t, fmt.Sprintf("quiet, %d hosts", n), n, span, before)
	before = f.resourcesUsed()
	f.restart(n/2, 2)
	time.Sleep(span)
	f.logUsed(t, fmt.Sprintf("one restart, %d hosts", n), n, span, before)
	rack := max(1, n/10)
	before = f.resourcesUsed()
	for i := n - rack; i < n; i++ {
		f.kill(i)
	}
	f.nodes = f.nodes[:n-rack]
	started := time.Now()
	revision, err := f.accept(0)
	is.NoErr(err)
	for f.hostsBehind(revision) > 0 && time.Since(started) < propagationBound {
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(f.hostsBehind(revision), 0)
	t.Logf("a change while %d of %d hosts go: %.2f s", rack, n, time.Since(started).Seconds())
	time.Sleep(span - time.Since(started))
	f.logUsed(t, fmt.Sprintf("a rack of %d of %d hosts goes", rack, n), n-rack, span, before)
}
