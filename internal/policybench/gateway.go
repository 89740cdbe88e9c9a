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
	// patience is how long a request queues at a gateway before it is refused
	// unrun.
	patience = 900 * time.Millisecond
	// queueLength bounds the queue of a gateway, requests.
	queueLength = 512
	// unlimited stands for limits that the traces do not reach.
	unlimited = 1e9
	// maxAttempts bounds how often a request is sent.
	maxAttempts = 4
)

// gateway admits requests by the project's admission core, with the window and
// the share of streams of the serving gateway.
type gateway struct {
	picker    picker
	admission *admission.Scheduler
	contracts []*contract.Contract // by organisation
	queue     []*request           // waiting, by age
	byTicket  map[*admission.Ticket]*request
	calls     []*request

	waited  float64 // seconds, since the last look
	sent    int
	refused int
}

// newGateway returns a gateway for a deployment.
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

// arrive admits a request, or refuses it at once.
func (g *gateway) arrive(now int64, w *world, r *request) {
	if r.service {
		g.calls = append(g.calls, r)
		return
	}
	k := g.contracts[r.org]
	g.admission.SetCapacity(w.d.pool.Name, w.capacity())
	ticket, err := g.admission.Admit(at(now), admission.Request{
		Organisation: k.Organisation, Contract: k, Pool: w.d.pool.Name,
		Cost: float64(r.prompt)*decodeRate/w.s.prefillRate() + float64(r.output), PromptTokens: r.prompt,
		Deadline: at(r.at).Add(patience),
	})
	if err != nil {
		g.refuse(now, w, r)
		return
	}
	r.ticket = ticket
	g.byTicket[ticket] = r
	g.queue = append(g.queue, r)
}

// capacity is a gateway's share of the batches in which tokens come in time.
func (w *world) capacity() int {
	total := 0.0
	for _, e := range w.engines {
		if !e.dead && e.noticedAt == 0 && e.target.Kind == target.Engine && e.role != target.Prefill && e.changingTo == "" {
			total += decodeRate * tokenInterval
		}
	}
	return routing.DecodeCapacityShare(total, len(w.gateways))
}

// prefillRate is the prompt tokens a second of all engines that prefill.
func (w *world) prefillRate() float64 {
	total := 0.0
	for _, e := range w.engines {
		if e.dead || e.noticedAt > 0 || e.target.Kind != target.Engine || e.changingTo != "" {
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

// refuse refuses a request unrun.
func (g *gateway) refuse(now int64, w *world, r *request) {
	w.refuse(now, r)
	g.refused++
}

// dispatch sends what the window allows and refuses what waited too long.
func (g *gateway) dispatch(now int64, w *world) {
	for _, r := range g.calls {
		if !w.send(now, g, r) {
			w.refuse(now, r)
		}
	}
	g.calls = g.calls[:0]
	g.expire(now, w)
	g.admission.SetCapacity(w.d.pool.Name, w.capacity())
	g.admission.SetMinPromptWindow(w.d.pool.Name, routing.PromptTokenShare(w.prefillRate(), len(w.gateways)))
	for _, t := range g.admission.Dispatch(at(now), w.d.pool.Name) {
		g.start(now, w, g.byTicket[t])
	}
}

// start sends a dispatched request.
func (g *gateway) start(now int64, w *world, r *request) {
	delete(g.byTicket, r.ticket)
	if !w.send(now, g, r) {
		g.leave(now, r)
		if r.attempts == 0 {
			g.refuse(now, w, r)
		} else {
			w.abandon(now, r)
		}
		return
	}
	g.waited += float64(now-r.at) / float64(time.Second)
	g.sent++
}

// leave gives a dispatched ticket back.
func (g *gateway) leave(now int64, r *request) {
	if r.ticket == nil {
		return
	}
	g.admission.Done(at(now), r.ticket, r.output)
	r.ticket = nil
}

// expire refuses what waited too long.
func (g *gateway) expire(now int64, w *world) {
	for len(g.queue) > 0 {
		r := g.queue[0]
		if _, waits := g.byTicket[r.ticket]; r.ticket != nil && waits {
			if now-r.at <= int64(patience) {
				return
			}
			delete(g.byTicket, r.ticket)
			g.admission.Done(at(now), r.ticket, 0)
			r.ticket = nil
			g.refuse(now, w, r)
		}
		g.queue = g.queue[1:]
	}
}

// request fills in what routing needs to know.
func (d *deployment) request(r *request) routing.Request {
	q := routing.Request{
		Pool: d.pool.Name, Model: modelsOf[0], Affinity: r.affinity,
		PromptTokens: r.prompt, OutputTokens: r.output, StableOnly: r.stable,
	}
	if r.service {
		q.Pool, q.Model, q.Affinity = d.service, "", 0
	}
	return q
}

// cheapTarget tells whether a target may be reclaimed.
func cheapTarget(e *engine) bool {
	return e != nil && e.target.Class == target.Reclaimable
}
