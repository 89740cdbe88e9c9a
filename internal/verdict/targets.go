package verdict

import "time"

// leaving checks that targets that leave get no requests for long. A host that has passed on a target's
// word that it leaves is bound by that in touch or not.
func (j *judge) leaving() {
	type pair struct{ host, target string }
	told := make(map[pair]time.Time)
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		r, ok := j.request[a.Request]
		if !ok {
			continue
		}
		key := pair{r.Host, a.Target}
		if at, known := told[key]; a.Leaving && r.Status != 0 && (!known || r.End.Before(at)) {
			told[key] = r.End
		}
	}
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		r, ok := j.request[a.Request]
		if !ok || a.Misdirected {
			continue
		}
		if at, known := told[pair{r.Host, a.Target}]; known && r.Sent.Sub(at) > j.bounds.Drain && !j.crashed(a.Target, at, a.At) && !j.disturbed(r.Host, at, a.At, Restart, Term) {
			j.find(Drain, a.At, "target %s got %s of host %s, to which it had said %v before that it leaves", a.Target, r.ID, r.Host, r.Sent.Sub(at))
		}
		leaves := j.target[a.Target].Leaves
		if leaves.IsZero() {
			continue
		}
		stable := !j.disturbed("", leaves.Add(-j.bounds.Contact), leaves, Harm, Restart)
		after := a.At.Sub(leaves)
		switch {
		case after > j.bounds.Drain && stable && j.inTouch(r.Host, r.Sent) && j.inTouch(r.Host, a.At),
			after > j.bounds.DrainAnywhere && j.bounds.DrainAnywhere > 0:
			j.find(Drain, a.At, "target %s got %s %v after it was known to leave", a.Target, r.ID, after)
		}
	}
}

// pauses checks that a target which asks a host for a pause gets one request to probe it at most.
func (j *judge) pauses() {
	for i := range j.Arrivals {
		p := &j.Arrivals[i]
		from, until := p.Ended.Add(slack), p.Ended.Add(p.Pause)
		asked, ok := j.request[p.Request]
		if !ok || p.Pause <= slack || p.Ended.IsZero() {
			continue
		}
		probes := 0
		for k := i + 1; k < len(j.Arrivals) && j.Arrivals[k].At.Before(until); k++ {
			a := &j.Arrivals[k]
			r, known := j.request[a.Request]
			if known && a.Target == p.Target && r.Host == asked.Host && a.At.After(from) && j.inTouch(r.Host, a.At) && !j.crashed(p.Target, p.Ended, a.At) {
				probes++
			}
		}
		if probes > maxPauseProbes {
			j.find(Drain, from, "target %s got %d requests of host %s in a pause of %v", p.Target, probes, asked.Host, p.Pause)
		}
	}
}

// limits checks in every window that targets get no more than the limits that they name allow.
func (j *judge) limits() {
	for _, t := range j.Targets {
		for _, l := range t.Limits {
			var times []time.Time
			for i := range j.Arrivals {
				a := &j.Arrivals[i]
				if r, ok := j.request[a.Request]; ok && a.Target == t.ID && a.At.After(l.From.Add(j.bounds.Contact)) && a.At.Before(l.To) && j.inTouch(r.Host, a.At) {
					times = append(times, a.At)
				}
			}
			allowed := j.bounds.LimitFactor*l.PerSecond*j.bounds.LimitWindow.Seconds() + float64(j.bounds.LimitSlack)
			for _, from := range times {
				if n := between(times, from, from.Add(j.bounds.LimitWindow)); float64(n) > allowed {
					j.find(LimitOf, from, "target %s got %d requests in %v with a limit of %.1f a second, allowed are %.1f", t.ID, n, j.bounds.LimitWindow, l.PerSecond, allowed)
					break
				}
			}
		}
	}
}
