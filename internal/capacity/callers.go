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
	// callersPool is the pool of the requests. callersCapacity is so large that
	// admission never waits for capacity.
	callersPool     = "pool"
	callersCapacity = 1_000_000
	// promptTokens and outputTokens are the sizes of a request.
	promptTokens, outputTokens = 800, 230
)

// callers generates the requests at one gateway. The organisation of each
// request is drawn at random among many, so that each sends the gateway a
// request only now and then. At the design size that is one every 15 minutes.
type callers struct {
	mu        sync.Mutex
	scheduler *admission.Scheduler
	contracts []*contract.Contract
	random    *rand.Rand
	rate      float64 // requests a second
	pending   float64 // requests due but not sent yet, with the fraction of the next one
	arrived   int     // requests sent, refused ones included
	refused   int
}

// newCallers returns callers that send requests of the organisations in
// contracts, rate a second.
func newCallers(contracts []*contract.Contract, rate float64, seed uint64) *callers {
	c := &callers{scheduler: admission.New(1_000), contracts: contracts, rate: rate, random: rand.New(rand.NewPCG(seed, 1))}
	c.scheduler.SetCapacity(callersPool, callersCapacity)
	return c
}

// runSecond sends the requests of one second and returns the demands for grants.
func (c *callers) runSecond() []control.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for c.pending += c.rate; c.pending >= 1; c.pending-- {
		c.sendRequest(now, c.contracts[c.random.IntN(len(c.contracts))])
	}
	c.scheduler.Sweep(now)
	return c.scheduler.Demands(now)
}

// sendRequest sends a request of the contract's organisation through admission.
// An admitted request is dispatched and ends immediately.
func (c *callers) sendRequest(now time.Time, k *contract.Contract) {
	c.arrived++
	r := admission.Request{Organisation: k.Organisation, Contract: k, Pool: callersPool, Cost: 1, PromptTokens: promptTokens, Deadline: now.Add(time.Minute)}
	ticket, err := c.scheduler.Admit(now, r)
	if err != nil {
		c.refused++
		return
	}
	c.scheduler.Dispatch(now, callersPool)
	c.scheduler.Done(now, ticket, outputTokens)
}

// setGrants passes grants to admission.
func (c *callers) setGrants(grants []control.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.SetGrants(time.Now(), grants)
}

// setConnectivity tells admission the number of live gateways and whether a
// controller is reachable.
func (c *callers) setConnectivity(s control.Connectivity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.SetGateways(s.LiveGateways)
	if s.Controllers > 0 {
		c.scheduler.ControllerReached(time.Now())
	}
}

// requestCounts returns how many requests were sent at all gateways and how
// many of them were refused.
func (f *fleet) requestCounts() (arrived, refused int) {
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

// scaledContracts returns contracts of n organisations, with limits scaled to
// the number of gateways so that the guaranteed share at a gateway is the same
// as at the design size.
func scaledContracts(n, gateways int) []*contract.Contract {
	contracts := contractsOf(n)
	share := float64(gateways) / designHosts
	for _, k := range contracts {
		k.Limits.RequestsPerSecond *= share
		k.Limits.Concurrency = max(1, int(float64(k.Limits.Concurrency)*share))
		k.Limits.TokensPerMinute = int(float64(k.Limits.TokensPerMinute) * share)
	}
	return contracts
}
