package dispatch

import (
	"math"
	"time"

	"zinniapin/roster"
)

// Targets that share their machine with others report in their responses how long work takes there at the moment.
// That changes several times a second, so a report counts for a short time only, and hosts tell each other at once.

const (
	// usualSlowdown is the slowdown, in per cent, of a target at which work takes the usual time.
	usualSlowdown = 100
	// slowdownFullTime is how long a reported slowdown counts fully. Until slowdownTTL it then fades to the usual one.
	slowdownFullTime = 300 * time.Millisecond
	slowdownTTL      = 900 * time.Millisecond
	// minSlowdownChange is the share by which a slowdown has to differ from the one told last for peers to be told.
	minSlowdownChange = 0.2
	// slowdownHistory and maxSlowdownReadings bound the readings that are kept of a target. The first is longer than
	// most prompts take; the second bounds the memory if a target reports another figure in each response.
	slowdownHistory     = 10 * time.Second
	maxSlowdownReadings = 64
)

// ServerLoad is what a target reports of its load in a response.
type ServerLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes at the target at this moment, in per cent of the usual time. 0 means that
	// the target does not report it.
	Slowdown int
}

// slowdownReading is a slowdown that a target reported in one response or in several ones.
type slowdownReading struct {
	percent     int
	first, last time.Time // times of the first and the last of those responses
}

// reportedLoad is what an incarnation of a target reported of its load. A nil one stands for a target that reports
// no slowdown.
type reportedLoad struct {
	own      ServerLoad // in the newest response to this host
	ownAt    time.Time
	readings []slowdownReading // to this host and its peers, in the order of time
	dropped  bool              // older readings were dropped
	told     slowdownReading   // the newest one that this host or a peer told the others
}

// fadedSlowdown returns the slowdown in per cent that is assumed at an age after the report.
func fadedSlowdown(percent int, age time.Duration) float64 {
	fade := float64(age-slowdownFullTime) / float64(slowdownTTL-slowdownFullTime)
	return usualSlowdown + float64(percent-usualSlowdown)*(1-min(max(fade, 0), 1))
}

// fullTimeUntil returns how long the full slowdown would have to be in force to count as much as the fading one does
// until an age, in seconds. It is negative for times before the report.
func fullTimeUntil(age time.Duration) float64 {
	full, fade := slowdownFullTime.Seconds(), (slowdownTTL - slowdownFullTime).Seconds()
	faded := min(max(age.Seconds()-full, 0), fade)
	return min(age.Seconds(), full) + faded - faded*faded/(2*fade)
}

// add records a slowdown that the target reported at a time. Times between the responses of another reading are
// ignored: the ages that peers tell are not exact enough to split it.
func (l *reportedLoad) add(percent int, at time.Time) {
	i := len(l.readings)
	for i > 0 && l.readings[i-1].first.After(at) {
		i--
	}
	if i > 0 {
		before := &l.readings[i-1]
		if before.percent == percent && at.Sub(before.last) <= slowdownFullTime {
			if at.After(before.last) {
				before.last = at
			}
			return
		}
		if at.Before(before.last) {
			return
		}
	}
	l.readings = append(l.readings, slowdownReading{})
	copy(l.readings[i+1:], l.readings[i:])
	l.readings[i] = slowdownReading{percent, at, at}
	for len(l.readings) > maxSlowdownReadings || at.Sub(l.readings[0].last) > slowdownHistory {
		l.readings, l.dropped = l.readings[1:], true
	}
}

// slowdown returns how much longer work takes at the target now than usual, as a factor: 1 if it reports nothing.
func (s *state) slowdown(now time.Time) float64 {
	if s.reported == nil || len(s.reported.readings) == 0 {
		return 1
	}
	r := s.reported.readings[len(s.reported.readings)-1]
	return fadedSlowdown(r.percent, now.Sub(r.last)) / usualSlowdown
}

