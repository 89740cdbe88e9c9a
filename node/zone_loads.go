package node

import (
	"strconv"
	"time"

	"zinniapin/wire"
)

// zoneDemand is what all hosts of a zone said of the demand, and when.
type zoneDemand struct {
	demand []*wire.ServiceDemand
	at     time.Time
	parts  uint32 // into which the zone's loads are divided
}

const (
	// relayedAge and zoneAge are the mean ages of loads when a relay's digest brings
	// them: of hosts of the same zone, and of the sums over another.
	relayedAge = 50 * time.Millisecond
	zoneAge    = 200 * time.Millisecond
)

// zoneDemandTTL is how long the demand of a zone counts without news of it.
const zoneDemandTTL = 5 * time.Second

// demandOfZones returns the demand on each service in all zones, in prompt tokens per
// second, as far as the relays have told lately.
func (g *gossip) demandOfZones(now time.Time) map[string]float64 {
	sum := make(map[string]float64)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, z := range g.zones {
		if now.Sub(z.at) > zoneDemandTTL {
			continue
		}
		for _, d := range z.demand {
			sum[d.Service] += float64(d.Tokens)
		}
	}
	return sum
}

// handleZone applies the summary of a zone: the demand there and, of other zones, the
// loads of their hosts.
func (n *Node) handleZone(s *wire.ZoneSummary) {
	now := time.Now()
	g := &n.gossip
	g.mu.Lock()
	if g.zones == nil {
		g.zones = make(map[string]zoneDemand)
	}
	z := g.zones[s.Zone]
	formerParts := z.parts
	z.parts = s.Parts
	if s.Part == 0 { // the part that carries the demand
		z.demand, z.at = s.Demand, now
	}
	g.zones[s.Zone] = z
	g.mu.Unlock()
	if s.Zone == string(n.settings.Zone) {
		return
	}
	n.handler.PlannerMu.Lock()
	defer n.handler.PlannerMu.Unlock()
	if formerParts != s.Parts { // the loads are divided anew
		for part := range formerParts {
			n.handler.Planner.DropPeer(planZoneName(s.Zone, part))
		}
	}
	n.handler.Planner.SetPeerLoads(now.Add(-zoneAge), planZoneName(s.Zone, s.Part), loadsOf(s.Loads))
}

// planZoneName returns the name under which the planner has a part of a zone's loads.
func planZoneName(zone string, part uint32) string {
	return "zone " + zone + " " + strconv.FormatUint(uint64(part), 10)
}
