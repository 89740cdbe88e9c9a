package policybench

import (
	"time"

	"zinniapin/admission"
	"zinniapin/contract"
	"zinniapin/routing"
	"zinniapin/target"
)

// Constants of the gateways, the same for every policy.
const (
	// queueTimeout is how long a request may queue at a gateway before the
	// gateway refuses it without having sent it.
	queueTimeout = 900 * time.Millisecond
	// queueLength is the capacity of a gateway's queue, requests.
	queueLength = 512
	// unlimited is a contract limit that no trace reaches.
	unlimited = 1e9
	// maxAttempts is the largest number of attempts for a request.
	maxAttempts = 4
)

// gateway simulates a gateway. It admits requests with admission.Scheduler and
// computes its prompt window and its share of the decode capacity as the real
// gateway does.
type gateway struct {
	picker       picker
	admission    *admission.Scheduler
	contracts    []*contract.Contract           // by index of the organisation
	queue        []*request                     // by time of arrival; dispatched requests are removed lazily
	byTicket     map[*admission.Ticket]*request // requests that wait in admission
	serviceCalls []*request                     // sent at the next dispatch

	queueWait float64 // seconds, summed over the requests sent since the last spending round
	sent      int     // requests sent since the last spending round
	refused   int     // requests refused since the last spending round
}

// newGateway returns a gateway of a deployment that routes with p.
func newGateway(p picker, d *deployment) *gateway {
	g := &gateway{
		picker: p, admission: admission.New(queueLength),
		byTicket: map[*admission.Ticket]*request{},
	}
	g.admission.SetPromptWindow(d.pool.Name, routing.NewPromptWindow(routing.MaxFirstTokenTime))
	for _, o := range d.orgs {
		g.contracts = append(g.contracts, &contract.Contract{
			Organisation: o.name,
			Limits:       contract.Limits{RequestsPerSecond: unlimited, Concurrency: unlimited},
		})
	}
	return g
}

// receive queues a request that arrives, or refuses it at once. Its cost is its
// work as a number of output tokens: a prompt token costs as many as an engine
// decodes while it processes one. Service calls bypass admission.
func (g *gateway) receive(now int64, sim *simulation, r *request) {
	if r.service {
		g.serviceCalls = append(g.serviceCalls, r)
		return
	}
	terms := g.contracts[r.org]
	g.admission.SetCapacity(sim.deployment.pool.Name, sim.capacity())
	ticket, err := g.admission.Admit(timeAt(now), admission.Request{
		Organisation: terms.Organisation, Contract: terms, Pool: sim.deployment.pool.Name,
		Cost: float64(r.prompt)*decodeRate/sim.scenario.prefillRate() + float64(r.output), PromptTokens: r.prompt,
		Deadline: timeAt(r.at).Add(queueTimeout),
	})
	if err != nil {
		g.refuse(now, sim, r)
		return
	}
	r.ticket = ticket
	g.byTicket[ticket] = r
	g.queue = append(g.queue, r)
}

// capacity returns a gateway's share of the requests that all engines can
// decode at once within tokenInterval.
func (sim *simulation) capacity() int {
	total := 0.0
	for _, e := range sim.engines {
		if !e.ended && e.noticeAt == 0 && e.target.Kind == target.Engine && e.role != target.Prefill && e.changingTo == "" {
			total += decodeRate * tokenInterval
		}
	}
	return routing.DecodeCapacityShare(total, len(sim.gateways))
}

// prefillRate returns the prompt tokens a second of all engines that prefill. A
// mixed engine counts with the share of the shortest decode step that a chunk of
// prefill takes.
func (sim *simulation) prefillRate() float64 {
	total := 0.0
	for _, e := range sim.engines {
		if e.ended || e.noticeAt > 0 || e.target.Kind != target.Engine || e.changingTo != "" {
			continue
		}
		switch e.role {
		case target.Prefill:
			total += e.rate
		case target.Mixed:
			total += e.rate * chunkTime / (stepBase + chunkTime)
		}
	}
	return total
}

// refuse refuses a request that was never sent and counts it for spending.
func (g *gateway) refuse(now int64, sim *simulation, r *request) {
	sim.refuse(now, r)
	g.refused++
}

// dispatch sends the service calls and the requests that admission releases,
// and refuses requests that have queued for longer than queueTimeout.
func (g *gateway) dispatch(now int64, sim *simulation) {
	for _, r := range g.serviceCalls {
		if !sim.send(now, g, r) {
			sim.refuse(now, r)
		}
	}
	g.serviceCalls = g.serviceCalls[:0]
	g.refuseExpired(now, sim)
	g.admission.SetCapacity(sim.deployment.pool.Name, sim.capacity())
	g.admission.SetMinPromptWindow(sim.deployment.pool.Name, routing.PromptTokenShare(sim.prefillRate(), len(sim.gateways)))
	for _, t := range g.admission.Dispatch(timeAt(now), sim.deployment.pool.Name) {
		g.start(now, sim, g.byTicket[t])
	}
}

// start sends a dispatched request. When no target is available, it refuses a
// request that was never sent and abandons any other.
func (g *gateway) start(now int64, sim *simulation, r *request) {
	delete(g.byTicket, r.ticket)
	if !sim.send(now, g, r) {
		g.finishTicket(now, r)
		if r.attempts == 0 {
			g.refuse(now, sim, r)
		} else {
			sim.abandon(now, r)
		}
		return
	}
	g.queueWait += float64(now-r.at) / float64(time.Second)
	g.sent++
}

// finishTicket returns a request's ticket to admission, if it holds one.
func (g *gateway) finishTicket(now int64, r *request) {
	if r.ticket == nil {
		return
	}
	g.admission.Done(timeAt(now), r.ticket, r.output)
	r.ticket = nil
}

// refuseExpired refuses the requests that have queued for longer than
// queueTimeout, and drops dispatched ones from the front of the queue.
func (g *gateway) refuseExpired(now int64, sim *simulation) {
	for len(g.queue) > 0 {
		r := g.queue[0]
		if _, waits := g.byTicket[r.ticket]; r.ticket != nil && waits {
			if now-r.at <= int64(queueTimeout) {
				return
			}
			delete(g.byTicket, r.ticket)
			g.admission.Done(timeAt(now), r.ticket, 0)
			r.ticket = nil
			g.refuse(now, sim, r)
		}
		g.queue = g.queue[1:]
	}
}

// routingRequest returns the description of a request for the router.
func (d *deployment) routingRequest(r *request) routing.Request {
	q := routing.Request{
		Pool: d.pool.Name, Model: loadedModels[0], Affinity: r.affinity,
		PromptTokens: r.prompt, OutputTokens: r.output, StableOnly: r.stable,
	}
	if r.service {
		q.Pool, q.Model, q.Affinity = d.servicePool, "", 0
	}
	return q
}

// isReclaimable reports whether the provider may reclaim an engine's target.
func isReclaimable(e *engine) bool {
	return e != nil && e.target.Class == target.Reclaimable
}
