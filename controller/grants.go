package controller

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapin/event"
	"zinniapin/grant"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/wire"
)

const (
	// grantors is the number of controllers of the fleet that grant. Few, so
	// that each controller needs links to few: with 390 gateways that each ask
	// every second a grantor serves at most 390 calls a second.
	grantors = 16
	// grantorKey selects the grantors.
	grantorKey = "grantors"
	// grantTimeout bounds the call to another grantor; it is shorter than the
	// interval at which gateways ask.
	grantTimeout = 800 * time.Millisecond
	// maxGranted bounds the organisations that a grantor keeps.
	maxGranted = 20_000
)

// grantor holds the state of the organisations that this controller grants
// for.
type grantor struct {
	mu            sync.Mutex
	organisations map[string]*granted
	views         uint64    // hash of what selects the grantors
	since         time.Time // when that last changed
}

// granted is the state of one organisation.
type granted struct {
	state *grant.Organisation
	asked time.Time // when a gateway last asked
}

// newGrantor returns an empty grantor.
func newGrantor() *grantor {
	return &grantor{organisations: map[string]*granted{}}
}

// keepGranted is how long the state of an organisation is kept without being
// asked for.
const keepGranted = time.Minute

// organisation returns the state of an organisation. A grantor that was not
// asked for longer than a term may have been replaced in the meantime, unless
// nothing that selects the grantors changed: the state begins anew with a wait
// from the last change.
func (g *grantor) organisation(now time.Time, name string, views func() uint64) (*grant.Organisation, bool) {
	known, ok := g.organisations[name]
	if ok && now.Sub(known.asked) <= grant.Term {
		known.asked = now
		return known.state, false
	}
	if !ok && len(g.organisations) >= maxGranted {
		return nil, false
	}
	g.observe(now, views())
	fresh := &granted{grant.NewOrganisation(g.since), now}
	g.organisations[name] = fresh
	return fresh.state, true
}

// observe notes when what selects the grantors changes. The lock is held.
func (g *grantor) observe(now time.Time, views uint64) {
	if g.since.IsZero() || views != g.views {
		g.views, g.since = views, now
	}
}

// grantorViews returns a hash of what selects the grantors: the controllers
// that take part, and how often this one had to show others that it lives, who
// may have asked another grantor until then.
func (k *Controller) grantorViews() uint64 {
	k.mu.Lock()
	members, refuted := k.members.Members(time.Now()), k.members.Refuted()
	k.mu.Unlock()
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	write := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		_, _ = d.Write(number[:]) // never fails
	}
	write(refuted)
	for i := range members {
		m := &members[i]
		if m.Process.Role == machine.Controller && !m.Leaving && m.Settled {
			write(m.Process.Incarnation)
		}
	}
	return d.Sum64()
}

// prune drops organisations that nobody asks for.
func (g *grantor) prune(now time.Time, views uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now, views)
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
func (k *Controller) divide(q *wire.GrantRequest) []grantPart {
	controllers := membership.Controllers(k.Members(), "")
	if settled := membership.Settled(controllers); len(settled) > 0 {
		controllers = settled
	}
	eligible := membership.Owners(controllers, grantorKey, grantors)
	byHost := map[machine.HostID]int{}
	var parts []grantPart
	for _, d := range q.Demands {
		owners := membership.Owners(eligible, d.Organisation, 1)
		if len(owners) == 0 {
			continue
		}
		owner := owners[0].Process
		i, ok := byHost[owner.Host]
		if !ok {
			i = len(parts)
			byHost[owner.Host] = i
			parts = append(parts, grantPart{owner, &wire.GrantRequest{Gateway: q.Gateway, Gateways: q.Gateways}})
		}
		parts[i].request.Demands = append(parts[i].request.Demands, d)
	}
	return parts
}

// grantPart asks one grantor, which may be this process.
func (k *Controller) grantPart(ctx context.Context, p grantPart) *wire.GrantReply {
	if p.grantor.Host == k.config.Self.Host {
		return k.grantAll(p.request)
	}
	timed, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	l, err := k.direct(timed, p.grantor)
	if err != nil {
		return &wire.GrantReply{}
	}
	reply, err := l.Call(timed, &wire.Envelope{Body: &wire.Envelope_GrantRequest{GrantRequest: p.request}})
	if err != nil || reply.GetGrantReply() == nil {
		return &wire.GrantReply{}
	}
	return reply.GetGrantReply()
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
	state, fresh := k.grants.organisation(now, d.Organisation, k.grantorViews)
	if state == nil {
		return nil
	}
	if fresh {
		event.GrantorChanged.Log(k.config.Log).Str("organisation", d.Organisation).Send()
	}
	if !k.settled() {
		return nil // the count of live gateways would be too high
	}
	share, ok := state.Ask(now, gateway, limits, fleet, d.ToDemand())
	if !ok {
		return nil
	}
	return &wire.Grant{
		Organisation:      d.Organisation,
		ConfigRevision:    uint64(revision),
		RequestsPerSecond: share.RequestsPerSecond,
		Concurrency:       int32(share.Concurrency),
		TokensPerMinute:   share.TokensPerMinute,
		TermMs:            grant.Term.Milliseconds(),
	}
}
