package main

import (
	"time"

	"zinniapin/admission"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/routing"
	"zinniapin/usage"
	"zinniapin/zone"
)

// organisationSizes are the numbers of organisations at which state is
// measured.
var organisationSizes = []int{1_000, 4_000, 16_000}

// measureState measures the memory of state by organisation, target and waiting
// request.
func measureState(r *report) error {
	measureOrganisations(r)
	var router []point
	for _, n := range targetSizes {
		view := statesOf(n)
		router = append(router, point{float64(n), retainedHeap(func() any { return routerFor(view) }) / 1e3})
	}
	r.slope("router: heap", "kB", "target", router)
	var queued []point
	for _, n := range organisationSizes {
		queued = append(queued, point{float64(n), retainedHeap(func() any { return queuedScheduler(n) }) / 1e3})
	}
	r.slope("admission: a waiting request", "kB", "request", queued)
	return nil
}

// measureOrganisations measures the memory of state by organisation, and the
// memory and processor time of a grantor by gateway.
func measureOrganisations(r *report) {
	var snapshot, active, granted, counters []point
	for _, n := range organisationSizes {
		size := float64(n)
		snapshot = append(snapshot, point{size, retainedHeap(func() any { return contract.NewSnapshot(1, fleetDescription(), contractsOf(n)) }) / 1e3})
		active = append(active, point{size, retainedHeap(func() any { return activeScheduler(n) }) / 1e3})
		granted = append(granted, point{size, retainedHeap(func() any { return allocatorsOf(n) }) / 1e3})
		counters = append(counters, point{size, retainedHeap(func() any { return countersOf(n) }) / 1e3})
	}
	r.slope("snapshot of contracts: heap", "kB", "organisation", snapshot)
	r.slope("admission, active: heap", "kB", "organisation", active)
	r.slope("grantor, one gateway each: heap", "kB", "organisation", granted)
	r.slope("usage counter: heap", "kB", "counter", counters)
	var gatewayHeap, allocate []point
	for _, n := range hostSizes {
		allocate = append(allocate, point{float64(n), allocateTime(n)})
		gatewayHeap = append(gatewayHeap, point{float64(n), retainedHeap(func() any { return allocatorWithGateways(n) }) / 1e3})
	}
	r.slope("grantor, one organisation: heap", "kB", "gateway", gatewayHeap)
	r.slope("grantor: one answer", "us", "gateway", allocate)
	var longTerm []point
	for _, n := range gatewaySizes {
		longTerm = append(longTerm, point{float64(n), longTermAllocateTime(n)})
	}
	r.slope("grantor: one answer with the long term", "us", "gateway", longTerm)
}

// activeScheduler returns a scheduler with n organisations that have each had a
// request.
func activeScheduler(n int) *admission.Scheduler {
	c := admission.New(n)
	c.SetCapacity("pool", n)
	now := time.Now()
	for i := range n {
		k := contractOf(i)
		k.Limits.RequestsPerSecond = 1e6
		ticket, err := c.Admit(now, admission.Request{Organisation: k.Organisation, Contract: k, Pool: "pool", Cost: 1, Deadline: now.Add(time.Minute)})
		if err != nil {
			panic(err)
		}
		c.Dispatch(now, "pool")
		c.Done(now, ticket, 10)
	}
	return c
}

// queuedScheduler returns a scheduler with n waiting requests of 100
// organisations.
func queuedScheduler(n int) *admission.Scheduler {
	c := admission.New(n + 1)
	c.SetCapacity("pool", 1)
	now := time.Now()
	for i := range n {
		k := contractOf(i % 100)
		k.Limits = contract.Limits{RequestsPerSecond: 1e6, Concurrency: 1e6}
		if _, err := c.Admit(now, admission.Request{Organisation: k.Organisation, Contract: k, Pool: "pool", Cost: 1, Deadline: now.Add(time.Hour)}); err != nil {
			panic(err)
		}
	}
	return c
}

// gatewaySizes are the numbers of gateways with grants of one organisation.
var gatewaySizes = []int{7, 26, 60}

