package admission

import (
	"container/heap"
	"slices"
)

// minPurge is the least number of flows at which empty ones are looked for.
const minPurge = 64

// flow is the queue of one organisation at one pool.
type flow struct {
	organisation string
	weight       float64
	waiting      []*Ticket
	finish       float64 // virtual finish time of its last ticket queued
	index        int     // place in the heap
}

// fairQueue shares a pool between organisations by start-time fair queueing:
// each ticket has a virtual start time, and the lowest is served first. Over
// any span in which two organisations both wait, their served cost divided by
// weight differs by at most one ticket each. Ties go by order of arrival, so
// the same calls always give the same order.
type fairQueue struct {
	flows   map[string]*flow
	order   []*flow // heap by the start of the first ticket
	virtual float64
	length  int
	weights float64 // sum over waiting flows
	purgeAt int     // number of flows at which empty ones are looked for
	recent  recent
}

// Len implements heap.Interface.
func (q *fairQueue) Len() int { return len(q.order) }

// Less implements heap.Interface.
func (q *fairQueue) Less(i, j int) bool {
	a, b := q.order[i].waiting[0], q.order[j].waiting[0]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (q *fairQueue) Swap(i, j int) {
	q.order[i], q.order[j] = q.order[j], q.order[i]
	q.order[i].index = i
	q.order[j].index = j
}

// Push implements heap.Interface.
func (q *fairQueue) Push(x any) {
	f := x.(*flow)
	f.index = len(q.order)
	q.order = append(q.order, f)
}

// Pop implements heap.Interface.
func (q *fairQueue) Pop() any {
	last := q.order[len(q.order)-1]
	q.order = q.order[:len(q.order)-1]
	return last
}

// add queues a ticket.
func (q *fairQueue) add(t *Ticket, weight float64) {
	f := q.flows[t.request.Organisation]
	if f == nil {
		f = &flow{organisation: t.request.Organisation, weight: weight, finish: q.virtual}
		q.flows[f.organisation] = f
	}
	f.weight = q.reweigh(f, weight)
	t.start = max(q.virtual, f.finish)
	f.finish = t.start + t.request.Cost/f.weight
	f.waiting = append(f.waiting, t)
	q.length++
	if len(f.waiting) == 1 {
		heap.Push(q, f)
		q.weights += f.weight
	}
}

// reweigh returns the weight that a flow has from now on. A flow with waiting
// tickets keeps its weight until it is empty.
func (q *fairQueue) reweigh(f *flow, weight float64) float64 {
	if len(f.waiting) > 0 {
		return f.weight
	}
	return weight
}

// next removes and returns the ticket to serve, or nil.
func (q *fairQueue) next() *Ticket {
	if len(q.order) == 0 {
		return nil
	}
	f := q.order[0]
	t := f.waiting[0]
	q.virtual = max(q.virtual, t.start)
	q.recent.add(f.organisation, f.weight)
	q.take(f, 0)
	return t
}

// remove takes a ticket out of the queue.
func (q *fairQueue) remove(t *Ticket) {
	f := q.flows[t.request.Organisation]
	for i, waiting := range f.waiting {
		if waiting == t {
			q.take(f, i)
			return
		}
	}
}

// take removes the i-th ticket of a flow. An empty flow is remembered until
// the virtual time has passed its finish, so that an organisation with one
// ticket at a time gets no more than its share.
func (q *fairQueue) take(f *flow, i int) {
	f.waiting = slices.Delete(f.waiting, i, i+1)
	q.length--
	if len(f.waiting) > 0 {
		heap.Fix(q, f.index)
		return
	}
	heap.Remove(q, f.index)
	q.weights -= f.weight
	q.forget()
}

// forget drops empty flows: all of them when nothing waits, else those that
// have no claim on the past, each time that the flows have doubled, so that
// the cost for each ticket is constant.
func (q *fairQueue) forget() {
	if q.length == 0 {
		clear(q.flows)
		q.virtual, q.weights = 0, 0
		return
	}
	if len(q.flows) < max(minPurge, q.purgeAt) {
		return
	}
	for name, f := range q.flows {
		if len(f.waiting) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
	q.purgeAt = 2 * len(q.flows)
}

// ahead estimates how many tickets are served before a new one of the
// organisation, given its weight: those that wait, up to its turn. An
// organisation that uses its fair share or more also has to let past what the
// others go on sending, up to their turns.
func (q *fairQueue) ahead(organisation string, weight float64) int {
	own, weights := 0, q.weights+weight
	if f := q.flows[organisation]; f != nil && len(f.waiting) > 0 {
		own, weights = len(f.waiting), q.weights
	}
	present := min(float64(q.length), float64(own+1)*weights/weight)
	share := q.recent.share(organisation)
	if own == 0 || share*q.recent.weights < fullShare*weight {
		return int(present)
	}
	coming := (present+1)/share - 1
	turns := float64(own+1) * max(weights, q.recent.weights) / weight
	return int(max(present, min(coming, turns)))
}
