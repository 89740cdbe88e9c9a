package main

import (
	"math/rand/v2"
	"sync"
	"time"

	"zinniapin/admission"
	"zinniapin/contract"
	"zinniapin/control"
)

const (
	// callersPool is the pool of the requests; its capacity is no limit.
	callersPool     = "pool"
	callersCapacity = 1_000_000
	// promptTokens and outputTokens are those of a request.
	promptTokens, outputTokens = 800, 230
)

// callers are the requests at one gateway: each of an organisation chosen at
// random among many, as at the size to design for, where an organisation sends
// a gateway a request every quarter of an hour.
type callers struct {
	mu        sync.Mutex
	core      *admission.Scheduler
	contracts []*contract.Contract
	random    *rand.Rand
	rate      float64 // requests a second
	due       float64
	arrived   int
	refused   int
}

// newCallers returns callers with a rate of requests a second.
func newCallers(contracts []*contract.Contract, rate float64, seed uint64) *callers {
	c := &callers{core: admission.New(1_000), contracts: contracts, rate: rate, random: rand.New(rand.NewPCG(seed, 1))}
	c.core.SetCapacity(callersPool, callersCapacity)
	return c
}

// second lets the requests of a second come and returns the demands.
func (c *callers) second() []control.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for c.due += c.rate; c.due >= 1; c.due-- {
		c.arrive(now, c.contracts[c.random.IntN(len(c.contracts))])
	}
	c.core.Sweep(now)
	return c.core.Demands(now)
}

// arrive lets a request come, which is answered at once.
func (c *callers) arrive(now time.Time, k *contract.Contract) {
	c.arrived++
	r := admission.Request{Organisation: k.Organisation, Contract: k, Pool: callersPool, Cost: 1, PromptTokens: promptTokens, Deadline: now.Add(time.Minute)}
	ticket, err := c.core.Admit(now, r)
	if err != nil {
		c.refused++
		return
	}
	c.core.Dispatch(now, callersPool)
	c.core.Done(now, ticket, outputTokens)
}

// grant hands grants to admission.
func (c *callers) grant(grants []control.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetGrants(time.Now(), grants)
}

// connected tells admission of the fleet.
func (c *callers) connected(s control.Connectivity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetGateways(s.LiveGateways)
	if s.Controllers > 0 {
		c.core.ControllerReached(time.Now())
	}
}

// refusals returns how many requests came and how many were refused.
func (f *fleet) refusals() (arrived, refused int) {
	for _, n := range f.nodes {
		if c := n.gateway.callers; c != nil {
			c.mu.Lock()
			arrived += c.arrived
			refused += c.refused
			c.mu.Unlock()
		}
	}
	return arrived, refused
}

// smallContracts returns contracts of n organisations whose safe share at a
// gateway of a fleet is that of the size to design for.
func smallContracts(n, gateways int) []*contract.Contract {
	contracts := contractsOf(n)
	part := float64(gateways) / designNodes
	for _, k := range contracts {
		k.Limits.RequestsPerSecond *= part
		k.Limits.Concurrency = max(1, int(float64(k.Limits.Concurrency)*part))
		k.Limits.TokensPerMinute = int(float64(k.Limits.TokensPerMinute) * part)
	}
	return contracts
}
