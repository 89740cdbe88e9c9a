package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"zinniapin/event"
	"zinniapin/grant"
	"zinniapin/invariant"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/usage"
	"zinniapin/wire"
)

const (
	// grantTimeout bounds the call to another grantor. It is shorter than the
	// interval at which gateways request grants.
	grantTimeout = 800 * time.Millisecond
	// maxGrantedOrganisations bounds the organisations whose state a grantor keeps.
	maxGrantedOrganisations = 20_000
	// grantStateTTL is how long the state of an organisation is kept after the
	// last request for it. By then every grant has expired.
	grantStateTTL = grant.LongTerm + 2*grant.Margin
	// maxOwnershipAge is how old a grantor's record of the shards it owns may be.
	maxOwnershipAge = time.Second
)

// grantor holds the grants of the organisations that this controller is the
// grantor of: those in the usage shards that it owns. Grants and usage have the
// same owners, so that controllers need links to one set of controllers for both.
type grantor struct {
	mu              sync.Mutex
	organisations   map[string]*organisationGrants
	ownershipReadAt time.Time                      // when ownedSince was last updated
	refutations     uint64                         // ownership.refutations at that time
	ownedSince      [usage.DefaultShards]time.Time // since when this controller owns each shard; zero when it does not
	lowestLive      lowestCounts                   // of live gateways
}

// lowestCounts holds the counts that no later one was below, and when each was last seen.
type lowestCounts []seenCount

// seenCount is a count and when it was last seen.
type seenCount struct {
	count int
	at    time.Time
}

// see records a count and returns the lowest one that was seen within a span of time.
func (c *lowestCounts) see(now time.Time, count int, span time.Duration) int {
	kept := *c
	for len(kept) > 0 && now.Sub(kept[0].at) > span {
		kept = kept[1:]
	}
	for len(kept) > 0 && kept[len(kept)-1].count >= count {
		kept = kept[:len(kept)-1]
	}
	*c = append(kept, seenCount{count, now})
	return (*c)[0].count
}

// countJoined sets the number of gateways that joined a fleet of late. The caller holds g.mu.
func (g *grantor) countJoined(now time.Time, f grant.Fleet) grant.Fleet {
	f.Joined = f.Live - g.lowestLive.see(now, f.Live, grant.JoinSpan)
	return f
}

// organisationGrants holds the grants of one organisation.
type organisationGrants struct {
	allocator *grant.Allocator
	lastAsked time.Time // when a gateway last requested a grant
}

// ownership describes which shards a controller is the grantor of.
type ownership struct {
	owns [usage.DefaultShards]bool
	// refutations counts how often others suspected this controller and it refuted
	// the suspicion. Until it did, they may have used another grantor.
	refutations uint64
}

// newGrantor returns an empty grantor.
func newGrantor() *grantor {
	return &grantor{organisations: map[string]*organisationGrants{}}
}

// allocatorFor returns the allocator of an organisation and whether it is new.
// It returns nil when the grantor is full. If a grantor received no request for
// longer than a term, another may have made grants in the meantime, unless this
// one owned the shard all that time. Otherwise a new allocator replaces the old
// one; it waits, from the moment this controller became the owner, until grants
// of another grantor have expired.
func (g *grantor) allocatorFor(now time.Time, name string, readOwnership func() ownership) (*grant.Allocator, bool) {
	entry, ok := g.organisations[name]
	if ok && now.Sub(entry.lastAsked) <= grant.Term {
		entry.lastAsked = now
		return entry.allocator, false
	}
	if now.Sub(g.ownershipReadAt) >= maxOwnershipAge {
		g.updateOwnership(now, readOwnership())
	}
	since := g.ownedSince[usage.ShardOf(name, usage.DefaultShards)]
	if ok && !since.IsZero() && !since.After(entry.lastAsked) {
		entry.lastAsked = now
		return entry.allocator, false
	}
	if !ok && len(g.organisations) >= maxGrantedOrganisations {
		return nil, false
	}
	if since.IsZero() {
		since = now // a peer regards this controller as the owner
	}
	created := &organisationGrants{grant.NewAllocator(since), now}
	g.organisations[name] = created
	return created.allocator, true
}

// updateOwnership records since when this controller owns each shard. The caller
// holds g.mu.
func (g *grantor) updateOwnership(now time.Time, o ownership) {
	if o.refutations != g.refutations {
		g.refutations = o.refutations
		clear(g.ownedSince[:])
	}
	g.ownershipReadAt = now
	for shard, owned := range o.owns {
		switch {
		case !owned:
			g.ownedSince[shard] = time.Time{}
		case g.ownedSince[shard].IsZero():
			g.ownedSince[shard] = now
		}
	}
}

// ownership returns which shards this controller owns, by the current members.
func (k *Controller) ownership() ownership {
	k.mu.Lock()
	members, refutations := k.members.Members(time.Now()), k.members.Refutations()
	k.mu.Unlock()
	shards := membership.NewOwnership(grantorsOf(members), k.config.Self.Host)
	o := ownership{refutations: refutations}
	for shard := range o.owns {
		o.owns[shard] = shards.Owns(usage.ReportUnit(shard), 1)
	}
	return o
}

// grantorsOf returns the controllers that may be grantors: the settled ones,
// which have run long enough to tell live members from failed ones, or all while
// there are none.
func grantorsOf(members []membership.Member) []membership.Member {
	controllers := membership.Controllers(members, "")
	if settled := membership.Settled(controllers); len(settled) > 0 {
		return settled
	}
	return controllers
}

