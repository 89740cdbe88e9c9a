// Package dispatch decides where a request runs, and which requests are
// refused. It answers loads at which prompts arrive faster than they can be
// processed: every target's unread prompt tokens, own and of peers, are counted
// the moment that they are sent, so the time to the first token can be forecast
// without waiting for the lagging reports of targets.
//
// A Planner has no I/O, no goroutine and no clock of its own; it is not safe
// for concurrent use.
package dispatch

import (
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"time"

	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/target"
	"zinniapin/zone"
)

// Part is a leading part of a prompt: the hash of it and of all before it, and
// the tokens that they have together.
type Part struct {
	Chain  uint32
	Tokens int
}

// Job is what is known of a request before it is sent.
type Job struct {
	Service string
	// Prompt is the number of prompt tokens; 0 for plain services.
	PromptTokens int
	// Parts are the leading parts of the prompt, shortest first.
	Parts []Part
	// Bytes is the size of the request.
	Bytes int
	// Objective is the time left until the answer is late; Left the time until
	// it is useless.
	Objective, TimeLeft time.Duration
	// Gap is the longest pause between events of a stream.
	MaxEventGap time.Duration
	// Weight is what a late answer costs in relation to one of usual size; 0
	// means 1.
	Weight float64
	// Fetch allows a target to fetch parts of the prompt that others keep.
	AllowFetch bool
	// Returning is set for a caller that was refused before.
	RefusedBefore bool
	// Urgent jobs go before others: lower is more urgent.
	Priority int
}

// Decision is what becomes of a job.
type Decision struct {
	// Target takes the job; its ID is empty when the job is refused.
	Target roster.Target
	// From is the target that keeps parts of the prompt which Target should fetch;
	// its ID is empty when there is none.
	FetchFrom roster.Target
	// Unread is the number of prompt tokens that the target has to process.
	UncachedTokens int
	// Wait is the forecast of the time until the target begins with the job,
	// Forecast of that until its first token.
	Wait, Forecast time.Duration
	// Bound is the longest wait with which the job was to be taken.
	MaxWait time.Duration
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Reason says why the job was refused.
	Reason Reason
	// LoadAge is the age of the oldest load of a peer that was used.
	LoadAge time.Duration
	// Candidates is the number of targets that could take the job.
	Candidates int
}

// Reason says why a job is refused.
type Reason string

// Reasons of refusals.
const (
	// NoTarget means that no target of the service is in use.
	NoTarget Reason = "no_target"
	// Overload means that every target's queue is too long.
	Overload Reason = "overload"
)

// Refused tells whether no target takes the job.
func (d Decision) Refused() bool { return d.Target.ID == "" }

// Load is what one host has under way at a target.
type Load struct {
	PendingTokens int // prompt tokens not yet processed
	Active        int // requests sent and not ended
}

const (
	// firstTokenTime is what a target takes beside processing the prompt: one
	// step, and the way there and back.
	firstTokenTime = 12 * time.Millisecond
	// fetchTime is what the fetching of KV cache takes beside the transfer.
	fetchTime = 10 * time.Millisecond
	// loadLife is how long a peer's load counts without news of it.
	loadLife = 3 * time.Second
	// nearTie is the difference in cost within which targets are drawn by lot,
	// so that hosts with the same view do not all pick the same target.
	nearTie = 0.015
	// fullSlotTime is the wait for each request beyond a target's slots.
	fullSlotTime = 150 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time that refused callers are
	// told to stay away.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// noTargetRetryAfter is when to come back when a service has no target:
	// a replaced one is listed within about a second.
	noTargetRetryAfter = 500 * time.Millisecond
)