// meanSlowdown returns the time-weighted mean of the slowdown over a span, as a factor. Unlike a forecast it knows
// what was reported later: a reading also counts for slowdownFullTime before its response, but at most from the
// middle between that and the response of the reading before. Otherwise the first response of a target that has
// become slow would pass for one at the usual speed.
func (s *state) meanSlowdown(from, to time.Time) float64 {
	if s.reported == nil || len(s.reported.readings) == 0 {
		return 1
	}
	all := s.reported.readings
	begins := func(i int) time.Time {
		lead := slowdownFullTime
		if i > 0 {
			lead = min(lead, all[i].first.Sub(all[i-1].last)/2)
		}
		return all[i].first.Add(-lead)
	}
	if earliest := begins(0); s.reported.dropped && from.Before(earliest) {
		from = earliest // what was in force before is not known
	}
	if !to.After(from) {
		return s.slowdown(to)
	}
	excess := 0.0 // per cent times seconds
	for i, r := range all {
		begin, end := begins(i), to
		if begin.Before(from) {
			begin = from
		}
		if i+1 < len(all) && begins(i+1).Before(end) {
			end = begins(i + 1)
		}
		if end.After(begin) {
			excess += float64(r.percent-usualSlowdown) * (fullTimeUntil(end.Sub(r.last)) - fullTimeUntil(begin.Sub(r.last)))
		}
	}
	return 1 + excess/to.Sub(from).Seconds()/usualSlowdown
}

// currentSpeed returns the prompt speed of a target in tokens per millisecond with its slowdown.
func (p *Planner) currentSpeed(now time.Time, s *state) float64 {
	return p.speedOf(s) / s.slowdown(now)
}

// SetServerLoad records the load that a target reported in a response to this host. Without a slowdown nothing is kept.
func (p *Planner) SetServerLoad(now time.Time, t roster.Target, l ServerLoad) {
	s := p.targets[t.ID]
	if l.Slowdown <= 0 || s == nil || s.target.StartedMillis != t.StartedMillis || s.target.Address != t.Address {
		return
	}
	s.addSlowdown(l.Slowdown, now)
	s.reported.own, s.reported.ownAt = l, now
	p.untoldSlowdowns[t.ID] = true
}

// addSlowdown records a slowdown that the target reported at a time.
func (s *state) addSlowdown(percent int, at time.Time) {
	if s.reported == nil {
		s.reported = &reportedLoad{}
	}
	s.reported.add(percent, at)
}

// ReportSlowdowns adds to the reports that TakeReports returns next the slowdowns that peers need to know: recent ones
// that differ from what they assume. That is the one told last by this host or a peer, faded as it is at all hosts, so
// that a slowdown which lasts is told again, and one that everybody knows is not told by everybody.
func (p *Planner) ReportSlowdowns(now time.Time) {
	for id := range p.untoldSlowdowns {
		s := p.targets[id]
		if s == nil || s.reported == nil || now.Sub(s.reported.ownAt) >= slowdownFullTime {
			delete(p.untoldSlowdowns, id)
			continue
		}
		l := s.reported
		known := fadedSlowdown(l.told.percent, now.Sub(l.told.last))
		if l.told.last.After(l.ownAt) || math.Abs(float64(l.own.Slowdown)-known) < minSlowdownChange*known {
			continue
		}
		r := p.report(id)
		if r.Leaving && r.StartedMillis != s.target.StartedMillis {
			continue // the report is on another incarnation
		}
		r.StartedMillis, r.Slowdown, r.SlowdownAt = s.target.StartedMillis, l.own.Slowdown, l.ownAt
		l.told = slowdownReading{l.own.Slowdown, l.ownAt, l.ownAt}
		delete(p.untoldSlowdowns, id)
	}
}

// applySlowdown takes the slowdown in a peer's report into account, unless it is of another incarnation.
func (p *Planner) applySlowdown(now time.Time, s *state, r Report) {
	if r.Slowdown <= 0 || r.StartedMillis != s.target.StartedMillis || r.SlowdownAt.After(now) || now.Sub(r.SlowdownAt) >= slowdownTTL {
		return
	}
	s.addSlowdown(r.Slowdown, r.SlowdownAt)
	if l := s.reported; r.SlowdownAt.After(l.told.last) {
		l.told = slowdownReading{r.Slowdown, r.SlowdownAt, r.SlowdownAt}
	}
}

// SlowedTargets returns the number of targets with a slowdown in force other than the usual one, in whole per cent.
func (p *Planner) SlowedTargets(now time.Time) int {
	n := 0
	for _, s := range p.targets {
		if percentOf(s.slowdown(now)) != usualSlowdown {
			n++
		}
	}
	return n
}

// percentOf returns a slowdown in whole per cent.
func percentOf(slowdown float64) int { return int(math.Round(usualSlowdown * slowdown)) }
