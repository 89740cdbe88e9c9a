package controller

import (
	"context"
	"sync"
	"time"

	"zinniapin/control"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/wire"
)

const (
	// loadsInterval is the interval at which loads go to the planners.
	loadsInterval = 2 * time.Second
	// loadsMemory is how long a source's loads count.
	loadsMemory = 3 * loadsInterval
	// loadsTimeout bounds the call to a planner.
	loadsTimeout = time.Second
	// maxLoadSources bounds the sources that are remembered.
	maxLoadSources = 2048
	// planKey, with the pool's name behind it, selects the planner of a pool.
	planKey = "plan/"
)

// sourceLoads are the loads that one process told of.
type sourceLoads struct {
	at    time.Time
	loads []control.PoolLoad
}

// loadTable holds what processes told of loads. It is safe for concurrent
// use.
type loadTable struct {
	mu      sync.Mutex
	sources map[string]sourceLoads // by machine.Process.ID
}

// newLoadTable returns an empty table.
func newLoadTable() *loadTable {
	return &loadTable{sources: map[string]sourceLoads{}}
}

// set replaces what a source told.
func (t *loadTable) set(now time.Time, source string, loads []control.PoolLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.sources {
		if now.Sub(s.at) > loadsMemory {
			delete(t.sources, id)
		}
	}
	if _, known := t.sources[source]; known || len(t.sources) < maxLoadSources {
		t.sources[source] = sourceLoads{now, loads}
	}
}

// poolModel names a pool's model.
type poolModel struct {
	pool, model string
}

// total returns the loads of all sources together, one a pool and model.
func (t *loadTable) total(now time.Time) map[poolModel]control.PoolLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[poolModel]control.PoolLoad{}
	for _, s := range t.sources {
		if now.Sub(s.at) > loadsMemory {
			continue
		}
		for _, l := range s.loads {
			key := poolModel{l.Pool, l.Model}
			sums[key] = l.Add(sums[key])
		}
	}
	return sums
}

// serveLoads takes in loads: those of a gateway to be passed on, those of
// another controller for the pools that this one plans for.
func (k *Controller) serveLoads(from link.Link, q *wire.LoadPush) *wire.LoadAck {
	loads := make([]control.PoolLoad, 0, len(q.Loads))
	for _, l := range q.Loads {
		loads = append(loads, l.ToPoolLoad())
	}
	peer := from.Peer()
	table := k.gatewayLoads
	if peer.Role == machine.Controller {
		table = k.planLoads
	}
	table.set(time.Now(), peer.ID(), loads)
	return &wire.LoadAck{}
}

// spreadLoads passes the loads of this controller's gateways on to the
// planners of their pools.
func (k *Controller) spreadLoads(ctx context.Context) {
	byPlanner := map[machine.HostID]*planner{}
	controllers := membership.Controllers(k.Members(), k.config.Self.Zone.Region)
	for key, l := range k.gatewayLoads.total(time.Now()) {
		owners := membership.Owners(controllers, planKey+key.pool, 1)
		if len(owners) == 0 {
			continue
		}
		p := byPlanner[owners[0].Process.Host]
		if p == nil {
			p = &planner{process: owners[0].Process}
			byPlanner[p.process.Host] = p
		}
		p.loads = append(p.loads, l)
	}
	for _, p := range byPlanner {
		k.tellLoads(ctx, p)
	}
}

// planner is a controller that plans for pools, with the loads to tell it.
type planner struct {
	process machine.Process
	loads   []control.PoolLoad
}

// tellLoads tells one planner, which may be this process.
func (k *Controller) tellLoads(ctx context.Context, p *planner) {
	if p.process.Host == k.config.Self.Host {
		k.planLoads.set(time.Now(), k.config.Self.ID(), p.loads)
		return
	}
	timed, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	l, err := k.direct(timed, p.process)
	if err != nil {
		return // the next interval tells again
	}
	push := &wire.LoadPush{}
	for _, load := range p.loads {
		push.Loads = append(push.Loads, wire.FromPoolLoad(load))
	}
	_, _ = l.Call(timed, &wire.Envelope{Body: &wire.Envelope_LoadPush{LoadPush: push}})
}