// KeyOf returns the key by which hosts name a target to each other.
func KeyOf(id target.ID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// Planner keeps the loads of targets and decides.
type Planner struct {
	policy   Policy
	zone     zone.Name
	narrow   bool
	random   *rand.Rand
	targets  map[target.ID]*state
	byKey    map[uint32]*state
	services map[string][]*state
	engines  map[string]*route.Engine
	speed    map[target.Role]float64
	queues   map[string]*standing
	sizes    map[string]float64 // mean prompt tokens of routes
	latency  map[string]float64 // of plain services, milliseconds
	failing  map[string]float64 // share of failures of a service
	nextJob  uint64
	sent     []SentPrompt
}

// New returns a planner of a host in an availability zone.
func New(p Policy, z zone.Name, seed uint64) *Planner {
	return &Planner{
		policy:   p,
		zone:     z,
		random:   rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		targets:  make(map[target.ID]*state),
		byKey:    make(map[uint32]*state),
		services: make(map[string][]*state),
		engines:  make(map[string]*route.Engine),
		speed:    map[target.Role]float64{target.Prefill: p.PrefillSpeed, target.Decode: p.DecodeSpeed},
		queues:   make(map[string]*standing),
		sizes:    make(map[string]float64),
		latency:  make(map[string]float64),
		failing:  make(map[string]float64),
	}
}

// SetTargets replaces the targets. What is known of those that stay is kept,
// unless they started anew.
func (p *Planner) SetTargets(all []roster.Target) {
	kept := make(map[target.ID]*state, len(all))
	p.byKey = make(map[uint32]*state, len(all))
	p.services = make(map[string][]*state)
	for _, t := range all {
		s := p.targets[t.ID]
		if s == nil || s.target.StartedMillis != t.StartedMillis || s.target.Address != t.Address {
			s = newState()
		}
		s.target = t
		kept[t.ID] = s
		p.byKey[KeyOf(t.ID)] = s
		p.services[t.Service] = append(p.services[t.Service], s)
	}
	p.targets = kept
}

// SetServices replaces what is known of services.
func (p *Planner) SetServices(all []route.Service) {
	p.engines = make(map[string]*route.Engine, len(all))
	for i := range all {
		if all[i].Engine != nil {
			p.engines[all[i].Name] = all[i].Engine
		}
	}
}

// SetPeerLoads replaces what a peer has under way.
func (p *Planner) SetPeerLoads(now time.Time, host string, loads map[uint32]Load) {
	for key, s := range p.byKey {
		l, ok := loads[key]
		if !ok {
			delete(s.peers, host)
			continue
		}
		s.peers[host] = peerLoad{l, now}
	}
}

// DropPeer forgets what a peer had under way.
func (p *Planner) DropPeer(host string) {
	for _, s := range p.targets {
		delete(s.peers, host)
	}
}

// MarkCached notes that a target has processed the leading parts of a prompt.
func (p *Planner) MarkCached(now time.Time, key uint32, chains []uint32) {
	if s := p.byKey[key]; s != nil {
		s.note(now, chains, p.policy.CacheTTL)
	}
}

// Loads returns what this host has under way, by target.
func (p *Planner) Loads() map[uint32]Load {
	all := make(map[uint32]Load)
	for id, s := range p.targets {
		if l := s.own(); l.Active > 0 {
			all[KeyOf(id)] = l
		}
	}
	return all
}

// candidate is a target with its forecast for a job.
type candidate struct {
	state    *state
	from     *state // nil when nothing is fetched
	unread   int
	wait     time.Duration
	forecast time.Duration
	cost     float64
	loadAge  time.Duration
}

// Plan decides where a job's prompt is processed, or refuses the job. Targets
// in exclude are not used.
func (p *Planner) Plan(now time.Time, j Job, exclude map[target.ID]bool) Decision {
	all := p.candidates(now, j, exclude)
	if len(all) == 0 {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetryAfter}
	}
	best := p.pick(all)
	bound := p.bound(now, j, all)
	d := Decision{UncachedTokens: best.unread, Wait: best.wait, Forecast: best.forecast, MaxWait: bound, LoadAge: best.loadAge, Candidates: len(all)}
	if wait, refuse := refuses(j, best, bound); refuse {
		d.Reason, d.RetryAfter = Overload, p.retryAfter(wait)
		return d
	}
	d.Target = best.state.target
	if best.from != nil {
		d.FetchFrom = best.from.target
	}
	return d
}

