package verdict

import (
	"slices"
	"time"
)

// HostServed is how many of the requests to a host were served.
type HostServed struct {
	Host         string
	Cut          bool // it had no links to targets
	Served, Sent int
	Failed       []*Request // those that were not served
}

// share returns the share of requests that were served.
func (h HostServed) share() float64 { return float64(h.Served) / float64(max(h.Sent, 1)) }

// cutHosts checks that hosts without links to targets serve their callers nearly as often as the others.
func (j *judge) cutHosts() {
	for _, c := range j.Cuts {
		var cut, others HostServed
		for _, h := range j.servedByHost(c) {
			sum := &others
			if h.Cut {
				sum = &cut
			}
			sum.Served += h.Served
			sum.Sent += h.Sent
		}
		failed, all := cut.Sent-cut.Served, cut.Sent+others.Sent
		if others.Sent == 0 || float64(failed) <= float64(j.bounds.MaxCutFailures)+j.bounds.CutFailureRatio*float64(all) {
			continue
		}
		if cut.share() < j.bounds.CutShare*others.share() {
			j.find(Recover, c.To, "hosts without links to targets served %d of %d requests, the others %d of %d", cut.Served, cut.Sent, others.Served, others.Sent)
		}
	}
}

// lostLinks tells whether a request's host lost its links to targets while the request was under way. That breaks off what
// passes over them.
func (j *judge) lostLinks(r *Request) bool {
	return slices.ContainsFunc(j.Cuts, func(c Cut) bool {
		return slices.Contains(c.Hosts, r.Host) && !c.From.Before(r.Sent) && !c.From.After(r.End)
	})
}

// servedByHost returns what each host in touch served in a cut, from the contact time after its begin.
func (j *judge) servedByHost(c Cut) []HostServed {
	byHost := make(map[string]*HostServed)
	from := c.From.Add(j.bounds.Contact)
	for i := range j.Requests {
		r := &j.Requests[i]
		if r.Sent.Before(from) || r.End.After(c.To) || !r.Left.IsZero() && r.Left.Sub(r.Sent) < time.Second || !j.inTouch(r.Host, r.Sent) || !j.inTouch(r.Host, r.End) {
			continue
		}
		if j.refusedAtLimit(r) {
			continue
		}
		if !all(j.inForce(r.Sent, r.End), func(c Configuration) bool { return c.allows(r, "") }) {
			continue // a version that may be in force does not allow it
		}
		h := byHost[r.Host]
		if h == nil {
			h = &HostServed{Host: r.Host, Cut: slices.Contains(c.Hosts, r.Host)}
			byHost[r.Host] = h
		}
		h.Sent++
		if r.succeeded() {
			h.Served++
		} else {
			h.Failed = append(h.Failed, r)
		}
	}
	var all []HostServed
	for _, host := range sortedKeys(byHost) {
		all = append(all, *byHost[host])
	}
	return all
}

// ServedInCuts returns what each host in touch served in each cut of a run.
func ServedInCuts(r Run, b Bounds) [][]HostServed {
	j := newJudge(r, b)
	var all [][]HostServed
	for _, c := range j.Cuts {
		all = append(all, j.servedByHost(c))
	}
	return all
}
