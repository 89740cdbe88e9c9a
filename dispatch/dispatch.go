// Package dispatch decides to which target a request is sent, and which requests
// are refused. It is made for loads at which prompts arrive faster than targets can
// process them. Prompt tokens count as pending at a target as soon as this host or a
// peer sends them, so the time to the first token is forecast without waiting for the
// targets' own reports, which lag.
//
// A Planner has no I/O, no goroutine and no clock of its own; it is not safe
// for concurrent use.
package dispatch

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/target"
	"zinniapin/zone"
)

// Part is a leading part of a prompt. Prompts with the same chain hash share that
// prefix, and with it the KV cache.
type Part struct {
	ID     uint64 // hash of this part alone
	Chain  uint32 // hash of this part and all before it
	Tokens int    // number of tokens in this part and all before it
}

// Job describes a request before it is sent to a target.
type Job struct {
	Service string
	// PromptTokens is the number of prompt tokens. It is 0 for plain services, that
	// is, those without an engine.
	PromptTokens int
	// Parts are the leading parts of the prompt, shortest first.
	Parts []Part
	// Bytes is the size of the request.
	Bytes int
	// Objective is the time left until the answer is late, TimeLeft the time left
	// until the caller has no use for it.
	Objective, TimeLeft time.Duration
	// MaxEventGap is the longest allowed gap between events of a stream.
	MaxEventGap time.Duration
	// OutputTokens is the expected number of output tokens, CarefulOutputTokens one that is rarely
	// exceeded; both are 0 if nothing is known of the output.
	OutputTokens, CarefulOutputTokens int
	// Weight is how much a late answer costs relative to one of usual size; 0
	// means 1.
	Weight float64
	// AllowFetch allows a target to fetch cached parts of the prompt from another.
	AllowFetch bool
	// SkipPrefill leaves out targets that only process prompts.
	SkipPrefill bool
	// RefusedBefore is set when the caller retries after a refusal.
	RefusedBefore bool
	// Priority is the priority at the target: lower is more urgent.
	Priority int
	// Version is the software version at which the job has to run if VersionFixed is set.
	Version      string
	VersionFixed bool
}

// Decision is the result of planning a job.
type Decision struct {
	// Target is the target to send the job to; its ID is empty when the job is
	// refused.
	Target roster.Target
	// FetchFrom is the target from which Target should fetch cached parts of the
	// prompt; its ID is empty when nothing is to be fetched.
	FetchFrom roster.Target
	// UncachedTokens is the number of prompt tokens that the target has to process.
	UncachedTokens int
	// Wait is the forecast time until the target begins to process the prompt,
	// Forecast the forecast time until the first token or the plain answer.
	Wait, Forecast time.Duration
	// LastToken is the forecast time until the last token of the careful output length; 0 for plain
	// services.
	LastToken time.Duration
	// MaxWait is the longest forecast wait with which the job would be admitted.
	MaxWait time.Duration
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
	// Reason says why the job was refused.
	Reason Reason
	// LoadAge is the age of the oldest peer load on which the forecast is based.
	LoadAge time.Duration
	// Slowdown is the slowdown of the best target that the forecast assumes, in per cent; 100 is usual.
	Slowdown int
	// Candidates is the number of targets that could take the job.
	Candidates int
}

// Reason says why a job is refused.
type Reason string

// Reasons of refusals.
const (
	// NoTarget means that the service has no target that takes requests.
	NoTarget Reason = "no_target"
	// NoTargetOfVersion means that it has none of the version at which the job has to run.
	NoTargetOfVersion Reason = "no_target_of_version"
	// TargetsPaused means that all targets have asked to be left alone for some time.
	TargetsPaused Reason = "targets_paused"
	// Overload means that no target is forecast to serve the job soon enough.
	Overload Reason = "overload"
)

// Refused tells whether no target takes the job.
func (d Decision) Refused() bool { return d.Target.ID == "" }

// Load is the load that one host has at a target.
type Load struct {
	PendingTokens int // prompt tokens not yet processed
	Active        int // requests sent and not ended
	// Sent is the number of requests sent in the last two seconds to a target with a limit at which hosts take turns.
	Sent int
}

const (
	// firstTokenOverhead is the initial estimate of the time to the first token beyond
	// the processing of the prompt: one decode step and the network round trip.
	firstTokenOverhead = 12 * time.Millisecond
	// handoffTime is the initial estimate of the time, in addition to the transfer of
	// the KV cache, from a processed prompt at a prefill target to the first token at a
	// decode target.
	handoffTime = 10 * time.Millisecond
	// peerLoadTTL is how long a reported load of a peer counts.
	peerLoadTTL = 3 * time.Second
	// tieMargin is the difference in cost within which a target is chosen at random,
	// so that hosts with the same view do not all choose the same one.
	tieMargin = 0.015
	// excessRequestTime is the assumed wait for each request beyond a target's slots.
	excessRequestTime = 150 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// noTargetRetryAfter is Decision.RetryAfter when a service has no target. A
	// replaced target is listed within about a second.
	noTargetRetryAfter = 500 * time.Millisecond
)

