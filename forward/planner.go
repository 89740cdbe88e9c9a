package forward

import (
	"slices"
	"time"

	"zinniapin/dispatch"
	"zinniapin/roster"
	"zinniapin/target"
)

// withPlanner calls f with the planner.
func (h *Handler) withPlanner(f func(*dispatch.Planner)) {
	h.PlannerMu.Lock()
	defer h.PlannerMu.Unlock()
	f(h.Planner)
}

// plan lets the planner decide on the target of the next attempt.
func (r *request) plan() dispatch.Decision {
	r.updateTimes()
	// Only the first attempt fetches KV cache from another target, since an earlier attempt may
	// have failed because of that target.
	r.job.AllowFetch = len(r.summary.targets) == 0
	r.h.PlannerMu.Lock()
	defer r.h.PlannerMu.Unlock()
	d := r.h.Planner.Plan(time.Now(), r.job, r.excluded)
	r.summary.decision = d
	return d
}

// updateTimes sets the times of the job to those left now.
func (r *request) updateTimes() {
	r.job.TimeLeft = time.Until(r.deadline)
	r.job.Objective = r.objective() - time.Since(r.in.Arrived)
}

// beginAttempt registers an attempt with the planner. uncachedTokens is the number of prompt tokens
// that the target has to process.
func (r *request) beginAttempt(t roster.Target, uncachedTokens int) dispatch.Ticket {
	r.summary.targets = append(r.summary.targets, string(t.ID))
	r.h.PlannerMu.Lock()
	defer r.h.PlannerMu.Unlock()
	ticket := r.h.Planner.Begin(time.Now(), t.ID, r.job, uncachedTokens)
	r.tickets = append(r.tickets, ticket)
	return ticket
}

// promptProcessed tells the planner that the target has processed the prompt.
func (r *request) promptProcessed(t dispatch.Ticket) {
	r.h.withPlanner(func(p *dispatch.Planner) { p.PrefillDone(time.Now(), t) })
}

// endAttempt tells the planner that an attempt has ended and with which outcome and latency.
func (r *request) endAttempt(t dispatch.Ticket, id target.ID, o dispatch.Outcome, latency time.Duration) {
	r.h.withPlanner(func(p *dispatch.Planner) {
		p.End(t)
		r.tickets = slices.DeleteFunc(r.tickets, func(other dispatch.Ticket) bool { return other == t })
		p.Observe(time.Now(), id, o, latency)
	})
}

// endTickets ends the attempts that are registered with the planner.
func (r *request) endTickets() {
	r.h.withPlanner(func(p *dispatch.Planner) {
		for _, t := range r.tickets {
			p.End(t)
		}
		r.tickets = nil
	})
}

// hasDecodeTarget tells whether a target could produce the output once the prompt is processed.
func (r *request) hasDecodeTarget() bool {
	r.h.PlannerMu.Lock()
	defer r.h.PlannerMu.Unlock()
	return r.h.Planner.HasDecode(time.Now(), r.job, r.excluded)
}

// mayCall tells whether a target wants calls at present.
func (h *Handler) mayCall(id target.ID) bool {
	h.PlannerMu.Lock()
	defer h.PlannerMu.Unlock()
	return h.Planner.MayCall(time.Now(), id)
}
