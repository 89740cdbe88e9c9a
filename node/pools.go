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
	// reached is set once as many served as were ordered.
	reached bool
	// next is when the pool may be ordered again, dry until when none are taken
	// to be had.
	next, dry time.Time
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
	// dryTime is how long targets of a kind are taken not to be had after a
	// refusal: longer than the pause between two tries.
	dryTime = 6 * time.Second
	// refusedPause is the time before a refused order is made again.
	refusedPause = 2500 * time.Millisecond
)

// scale orders targets.
func (k *keeper) scale(ctx context.Context, now time.Time) {
	// Before that, a first holder orders cheap targets only, which none has done
	// before it.
	if !k.node.listedFor(listedTime) && k.record.Fence > 1 {
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
		k.planners[s.Name].RecordDemand(now, demand[s.Name])
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

// resize orders what the planner wishes.
func (k *keeper) resize(ctx context.Context, now time.Time, s *route.Service, p *scaling.Planner) bool {
	zones := k.zones(s)
	byName := make(map[string]scaling.Zone, len(zones))
	for _, z := range zones {
		byName[z.Name] = z
	}
	shortage := p.Shortage(now, zones)
	listed := k.node.listedFor(listedTime)
	for _, w := range p.Desired(now, s.Scaling, zones) {
		have := byName[w.Zone]
		cheap, dear := poolKey{s.Name, w.Zone, true}, poolKey{s.Name, w.Zone, false}
		dry := k.pools[cheap] != nil && now.Before(k.pools[cheap].dry)
		o := scaling.NextOrder(s.Scaling.Max, w, have, dry, shortage)
		if !listed {
			if !k.order(ctx, now, s, cheap, min(o.Reclaimable, s.Scaling.Max/2), have.Reclaimable) {
				return false
			}
			continue
		}
		if dry {
			shortage -= max(o.Reserved-have.Reserved, 0)
		}
		if !k.order(ctx, now, s, cheap, o.Reclaimable, have.Reclaimable) || !k.order(ctx, now, s, dear, o.Reserved, have.Reserved) {
			return false
		}
	}
	return true
}

// order orders one pool where that is due. It returns false when this host
// holds the duties no more.
func (k *keeper) order(ctx context.Context, now time.Time, s *route.Service, key poolKey, wish, have int) bool {
	if k.node.leaving.Load() {
		return false
	}
	held := k.pools[key]
	if held == nil {
		held = &pool{ordered: have}
		k.pools[key] = held
	}
	boot := time.Duration(s.Scaling.BootMillis)*time.Millisecond + bootMargin
	held.reached = held.reached || have >= held.ordered
	// Targets that served and are gone are ordered again at once, those that were
	// just ordered may still start.
	missing := have < wish && (held.reached || now.Sub(held.at) > boot)
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
		held.ordered, held.at, held.reached = wish, now, false
		return true
	}
	held.next = now.Add(refusedPause)
	if errors.Is(err, provider.ErrFencedOrNoCapacity) {
		// The same answer tells that no targets are to be had.
		held.dry = now.Add(dryTime)
		return k.confirm(ctx, now)
	}
	return true
}