// KeyOf returns the short key that hosts use for a target in messages to each other.
func KeyOf(id target.ID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// Planner tracks the loads of targets and decides which target serves a request.
type Planner struct {
	policy           Policy
	zone             zone.Name
	remoteLoadsStale bool
	random           *rand.Rand
	targets          map[target.ID]*state
	byKey            map[uint32]*state        // targets by KeyOf
	services         map[string][]*state      // targets by service
	loadedByPeer     map[string][]uint32      // keys of the targets at which a peer has loads, by its name
	engines          map[string]*route.Engine // by service; none for plain services
	latency          map[target.Role]*latencyModel
	outputModels     map[string]*outputModel      // by service
	handoffMillis    float64                      // from a processed prompt to the first token elsewhere, without the transfer
	overloads        map[string]*overloadDetector // by service
	meanPromptTokens map[string]float64           // by route
	latencyMillis    map[string]float64           // by plain service
	failureShare     map[string]float64           // by service
	nextTicket       uint64
	// scratch and quarantinedScratch keep the memory of candidates from one choice to the next.
	scratch, quarantinedScratch []candidate
	factorScratch               []float64             // likewise of factors
	sentPrompts                 []SentPrompt          // not yet taken to be sent to peers
	reports                     map[target.ID]*Report // likewise
	untoldSlowdowns             map[target.ID]bool    // targets with reported slowdowns that ReportSlowdowns has not considered
	notices                     map[target.ID]*notice
	departures                  map[target.ID]departure
	fleet                       fleet
	marks                       recentMarks
	quarantines                 []Quarantine // not yet taken to be logged
	unconfirmed                 map[target.ID]*unconfirmed
	lostLinks                   map[target.ID]bool
}

// New returns a planner for a host in availability zone z. The seed is that of its
// random choices.
func New(p Policy, z zone.Name, seed uint64) *Planner {
	return &Planner{
		policy:           p,
		zone:             z,
		random:           rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		targets:          make(map[target.ID]*state),
		byKey:            make(map[uint32]*state),
		services:         make(map[string][]*state),
		loadedByPeer:     make(map[string][]uint32),
		engines:          make(map[string]*route.Engine),
		latency:          map[target.Role]*latencyModel{target.Prefill: newLatencyModel(p.PrefillSpeed), target.Decode: newLatencyModel(p.DecodeSpeed)},
		handoffMillis:    float64(handoffTime) / float64(time.Millisecond),
		outputModels:     make(map[string]*outputModel),
		reports:          make(map[target.ID]*Report),
		untoldSlowdowns:  make(map[target.ID]bool),
		unconfirmed:      make(map[target.ID]*unconfirmed),
		notices:          make(map[target.ID]*notice),
		overloads:        make(map[string]*overloadDetector),
		meanPromptTokens: make(map[string]float64),
		latencyMillis:    make(map[string]float64),
		failureShare:     make(map[string]float64),
	}
}

// SetTargets replaces the targets. It keeps the state of those that were there
// before, unless they have restarted or have another address.
func (p *Planner) SetTargets(now time.Time, all []roster.Target) {
	kept := make(map[target.ID]*state, len(all))
	p.byKey = make(map[uint32]*state, len(all))
	p.services = make(map[string][]*state)
	for _, t := range all {
		s := p.targets[t.ID]
		if s == nil || s.target.StartedMillis != t.StartedMillis || s.target.Address != t.Address {
			s = newState()
		}
		s.noteLeaving(now, t)
		s.target, s.output = t, p.outputModelOf(t.Service)
		kept[t.ID] = s
		p.byKey[KeyOf(t.ID)] = s
		p.services[t.Service] = append(p.services[t.Service], s)
	}
	p.noteDepartures(now, kept)
	p.targets = kept
	p.attachNotices(now)
}

// SetServices replaces the engine descriptions of the services.
func (p *Planner) SetServices(all []route.Service) {
	p.engines = make(map[string]*route.Engine, len(all))
	for i := range all {
		if all[i].Engine != nil {
			p.engines[all[i].Name] = all[i].Engine
		}
	}
}

// SetPeerLoads replaces the loads of a peer, by target key, with those that it had at a
// time. Its cost does not depend on the number of targets, since digests arrive often.
func (p *Planner) SetPeerLoads(at time.Time, host string, loads map[uint32]Load) {
	p.fleet.hear(at, host)
	for _, key := range p.loadedByPeer[host] {
		if s := p.byKey[key]; s != nil {
			if _, still := loads[key]; !still {
				delete(s.peers, host)
			}
		}
	}
	if len(loads) == 0 {
		delete(p.loadedByPeer, host)
		return
	}
	keys := p.loadedByPeer[host][:0]
	for key, l := range loads {
		if s := p.byKey[key]; s != nil {
			s.peers[host] = peerLoad{l, at}
			keys = append(keys, key)
		}
	}
	p.loadedByPeer[host] = keys
}

// DropPeer removes the loads of a peer.
func (p *Planner) DropPeer(host string) { p.SetPeerLoads(time.Time{}, host, nil) }

// Loads returns this host's load at each target where it has any, by target key.
func (p *Planner) Loads(now time.Time) map[uint32]Load {
	all := make(map[uint32]Load)
	for id, s := range p.targets {
		if l := s.ownLoad(now); l.Active+l.Sent > 0 {
			all[KeyOf(id)] = l
		}
	}
	return all
}

// Plan chooses the target for a job, or refuses the job. For a prompt it is the
// target that processes it; see PlanDecode for its output. Targets in exclude are not
// used.
func (p *Planner) Plan(now time.Time, j Job, exclude map[target.ID]bool) Decision {
	all := p.candidates(now, j, exclude)
	if len(all) == 0 {
		if wait := p.ReturnAfter(now, j); wait > 0 {
			return Decision{Reason: TargetsPaused, RetryAfter: wait}
		}
	}
	if len(all) == 0 && j.VersionFixed {
		return Decision{Reason: NoTargetOfVersion, RetryAfter: noTargetRetryAfter}
	}
	if len(all) == 0 {
		return Decision{Reason: NoTarget, RetryAfter: noTargetRetryAfter}
	}
	best := p.pickCheapest(all)
	maxWait := p.maxWait(now, j, all)
	d := Decision{UncachedTokens: best.uncached, Wait: best.wait, Forecast: best.forecast, LastToken: best.lastToken, MaxWait: maxWait, LoadAge: best.loadAge, Slowdown: percentOf(best.slowdown), Candidates: len(all)}
	if excess, refuse := exceedsLimit(j, best, maxWait); refuse {
		d.Reason, d.RetryAfter = Overload, p.retryAfter(excess)
		return d
	}
	d.Target = best.state.target
	if best.from != nil {
		d.FetchFrom = best.from.target
	}
	return d
}

// maxWait returns how long a job may wait before its prompt is processed: a share of
// its objective, or half of its time left if it has none. It also reports the shortest
// wait to the overload detector of the service.
func (p *Planner) maxWait(now time.Time, j Job, all []candidate) time.Duration {
	if j.Objective <= 0 {
		return j.TimeLeft / 2
	}
	detector := p.overloads[j.Service]
	if detector == nil {
		detector = &overloadDetector{}
		p.overloads[j.Service] = detector
	}
	wait := all[0].wait
	for _, c := range all {
		wait = min(wait, c.wait)
	}
	detector.observe(now, wait, j.Objective)
	share := p.policy.WaitShare
	if j.RefusedBefore {
		share = p.policy.RetryWaitShare
	}
	return time.Duration(float64(j.Objective) * detector.waitShare(now, share, p.policy.MinWaitShare))
}

// exceedsLimit tells whether the job would wait too long or end too late at the best
// target, and returns a time after which it would probably not.
func exceedsLimit(j Job, best *candidate, maxWait time.Duration) (time.Duration, bool) {
	if best.wait > maxWait {
		return best.wait - maxWait/2, true
	}
	if j.TimeLeft > 0 && best.forecast > j.TimeLeft {
		return best.forecast - j.TimeLeft/2, true
	}
	return 0, false
}

// retryAfter returns the time to wait before a retry. Random jitter keeps refused
// callers from retrying all at once.
func (p *Planner) retryAfter(excess time.Duration) time.Duration {
	jittered := time.Duration(float64(excess) * (1 + 0.5*p.random.Float64()))
	return min(max(jittered, minRetryAfter), maxRetryAfter)
}

// modelOf returns the latency model for the role of a target.
func (p *Planner) modelOf(s *state) *latencyModel {
	if s.target.Role == target.Prefill {
		return p.latency[target.Prefill]
	}
	return p.latency[target.Decode]
}

// speedOf returns the estimated prompt speed of a target in tokens per millisecond.
func (p *Planner) speedOf(s *state) float64 {
	return max(p.modelOf(s).speed()*s.speedFactor, 1)
}
