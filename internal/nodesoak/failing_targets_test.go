package nodesoak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"zinniapin/internal/standin/prepared"
)

// crashParts are the parts of prompts that end engines.
var crashParts = []string{"dead1", "dead2", "dead3"}

const (
	// maxLateCrashers is the number of requests with a part that ends targets that may reach targets later
	// than contactTime after the fifth end.
	maxLateCrashers = 3
	// limitWindow is the length of the periods in which a target's limit is judged. In each of them it may
	// get limitFactor times what the limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitSpan is a time in which a target names a limit.
type limitSpan struct {
	target    *prepared.Target
	perSecond float64
	from, to  time.Time
}

// disturbAll records a disturbance of the store, which concerns all nodes.
func (d *deployment) disturbAll() {
	for _, p := range d.nodes {
		p.disturb()
	}
}

// limitTarget makes a target name a limit for some seconds, unless it leaves or names one.
func (d *deployment) limitTarget(s *prepared.Target) {
	_, leaves := d.leftAt[s.ID]
	if leaves || slices.ContainsFunc(d.limits, func(l limitSpan) bool { return l.target == s && l.to.After(time.Now()) }) {
		return
	}
	l := limitSpan{target: s, perSecond: 0.5 + 4*d.random.Float64(), from: time.Now()}
	l.to = l.from.Add(time.Duration(4+d.random.IntN(8)) * time.Second)
	d.limits = append(d.limits, l)
	s.SetHeader(fmt.Sprintf("Server-Limit: %.1f\r\n", l.perSecond))
	time.AfterFunc(time.Until(l.to), func() { s.SetHeaderUnless("Server-Leaving", "") })
}

// senders returns the attempts of callers by request id.
func (d *deployment) senders() map[string]*attemptRecord {
	all := make(map[string]*attemptRecord)
	for i := range d.attempts.all {
		all[d.attempts.all[i].id] = &d.attempts.all[i]
	}
	return all
}

// checkCrashParts verifies that prompts with a part that ends targets are not sent for long, and that
// others are answered meanwhile.
func (d *deployment) checkCrashParts() {
	senders := d.senders()
	for _, part := range crashParts {
		var crashes []time.Time
		for _, s := range d.targets {
			for _, c := range s.Crashes() {
				if c.Part == part {
					crashes = append(crashes, c.At)
				}
			}
		}
		slices.SortFunc(crashes, time.Time.Compare)
		d.t.Logf("%d targets ended under %s", len(crashes), part)
		if len(crashes) < 5 {
			continue
		}
		late := 0
		for _, s := range d.targets {
			for _, a := range s.Arrivals() {
				from := senders[a.Header.Get("X-Request-Id")]
				if prepared.HasPart(a.Header, part) && a.At.Sub(crashes[4]) > contactTime && from != nil && from.node.inTouch(a.At) {
					late++
				}
			}
		}
		if late > maxLateCrashers {
			d.t.Errorf("%d requests with %s reached targets later than %v after the fifth end, %d targets ended", late, part, contactTime, len(crashes))
		}
	}
	served, all := 0, 0
	for _, s := range d.attempts.all {
		if s.isStream() && s.part == "" && s.begun.After(d.quietFrom) {
			all++
			if s.status == http.StatusOK {
				served++
			}
		}
	}
	if served < all/2 {
		d.t.Errorf("%d of %d sound streams were served after the faults had ended", served, all)
	}
}

// checkLimits verifies that targets got no more requests than the limits that they named allow.
func (d *deployment) checkLimits() {
	senders := d.senders()
	for _, l := range d.limits {
		var arrivals []time.Time
		for _, a := range l.target.Arrivals() {
			from := senders[a.Header.Get("X-Request-Id")]
			if a.At.After(l.from.Add(contactTime)) && a.At.Before(l.to) && from != nil && from.node.inTouch(a.At) {
				arrivals = append(arrivals, a.At)
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		for i, first := range arrivals {
			n := 0
			for i+n < len(arrivals) && arrivals[i+n].Sub(first) < limitWindow {
				n++
			}
			if float64(n) > allowed {
				d.t.Errorf("target %s got %d requests in %v with a limit of %.1f a second", l.target.ID, n, limitWindow, l.perSecond)
				break
			}
		}
	}
}
