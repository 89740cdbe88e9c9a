package node

import (
	"context"
	"errors"
	"sort"
	"time"

	"zinniapin/event"
	"zinniapin/provider"
	"zinniapin/route"
	"zinniapin/scaling"
	"zinniapin/zone"
)

// poolKey identifies the targets of one service in one zone that are all
// reclaimable or all reserved.
type poolKey struct {
	service     string
	zone        string
	reclaimable bool
}

// pool is the state of the orders for one poolKey.
type pool struct {
	size      int // targets last ordered; at first, those serving
	orderedAt time.Time
	// reachedSize is set once at least the ordered number of targets served.
	reachedSize bool
	// retryAt is the earliest time of the next order. Until unavailableUntil, the
	// platform is assumed to have no targets of this kind.
	retryAt, unavailableUntil time.Time
}

const (
	// scaleInterval is how often demand is sampled and pools are checked.
	scaleInterval = time.Second
	// listSettleTime is how long the list of targets must have been known before
	// it counts as complete. When the whole deployment starts, targets write
	// their entries within about three heartbeats, one second each.
	listSettleTime = 4500 * time.Millisecond
	// bootMargin is added to a service's boot time before ordered targets that do
	// not serve yet are ordered again.
	bootMargin = 2 * time.Second
	// unavailableTime is how long the platform is assumed to have no targets of a
	// kind after it refused an order; it exceeds refusedRetryDelay.
	unavailableTime = 6 * time.Second
	// refusedRetryDelay is the time before a refused order is repeated.
	refusedRetryDelay = 2500 * time.Millisecond
)

// scaleServices orders targets for the services in servicesToScale.
func (r *dutyRunner) scaleServices(ctx context.Context, now time.Time) {
	// Until the list is complete, only the first holder ever (fence 1) places
	// orders, and only for reclaimable targets: no earlier holder has ordered any.
	if !r.node.targetsKnownFor(listSettleTime) && r.record.Fence > 1 {
		return
	}
	for i := range r.servicesToScale {
		s := &r.servicesToScale[i]
		if !r.resizeService(ctx, now, s, r.planners[s.Name]) {
			return
		}
	}
	r.servicesToScale = nil
}

// sampleDemand passes the demand for each scalable service to its planner. Every
// host does so, because any host may become the holder of the duties.
func (r *dutyRunner) sampleDemand(now time.Time) {
	if now.Sub(r.demandSampledAt) < scaleInterval {
		return
	}
	r.demandSampledAt = now
	table := r.node.table.Load()
	if table == nil {
		return
	}
	demand := r.fleetDemand()
	r.servicesToScale = nil
	for _, s := range table.Configuration().Services {
		if s.Scaling == nil {
			continue
		}
		if r.planners[s.Name] == nil {
			r.planners[s.Name] = scaling.New(scaling.DefaultPolicy())
		}
		r.planners[s.Name].RecordDemand(now, demand[s.Name])
		r.servicesToScale = append(r.servicesToScale, s)
	}
}

// fleetDemand returns the demand on each service at all hosts, in prompt tokens
// per second.
func (r *dutyRunner) fleetDemand() map[string]float64 {
	sum := make(map[string]float64)
	g := &r.node.gossip
	g.mu.Lock()
	for _, d := range g.demand {
		sum[d.Service] += float64(d.Tokens)
	}
	g.mu.Unlock()
	if r.node.largeFleet() {
		return r.node.gossip.demandOfZones(time.Now())
	}
	for _, p := range r.node.livePeers() {
		for _, d := range p.Digest.Demand {
			sum[d.Service] += float64(d.Tokens)
		}
	}
	return sum
}