// allocatorsOf returns a grantor's allocators for n organisations with one
// gateway each.
func allocatorsOf(n int) map[string]*grant.Allocator {
	now := time.Now()
	all := map[string]*grant.Allocator{}
	for i := range n {
		all[organisationName(i)] = allocatorAfterRequests(now, 1)
	}
	return all
}

// grantCalls is the number of answers that an average is taken over.
const grantCalls = 2_000

// allocateTime returns the processor time in microseconds in which a grantor
// allocates a grant of one organisation to one of n gateways. The measured calls
// follow those of allocatorAfterRequests.
func allocateTime(n int) float64 {
	start := time.Now()
	allocator := allocatorAfterRequests(start, n)
	measuredFrom := start.Add(2 * (grant.Term + grant.Margin))
	limits := contractOf(0).Limits
	return perCall(grantCalls, func(i int) {
		at := measuredFrom.Add(time.Duration(i) * time.Second / time.Duration(n))
		allocator.Allocate(at, gatewayOf(i%n, 1).ID(), limits, grant.Fleet{Live: n, Known: n}, control.Demand{RequestsPerSecond: 1, Concurrency: 1})
	})
}

// longTermAllocateTime returns the processor time in microseconds in which a
// grantor allocates a long-term grant to one of n gateways. The fleet has the
// design size, and the demands leave part of the organisation's limits unused.
func longTermAllocateTime(n int) float64 {
	start := time.Now()
	allocator := grant.NewAllocator(start.Add(-time.Hour))
	limits, fleet := contractOf(0).Limits, grant.Fleet{Live: designHosts, Known: designHosts}
	demand := control.Demand{RequestsPerSecond: limits.RequestsPerSecond / designHosts, Concurrency: 1}
	for i := range n {
		allocator.Allocate(start, gatewayOf(i, 1).ID(), limits, fleet, demand)
	}
	return perCall(grantCalls, func(i int) {
		at := start.Add(time.Duration(i) * grant.LongTerm / time.Duration(n))
		allocator.Allocate(at, gatewayOf(i%n, 1).ID(), limits, fleet, demand)
	})
}

// allocatorWithGateways returns the allocator of one organisation with n
// gateways.
func allocatorWithGateways(n int) *grant.Allocator {
	return allocatorAfterRequests(time.Now(), n)
}

// allocatorAfterRequests returns an allocator from which n gateways have
// requested grants every second for as long as a grant counts, its margin
// included, so that it keeps the most overlapping grants per gateway.
func allocatorAfterRequests(now time.Time, n int) *grant.Allocator {
	allocator := grant.NewAllocator(now)
	limits := contractOf(0).Limits
	grantsFrom := now.Add(grant.Term + grant.Margin)
	for second := range int((grant.Term + grant.Margin) / time.Second) {
		for i := range n {
			allocator.Allocate(grantsFrom.Add(time.Duration(second)*time.Second), gatewayOf(i, 1).ID(), limits, grant.Fleet{Live: n, Known: n}, control.Demand{RequestsPerSecond: 1, Concurrency: 1})
		}
	}
	return allocator
}

// countersOf returns n usage counters.
func countersOf(n int) map[string]*usage.Counter {
	all := map[string]*usage.Counter{}
	for i := range n {
		c := &usage.Counter{Gateway: gatewayOf(i%designHosts, 1).ID(), Organisation: organisationName(i), Window: time.Now()}
		all[c.Organisation] = c
	}
	return all
}

// routerFor returns a router that has observed a view of the targets.
func routerFor(view []control.TargetState) *routing.Router {
	r := routing.New(zoneOf(0), 1)
	r.Observe(time.Now(), view, lookupZone)
	return r
}

// lookupZone returns the zone with a name.
func lookupZone(name zone.Name) (zone.Zone, bool) {
	for i := range zoneCount {
		if zoneOf(i).Name == name {
			return zoneOf(i), true
		}
	}
	return zone.Zone{}, false
}
