package dispatch

import (
	"time"

	"zinniapin/roster"
	"zinniapin/target"
)

const (
	// failureWeight is the weight of the newest outcome in the moving average of a
	// target's share of failures.
	failureWeight = 0.25
	// serviceWeight is the weight of the newest outcome, and of the newest latency,
	// in the averages of a whole service.
	serviceWeight = 0.03
	// maxFailureExcess is how far a target's share of failures may exceed that of
	// its service before the target is quarantined.
	maxFailureExcess = 0.4
	// minSamples is the number of outcomes from which a target's share of failures
	// is used.
	minSamples = 4
	// maxUnreachableInARow is the number of consecutive exchanges without an answer
	// after which a target is quarantined.
	maxUnreachableInARow = 2
	// answeredTime is how long after an answer a target counts as one that answers.
	answeredTime = 500 * time.Millisecond
	// minQuarantine and maxQuarantine bound the quarantine of a failing target. It
	// doubles each time.
	minQuarantine = 700 * time.Millisecond
	maxQuarantine = 5 * time.Second
	// quarantineJitter is the share by which a quarantine is lengthened at random.
	quarantineJitter = 0.5
	// latencyWeight is the weight of the newest latency in a target's average.
	latencyWeight = 0.15
	// observationTTL is how long the observed latency and prompt speed of a target
	// are used without a new observation.
	observationTTL = 4 * time.Second
	// factorWeight is the weight of the newest observation of this host in a target's
	// speed factor, reportedFactorWeight that of one that a peer reports. All hosts learn
	// the same from reports: if each counted much, they would all leave a target that was
	// slow once, and return to it together.
	factorWeight         = 0.2
	reportedFactorWeight = 0.02
	// minProcessingMillis is the least expected time to process a prompt, and those
	// before it, from which a speed factor is derived. With less, fixed times dominate
	// the measurement.
	minProcessingMillis = 25
	// handoffWeight is the weight of the newest observation in the hand-off time.
	handoffWeight = 0.05
)

// health holds a target's recent outcomes and latency, and its quarantine.
type health struct {
	samples              int     // outcomes since the last quarantine
	failureShare         float64 // moving average
	unreachableInARow    int
	unreachableFrom      string    // host that counted last in unreachableInARow; empty for this one
	answeredAt           time.Time // last answer to this host or, as far as known, to a peer
	probation            bool      // was quarantined and has answered nobody since
	quarantinedUntil     time.Time
	lastQuarantineLength time.Duration // 0 once a latency was observed since
	latencyMillis        float64
	// ttlStart is the time from which observationTTL counts. An observed latency or prompt speed
	// sets it to the time of the observation. After observationTTL latencyMillis is not used any
	// more, and Tick moves the target's speed factor towards 1. Each such step sets ttlStart to
	// observationTTL/2 before the step, so that the next step is due observationTTL/2 after it.
	ttlStart time.Time
}

// quarantined tells whether the target gets no requests because it failed lately. After that it
// is on probation: it gets one request at a time, of this host and its peers together, until one
// is answered.
func (s *state) quarantined(now time.Time) bool {
	return now.Before(s.health.quarantinedUntil) || s.health.probation && s.inUse(now)
}

// inUse tells whether this host or a peer has a request in flight at the target.
func (s *state) inUse(now time.Time) bool {
	if len(s.jobs) > 0 {
		return true
	}
	for _, l := range s.peers {
		if l.Active > 0 && now.Sub(l.at) <= peerLoadTTL {
			return true
		}
	}
	return false
}

// latencyOr returns the target's latency in milliseconds, or typical if there is
// no recent observation.
func (s *state) latencyOr(now time.Time, typical float64) float64 {
	if s.health.latencyMillis == 0 || now.Sub(s.health.ttlStart) > observationTTL {
		return typical
	}
	return s.health.latencyMillis
}

