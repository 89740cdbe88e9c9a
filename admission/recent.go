package admission

// Constants of what was served of late.
const (
	// recentLength is the number of tickets remembered.
	recentLength = 64
	// fullShare is the part of its fair share above which an organisation is
	// taken to use all of it.
	fullShare = 0.5
)

// recentFlow is an organisation among the tickets remembered.
type recentFlow struct {
	tickets int
	weight  float64
}

// recent remembers whom the last tickets of a queue were of.
type recent struct {
	ring    [recentLength]string
	next    int // of the ring; counts on
	flows   map[string]recentFlow
	weights float64 // sum over flows
}

// add remembers a ticket in place of the oldest.
func (r *recent) add(organisation string, weight float64) {
	if r.flows == nil {
		r.flows = map[string]recentFlow{}
	}
	if r.next >= recentLength {
		r.drop(r.ring[r.next%recentLength])
	}
	r.ring[r.next%recentLength] = organisation
	r.next++
	f := r.flows[organisation]
	r.weights += weight - f.weight
	r.flows[organisation] = recentFlow{f.tickets + 1, weight}
}

// drop forgets a ticket.
func (r *recent) drop(organisation string) {
	f := r.flows[organisation]
	f.tickets--
	if f.tickets > 0 {
		r.flows[organisation] = f
		return
	}
	delete(r.flows, organisation)
	r.weights -= f.weight
}

// share returns the organisation's share of the tickets remembered, 1 while
// there are none.
func (r *recent) share(organisation string) float64 {
	n := min(r.next, recentLength)
	if n == 0 {
		return 1
	}
	return float64(r.flows[organisation].tickets) / float64(n)
}
