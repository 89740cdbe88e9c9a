package verdict

import (
	"maps"
	"math"
	"time"
)

// usageCounts checks that a window has one count.
func (j *judge) usageCounts() {
	counts := make(map[int64]map[string]int)
	for _, c := range j.Duties {
		if !c.Usage || !c.Accepted {
			continue
		}
		if earlier, ok := counts[c.Window]; ok && !maps.Equal(earlier, c.Counts) {
			j.find(One, c.At, "window %d was reported as %v and %v", c.Window, earlier, c.Counts)
		}
		counts[c.Window] = c.Counts
	}
}

// excused tells whether a call may have been held up, or the platform's store was disrupted.
func (j *judge) excused(c DutyCall) bool {
	from := c.At.Add(-j.bounds.Thaw)
	return j.disturbed(c.Host, from, c.At, Harm) || j.disturbed("", from, c.At, Harm, Restart)
}

// fences checks that a fencing token is of one holder, a holder of one host, and where the platform does
// not refuse lower ones, that they do not fall.
func (j *judge) fences() {
	type token struct {
		subject string
		fence   uint64
	}
	holders := make(map[token]DutyCall)
	highest := make(map[string]uint64)
	for _, c := range j.Duties {
		key := token{c.Subject, c.Fence}
		if earlier, ok := holders[key]; ok && (earlier.Holder != c.Holder || earlier.Host != c.Host) {
			j.find(One, c.At, "fencing token %d of %s was used by %s (%s) and %s (%s)", c.Fence, c.Subject, earlier.Holder, earlier.Host, c.Holder, c.Host)
		}
		holders[key] = c
		if c.Fence < highest[c.Subject] && !j.bounds.RequireFence && !j.excused(c) {
			j.find(One, c.At, "%s called %s with fencing token %d after %d", c.Holder, c.Subject, c.Fence, highest[c.Subject])
		}
		highest[c.Subject] = max(highest[c.Subject], c.Fence)
	}
}

// turns checks that holders do not act in the order A, B, A inside a lease while both are in touch.
func (j *judge) turns() {
	calls := make(map[string][]DutyCall)
	for _, c := range j.Duties {
		counts := c.Accepted && j.inTouch(c.Host, c.At)
		if !j.bounds.RequireFence {
			counts = !j.excused(c)
		}
		if counts {
			calls[c.Subject] = append(calls[c.Subject], c)
		}
	}
	for _, subject := range sortedKeys(calls) {
		all := calls[subject]
		for i, first := range all {
			other := false
			for _, c := range all[i+1:] {
				if c.At.Sub(first.At) >= j.bounds.Lease {
					break
				}
				if c.Host != first.Host {
					other = true
				} else if other {
					j.find(One, c.At, "%s and others took turns at %s within %v", c.Host, subject, c.At.Sub(first.At))
					break
				}
			}
		}
	}
}

// staleCalls checks that a host which was refused does not go on calling with the same fencing token.
func (j *judge) staleCalls() {
	type token struct {
		subject, host string
		fence         uint64
	}
	refused, stale := make(map[token]time.Time), make(map[string]int)
	for _, c := range j.Duties {
		key := token{c.Subject, c.Host, c.Fence}
		at, known := refused[key]
		if known && c.At.Sub(at) > j.bounds.Lease {
			if stale[c.Host]++; stale[c.Host] == maxStaleCalls+1 {
				j.find(One, c.At, "%s went on to call %s with fencing token %d, refused %v before", c.Host, c.Subject, c.Fence, c.At.Sub(at))
			}
		}
		if !known && !c.Accepted {
			refused[key] = c.At
		}
	}
}

// usageDue checks that each window is reported in time, with the requests that began in it.
func (j *judge) usageDue() {
	length := j.bounds.UsageWindow
	if length == 0 {
		return
	}
	reported := make(map[int64]DutyCall)
	for _, c := range j.Duties {
		if _, known := reported[c.Window]; c.Usage && c.Accepted && !known {
			reported[c.Window] = c
		}
	}
	truth := make(map[int64]map[string]int)
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		if k := a.At.UnixNano() / int64(length); a.Ran {
			if truth[k] == nil {
				truth[k] = make(map[string]int)
			}
			truth[k][a.Organisation]++
		}
	}
	for _, k := range sortedKeys(truth) {
		begin := time.Unix(0, k*int64(length))
		due := begin.Add(length + j.bounds.UsageLate)
		if begin.Before(j.From) || due.After(j.To) {
			continue
		}
		c, ok := reported[k]
		if !ok || c.At.After(due) {
			j.find(UsageDue, due, "window %d was not reported in time", k)
			continue
		}
		for _, organisation := range sortedKeys(truth[k]) {
			n := truth[k][organisation]
			if math.Abs(float64(c.Counts[organisation]-n)) > j.bounds.UsageTolerance*float64(n) {
				j.find(UsageDue, due, "window %d: %s was reported with %d requests, %d began", k, organisation, c.Counts[organisation], n)
			}
		}
	}
}
