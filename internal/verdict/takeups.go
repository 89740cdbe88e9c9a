package verdict

import (
	"net/http"
	"slices"
	"time"
)

// takeUp is a stream that its caller took up.
type takeUp struct {
	at     time.Time
	wentOn bool
}

// takenUp checks that enough of the streams that callers take up go on, whatever happened to hosts, if targets of their
// version are there. A disturbed store, and hosts that are cut off or frozen, excuse refusals.
func (j *judge) takenUp() {
	if j.bounds.TakeUps == 0 {
		return
	}
	all := j.takeUps()
	wentOn := 0
	for i, t := range all {
		if t.wentOn {
			wentOn++
		}
		first := i + 1 - j.bounds.TakeUps
		if first < 0 {
			continue
		}
		if float64(wentOn) < j.bounds.WentOnShare*float64(j.bounds.TakeUps) {
			j.find(Lost, t.at, "of %d streams that callers took up from %v before on, %d went on, though targets of their version were there",
				j.bounds.TakeUps, t.at.Sub(all[first].at), wentOn)
			return
		}
		if all[first].wentOn {
			wentOn--
		}
	}
}

// takeUps returns the streams that were taken up and could go on, in order of time.
func (j *judge) takeUps() []takeUp {
	followers := make(map[string][]*Request)
	for i := range j.Requests {
		if r := &j.Requests[i]; r.Resumes != "" {
			followers[r.Resumes] = append(followers[r.Resumes], r)
		}
	}
	var all []takeUp
	for i := range j.Requests {
		r := &j.Requests[i]
		if again := followers[r.ID]; len(again) > 0 && j.canGoOn(r, again) {
			all = append(all, takeUp{again[0].Sent, slices.ContainsFunc(again, func(f *Request) bool {
				return f.Status == http.StatusOK && (f.Answer != "" || f.Complete)
			})})
		}
	}
	slices.SortFunc(all, func(a, b takeUp) int { return a.at.Compare(b.at) })
	return all
}

// TakeUps returns how many of the streams that were taken up while targets of their version were there went on, and
// their number.
func TakeUps(r Run, b Bounds) (wentOn, all int) {
	takeUps := newJudge(r, b).takeUps()
	for _, t := range takeUps {
		if t.wentOn {
			wentOn++
		}
	}
	return wentOn, len(takeUps)
}

// canGoOn tells whether a stream that broke off could go on at each of the attempts to take it up.
func (j *judge) canGoOn(r *Request, again []*Request) bool {
	if !j.route(r).Stream || r.Answer == "" || !r.Left.IsZero() {
		return false
	}
	from, to := again[0].Sent, again[len(again)-1].End
	for _, f := range again {
		excused := !f.Left.IsZero() || j.refusedAtLimit(f) || j.disturbed(f.Host, f.Sent.Add(-j.bounds.Contact), f.End, Harm) ||
			j.disturbed("", f.Sent.Add(-j.bounds.Contact), f.End, Harm, Restart)
		if excused {
			return false
		}
	}
	ran := slices.IndexFunc(j.arrivals[r.ID], func(a *Arrival) bool { return a.Ran && a.Signature == r.Signature })
	if ran < 0 {
		return false
	}
	began := j.target[j.arrivals[r.ID][ran].Target]
	return slices.ContainsFunc(j.Targets, func(t Target) bool {
		return t.Service == began.Service && t.Version == began.Version && t.Listed.Add(slack).Before(from) &&
			(t.Leaves.IsZero() || t.Leaves.After(to)) && !j.crashed(t.ID, from.Add(-j.bounds.Contact), to)
	})
}
