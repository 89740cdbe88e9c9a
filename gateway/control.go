package gateway

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/poison"
	"zinniapin/routing"
	"zinniapin/target"
	"zinniapin/targetlink"
	"zinniapin/usage"
)

// Configure implements control.Gateway. It ignores revisions that are not newer than the one
// in force. The uplink logs the change.
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
	g.ledger.SetWindowLength(s.Fleet.UsageWindow())
	g.fleet.configure(time.Now(), s)
}

// Observe implements control.Gateway.
func (g *Gateway) Observe(view []control.TargetState) {
	now := time.Now()
	g.fleet.observe(now, view)
	g.crashes.observeTargets(view)
	g.options.Links.SetTargets(targetlink.TargetsOf(view))
	g.targetsObserved.Store(true)
	g.moveStreams(now)
	g.updateCapacities(now)
}

// Cordon implements control.Gateway.
func (g *Gateway) Cordon(id target.ID, epoch uint64, lift bool) int {
	now := time.Now()
	running, changed := g.fleet.setCordon(now, id, epoch, lift)
	if changed {
		event.TargetCordoned.Log(&g.log).Str("target", string(id)).Uint64("epoch", epoch).Bool("lift", lift).Int("running", running).Send()
		g.updateCapacities(now)
	}
	return running
}

// updateCapacities sets the dispatch capacity of each pool from the current view of targets
// and dispatches what may run as a result.
func (g *Gateway) updateCapacities(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, p := range g.fleet.capacities(now, g.liveGateways) {
		g.admission.SetCapacity(name, p.requests)
		if p.engines && !g.admission.HasPromptWindow(name) {
			g.admission.SetPromptWindow(name, routing.NewPromptWindow(routing.MaxFirstTokenTime))
		}
		g.admission.SetMinPromptWindow(name, p.minPromptTokens)
		g.dispatch(now, name)
	}
}

// dispatch signals the tickets of a pool that may run. The caller holds the lock.
func (g *Gateway) dispatch(now time.Time, pool string) {
	for _, t := range g.admission.Dispatch(now, pool) {
		close(t.Ready)
	}
}

// moveStreams moves streams off targets that are about to leave.
func (g *Gateway) moveStreams(now time.Time) {
	callbacks := g.fleet.moveCallbacks(now)
	if len(callbacks) == 0 {
		return
	}
	moved := 0
	for _, moveStream := range callbacks {
		if moveStream() {
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
	wasDisconnected := !g.noControllerSince.IsZero()
	g.updateConfirmedAt(now, c)
	if c.LiveGateways > 0 {
		// A gateway that is cut off keeps the last known count, so that its
		// share of the limits does not grow.
		g.liveGateways = c.LiveGateways
		g.admission.SetGateways(g.liveGateways)
	}
	switch {
	case c.Controllers > 0:
		g.admission.ControllerReached(now)
		g.noControllerSince = time.Time{}
	case !wasDisconnected:
		g.noControllerSince = now
		event.GatewayAlone.Log(&g.log).Int("refuses_after_ms", g.options.Settings.ControllerLossMillis).Send()
	}
	g.mu.Unlock()
	g.updateCapacities(now)
}

// updateConfirmedAt records until when the configuration is known to have been the newest:
// the store confirmed it, or most members could not reach the store, so that none can have
// accepted a newer one. The caller holds the lock.
func (g *Gateway) updateConfirmedAt(now time.Time, c control.Connectivity) {
	if c.ConfirmedAt.After(g.confirmedAt) {
		g.confirmedAt = c.ConfirmedAt
	}
	if c.Controllers == 0 || !c.StoreDownForMost {
		return
	}
	if at := now.Add(-c.StoreDownAge); at.After(g.confirmedAt) {
		g.confirmedAt = at
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

// CrashEvidence implements control.Gateway.
func (g *Gateway) CrashEvidence(n int, maxAge time.Duration) []poison.Evidence {
	return g.crashes.evidence(n, maxAge)
}

// MergeCrashEvidence implements control.Gateway.
func (g *Gateway) MergeCrashEvidence(all []poison.Evidence) {
	g.crashes.merge(all)
}

// Explain implements control.Gateway.
func (g *Gateway) Explain(requestID string) []byte {
	return g.history.explain(requestID)
}
