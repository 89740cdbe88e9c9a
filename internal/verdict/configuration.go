package verdict

import (
	"slices"
	"time"
)

// all tells whether a predicate holds for every version, of which there must be one.
func all(versions []Configuration, holds func(Configuration) bool) bool {
	return len(versions) > 0 && !slices.ContainsFunc(versions, func(c Configuration) bool { return !holds(c) })
}

// allows tells whether a version has a request's key and route, and if service is not empty, sends it there.
func (c Configuration) allows(r *Request, service string) bool {
	_, keyed := c.Keys[r.Key]
	route, routed := c.Routes[r.Route]
	return keyed && routed && (service == "" || route.Service == service)
}

// newestDue returns the index of the newest version that had been acknowledged for longer than a time
// before a moment; -1 if none had.
func (j *judge) newestDue(at time.Time, after time.Duration) int {
	for i := len(j.Configurations) - 1; i >= 0; i-- {
		if c := j.Configurations[i]; !c.Acknowledged.IsZero() && at.Sub(c.Acknowledged) > after {
			return i
		}
	}
	return -1
}

// writtenBy returns the versions from an index on that were written by a time.
func (j *judge) writtenBy(from int, at time.Time) []Configuration {
	end := len(j.Configurations)
	for end > 0 && j.Configurations[end-1].Written.After(at) {
		end--
	}
	return j.Configurations[max(0, min(from, end)):end]
}

// inForce returns the versions that may be in force at a host in touch between two times.
func (j *judge) inForce(sent, end time.Time) []Configuration {
	return j.writtenBy(j.newestDue(sent, j.bounds.ConfigApply), end)
}

// applied checks that requests are not handled as only a version allows which must have been replaced.
func (j *judge) applied() {
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		r, ok := j.request[a.Request]
		if !ok || !a.Ran && !a.PromptOnly {
			continue
		}
		allowed := func(c Configuration) bool { return c.allows(r, j.target[a.Target].Service) }
		touch := j.inTouch(r.Host, r.Sent) && j.inTouch(r.Host, a.At)
		for _, bound := range []time.Duration{j.bounds.ConfigApply, j.bounds.ConfigAnywhere} {
			due := j.newestDue(r.Sent, bound)
			if bound == 0 || due < 0 || bound == j.bounds.ConfigApply && !touch {
				continue
			}
			if !slices.ContainsFunc(j.writtenBy(due, a.At), allowed) && slices.ContainsFunc(j.Configurations, allowed) {
				j.find(Config, a.At, "%s ran as only a version allows that was replaced %v before it was sent", r.ID, r.Sent.Sub(j.Configurations[due].Acknowledged))
				break
			}
		}
	}
	for i := range j.Requests {
		r := &j.Requests[i]
		due := j.newestDue(r.Sent, j.bounds.ConfigApply)
		if due < 0 || r.Signature != "" || !slices.Contains(denials, r.Status) || !j.inTouch(r.Host, r.Sent) || !j.inTouch(r.Host, r.End) {
			continue
		}
		if all(j.writtenBy(due, r.End), func(c Configuration) bool { return c.allows(r, "") }) {
			j.find(Config, r.End, "%s got status %d though the versions of the last %v allow it", r.ID, r.Status, r.Sent.Sub(j.Configurations[due].Acknowledged))
		}
	}
}

// effect is the oldest version that allows what a host was seen to do.
type effect struct {
	at      time.Time
	version int
}

// incarnation names one start of a host: how often it had been killed or started before.
type incarnation struct {
	host   string
	number int
}

// incarnationAt returns the incarnation of a host at a time.
func (j *judge) incarnationAt(host string, at time.Time) incarnation {
	n := 0
	for _, d := range j.disruptions[host] {
		if d.Kind == Restart && !d.From.After(at) {
			n++
		}
	}
	return incarnation{host, n}
}

// regressions checks that no incarnation of a host goes back to an older version.
func (j *judge) regressions() {
	seen := make(map[incarnation][]effect)
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		r, ok := j.request[a.Request]
		if !ok || !a.Ran {
			continue
		}
		allowed := func(c Configuration) bool { return c.allows(r, j.target[a.Target].Service) }
		oldest := slices.IndexFunc(j.Configurations, allowed)
		if oldest < 0 {
			continue
		}
		newest := len(j.Configurations) - 1
		for !allowed(j.Configurations[newest]) {
			newest--
		}
		margin := j.bounds.Rollback
		if !j.inTouch(r.Host, a.At) {
			margin *= 8
		}
		host := j.incarnationAt(r.Host, a.At)
		for _, e := range seen[host] {
			if e.version > newest && r.Sent.Sub(e.at) > margin {
				j.find(Config, a.At, "%s ran at version %d of host %s, which had version %d in force %v before", r.ID, newest, r.Host, e.version, r.Sent.Sub(e.at))
				break
			}
		}
		if known := seen[host]; len(known) == 0 || known[len(known)-1].version < oldest {
			seen[host] = append(known, effect{a.At, oldest})
		}
	}
}

// timeouts checks that requests are answered when their route's timeout is over, and ended soon after.
func (j *judge) timeouts() {
	unanswered, late, long, held := 0, 0, 0, 0
	var at time.Time
	for i := range j.Requests {
		r := &j.Requests[i]
		timeout := j.route(r).Timeout
		over := r.Sent.Add(timeout)
		end := over.Add(slack)
		if timeout == 0 || !r.Whole || !r.Left.IsZero() && r.Left.Before(end) || r.End.Before(over) || !j.inTouch(r.Host, r.Sent) || !j.inTouch(r.Host, end) {
			continue
		}
		long++
		if r.End.After(end) {
			held++
			at = r.End
		}
		if r.Begun.IsZero() || r.Begun.After(over) {
			unanswered++
			if r.Begun.IsZero() || r.Begun.After(end) {
				late++
				at = r.End
			}
		}
	}
	if late*2 > unanswered {
		j.find(Config, at, "%d of %d requests that were unanswered at their timeout had no answer %v later", late, unanswered, slack)
	}
	if held >= minTimeouts && held*4 > long {
		j.find(Config, at, "%d of %d requests that reached their timeout had not ended %v later", held, long, slack)
	}
}