// targetsByZone counts the targets of a service in each zone, without draining
// ones. Where zones have prices, one without is none in which the service runs.
func (r *dutyRunner) targetsByZone(s *route.Service) []scaling.Zone {
	byName := make(map[string]*scaling.Zone)
	for name := range s.Scaling.ZonePrices {
		byName[name] = &scaling.Zone{Name: name}
	}
	r.node.rosterMu.Lock()
	for _, t := range r.node.roster.Targets() {
		if t.Service != s.Name || t.Draining {
			continue
		}
		z := byName[string(t.Zone)]
		if z == nil && len(s.Scaling.ZonePrices) > 0 {
			continue
		}
		if z == nil {
			z = &scaling.Zone{Name: string(t.Zone)}
			byName[z.Name] = z
		}
		if t.Reclaimable {
			z.Reclaimable++
		} else {
			z.Reserved++
		}
	}
	r.node.rosterMu.Unlock()
	all := make([]scaling.Zone, 0, len(byName))
	for _, z := range byName {
		all = append(all, *z)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// resizeService orders the targets that the planner wants for a service. It
// returns false when this process must place no more orders.
func (r *dutyRunner) resizeService(ctx context.Context, now time.Time, s *route.Service, p *scaling.Planner) bool {
	zones := r.targetsByZone(s)
	byName := make(map[string]scaling.Zone, len(zones))
	for _, z := range zones {
		byName[z.Name] = z
	}
	shortage := p.Shortage(now, zones)
	listed := r.node.targetsKnownFor(listSettleTime)
	for _, desired := range p.Desired(now, s.Scaling, zones) {
		serving := byName[desired.Zone]
		reclaimableKey, reservedKey := poolKey{s.Name, desired.Zone, true}, poolKey{s.Name, desired.Zone, false}
		unavailable := r.pools[reclaimableKey] != nil && now.Before(r.pools[reclaimableKey].unavailableUntil)
		order := scaling.NextOrder(s.Scaling.Max, desired, serving, unavailable, shortage)
		if !listed {
			if !r.orderPool(ctx, now, s, reclaimableKey, min(order.Reclaimable, s.Scaling.Max/2), serving.Reclaimable) {
				return false
			}
			continue
		}
		if unavailable {
			shortage -= max(order.Reserved-serving.Reserved, 0)
		}
		if !r.orderPool(ctx, now, s, reclaimableKey, order.Reclaimable, serving.Reclaimable) || !r.orderPool(ctx, now, s, reservedKey, order.Reserved, serving.Reserved) {
			return false
		}
	}
	return true
}

// orderPool orders a new size of one pool if that is due. It returns false when
// this process must place no more orders: it is stopping, or it cannot confirm that
// it still holds the duties.
func (r *dutyRunner) orderPool(ctx context.Context, now time.Time, s *route.Service, key poolKey, wanted, serving int) bool {
	if r.node.leaving.Load() {
		return false
	}
	current := r.pools[key]
	if current == nil {
		current = &pool{size: serving}
		r.pools[key] = current
	}
	boot := time.Duration(s.Scaling.BootMillis)*time.Millisecond + bootMargin
	current.reachedSize = current.reachedSize || serving >= current.size
	// Targets that served and disappeared are ordered again at once. Targets that
	// were just ordered may still be starting.
	missing := serving < wanted && (current.reachedSize || now.Sub(current.orderedAt) > boot)
	if now.Before(current.retryAt) || wanted == current.size && !missing {
		return true
	}
	if !r.mayAct(ctx) {
		return false
	}
	err := r.node.platform.Duties.Resize(ctx, r.dutyHolder(), provider.PoolSize{
		Service: key.service, Zone: zone.Name(key.zone), Targets: wanted, Reclaimable: key.reclaimable,
	})
	kind := event.PoolOrdered
	if err != nil {
		kind = event.PoolRefused
	}
	kind.Log(r.node.log).Str("service", key.service).Str("zone", key.zone).Bool("reclaimable", key.reclaimable).
		Int("targets", wanted).Int("serving", serving).Uint64("fence", r.record.Fence).Err(err).Send()
	if err == nil {
		current.size, current.orderedAt, current.reachedSize = wanted, now, false
		return true
	}
	current.retryAt = now.Add(refusedRetryDelay)
	if errors.Is(err, provider.ErrFencedOrNoCapacity) {
		// The platform gives this answer also when it has no targets to offer.
		current.unavailableUntil = now.Add(unavailableTime)
		return r.confirmHolding(ctx, now)
	}
	return true
}
