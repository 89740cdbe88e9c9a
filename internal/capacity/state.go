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

// measureState measures the heap that state takes.
func measureState(r *report) error {
	measureOrganisations(r)
	var router []point
	for _, n := range targetSizes {
		view := statesOf(n)
		router = append(router, point{float64(n), retained(func() any { return routerOf(view) }) / 1e3})
	}
	r.slope("router: heap", "kB", "target", router)
	var queued []point
	for _, n := range organisationSizes {
		queued = append(queued, point{float64(n), retained(func() any { return queueOf(n) }) / 1e3})
	}
	r.slope("admission: a waiting request", "kB", "request", queued)
	return nil
}

// measureOrganisations measures state by organisation.
func measureOrganisations(r *report) {
	var snapshot, active, granted, counters []point
	for _, n := range organisationSizes {
		size := float64(n)
		snapshot = append(snapshot, point{size, retained(func() any { return contract.NewSnapshot(1, describedFleet(), contractsOf(n)) }) / 1e3})
		active = append(active, point{size, retained(func() any { return activeCore(n) }) / 1e3})
		granted = append(granted, point{size, retained(func() any { return grantsOf(n) }) / 1e3})
		counters = append(counters, point{size, retained(func() any { return countersOf(n) }) / 1e3})
	}
	r.slope("snapshot of contracts: heap", "kB", "organisation", snapshot)
	r.slope("admission, active: heap", "kB", "organisation", active)
	r.slope("grantor, one gateway each: heap", "kB", "organisation", granted)
	r.slope("usage counter: heap", "kB", "counter", counters)
	var holders, asks []point
	for _, n := range coreSizes {
		asks = append(asks, point{float64(n), askTime(n)})
		holders = append(holders, point{float64(n), retained(func() any { return grantHolders(n) }) / 1e3})
	}
	r.slope("grantor, one organisation: heap", "kB", "gateway", holders)
	r.slope("grantor: one answer", "us", "gateway", asks)
	var long []point
	for _, n := range holderSizes {
		long = append(long, point{float64(n), longAskTime(n)})
	}
	r.slope("grantor: one answer with the long term", "us", "gateway", long)
}

// activeCore returns admission with n active organisations.
func activeCore(n int) *admission.Scheduler {
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

// queueOf returns admission with n waiting requests of 100 organisations.
func queueOf(n int) *admission.Scheduler {
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

// holderSizes are the numbers of gateways that hold grants of one organisation.
var holderSizes = []int{7, 26, 60}

// grantsOf returns a grantor's state for n organisations with one gateway.
func grantsOf(n int) map[string]*grant.Allocator {
	now := time.Now()
	all := map[string]*grant.Allocator{}
	for i := range n {
		all[organisationName(i)] = askedOrganisation(now, 1)
	}
	return all
}

// grantCalls is the number of answers that an average is taken over.
const grantCalls = 2_000

// askTime returns the processor time in microseconds in which a grantor answers
// one of n gateways for one organisation.
func askTime(n int) float64 {
	start := time.Now()
	o := askedOrganisation(start, n)
	open := start.Add(2 * (grant.Term + grant.Margin))
	limits := contractOf(0).Limits
	return perCall(grantCalls, func(i int) {
		at := open.Add(time.Duration(i) * time.Second / time.Duration(n))
		o.Allocate(at, gatewayOf(i%n, 1).ID(), limits, grant.Fleet{Live: n, Known: n}, control.Demand{RequestsPerSecond: 1, Concurrency: 1})
	})
}

// longAskTime returns the processor time in microseconds in which a grantor
// answers one of n gateways, of those of the size to design for, for an
// organisation that leaves room.
func longAskTime(n int) float64 {
	start := time.Now()
	o := grant.NewAllocator(start.Add(-time.Hour))
	limits, fleet := contractOf(0).Limits, grant.Fleet{Live: designNodes, Known: designNodes}
	demand := control.Demand{RequestsPerSecond: limits.RequestsPerSecond / designNodes, Concurrency: 1}
	for i := range n {
		o.Allocate(start, gatewayOf(i, 1).ID(), limits, fleet, demand)
	}
	return perCall(grantCalls, func(i int) {
		at := start.Add(time.Duration(i) * grant.LongTerm / time.Duration(n))
		o.Allocate(at, gatewayOf(i%n, 1).ID(), limits, fleet, demand)
	})
}

// grantHolders returns the state of one organisation with n gateways.
func grantHolders(n int) *grant.Allocator {
	return askedOrganisation(time.Now(), n)
}

// askedOrganisation returns the state after n gateways asked as often as the
// grants of each overlap.
func askedOrganisation(now time.Time, n int) *grant.Allocator {
	o := grant.NewAllocator(now)
	limits := contractOf(0).Limits
	open := now.Add(grant.Term + grant.Margin)
	for second := range int((grant.Term + grant.Margin) / time.Second) {
		for i := range n {
			o.Allocate(open.Add(time.Duration(second)*time.Second), gatewayOf(i, 1).ID(), limits, grant.Fleet{Live: n, Known: n}, control.Demand{RequestsPerSecond: 1, Concurrency: 1})
		}
	}
	return o
}

// countersOf returns n usage counters.
func countersOf(n int) map[string]*usage.Counter {
	all := map[string]*usage.Counter{}
	for i := range n {
		c := &usage.Counter{Gateway: gatewayOf(i%designNodes, 1).ID(), Organisation: organisationName(i), Window: time.Now()}
		all[c.Organisation] = c
	}
	return all
}

// routerOf returns a router that has seen a view.
func routerOf(view []control.TargetState) *routing.Router {
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
