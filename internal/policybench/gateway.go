package policybench

import (
	"time"

	"zinniapin/routing"
	"zinniapin/target"
)

// Constants of the simple fair queue that stands before every policy.
const (
	// patience is how long a request queues at a gateway before it is refused
	// unrun.
	patience = 900 * time.Millisecond
	// slowFirst is the time from sending to the first token above which the
	// window shrinks.
	slowFirst = 900 * time.Millisecond
	// Bounds of the window, in prompt tokens sent without a first token.
	firstWindow    = 24000.0
	smallestWindow = 5000.0
	largestWindow  = 400000.0
	windowShrink   = 0.85
	shrinkEvery    = 300 * time.Millisecond
	windowGrowth   = 0.25 // of a served prompt
	// callTokens stands for a call or a very short prompt.
	callTokens = 100
	// maxAttempts bounds how often a request is sent.
	maxAttempts = 4
)

// gateway holds requests in fair queues by organisation. The window of
// prompts under way follows the first-token times that it sees, in the same
// way for every policy.
type gateway struct {
	picker   picker
	queues   [][]*request // by organisation
	served   []float64    // work sent, by organisation
	clock    float64      // of the organisation served last
	window   float64
	under    float64 // prompt tokens under way
	shrunkAt int64
	calls    []*request

	waited  float64 // seconds, since the last look
	sent    int
	refused int
}

// newGateway returns a gateway for n organisations.
func newGateway(p picker, n int) *gateway {
	return &gateway{picker: p, queues: make([][]*request, n), served: make([]float64, n), window: firstWindow}
}

// tokens is what a request takes of the window.
func tokens(r *request) float64 {
	return float64(max(callTokens, r.prompt))
}

// arrive queues a request.
func (g *gateway) arrive(r *request) {
	if r.service {
		g.calls = append(g.calls, r)
		return
	}
	if len(g.queues[r.org]) == 0 {
		g.served[r.org] = max(g.served[r.org], g.clock)
	}
	g.queues[r.org] = append(g.queues[r.org], r)
}

// dispatch sends what the window allows and refuses what waited too long.
func (g *gateway) dispatch(now int64, w *world) {
	g.expire(now, w)
	for _, r := range g.calls {
		if !w.send(now, g, r) {
			w.refuse(now, r)
		}
	}
	g.calls = g.calls[:0]
	for g.under < g.window {
		org := g.next()
		if org < 0 {
			return
		}
		r := g.queues[org][0]
		if !w.send(now, g, r) {
			return
		}
		g.queues[org] = g.queues[org][1:]
		g.clock = g.served[org]
		g.served[org] += workOf(float64(r.prompt), float64(r.output))
		g.under += tokens(r)
		g.waited += float64(now-r.at) / float64(time.Second)
		g.sent++
	}
}

// next returns the organisation that was served least, or -1.
func (g *gateway) next() int {
	best := -1
	for i, q := range g.queues {
		if len(q) > 0 && (best < 0 || g.served[i] < g.served[best]) {
			best = i
		}
	}
	return best
}

// expire refuses what waited too long.
func (g *gateway) expire(now int64, w *world) {
	for i, q := range g.queues {
		for len(q) > 0 && now-q[0].at > int64(patience) {
			if q[0].attempts == 0 {
				w.refuse(now, q[0])
				g.refused++
			} else {
				w.abandon(now, q[0])
			}
			q = q[1:]
		}
		g.queues[i] = q
	}
}

// first takes in a first token.
func (g *gateway) first(now int64, r *request) {
	g.under -= tokens(r)
	if now-r.sentAt <= int64(slowFirst) {
		g.window = min(largestWindow, g.window+windowGrowth*tokens(r)*tokens(r)/g.window)
		return
	}
	if now-g.shrunkAt >= int64(shrinkEvery) {
		g.window = max(smallestWindow, g.window*windowShrink)
		g.shrunkAt = now
	}
}

// request fills in what routing needs to know.
func (d *deployment) request(r *request) routing.Request {
	q := routing.Request{
		Pool: d.pool.Name, Model: modelsOf[0], Affinity: r.affinity,
		PromptTokens: r.prompt, OutputTokens: r.output, StableOnly: r.stable,
	}
	if r.service {
		q.Pool, q.Model, q.Affinity = d.service, "", 0
	}
	return q
}

// cheapTarget tells whether a target may be reclaimed.
func cheapTarget(e *engine) bool {
	return e != nil && e.target.Class == target.Reclaimable
}