// quarantine keeps requests from the target, twice as long as the last time, within
// minQuarantine and maxQuarantine, and begins its probation. The jitter, from 0 to 1, spreads
// the moments at which hosts try the target again.
func (h *health) quarantine(now time.Time, jitter float64) {
	h.lastQuarantineLength = min(max(2*h.lastQuarantineLength, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(time.Duration((1 + quarantineJitter*jitter) * float64(h.lastQuarantineLength)))
	h.unreachableInARow, h.samples, h.failureShare = 0, 0, 0
	h.probation = true
}

// Ticket is a request that was sent to a target.
type Ticket struct {
	id       uint64
	target   target.ID
	begun    time.Time
	backlog  int // pending prompt tokens at the target, without this request's
	uncached int // prompt tokens that the target has to process
	prompt   int // all prompt tokens
	service  string
}

// Begin records that a request is sent to a target, which has to process so many
// uncached tokens of its prompt. The ticket identifies the request to PrefillDone
// and End.
func (p *Planner) Begin(now time.Time, id target.ID, j Job, uncached int) Ticket {
	s := p.targets[id]
	if s == nil {
		return Ticket{}
	}
	if s.notice.limited() {
		s.notice.limit.use(now)
	}
	speed := p.currentSpeed(now, s)
	backlog, _, _ := s.load(now, speed)
	p.nextTicket++
	s.jobs[p.nextTicket] = p.newInFlight(now, s, speed, backlog, j.PromptTokens, uncached)
	if j.PromptTokens > 0 && uncached > 0 {
		s.touchCache(now, chainsOf(j.Parts), p.policy.CacheTTL)
		p.recordSentPrompt(id, j.Parts)
	}
	return Ticket{id: p.nextTicket, target: id, begun: now, backlog: backlog, uncached: uncached, prompt: j.PromptTokens, service: j.Service}
}

// newInFlight returns a request of which so many prompt tokens are to be processed at a target
// after its backlog.
func (p *Planner) newInFlight(now time.Time, s *state, speed float64, backlog, prompt, uncached int) *inFlight {
	if uncached == 0 {
		return &inFlight{}
	}
	model := p.modelOf(s)
	work := model.processing(features(uncached, max(prompt, uncached))) * model.speed()
	starts := now.Add(milliseconds(float64(backlog) / speed))
	return &inFlight{pending: int(work), startsAt: starts, endsAt: starts.Add(milliseconds(work / speed))}
}

// chainsOf returns the chain hashes of leading parts.
func chainsOf(parts []Part) []uint32 {
	chains := make([]uint32, len(parts))
	for i, part := range parts {
		chains[i] = part.Chain
	}
	return chains
}

// PrefillDone records that a request's prompt was processed, and learns from the time that it
// took.
func (p *Planner) PrefillDone(now time.Time, t Ticket) {
	s := p.targets[t.target]
	if s == nil {
		return
	}
	if r := s.jobs[t.id]; r != nil {
		r.pending = 0
	}
	spent := float64(now.Sub(t.begun)) / float64(time.Millisecond)
	if t.uncached == 0 {
		p.observeHandoff(t, spent)
		return
	}
	sample := Sample{Uncached: t.uncached, Prompt: t.prompt, Backlog: max(t.backlog, 0), Millis: spent / s.meanSlowdown(t.begun, now)}
	p.observeSample(now, s, sample, factorWeight)
	if r := p.report(t.target); len(r.Samples) < maxReportedSamples {
		r.Samples = append(r.Samples, sample)
	}
}

// observeHandoff updates the time from a processed prompt to its first token at another target.
func (p *Planner) observeHandoff(t Ticket, spent float64) {
	_, transfer := p.transfer(t.service, t.prompt)
	observed := max(spent-float64(transfer)/float64(time.Millisecond), 0)
	p.handoffMillis += handoffWeight * (min(observed, maxHandoffMillis) - p.handoffMillis)
}

// maxHandoffMillis bounds the influence of one slow hand-off on the average.
const maxHandoffMillis = 300

// observeSample updates the latency model of a target's role, unless the prompt waited behind
// others, and the target's speed factor. The factor stays between 0.1 and 1.5, and one sample
// counts as at most twice the usual speed. The weight is that of the sample in the factor.
func (p *Planner) observeSample(now time.Time, s *state, o Sample, weight float64) {
	model, x := p.modelOf(s), features(o.Uncached, o.Prompt)
	processing := float64(o.Backlog)/model.speed() + model.processing(x)
	if took := o.Millis - model.parameters[0]; processing >= minProcessingMillis && took > 1 {
		ratio := min(max(processing/took, 0.1), 2)
		s.speedFactor = min(max(s.speedFactor+weight*(ratio-s.speedFactor), 0.1), 1.5)
		s.health.ttlStart = now
	}
	if o.Backlog == 0 {
		model.observe(x, o.Millis)
	}
}

// End records that a request has ended.
func (p *Planner) End(t Ticket) {
	if s := p.targets[t.target]; s != nil {
		delete(s.jobs, t.id)
	}
}

// Outcome is how an exchange with a target ended.
type Outcome int

// Outcomes of exchanges.
const (
	// Answered means a complete answer, or a refusal because the target was full.
	Answered Outcome = iota
	// Failed means an answer that reports a failure of the target.
	Failed
	// NoEvidence means that the exchange tells nothing of the target.
	NoEvidence
	// Unreachable means no answer, a truncated or invalid one, or one that belongs
	// to another request.
	Unreachable
)

// Observe records how an exchange with a target ended and, for plain services, how
// long it took. It quarantines a target that does not answer, or that fails much
// more often than its service does.
func (p *Planner) Observe(now time.Time, id target.ID, o Outcome, latency time.Duration) {
	s := p.targets[id]
	if s == nil || o == NoEvidence || o == Unreachable && p.lostLinks[id] {
		return
	}
	p.reportOutcome(now, id, o)
	if !p.observeOutcome(now, s, o, "") && o == Answered {
		p.observeLatency(now, s, latency)
	}
}

// observeOutcome updates the health of a target by an exchange of this host, whose name is
// empty, or of a peer. It quarantines a target that does not answer, or that fails much more
// often than its service does, and returns whether it did. A peer that cannot reach the target
// must not keep others from it, so its exchanges without an answer count once in a row, and not
// at all while the target answers others: many targets that lose some answers each would
// otherwise be left by all hosts at once.
func (p *Planner) observeOutcome(now time.Time, s *state, o Outcome, host string) bool {
	h, failure := &s.health, 0.0
	if o == Unreachable && host != "" {
		if now.Sub(h.answeredAt) < answeredTime || host == h.unreachableFrom && h.unreachableInARow > 0 {
			return false
		}
	}
	if o != Answered {
		failure = 1
	}
	h.samples++
	h.failureShare += failureWeight * (failure - h.failureShare)
	service := s.target.Service
	p.failureShare[service] += serviceWeight * (failure - p.failureShare[service])
	switch o {
	case Answered:
		h.unreachableInARow, h.probation, h.answeredAt = 0, false, now
	case Failed:
		h.unreachableInARow = 0
	default:
		h.unreachableInARow++
		h.unreachableFrom = host
	}
	unreachable := h.unreachableInARow >= maxUnreachableInARow
	if unreachable || h.samples >= minSamples && h.failureShare > p.failureShare[service]+maxFailureExcess {
		h.quarantine(now, p.random.Float64())
		p.quarantines = append(p.quarantines, Quarantine{Target: s.target, Host: host, Unreachable: unreachable, For: h.quarantinedUntil.Sub(now)})
		return true
	}
	return false
}

// Quarantine tells why a target gets no requests for some time.
type Quarantine struct {
	Target roster.Target
	// Host is the peer that reported the last failure, empty if that was this host.
	Host string
	// Unreachable is set if the target did not answer; otherwise it failed more often than its service.
	Unreachable bool
	For         time.Duration
}

// TakeQuarantines returns the quarantines that began since the last call.
func (p *Planner) TakeQuarantines() []Quarantine {
	taken := p.quarantines
	p.quarantines = nil
	return taken
}

// observeLatency records the latency of a plain service's target. A latency of 0
// stands for none.
func (p *Planner) observeLatency(now time.Time, s *state, latency time.Duration) {
	if latency <= 0 {
		return
	}
	milliseconds := float64(latency) / float64(time.Millisecond) / s.meanSlowdown(now.Add(-latency), now)
	h, service := &s.health, s.target.Service
	if h.latencyMillis == 0 || now.Sub(h.ttlStart) > observationTTL {
		h.latencyMillis = milliseconds
	} else {
		h.latencyMillis += latencyWeight * (milliseconds - h.latencyMillis)
	}
	h.ttlStart, h.lastQuarantineLength = now, 0
	if p.latencyMillis[service] == 0 {
		p.latencyMillis[service] = milliseconds
	}
	p.latencyMillis[service] += serviceWeight * (milliseconds - p.latencyMillis[service])
}

// Tick moves the speed factor of targets without recent observations towards 1, by a
// fifth of the distance every observationTTL/2. Otherwise a target that gets no work
// because it was slow could never show that it has recovered.
func (p *Planner) Tick(now time.Time) {
	p.tickOutput(now)
	for _, s := range p.targets {
		if s.speedFactor != 1 && now.Sub(s.health.ttlStart) > observationTTL {
			s.speedFactor += 0.2 * (1 - s.speedFactor)
			// This makes the next step due in observationTTL/2.
			s.health.ttlStart = now.Add(-observationTTL / 2)
		}
	}
}
