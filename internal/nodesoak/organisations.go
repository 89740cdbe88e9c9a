package nodesoak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/internal/verdict"
)

// Bounds of the limits of organisations. Window and overage are those of the shifted deployment; the slack is small
// beside the limits of the run, so that a check does not rest on it.
const (
	limitWindow  = 8 * time.Second
	limitOverage = 0.1
	limitSlack   = 5.
	// limitSettle is the time after a disruption or a change from which requests below the limit should be served:
	// a second until a started node is ready, 3 s until the number of hosts is settled, 2 s until hosts change to a
	// better ranked grantor, half a second for a lease of a host's share, and a second in which buckets fill. With 5 s
	// the change of the grantor after a start counted as steady state.
	limitSettle = 8 * time.Second
)

// withLimitBounds adds the bounds of limits of organisations to a node's settings.
func withLimitBounds(data []byte) ([]byte, error) {
	var all map[string]any
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	bounds, ok := all["bounds"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("the settings have no bounds")
	}
	bounds["limit_window_seconds"], bounds["limit_overage"], bounds["limit_slack"] = limitWindow.Seconds(), limitOverage, limitSlack
	return json.Marshal(all)
}

// hasLimit tells whether any of some organisations has a limit.
func hasLimit(organisations []prepared.Organisation) bool {
	return slices.ContainsFunc(organisations, func(o prepared.Organisation) bool { return o.RatePerS > 0 })
}

// pressure is how an organisation's callers load its limit.
type pressure struct {
	prepared.Organisation
	// factors are the shares of the limit that its callers ask for, one at a time.
	factors []float64
}

const (
	// tokenCount is the header X-Token-Count of most streams of the load, and largeCount that of a request that
	// counts more than the burst of a pressed organisation. One of largeEvery streams has it.
	tokenCount, largeCount = "100,20", "1500,100"
	largeEvery             = 50
	// plainEvery is the number of requests of an organisation that counts tokens of which one is no stream.
	plainEvery = 4
)

// pressures are the organisations with limits: two of which callers ask for far more than the limit at most times,
// and two of which they ask for half of it.
func pressures() []pressure {
	over, below := []float64{3, 5, 8, 0.5, 0}, []float64{0.5}
	return []pressure{
		{requestLimit("pressed-requests", 10), over},
		{tokenLimit("pressed-tokens", 1200), over},
		{requestLimit("calm-requests", 40), below},
		{tokenLimit("calm-tokens", 4000), below},
	}
}

// requestLimit returns an organisation with a limit in requests a second, and a burst of one second.
func requestLimit(name string, perSecond float64) prepared.Organisation {
	return prepared.Organisation{Name: name, ApiKeys: []string{name + "-key"}, RatePerS: perSecond, Burst: perSecond}
}

// tokenLimit returns an organisation with a limit in tokens a second, and a burst of one second.
func tokenLimit(name string, perSecond float64) prepared.Organisation {
	o := requestLimit(name, perSecond)
	o.Unit, o.PlainTokens = prepared.TokenUnit, 60
	return o
}

// limitLoad sends the requests of organisations with limits.
type limitLoad struct {
	log   *attemptLog
	nodes atomic.Pointer[[]*process] // that requests may go to
	stop  chan struct{}
	ended sync.WaitGroup
}

// startLimitLoad starts the callers of some organisations.
func startLimitLoad(seed uint64, all []pressure, nodes []*process, log *attemptLog) *limitLoad {
	l := &limitLoad{log: log, stop: make(chan struct{})}
	l.setNodes(nodes)
	for i, p := range all {
		r := rand.New(rand.NewPCG(seed, uint64(100+i)))
		l.ended.Go(func() { l.call(r, p) })
	}
	return l
}

// setNodes sets the nodes that requests may go to.
func (l *limitLoad) setNodes(nodes []*process) {
	nodes = slices.Clone(nodes)
	l.nodes.Store(&nodes)
}

// end ends the callers and waits for their last requests.
func (l *limitLoad) end() {
	close(l.stop)
	l.ended.Wait()
}

// call sends the requests of an organisation until the load ends. It sends them to one or two nodes, and moves to others,
// at another pace, after a second or so.
func (l *limitLoad) call(r *rand.Rand, p pressure) {
	perRequest := float64(p.Units(""))
	if p.Unit == prepared.TokenUnit {
		perRequest = (float64(p.Units(tokenCount))*(plainEvery-1) + perRequest) / plainEvery
	}
	for n := 0; ; {
		nodes := *l.nodes.Load()
		used := []*process{nodes[r.IntN(len(nodes))], nodes[r.IntN(len(nodes))]}
		perSecond := p.factors[r.IntN(len(p.factors))] * p.RatePerS / perRequest
		begun, sent := time.Now(), 0
		for end := begun.Add(time.Duration(500+r.IntN(1500)) * time.Millisecond); time.Now().Before(end); {
			select {
			case <-l.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			for ; float64(sent) < time.Since(begun).Seconds()*perSecond; sent++ {
				n++
				l.send(r, used[n%len(used)], p, n)
			}
		}
	}
}

// send sends the request n of an organisation on a connection of its own.
func (l *limitLoad) send(r *rand.Rand, node *process, p pressure, n int) {
	s := verdict.Request{ID: fmt.Sprintf("%s-%d", p.Name, n), Host: node.name, Key: p.ApiKeys[0], Route: []string{"take", "read"}[r.IntN(2)]}
	if p.Unit == prepared.TokenUnit && n%plainEvery != 0 {
		s.Route, s.Prompt = []string{"draft", "reply"}[r.IntN(2)], promptOf("")
		s.Prompt.Tokens = tokenCount
		if len(p.factors) > 1 && r.IntN(largeEvery) == 0 {
			s.Prompt.Tokens = largeCount
		}
	}
	l.ended.Go(func() {
		c, err := net.DialTimeout("tcp", node.settings.Listen, 300*time.Millisecond)
		if err != nil {
			return // the node is down
		}
		defer c.Close() //nolint:errcheck // nothing more is written
		exchange(c, bufio.NewReader(c), &s, "", callerTimeout)
		l.log.add(s)
	})
}
