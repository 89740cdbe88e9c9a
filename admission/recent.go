package admission

// Constants of the record of recently served tickets.
const (
	// recentTicketCount is the number of tickets that are remembered.
	recentTicketCount = 64
	// fullShareFraction is the fraction of its fair share above which an organisation is
	// considered to use all of it.
	fullShareFraction = 0.5
)

// recentShare is an organisation's part of the remembered tickets.
type recentShare struct {
	tickets int
	weight  float64
}

// recentTickets records to which organisations the last recentTicketCount tickets of a queue
// belonged.
type recentTickets struct {
	ring        [recentTicketCount]string
	next        int // tickets added so far; modulo recentTicketCount the next index in ring
	flows       map[string]recentShare
	totalWeight float64 // sum of the weights in flows
}

// add records a served ticket, in place of the oldest one if the ring is full.
func (r *recentTickets) add(organisation string, weight float64) {
	if r.flows == nil {
		r.flows = map[string]recentShare{}
	}
	if r.next >= recentTicketCount {
		r.remove(r.ring[r.next%recentTicketCount])
	}
	r.ring[r.next%recentTicketCount] = organisation
	r.next++
	f := r.flows[organisation]
	r.totalWeight += weight - f.weight
	r.flows[organisation] = recentShare{f.tickets + 1, weight}
}

// remove deducts one ticket of an organisation.
func (r *recentTickets) remove(organisation string) {
	f := r.flows[organisation]
	f.tickets--
	if f.tickets > 0 {
		r.flows[organisation] = f
		return
	}
	delete(r.flows, organisation)
	r.totalWeight -= f.weight
}

// share returns the organisation's fraction of the remembered tickets, or 1 if there are none.
func (r *recentTickets) share(organisation string) float64 {
	n := min(r.next, recentTicketCount)
	if n == 0 {
		return 1
	}
	return float64(r.flows[organisation].tickets) / float64(n)
}
