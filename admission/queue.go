package admission

import (
	"container/heap"
	"slices"
)

// minFlowsToPurge is the number of flows below which empty flows are not searched for.
const minFlowsToPurge = 64

// flow is the queue of one organisation at one pool.
type flow struct {
	organisation  string
	weight        float64
	waiting       []*Ticket
	virtualFinish float64 // virtual finish time of the ticket queued last
	index         int     // position in the heap fairQueue.byStart
}

// fairQueue shares a pool between organisations by start-time fair queueing: each ticket has a
// virtual start time, and the ticket with the lowest one is served first. While two
// organisations both have tickets queued, their served costs, each divided by the weight,
// differ by at most the cost of one ticket of each, divided likewise. Ties are broken by order
// of admission, so that the order is deterministic.
type fairQueue struct {
	flows       map[string]*flow
	byStart     []*flow       // heap of the flows with tickets, by virtual start of their first one
	virtualTime float64       // highest virtual start time served
	length      int           // queued tickets
	totalWeight float64       // of the flows in byStart
	purgeAt     int           // number of flows at which empty ones are purged next
	recent      recentTickets // tickets served last
}

// Len implements heap.Interface.
func (q *fairQueue) Len() int { return len(q.byStart) }

// Less implements heap.Interface.
func (q *fairQueue) Less(i, j int) bool {
	a, b := q.byStart[i].waiting[0], q.byStart[j].waiting[0]
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (q *fairQueue) Swap(i, j int) {
	q.byStart[i], q.byStart[j] = q.byStart[j], q.byStart[i]
	q.byStart[i].index = i
	q.byStart[j].index = j
}

// Push implements heap.Interface.
func (q *fairQueue) Push(x any) {
	f := x.(*flow)
	f.index = len(q.byStart)
	q.byStart = append(q.byStart, f)
}

// Pop implements heap.Interface.
func (q *fairQueue) Pop() any {
	last := q.byStart[len(q.byStart)-1]
	q.byStart = q.byStart[:len(q.byStart)-1]
	return last
}

// add queues a ticket of an organisation that has the given weight.
func (q *fairQueue) add(t *Ticket, weight float64) {
	f := q.flows[t.request.Organisation]
	if f == nil {
		f = &flow{organisation: t.request.Organisation, weight: weight, virtualFinish: q.virtualTime}
		q.flows[f.organisation] = f
	}
	f.weight = q.effectiveWeight(f, weight)
	t.virtualArrival = q.virtualTime
	f.waiting = append(f.waiting, t)
	f.retag(len(f.waiting)-1, f.virtualFinish)
	q.length++
	if len(f.waiting) == 1 {
		heap.Push(q, f)
		q.totalWeight += f.weight
	}
}

// retag sets the virtual times of a flow's tickets from index i on. The i-th ticket starts at
// the given virtual time or at its arrival, whichever is later, and the others follow it.
func (f *flow) retag(i int, start float64) {
	for _, t := range f.waiting[i:] {
		t.virtualStart = max(t.virtualArrival, start)
		start = t.virtualStart + t.request.Cost/f.weight
	}
	f.virtualFinish = start
}

// effectiveWeight returns the weight for the next ticket of a flow. A flow keeps its weight
// while it has tickets queued.
func (q *fairQueue) effectiveWeight(f *flow, weight float64) float64 {
	if len(f.waiting) > 0 {
		return f.weight
	}
	return weight
}

// next removes and returns the ticket to serve, or nil if the queue is empty.
func (q *fairQueue) next() *Ticket {
	if len(q.byStart) == 0 {
		return nil
	}
	f := q.byStart[0]
	t := f.waiting[0]
	q.virtualTime = max(q.virtualTime, t.virtualStart)
	q.recent.add(f.organisation, f.weight)
	f.waiting = slices.Delete(f.waiting, 0, 1)
	q.removed(f)
	return t
}

// remove removes a ticket that is not to be served. Later tickets of the organisation take its
// place: if its cost still counted, an organisation whose tickets expire would fall ever further
// behind the others.
func (q *fairQueue) remove(t *Ticket) {
	f := q.flows[t.request.Organisation]
	i := slices.Index(f.waiting, t)
	if i < 0 {
		return
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.retag(i, t.virtualStart)
	q.removed(f)
}

// removed updates the queue after one ticket of a flow was removed. A flow that becomes empty
// is kept until the virtual time passes its virtual finish time; otherwise an organisation with
// one request at a time would start afresh each time and get more than its share.
func (q *fairQueue) removed(f *flow) {
	q.length--
	if len(f.waiting) > 0 {
		heap.Fix(q, f.index)
		return
	}
	heap.Remove(q, f.index)
	q.totalWeight -= f.weight
	q.purgeFlows()
}

// purgeFlows deletes empty flows: all of them when the queue is empty, else those whose
// virtual finish time has passed. It searches only when the number of flows has doubled since
// the last search, so that the amortised cost per ticket is constant.
func (q *fairQueue) purgeFlows() {
	if q.length == 0 {
		clear(q.flows)
		q.virtualTime, q.totalWeight = 0, 0
		return
	}
	if len(q.flows) < max(minFlowsToPurge, q.purgeAt) {
		return
	}
	for name, f := range q.flows {
		if len(f.waiting) == 0 && f.virtualFinish <= q.virtualTime {
			delete(q.flows, name)
		}
	}
	q.purgeAt = 2 * len(q.flows)
}

// ticketsAhead estimates how many tickets are served before a new one of the organisation. It
// counts the queued tickets whose turn comes first by weight. An organisation that has tickets
// queued and uses its fair share also waits for tickets of others that arrive meanwhile. Their
// number follows from the organisation's share of the tickets served recently, up to the bounds
// that its weight and the load give. The load is the number of tickets that arrive as a fraction
// of those that can be served in the same time.
func (q *fairQueue) ticketsAhead(organisation string, weight, load float64) int {
	ownTickets, totalWeight := 0, q.totalWeight+weight
	if f := q.flows[organisation]; f != nil && len(f.waiting) > 0 {
		ownTickets, totalWeight = len(f.waiting), q.totalWeight
	}
	aheadInQueue := min(float64(q.length), float64(ownTickets+1)*totalWeight/weight)
	share := q.recent.share(organisation)
	if ownTickets == 0 || share*q.recent.totalWeight < fullShareFraction*weight {
		return int(aheadInQueue)
	}
	aheadByShare := (aheadInQueue+1)/share - 1
	aheadByWeight := float64(ownTickets+1) * max(totalWeight, q.recent.totalWeight) / weight
	ahead := min(aheadByShare, aheadByWeight)
	if load < 1 {
		ahead = min(ahead, float64(q.length)/(1-load))
	}
	return int(max(aheadInQueue, ahead))
}
