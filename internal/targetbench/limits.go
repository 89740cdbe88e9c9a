package targetbench

import (
	"math/rand/v2"
	"time"
)

// LimitLoad is a load on one target that names a limit.
type LimitLoad struct {
	Seed      uint64
	Hosts     int
	PerSecond float64 // limit
	// Uneven makes most requests come at a few hosts.
	Uneven bool
	// Surges makes few requests come but for a tenth of the time, in which five times as many come as usual.
	Surges bool
	// Faults makes hosts crash and start, and cuts some off from the others twice.
	Faults bool
	Steps  int // of limitStep each, in each of which limitRequests come
}

// requests returns the number of requests that come in a step.
func (l *LimitLoad) requests(step int) int {
	switch {
	case !l.Surges:
		return limitRequests
	case step%surgeSteps >= surgeSteps*9/10:
		return 5 * limitRequests
	case step%10 == 0:
		return 1
	}
	return 0
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
	// surgeSteps is the number of steps from one surge to the next.
	surgeSteps = 1500
	// limitGrace is the time after which a limit has to be kept, limitSpan the length of the periods in which
	// it is judged. In each the target may get limitFactor times what the limit allows, and limitSlack requests.
	limitGrace  = 3 * time.Second
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
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
		for range load.requests(step) {
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
