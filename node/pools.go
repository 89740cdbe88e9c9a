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

// poolKey names the targets of one class of a service in a zone.
type poolKey struct {
	service     string
	zone        string
	reclaimable bool
}

// pool is what was ordered for a poolKey.
type pool struct {
	ordered int
	at      time.Time
	// next is when the pool may be ordered again.
	next time.Time
}

const (
	// scaleInterval is the pace at which pools are looked at.
	scaleInterval = time.Second
	// listedTime is how long the list of targets must have been known before
	// anything is ordered: when everything starts, targets write their entries
	// within about three of their heartbeats, which are about a second apart.
	listedTime = 4500 * time.Millisecond
	// bootMargin is how long after the time of starting targets may be missing
	// before they are ordered again.
	bootMargin = 2 * time.Second
	// refusedPause is the time before a refused order is made again.
	refusedPause = 2500 * time.Millisecond
)

// scale orders targets.
func (k *keeper) scale(ctx context.Context, now time.Time) {
	if !k.node.listedFor(listedTime) {
		return
	}
	for i := range k.scaled {
		s := &k.scaled[i]
		if !k.resize(ctx, now, s, k.planners[s.Name]) {
			return
		}
	}
	k.scaled = nil
}

// watchDemand notes the demand for services whose targets may be ordered. All
// hosts do so: any of them may have to order next.
func (k *keeper) watchDemand(now time.Time) {
	if now.Sub(k.lastLook) < scaleInterval {
		return
	}
	k.lastLook = now
	table := k.node.table.Load()
	if table == nil {
		return
	}
	demand := k.demand()
	k.scaled = nil
	for _, s := range table.Configuration().Services {
		if s.Scaling == nil {
			continue
		}
		if k.planners[s.Name] == nil {
			k.planners[s.Name] = scaling.New(scaling.DefaultPolicy())
		}
		k.planners[s.Name].Demand(now, demand[s.Name])
		k.scaled = append(k.scaled, s)
	}
}

// demand returns the prompt tokens a second that callers ask of each service
// at all hosts.
func (k *keeper) demand() map[string]float64 {
	sum := make(map[string]float64)
	g := &k.node.gossip
	g.mu.Lock()
	for _, d := range g.demand {
		sum[d.Service] += float64(d.Tokens)
	}
	g.mu.Unlock()
	for _, p := range k.node.live() {
		for _, d := range p.Digest.Demand {
			sum[d.Service] += float64(d.Tokens)
		}
	}
	return sum
}

// zones returns the targets of a service by zone.
func (k *keeper) zones(s *route.Service) []scaling.Zone {
	byName := make(map[string]*scaling.Zone)
	for name := range s.Scaling.ZonePrices {
		byName[name] = &scaling.Zone{Name: name}
	}
	k.node.rosterMu.Lock()
	for _, t := range k.node.roster.Targets() {
		if t.Service != s.Name || t.Draining {
			continue
		}
		z := byName[string(t.Zone)]
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
	k.node.rosterMu.Unlock()
	all := make([]scaling.Zone, 0, len(byName))
	for _, z := range byName {
		all = append(all, *z)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// resize orders what the planner wishes. Cheap targets are ordered first, and
// others given back only once those serve.
func (k *keeper) resize(ctx context.Context, now time.Time, s *route.Service, p *scaling.Planner) bool {
	zones := k.zones(s)
	byName := make(map[string]scaling.Zone, len(zones))
	for _, z := range zones {
		byName[z.Name] = z
	}
	for _, w := range p.Wishes(now, s.Scaling, zones) {
		have := byName[w.Zone]
		reclaimable := min(w.Reclaimable, max(s.Scaling.Max-max(have.Reserved, w.Reserved), 0))
		if !k.order(ctx, now, s, poolKey{s.Name, w.Zone, true}, reclaimable, have.Reclaimable) {
			return false
		}
		reserved := w.Reserved
		if have.Reclaimable < reclaimable {
			reserved = max(reserved, min(have.Reserved, s.Scaling.Max-reclaimable))
		}
		if !k.order(ctx, now, s, poolKey{s.Name, w.Zone, false}, reserved, have.Reserved) {
			return false
		}
	}
	return true
}

// order orders one pool where that is due. It returns false when this host
// holds the duties no more.
func (k *keeper) order(ctx context.Context, now time.Time, s *route.Service, key poolKey, wish, have int) bool {
	held := k.pools[key]
	if held == nil {
		held = &pool{ordered: have}
		k.pools[key] = held
	}
	boot := time.Duration(s.Scaling.BootMillis)*time.Millisecond + bootMargin
	missing := have < wish && now.Sub(held.at) > boot
	if now.Before(held.next) || wish == held.ordered && !missing {
		return true
	}
	err := k.node.platform.Duties.Resize(ctx, k.author(), provider.PoolSize{
		Service: key.service, Zone: zone.Name(key.zone), Targets: wish, Reclaimable: key.reclaimable,
	})
	kind := event.PoolOrdered
	if err != nil {
		kind = event.PoolRefused
	}
	kind.Log(k.node.log).Str("service", key.service).Str("zone", key.zone).Bool("reclaimable", key.reclaimable).
		Int("targets", wish).Int("serving", have).Uint64("fence", k.record.Fence).Err(err).Send()
	if err == nil {
		held.ordered, held.at = wish, now
		return true
	}
	held.next = now.Add(refusedPause)
	if errors.Is(err, provider.ErrFenced) {
		// The same answer tells that no targets are to be had.
		return k.confirm(ctx, now)
	}
	return true
}
