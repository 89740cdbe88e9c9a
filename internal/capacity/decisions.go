package main

import (
	"time"

	"zinniapin/admission"
	"zinniapin/contract"
	"zinniapin/routing"
)

// decisionSizes are the numbers of targets and of organisations at which one
// decision is measured.
var (
	routedTargets   = []int{12, 240, 720}
	admittedParties = []int{8, 1_000, 16_000}
)

// decisionCalls is the number of decisions that an average is taken over.
const decisionCalls = 20_000

// measureDecisions measures the processor time of one decision.
func measureDecisions(r *report) error {
	var choose, observe []point
	for _, n := range routedTargets {
		view := statesOf(n)
		router := routerOf(view)
		now := time.Now()
		choose = append(choose, point{float64(n), perCall(decisionCalls, func(i int) { chooseOne(router, now, i) })})
		observe = append(observe, point{float64(n), perCall(500, func(int) { router.Observe(now, view, lookupZone) })})
	}
	r.slope("routing of a request", "us", "target", choose)
	r.slope("routing: a new view of targets", "us", "target", observe)
	var admit, demands []point
	for _, n := range admittedParties {
		core, parties := partiesOf(n)
		now := time.Now()
		admit = append(admit, point{float64(n), perCall(decisionCalls, func(i int) { admitOne(core, parties[i%n], now) })})
		demands = append(demands, point{float64(n), perCall(20, func(int) { core.Demands(now) })})
	}
	r.slope("admission of a request", "us", "organisation", admit)
	r.slope("admission: list of demands", "us", "organisation", demands)
	return nil
}

// chooseOne routes a request and ends it.
func chooseOne(router *routing.Router, now time.Time, i int) {
	c, ok := router.Choose(now, &routing.Request{Pool: poolName(i), Model: modelName(i), Affinity: uint64(i) * 0x9e3779b97f4a7c15, PromptTokens: 800, OutputTokens: 230})
	if ok {
		router.Done(now, &c, false)
	}
}

// partiesOf returns admission with n active organisations.
func partiesOf(n int) (*admission.Scheduler, []*contract.Contract) {
	core := admission.New(n)
	core.SetCapacity("pool", 64)
	parties := contractsOf(n)
	now := time.Now()
	for _, k := range parties {
		k.Limits = contract.Limits{RequestsPerSecond: 1e9, Concurrency: 1e6}
		admitOne(core, k, now)
	}
	return core, parties
}

// admitOne admits a request, runs it and ends it.
func admitOne(core *admission.Scheduler, k *contract.Contract, now time.Time) {
	ticket, err := core.Admit(now, admission.Request{Organisation: k.Organisation, Contract: k, Pool: "pool", Cost: 1_000, PromptTokens: 800, Deadline: now.Add(time.Minute)})
	if err != nil {
		panic(err)
	}
	core.Dispatch(now, "pool")
	core.Done(now, ticket, 230)
}
