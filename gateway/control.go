package gateway

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/routing"
	"zinniapin/target"
	"zinniapin/usage"
)

// Configure implements control.Gateway. The revision in force only rises; the
// uplink logs it.
func (g *Gateway) Configure(s *contract.Snapshot) {
	for {
		old := g.snapshot.Load()
		if old != nil && old.Revision >= s.Revision {
			return
		}
		if g.snapshot.CompareAndSwap(old, s) {
			break
		}
	}
	g.ledger.SetWindow(s.Fleet.UsageWindow())
	g.fleet.configure(time.Now(), s)
}

// Observe implements control.Gateway.
func (g *Gateway) Observe(view []control.TargetState) {
	now := time.Now()
	g.fleet.observe(now, view)
	g.observed.Store(true)
	g.moveStreams(now)
	g.setCapacities(now)
}

// Cordon implements control.Gateway.
func (g *Gateway) Cordon(id target.ID, epoch uint64, lift bool) int {
	now := time.Now()
	running, changed := g.fleet.setCordon(now, id, epoch, lift)
	if changed {
		event.TargetCordoned.Log(&g.log).Str("target", string(id)).Uint64("epoch", epoch).Bool("lift", lift).Int("running", running).Send()
		g.setCapacities(now)
	}
	return running
}

// setCapacities brings the dispatch capacities up to the view and dispatches
// what may run now.
func (g *Gateway) setCapacities(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, p := range g.fleet.capacities(now, g.gateways) {
		g.admission.SetCapacity(name, p.requests)
		if p.engines && !g.admission.HasPromptWindow(name) {
			g.admission.SetPromptWindow(name, routing.NewPromptWindow(routing.MaxFirstTokenTime))
		}
		g.admission.SetMinPromptWindow(name, p.prompts)
		g.dispatch(now, name)
	}
}

// dispatch wakes the tickets of a pool that may run. The lock is held.
func (g *Gateway) dispatch(now time.Time, pool string) {
	for _, t := range g.admission.Dispatch(now, pool) {
		close(t.Ready)
	}
}

// moveStreams moves the streams off targets that are about to leave.
func (g *Gateway) moveStreams(now time.Time) {
	moves := g.fleet.leaving(now)
	if len(moves) == 0 {
		return
	}
	moved := 0
	for _, move := range moves {
		if move() {
			moved++
		}
	}
	if moved > 0 {
		event.StreamsMoved.Log(&g.log).Int("streams", moved).Send()
	}
}

// SetGrants implements control.Gateway.
func (g *Gateway) SetGrants(grants []control.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.SetGrants(time.Now(), grants)
}

// SetConnectivity implements control.Gateway.
func (g *Gateway) SetConnectivity(c control.Connectivity) {
	now := time.Now()
	g.mu.Lock()
	wasAlone := !g.aloneSince.IsZero()
	g.confirm(now, c)
	if c.LiveGateways > 0 {
		// A gateway that is cut off keeps its last share, which is safe.
		g.gateways = c.LiveGateways
		g.admission.SetGateways(g.gateways)
	}
	switch {
	case c.Controllers > 0:
		g.admission.ControllerReached(now)
		g.aloneSince = time.Time{}
	case !wasAlone:
		g.aloneSince = now
		event.GatewayAlone.Log(&g.log).Int("refuses_after_ms", g.options.Settings.ControllerLossMillis).Send()
	}
	g.mu.Unlock()
	g.setCapacities(now)
}

// confirm notes until when the configuration needs no doubt. The lock is held.
func (g *Gateway) confirm(now time.Time, c control.Connectivity) {
	if c.ConfirmedAt.After(g.confirmed) {
		g.confirmed = c.ConfirmedAt
	}
	if c.Controllers == 0 || !c.StoreDownForMost {
		return
	}
	if at := now.Add(-c.StoreDownAge); at.After(g.confirmed) {
		g.confirmed = at
	}
}

// Demands implements control.Gateway.
func (g *Gateway) Demands() []control.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Demands(time.Now())
}

// Usage implements control.Gateway.
func (g *Gateway) Usage() []usage.Counter {
	return g.ledger.Unstored()
}

// UsageStored implements control.Gateway.
func (g *Gateway) UsageStored(counters []usage.Counter) {
	g.ledger.MarkStored(time.Now(), counters)
}

// Explain implements control.Gateway.
func (g *Gateway) Explain(requestID string) []byte {
	return g.history.explain(requestID)
}
