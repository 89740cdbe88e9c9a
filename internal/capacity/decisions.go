package main

import (
	"time"

	"zinniapin/admission"
	"zinniapin/contract"
	"zinniapin/routing"
)

// routedTargets are the numbers of targets at which routing is measured, and
// admittedOrganisations the numbers of active organisations for admission.
var (
	routedTargets         = []int{12, 240, 720}
	admittedOrganisations = []int{8, 1_000, 16_000}
)

// decisionCalls is the number of decisions that an average is taken over.
const decisionCalls = 20_000

// measureDecisions measures the processor time of routing and admission
// decisions.
func measureDecisions(r *report) error {
	var choose, observe []point
	for _, n := range routedTargets {
		view := statesOf(n)
		router := routerFor(view)
		now := time.Now()
		choose = append(choose, point{float64(n), perCall(decisionCalls, func(i int) { chooseOne(router, now, i) })})
		observe = append(observe, point{float64(n), perCall(500, func(int) { router.Observe(now, view, lookupZone) })})
	}
	r.slope("routing of a request", "us", "target", choose)
	r.slope("routing: a new view of targets", "us", "target", observe)
	var admit, demands []point
	for _, n := range admittedOrganisations {
		scheduler, contracts := schedulerFor(n)
		now := time.Now()
		admit = append(admit, point{float64(n), perCall(decisionCalls, func(i int) { admitOne(scheduler, contracts[i%n], now) })})
		demands = append(demands, point{float64(n), perCall(20, func(int) { scheduler.Demands(now) })})
	}
	r.slope("admission of a request", "us", "organisation", admit)
	r.slope("admission: list of demands", "us", "organisation", demands)
	return nil
}

// chooseOne routes the i-th request and ends it.
func chooseOne(router *routing.Router, now time.Time, i int) {
	c, ok := router.Choose(now, &routing.Request{Pool: poolName(i), Model: modelName(i), Affinity: uint64(i) * 0x9e3779b97f4a7c15, PromptTokens: 800, OutputTokens: 230})
	if ok {
		router.Done(now, &c, false)
	}
}

// schedulerFor returns a scheduler with n active organisations, and their
// contracts.
func schedulerFor(n int) (*admission.Scheduler, []*contract.Contract) {
	scheduler := admission.New(n)
	scheduler.SetCapacity("pool", 64)
	contracts := contractsOf(n)
	now := time.Now()
	for _, k := range contracts {
		k.Limits = contract.Limits{RequestsPerSecond: 1e9, Concurrency: 1e6}
		admitOne(scheduler, k, now)
	}
	return scheduler, contracts
}

// admitOne admits, dispatches and ends a request of the contract's organisation.
func admitOne(scheduler *admission.Scheduler, k *contract.Contract, now time.Time) {
	ticket, err := scheduler.Admit(now, admission.Request{Organisation: k.Organisation, Contract: k, Pool: "pool", Cost: 1_000, PromptTokens: 800, Deadline: now.Add(time.Minute)})
	if err != nil {
		panic(err)
	}
	scheduler.Dispatch(now, "pool")
	scheduler.Done(now, ticket, 230)
}
