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
	// loadsInterval is the interval at which loads are sent to the planners.
	loadsInterval = 2 * time.Second
	// loadsTTL is how long the loads of a source are counted.
	loadsTTL = 3 * loadsInterval
	// loadsTimeout bounds the call to a planner.
	loadsTimeout = time.Second
	// maxLoadSources bounds the number of sources in a load table.
	maxLoadSources = 2048
	// plannerKeyPrefix and the name of a pool make the rendezvous key of the
	// pool's planner.
	plannerKeyPrefix = "plan/"
)

// sourceLoads are the loads that one process reported.
type sourceLoads struct {
	at    time.Time
	loads []control.PoolLoad
}

// loadTable holds the loads that processes reported. It is safe for concurrent
// use.
type loadTable struct {
	mu      sync.Mutex
	sources map[string]sourceLoads // by machine.Process.ID
}

// newLoadTable returns an empty table.
func newLoadTable() *loadTable {
	return &loadTable{sources: map[string]sourceLoads{}}
}

// set replaces the loads of a source and drops expired ones of others.
func (t *loadTable) set(now time.Time, source string, loads []control.PoolLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.sources {
		if now.Sub(s.at) > loadsTTL {
			delete(t.sources, id)
		}
	}
	if _, known := t.sources[source]; known || len(t.sources) < maxLoadSources {
		t.sources[source] = sourceLoads{now, loads}
	}
}

// poolModel identifies a model in a pool.
type poolModel struct {
	pool, model string
}

// total returns the sums of the loads of all sources by pool and model.
func (t *loadTable) total(now time.Time) map[poolModel]control.PoolLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[poolModel]control.PoolLoad{}
	for _, s := range t.sources {
		if now.Sub(s.at) > loadsTTL {
			continue
		}
		for _, l := range s.loads {
			key := poolModel{l.Pool, l.Model}
			sums[key] = l.Add(sums[key])
		}
	}
	return sums
}

// serveLoads records the loads in a push: those of a gateway to forward them to
// the planners, those of another controller for the pools that this one plans.
func (k *Controller) serveLoads(from link.Link, push *wire.LoadPush) *wire.LoadAck {
	loads := make([]control.PoolLoad, 0, len(push.Loads))
	for _, l := range push.Loads {
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

// forwardLoads sends the loads of the gateways linked to this controller to the
// planners of their pools.
func (k *Controller) forwardLoads(ctx context.Context) {
	byPlanner := map[machine.HostID]*plannerLoads{}
	controllers := membership.Controllers(k.Members(), k.config.Self.Zone.Region)
	for key, l := range k.gatewayLoads.total(time.Now()) {
		owners := membership.Owners(controllers, plannerKeyPrefix+key.pool, 1)
		if len(owners) == 0 {
			continue
		}
		p := byPlanner[owners[0].Process.Host]
		if p == nil {
			p = &plannerLoads{process: owners[0].Process}
			byPlanner[p.process.Host] = p
		}
		p.loads = append(p.loads, l)
	}
	for _, p := range byPlanner {
		k.sendLoads(ctx, p)
	}
}

// plannerLoads holds the loads to send to a controller that plans for pools.
type plannerLoads struct {
	process machine.Process
	loads   []control.PoolLoad
}

// sendLoads sends loads to one planner, which may be this process.
func (k *Controller) sendLoads(ctx context.Context, p *plannerLoads) {
	if p.process.Host == k.config.Self.Host {
		k.planLoads.set(time.Now(), k.config.Self.ID(), p.loads)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	l, err := k.linkTo(callCtx, p.process)
	if err != nil {
		return // retried at the next interval
	}
	push := &wire.LoadPush{}
	for _, load := range p.loads {
		push.Loads = append(push.Loads, wire.FromPoolLoad(load))
	}
	_, _ = l.Call(callCtx, &wire.Envelope{Body: &wire.Envelope_LoadPush{LoadPush: push}})
}
