package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"zinniapin/event"
	"zinniapin/grant"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/usage"
	"zinniapin/wire"
)

const (
	// grantTimeout bounds the call to another grantor; it is shorter than the
	// interval at which gateways ask.
	grantTimeout = 800 * time.Millisecond
	// maxGranted bounds the organisations that a grantor keeps.
	maxGranted = 20_000
	// keepGranted is how long the state of an organisation is kept without being
	// asked for: until no grant can be in force.
	keepGranted = grant.LongTerm + 2*grant.Margin
	// observeInterval is how old the knowledge of the own shards may be.
	observeInterval = time.Second
)

// grantor holds the state of the organisations that this controller grants
// for: those of the shards of usage that it owns, so that controllers keep links
// to the same owners for both.
type grantor struct {
	mu            sync.Mutex
	organisations map[string]*granted
	observed      time.Time
	refuted       uint64
	since         [usage.DefaultShards]time.Time // when shards became its own; zero: not its own
}

// granted is the state of one organisation.
type granted struct {
	state *grant.Allocator
	asked time.Time // when a gateway last asked
}

// ownership is what makes a controller the grantor of shards.
type ownership struct {
	owns [usage.DefaultShards]bool
	// refuted is how often this controller had to show others that it lives,
	// who may have asked another grantor until then.
	refuted uint64
}

// newGrantor returns an empty grantor.
func newGrantor() *grantor {
	return &grantor{organisations: map[string]*granted{}}
}

// organisation returns the state of an organisation. A grantor that was not
// asked for longer than a term may have been replaced in the meantime, unless
// the shard was its own all along: the state begins anew with a wait from the
// moment at which it became its own.
func (g *grantor) organisation(now time.Time, name string, look func() ownership) (*grant.Allocator, bool) {
	known, ok := g.organisations[name]
	if ok && now.Sub(known.asked) <= grant.Term {
		known.asked = now
		return known.state, false
	}
	if now.Sub(g.observed) >= observeInterval {
		g.observe(now, look())
	}
	since := g.since[usage.ShardOf(name, usage.DefaultShards)]
	if ok && !since.IsZero() && !since.After(known.asked) {
		known.asked = now
		return known.state, false
	}
	if !ok && len(g.organisations) >= maxGranted {
		return nil, false
	}
	if since.IsZero() {
		since = now // another sees this controller as owner
	}
	fresh := &granted{grant.NewAllocator(since), now}
	g.organisations[name] = fresh
	return fresh.state, true
}

// observe notes when shards become this controller's own. The lock is held.
func (g *grantor) observe(now time.Time, o ownership) {
	if o.refuted != g.refuted {
		g.refuted = o.refuted
		clear(g.since[:])
	}
	g.observed = now
	for shard, own := range o.owns {
		switch {
		case !own:
			g.since[shard] = time.Time{}
		case g.since[shard].IsZero():
			g.since[shard] = now
		}
	}
}

// ownership returns which shards are this controller's own.
func (k *Controller) ownership() ownership {
	k.mu.Lock()
	members, refuted := k.members.Members(time.Now()), k.members.Refutations()
	k.mu.Unlock()
	division := membership.NewOwnership(grantorsOf(members), k.config.Self.Host)
	o := ownership{refuted: refuted}
	for shard := range o.owns {
		o.owns[shard] = division.Owns(usage.ReportUnit(shard), 1)
	}
	return o
}

// grantorsOf returns the controllers that may be grantors: those that can tell
// the live from the dead, or all while there are none.
func grantorsOf(members []membership.Member) []membership.Member {
	controllers := membership.Controllers(members, "")
	if settled := membership.Settled(controllers); len(settled) > 0 {
		return settled
	}
	return controllers
}

// prune drops organisations that nobody asks for.
func (g *grantor) prune(now time.Time, look func() ownership) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.observed) >= observeInterval {
		g.observe(now, look())
	}
	for name, known := range g.organisations {
		if now.Sub(known.asked) > keepGranted {
			delete(g.organisations, name)
		}
	}
}

// serveGrants answers a gateway, or another controller on a gateway's behalf.
// Demands that belong to other grantors are passed on; a grantor that does not
// answer leaves its organisations out of the reply.
func (k *Controller) serveGrants(ctx context.Context, from link.Link, q *wire.GrantRequest) *wire.GrantReply {
	if q.Columns != nil {
		plain := &wire.GrantRequest{Gateway: q.Gateway, Gateways: q.Gateways, Demands: q.Columns.ToDemands()}
		reply := k.serveGrants(ctx, from, plain)
		return &wire.GrantReply{Columns: wire.FromGrants(q.Columns.Organisations, reply.Grants)}
	}
	if from.Peer().Role == machine.Controller {
		return k.grantAll(q)
	}
	q.Gateway = from.Peer().ID()
	reply := &wire.GrantReply{}
	parts := k.divide(q)
	answers := make(chan *wire.GrantReply, len(parts))
	for _, p := range parts {
		go func() { answers <- k.grantPart(ctx, p) }()
	}
	for range parts {
		reply.Grants = append(reply.Grants, (<-answers).Grants...)
	}
	return reply
}