// prune refreshes the ownership and the number of live gateways, and drops the
// organisations that no gateway has requested grants for within grantStateTTL.
func (g *grantor) prune(now time.Time, f grant.Fleet, readOwnership func() ownership) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countJoined(now, f)
	if now.Sub(g.ownershipReadAt) >= maxOwnershipAge {
		g.updateOwnership(now, readOwnership())
	}
	for name, entry := range g.organisations {
		if now.Sub(entry.lastAsked) > grantStateTTL {
			delete(g.organisations, name)
		}
	}
}

// serveGrants answers a grant request of a gateway, or of another controller on
// a gateway's behalf. It forwards the demands of organisations that have other
// grantors. The reply lacks the organisations whose grantor did not answer.
func (k *Controller) serveGrants(ctx context.Context, from link.Link, request *wire.GrantRequest) *wire.GrantReply {
	if request.Columns != nil {
		plain := &wire.GrantRequest{Gateway: request.Gateway, Gateways: request.Gateways, Demands: request.Columns.ToDemands()}
		reply := k.serveGrants(ctx, from, plain)
		return &wire.GrantReply{Columns: wire.FromGrants(request.Columns.Organisations, reply.Grants)}
	}
	if from.Peer().Role == machine.Controller {
		return k.allocateAll(request)
	}
	request.Gateway = from.Peer().ID()
	reply := &wire.GrantReply{}
	parts := k.splitByGrantor(request)
	answers := make(chan *wire.GrantReply, len(parts))
	for _, p := range parts {
		go func() {
			answer := &wire.GrantReply{}
			defer func() { answers <- answer }()
			defer invariant.Contain("request for grants", nil)
			answer = k.requestGrants(ctx, p)
		}()
	}
	for range parts {
		reply.Grants = append(reply.Grants, (<-answers).Grants...)
	}
	return reply
}

// grantorRequest is the part of a gateway's request that goes to one grantor.
type grantorRequest struct {
	grantor machine.Process
	request *wire.GrantRequest
}

// splitByGrantor splits a request into one for each grantor.
func (k *Controller) splitByGrantor(whole *wire.GrantRequest) []*grantorRequest {
	controllers := grantorsOf(k.Members())
	parts := map[int]*grantorRequest{} // by shard
	byHost := map[machine.HostID]*grantorRequest{}
	for _, d := range whole.Demands {
		shard := usage.ShardOf(d.Organisation, usage.DefaultShards)
		if parts[shard] == nil {
			owners := membership.Owners(controllers, usage.ReportUnit(shard), 1)
			if len(owners) == 0 {
				continue
			}
			owner := owners[0].Process
			if byHost[owner.Host] == nil {
				byHost[owner.Host] = &grantorRequest{owner, &wire.GrantRequest{Gateway: whole.Gateway, Gateways: whole.Gateways}}
			}
			parts[shard] = byHost[owner.Host]
		}
		request := parts[shard].request
		request.Demands = append(request.Demands, d)
	}
	return slices.Collect(maps.Values(byHost))
}

// requestGrants requests grants from one grantor, which may be this process. The
// reply is empty when the grantor does not answer.
func (k *Controller) requestGrants(ctx context.Context, p *grantorRequest) *wire.GrantReply {
	if p.grantor.Host == k.config.Self.Host {
		return k.allocateAll(p.request)
	}
	callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	l, err := k.linkTo(callCtx, p.grantor)
	if err != nil {
		return &wire.GrantReply{}
	}
	request := p.request
	if request.Gateways >= grant.LongTermMinGateways {
		request = &wire.GrantRequest{Gateway: request.Gateway, Gateways: request.Gateways, Columns: wire.ColumnsOf(request.Demands)}
	}
	envelope, err := l.Call(callCtx, &wire.Envelope{Body: &wire.Envelope_GrantRequest{GrantRequest: request}})
	reply := envelope.GetGrantReply()
	if err != nil || reply == nil {
		return &wire.GrantReply{}
	}
	reply.Grants = append(reply.Grants, reply.Columns.ToGrants(request.Columns.GetOrganisations())...)
	return reply
}

// allocateAll answers the demands of one gateway as their grantor. The sender
// regards this controller as the grantor. While views of the members differ, two
// controllers may both receive such requests; the wait of a new grantor and the
// bounds in package grant keep the total within the stated bound.
func (k *Controller) allocateAll(request *wire.GrantRequest) *wire.GrantReply {
	now := time.Now()
	fleet := k.fleetSize(now)
	fleet.Known = max(fleet.Known, int(request.Gateways)) // this one may know fewer after a restart
	reply := &wire.GrantReply{}
	k.grants.mu.Lock()
	defer k.grants.mu.Unlock()
	fleet = k.grants.countJoined(now, fleet)
	for _, d := range request.Demands {
		g := k.allocate(now, request.Gateway, fleet, d)
		k.metrics.countGrant(g != nil)
		if g != nil {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return reply
}

// isSettled reports whether this controller has run long enough to tell live
// members from failed ones.
func (k *Controller) isSettled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members.Self().Settled
}

// allocate answers one demand. It returns nil while the grantor waits for grants
// of another to expire or has no valid limits. The caller holds k.grants.mu.
func (k *Controller) allocate(now time.Time, gateway string, fleet grant.Fleet, d *wire.Demand) *wire.Grant {
	limits, revision, ok := k.limitsOf(d.Organisation)
	if !ok {
		return nil
	}
	allocator, created := k.grants.allocatorFor(now, d.Organisation, k.ownership)
	if allocator == nil {
		return nil
	}
	if created {
		event.GrantorWaits.Log(k.config.Log).Str("organisation", d.Organisation).Send()
	}
	if !k.isSettled() {
		return nil // members that have failed may still be counted as live
	}
	share, ok := allocator.Allocate(now, gateway, limits, fleet, d.ToDemand())
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
