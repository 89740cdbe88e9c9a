package targetbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zinniapin/dispatch"
	"zinniapin/roster"
)

// LimitLoad is a load on one target that names a limit.
type LimitLoad struct {
	Seed      uint64
	Hosts     int
	PerSecond float64 // limit
	// Uneven makes most requests come at a few hosts.
	Uneven bool
	Steps  int // of limitStep each, in each of which limitRequests come
}

// LimitResult is what the target got.
type LimitResult struct {
	// Most is the most requests in any limitSpan, from limitGrace on, Allowed what the limit allows there.
	Most    int
	Allowed float64
	Mean    float64 // requests a second
}

const (
	limitStep     = 10 * time.Millisecond
	limitRequests = 2
	// limitGrace is the time after which a limit has to be kept, limitSpan the length of the periods in which
	// it is judged. In each the target may get limitFactor times what the limit allows, and limitSlack requests.
	limitGrace  = 3 * time.Second
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// maxClockDifference is how far the clocks of hosts differ.
	maxClockDifference = 100 * time.Millisecond
)

// Sender decides at one host whether a target with a limit gets a request.
type Sender interface {
	// Send tells whether a request is sent, and counts it.
	Send(now time.Time) bool
}

// SenderPolicy returns the senders of all hosts of a load, and a function that is called every 100 ms.
type SenderPolicy func(load LimitLoad) (senders []Sender, gossip func(now time.Time))

// ReplayLimit plays a load with the senders of a policy.
func ReplayLimit(load LimitLoad, policy SenderPolicy) LimitResult {
	random := rand.New(rand.NewPCG(load.Seed, uint64(load.Hosts)))
	senders, gossip := policy(load)
	var sent []time.Duration
	for step := range load.Steps {
		at := time.Duration(step) * limitStep
		now := epoch.Add(at)
		for range limitRequests {
			host := random.IntN(len(senders))
			if load.Uneven {
				host = int(float64(len(senders)) * random.Float64() * random.Float64())
			}
			if senders[host].Send(now) && at >= limitGrace {
				sent = append(sent, at)
			}
		}
		if step%gossipSteps == 0 {
			gossip(now)
		}
	}
	judged := time.Duration(load.Steps)*limitStep - limitGrace
	result := LimitResult{Allowed: limitFactor*load.PerSecond*limitSpan.Seconds() + limitSlack, Mean: float64(len(sent)) / judged.Seconds()}
	for first, last := 0, 0; first < len(sent); first++ {
		for last < len(sent) && sent[last]-sent[first] < limitSpan {
			last++
		}
		result.Most = max(result.Most, last-first)
	}
	return result
}

// bucket sends at most so many requests a second, one at once.
type bucket struct {
	perSecond, tokens float64
	filledAt          time.Time
}

// Send implements Sender.
func (b *bucket) Send(now time.Time) bool {
	if !b.filledAt.IsZero() {
		b.tokens = min(b.tokens+b.perSecond*now.Sub(b.filledAt).Seconds(), 1)
	}
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Alone lets each host keep to the limit by itself.
func Alone(load LimitLoad) ([]Sender, func(time.Time)) { return buckets(load.Hosts, load.PerSecond) }

// EqualShares gives each host an equal share of the limit.
func EqualShares(load LimitLoad) ([]Sender, func(time.Time)) {
	return buckets(load.Hosts, load.PerSecond/float64(load.Hosts))
}

// buckets returns a full bucket for each host.
func buckets(hosts int, perSecond float64) ([]Sender, func(time.Time)) {
	var all []Sender
	for range hosts {
		all = append(all, &bucket{perSecond: perSecond, tokens: 1})
	}
	return all, func(time.Time) {}
}

// plannerSender is the planner of a node.
type plannerSender struct {
	planner *dispatch.Planner
	target  roster.Target
	limit   float64
}

// Send implements Sender.
func (s *plannerSender) Send(now time.Time) bool {
	job := dispatch.Job{Service: s.target.Service, Objective: 150 * time.Millisecond, TimeLeft: time.Second}
	d := s.planner.Plan(now, job, nil)
	if d.Refused() {
		return false
	}
	s.planner.End(s.planner.Begin(now, d.Target.ID, job, 0))
	s.planner.SetLimit(now, s.target, s.limit, true)
	return true
}

// Entitled is what nodes do.
func Entitled(load LimitLoad) ([]Sender, func(time.Time)) {
	target := roster.Target{ID: "t-1", Service: "desk", Zone: "a", Slots: 4, StartedMillis: 1}
	var names []string
	for i := range load.Hosts {
		names = append(names, fmt.Sprint("h-", i))
	}
	random := rand.New(rand.NewPCG(load.Seed, 1))
	var planners []*dispatch.Planner
	var all []Sender
	for i, name := range names {
		p := dispatch.New(dispatch.DefaultPolicy(), "a", uint64(i))
		p.SetTargets(epoch, []roster.Target{target})
		p.SetFleet(epoch, epoch.Add(time.Duration(random.Int64N(int64(maxClockDifference)))), name, names)
		planners, all = append(planners, p), append(all, &plannerSender{p, target, load.PerSecond})
	}
	return all, func(now time.Time) {
		teller := planners[random.IntN(len(planners))]
		for _, news := range teller.LimitNews(now, 1, time.Hour) {
			for _, p := range planners {
				p.ApplyLimit(now, news)
			}
		}
	}
}
