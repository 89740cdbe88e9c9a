package dispatch

import (
	"time"

	"zinniapin/target"
)

const (
	// failureWeight is the weight of the newest outcome in the share of
	// failures of a target.
	failureWeight = 0.25
	// serviceWeight is the same for the whole service.
	serviceWeight = 0.03
	// failureExcess is how far above its service's the share of failures of a
	// target may be.
	failureExcess = 0.4
	// minSamples is the number of outcomes before a target is judged.
	minSamples = 4
	// unreachableTimes is the number of failures in a row without an answer
	// after which a target is left alone.
	unreachableTimes = 2
	// quarantineFirst and quarantineMost bound the time that a failing target is
	// left alone; it doubles each time.
	quarantineFirst = 700 * time.Millisecond
	quarantineMost  = 5 * time.Second
	// latencyWeight is the weight of the newest latency.
	latencyWeight = 0.15
	// forgetTime is how long an observed slowness counts without news of it.
	forgetTime = 4 * time.Second
	// speedWeight is the weight of the newest observation in a role's speed,
	// factorWeight in a target's.
	speedWeight  = 0.02
	factorWeight = 0.2
	// minObservedTokens is the least number of tokens from which a speed is
	// observed; below it, fixed times prevail.
	minObservedTokens = 2000
)

// health is what is known of a target's failures.
type health struct {
	samples  int
	failures float64
	inARow   int
	until    time.Time
	last     time.Duration
	latency  float64 // milliseconds
	seen     time.Time
}

// quarantined tells whether the target is left alone.
func (s *state) quarantined(now time.Time) bool { return now.Before(s.health.until) }

// latencyOr returns the target's latency in milliseconds, or the typical one
// when there is no recent observation.
func (s *state) latencyOr(now time.Time, typical float64) float64 {
	if s.health.latency == 0 || now.Sub(s.health.seen) > forgetTime {
		return typical
	}
	return s.health.latency
}

// leaveAlone quarantines the target, longer each time.
func (h *health) leaveAlone(now time.Time) {
	h.last = min(max(2*h.last, quarantineFirst), quarantineMost)
	h.until = now.Add(h.last)
	h.inARow, h.samples, h.failures = 0, 0, 0
}

// Ticket is a request that was sent to a target.
type Ticket struct {
	id      uint64
	target  target.ID
	begun   time.Time
	backlog int // unread tokens there, with those of this request
	unread  int
}

// Begin counts a request that is sent to a target.
func (p *Planner) Begin(now time.Time, id target.ID, j Job, unread int) Ticket {
	s := p.targets[id]
	if s == nil {
		return Ticket{}
	}
	backlog, _, _ := s.load(now, p.speedOf(s))
	p.nextJob++
	s.jobs[p.nextJob] = &running{unread: unread, since: now}
	if j.PromptTokens > 0 && unread > 0 {
		s.note(now, chainsOf(j.Parts), p.policy.CacheTTL)
		p.tell(id, j.Parts)
	}
	return Ticket{id: p.nextJob, target: id, begun: now, backlog: backlog + unread, unread: unread}
}

// chainsOf returns the chains of leading parts.
func chainsOf(parts []Part) []uint32 {
	chains := make([]uint32, len(parts))
	for i, part := range parts {
		chains[i] = part.Chain
	}
	return chains
}

// PrefillDone notes that a request's prompt was processed and learns the speed.
func (p *Planner) PrefillDone(now time.Time, t Ticket) {
	s := p.targets[t.target]
	if s == nil {
		return
	}
	s.progressed = now
	if r := s.jobs[t.id]; r != nil {
		r.unread = 0
	}
	spent := now.Sub(t.begun) - firstTokenTime
	if t.backlog < minObservedTokens || spent <= time.Millisecond {
		return
	}
	role := s.target.Role
	if role != target.Prefill {
		role = target.Decode
	}
	observed := float64(t.backlog) / (float64(spent) / float64(time.Millisecond))
	base := p.speed[role]
	ratio := min(max(observed/base, 0.1), 2)
	s.factor = min(max(s.factor+factorWeight*(ratio-s.factor), 0.1), 1.5)
	s.health.seen = now
	p.speed[role] = min(max(base+speedWeight*(min(observed, 2*base)-base), 5), 1000)
}

// End counts a request that has ended.
func (p *Planner) End(t Ticket) {
	if s := p.targets[t.target]; s != nil {
		delete(s.jobs, t.id)
	}
}

// Outcome is how an exchange with a target ended.
type Outcome int

// Outcomes of exchanges.
const (
	// Answered means a whole answer, or a refusal for want of room.
	Answered Outcome = iota
	// Failed means an answer that says that the target failed.
	Failed
	// Unreachable means no answer, a broken one or one of another request.
	Unreachable
)

// Observe notes how an exchange with a target ended, and for plain services
// how long it took.
func (p *Planner) Observe(now time.Time, id target.ID, o Outcome, latency time.Duration) {
	s := p.targets[id]
	if s == nil {
		return
	}
	h, bad := &s.health, 0.0
	if o != Answered {
		bad = 1
	}
	h.samples++
	h.failures += failureWeight * (bad - h.failures)
	service := s.target.Service
	p.failing[service] += serviceWeight * (bad - p.failing[service])
	if o == Unreachable {
		h.inARow++
	} else {
		h.inARow = 0
	}
	if h.inARow >= unreachableTimes || h.samples >= minSamples && h.failures > p.failing[service]+failureExcess {
		h.leaveAlone(now)
		return
	}
	if o == Answered {
		p.observeLatency(now, s, latency)
	}
}

// observeLatency notes the latency of a plain service's target.
func (p *Planner) observeLatency(now time.Time, s *state, latency time.Duration) {
	if latency <= 0 {
		return
	}
	milliseconds := float64(latency) / float64(time.Millisecond)
	h, service := &s.health, s.target.Service
	if h.latency == 0 || now.Sub(h.seen) > forgetTime {
		h.latency = milliseconds
	} else {
		h.latency += latencyWeight * (milliseconds - h.latency)
	}
	h.seen, h.last = now, 0
	if p.latency[service] == 0 {
		p.latency[service] = milliseconds
	}
	p.latency[service] += serviceWeight * (milliseconds - p.latency[service])
}

// Tick lets observed slowness be forgotten: a target that gets no work for it
// could never show that it has recovered.
func (p *Planner) Tick(now time.Time) {
	for _, s := range p.targets {
		if s.factor != 1 && now.Sub(s.health.seen) > forgetTime {
			s.factor += 0.2 * (1 - s.factor)
			s.health.seen = now.Add(-forgetTime / 2)
		}
	}
}