// grantPart is the part of a request that one grantor answers.
type grantPart struct {
	grantor machine.Process
	request *wire.GrantRequest
}

// divide splits a request by grantor.
func (k *Controller) divide(q *wire.GrantRequest) []*grantPart {
	controllers := grantorsOf(k.Members())
	parts := map[int]*grantPart{} // by shard
	byHost := map[machine.HostID]*grantPart{}
	for _, d := range q.Demands {
		shard := usage.ShardOf(d.Organisation, usage.DefaultShards)
		if parts[shard] == nil {
			owners := membership.Owners(controllers, usage.ReportUnit(shard), 1)
			if len(owners) == 0 {
				continue
			}
			owner := owners[0].Process
			if byHost[owner.Host] == nil {
				byHost[owner.Host] = &grantPart{owner, &wire.GrantRequest{Gateway: q.Gateway, Gateways: q.Gateways}}
			}
			parts[shard] = byHost[owner.Host]
		}
		request := parts[shard].request
		request.Demands = append(request.Demands, d)
	}
	return slices.Collect(maps.Values(byHost))
}

// grantPart asks one grantor, which may be this process.
func (k *Controller) grantPart(ctx context.Context, p *grantPart) *wire.GrantReply {
	if p.grantor.Host == k.config.Self.Host {
		return k.grantAll(p.request)
	}
	timed, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	l, err := k.direct(timed, p.grantor)
	if err != nil {
		return &wire.GrantReply{}
	}
	request := p.request
	if request.Gateways >= grant.LongTermMinGateways {
		request = &wire.GrantRequest{Gateway: request.Gateway, Gateways: request.Gateways, Columns: wire.ColumnsOf(request.Demands)}
	}
	envelope, err := l.Call(timed, &wire.Envelope{Body: &wire.Envelope_GrantRequest{GrantRequest: request}})
	reply := envelope.GetGrantReply()
	if err != nil || reply == nil {
		return &wire.GrantReply{}
	}
	reply.Grants = append(reply.Grants, reply.Columns.ToGrants(request.Columns.GetOrganisations())...)
	return reply
}

// grantAll answers the demands of one gateway as their grantor. Whoever asks
// sees this controller as grantor; while views differ two may be asked, which
// the wait of a new grantor and the bounds in package grant cover.
func (k *Controller) grantAll(q *wire.GrantRequest) *wire.GrantReply {
	now := time.Now()
	fleet := k.fleet(now)
	fleet.Known = max(fleet.Known, int(q.Gateways)) // a restarted controller may know fewer
	reply := &wire.GrantReply{}
	k.grants.mu.Lock()
	defer k.grants.mu.Unlock()
	for _, d := range q.Demands {
		g := k.grantOne(now, q.Gateway, fleet, d)
		k.metrics.granted(g != nil)
		if g != nil {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return reply
}

// settled tells whether this controller can tell the live from the dead.
func (k *Controller) settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members.Self().Settled
}

// grantOne answers one demand, or nil while the grantor waits. The lock of the
// grantor is held.
func (k *Controller) grantOne(now time.Time, gateway string, fleet grant.Fleet, d *wire.Demand) *wire.Grant {
	limits, revision, ok := k.limitsOf(d.Organisation)
	if !ok {
		return nil
	}
	state, fresh := k.grants.organisation(now, d.Organisation, k.ownership)
	if state == nil {
		return nil
	}
	if fresh {
		event.GrantorWaits.Log(k.config.Log).Str("organisation", d.Organisation).Send()
	}
	if !k.settled() {
		return nil // the count of live gateways would be too high
	}
	share, ok := state.Allocate(now, gateway, limits, fleet, d.ToDemand())
	if !ok {
		return nil
	}
	return &wire.Grant{
		Organisation:      d.Organisation,
		ConfigRevision:    uint64(revision),
		RequestsPerSecond: share.RequestsPerSecond,
		Concurrency:       int32(share.Concurrency),
		TokensPerMinute:   share.TokensPerMinute,
		TermMs:            share.Term.Milliseconds(),
	}
}