// bound returns how long a job may wait before its own prompt is processed.
func (p *Planner) bound(now time.Time, j Job, all []candidate) time.Duration {
	if j.Objective <= 0 {
		return j.TimeLeft / 2
	}
	s := p.queues[j.Service]
	if s == nil {
		s = &standing{}
		p.queues[j.Service] = s
	}
	wait := all[0].wait
	for _, c := range all {
		wait = min(wait, c.wait)
	}
	s.note(now, wait, j.Objective)
	share := p.policy.WaitShare
	if j.RefusedBefore {
		share = p.policy.RetryWaitShare
	}
	return time.Duration(float64(j.Objective) * s.share(now, share, p.policy.MinWaitShare))
}

// refuses tells whether a job's wait is too long, and by how much.
func refuses(j Job, best candidate, bound time.Duration) (time.Duration, bool) {
	if best.wait > bound {
		return best.wait - bound/2, true
	}
	if j.TimeLeft > 0 && best.forecast > j.TimeLeft {
		return best.forecast - j.TimeLeft/2, true
	}
	return 0, false
}

// retryAfter returns when to come back after a wait that is too long. The lot
// keeps refused callers from coming back together.
func (p *Planner) retryAfter(wait time.Duration) time.Duration {
	drawn := time.Duration(float64(wait) * (1 + 0.5*p.random.Float64()))
	return min(max(drawn, minRetryAfter), maxRetryAfter)
}

// pick returns the candidate of least cost, drawn by lot among near ties.
func (p *Planner) pick(all []candidate) candidate {
	sort.Slice(all, func(i, j int) bool { return all[i].cost < all[j].cost })
	n := 1
	for n < len(all) && all[n].cost-all[0].cost < nearTie {
		n++
	}
	return all[p.random.IntN(n)]
}

// candidates returns the targets that could take a job. Where none is sound,
// those that fail are tried.
func (p *Planner) candidates(now time.Time, j Job, exclude map[target.ID]bool) []candidate {
	var sound, failing []candidate
	home, all := p.home(j), p.keepers(now, j, exclude)
	for _, s := range p.services[j.Service] {
		if s.target.Draining || exclude[s.target.ID] {
			continue
		}
		c := p.forecast(now, j, s, home, all)
		if s.quarantined(now) {
			failing = append(failing, c)
		} else {
			sound = append(sound, c)
		}
	}
	if len(sound) == 0 {
		return failing
	}
	return sound
}

// PlanDecode decides where the output of a processed prompt is produced.
func (p *Planner) PlanDecode(now time.Time, j Job, from roster.Target, exclude map[target.ID]bool) (roster.Target, bool) {
	var best *state
	bestCost := 0.0
	for _, s := range p.services[j.Service] {
		if s.target.Draining || exclude[s.target.ID] || s.target.Role == target.Prefill {
			continue
		}
		backlog, active, _ := s.load(now, p.speedOf(s))
		cost := float64(backlog)/p.speedOf(s) + 3*float64(active) + p.random.Float64()
		if s.target.Zone != from.Zone {
			cost += 30
		}
		if s.target.Zone != p.zone {
			cost += 15
		}
		if s.target.Slots > 0 && active >= s.target.Slots {
			cost += 500
		}
		if s.quarantined(now) {
			cost += 2000
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return roster.Target{}, false
	}
	return best.target, true
}

// speedOf returns the estimated speed of a target in tokens a millisecond.
func (p *Planner) speedOf(s *state) float64 {
	role := s.target.Role
	if role != target.Prefill {
		role = target.Decode
	}
	return max(p.speed[role]*s.factor, 1)
}
