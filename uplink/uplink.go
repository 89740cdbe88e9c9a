// Package uplink keeps a gateway linked to two controllers, the one on its own host and one in
// another zone. Over these links it exchanges heartbeats, the configuration, the states of
// targets, grants, usage counters and pool loads.
package uplink

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/relay"
	"zinniapin/result"
	"zinniapin/target"
	"zinniapin/targetview"
	"zinniapin/wire"
)

const (
	// interval is the interval of heartbeats, grant requests, usage pushes and load pushes.
	interval    = time.Second
	callTimeout = 2 * time.Second
	dialTimeout = 3 * time.Second
	// minBackoff and maxBackoff limit the wait after a failed dial.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxMissedHeartbeats is the number of unanswered heartbeats in succession after which a
	// link is closed.
	maxMissedHeartbeats = 3
	// gatewayCountTTL is how long the highest reported number of gateways is kept. It is as
	// long as controllers keep the records of processes that they do not hear from.
	gatewayCountTTL = 15 * time.Minute
	// linkCount is the number of controllers that a gateway is linked to.
	linkCount = 2
)

// Config holds the parameters of an uplink.
type Config struct {
	// Self is the gateway's process.
	Self machine.Process
	// LocalController is the address of the controller on the same host, or "".
	LocalController string
	// Seeds are addresses of other controllers.
	Seeds []string
	// Network opens the links.
	Network link.Network
	// Log receives the events.
	Log *zerolog.Logger
}

// Uplink implements control.Uplink. It is safe for concurrent use.
type Uplink struct {
	config       Config
	replica      *relay.Replica
	selector     *demandSelector // used only by requestGrants
	candidates   *candidates
	configureMu  sync.Mutex    // orders the calls of Gateway.Configure
	observeMu    sync.Mutex    // orders the calls of Gateway.Observe
	pushSlot     chan struct{} // semaphore held during a usage push; guards upstream.usage
	pushSequence uint64        // number of the last usage push; guarded by pushSlot

	mu                 sync.Mutex
	links              [linkCount]*upstream
	self               membership.Member
	selfChanged        bool // self has changed since its beat was last incremented
	nextBeat           time.Time
	targets            *targetview.Table
	publishedVersion   uint64 // version of targets last passed to Gateway.Observe
	configuredRevision contract.Revision
	fleet              fleet
}

// fleet is what heartbeat replies reported about the fleet.
type fleet struct {
	gateways  int       // live gateways
	countedAt time.Time // when a controller last reported that many gateways
	processes int
	storeDown bool // most controllers report that they cannot reach the object API
	// storeDownAge is how old the reports behind storeDown were when the reply was sent.
	storeDownAge time.Duration
	sentAt       time.Time // when the last answered heartbeat was sent
}

// storeDownTTL is how long a controller's report that the store is down for most processes is
// valid. A process that was paused, or whose heartbeats are not answered, must not act on an
// old report.
const storeDownTTL = 5 * time.Second

// upstream is a link to a controller.
type upstream struct {
	link           link.Link
	targetsVersion uint64     // version of the controller's target table that was received
	urgentVersion  uint64     // version of the own target table up to which urgent changes were sent
	heartbeats     uint64     // number of heartbeats sent
	gotMembers     bool       // the controller has listed other members
	sentAt         time.Time  // when the last heartbeat was sent
	usage          *heldUsage // guarded by Uplink.pushSlot
}

var _ control.Uplink = (*Uplink)(nil)

// New returns an uplink. It opens no links before Run.
func New(c Config) *Uplink {
	return &Uplink{
		config:     c,
		replica:    &relay.Replica{},
		selector:   newDemandSelector(c.Self.ID()),
		candidates: newCandidates(c),
		self:       membership.Member{Process: c.Self},
		targets:    targetview.New(),
		pushSlot:   make(chan struct{}, 1),
	}
}

// Run implements control.Uplink.
func (u *Uplink) Run(ctx context.Context, g control.Gateway) error {
	group, ctx := errgroup.WithContext(ctx)
	for slot := range linkCount {
		group.Go(func() error { return u.keepLink(ctx, g, slot) })
	}
	group.Go(func() error { return u.runEvery(ctx, func() { u.requestGrants(ctx, g) }) })
	group.Go(func() error { return u.runEvery(ctx, func() { u.pushUsage(ctx, g) }) })
	group.Go(func() error { return u.runEvery(ctx, func() { u.pushLoads(ctx, g) }) })
	group.Go(func() error { return u.runEvery(ctx, func() { u.reportConnectivity(g) }) })
	return group.Wait()
}

// runEvery calls f every interval until ctx ends.
func (u *Uplink) runEvery(ctx context.Context, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return nil
		}
	}
}

// setLink sets the link of a slot, and lists the linked controllers in this gateway's
// membership record so that other processes know through whom it can be reached.
func (u *Uplink) setLink(slot int, up *upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.links[slot] = up
	u.self.Via = nil
	u.selfChanged = true
	for _, other := range u.links {
		if other != nil {
			u.self.Via = append(u.self.Via, other.link.Peer().Address)
		}
	}
}

// upstreams returns the open links in the order of slots.
func (u *Uplink) upstreams() []*upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	var open []*upstream
	for _, up := range u.links {
		if up != nil {
			open = append(open, up)
		}
	}
	return open
}

// reportConnectivity passes the state of the links and of the fleet to the gateway.
func (u *Uplink) reportConnectivity(g control.Gateway) {
	controllers := len(u.upstreams())
	u.mu.Lock()
	c := control.Connectivity{
		Controllers:      controllers,
		StoreDownForMost: controllers > 0 && u.fleet.storeDown && time.Since(u.fleet.sentAt) < storeDownTTL,
		ConfirmedAt:      u.replica.ConfirmedAt(),
		LiveGateways:     u.fleet.gateways,
	}
	if c.StoreDownForMost {
		c.StoreDownAge = u.fleet.storeDownAge + time.Since(u.fleet.sentAt)
	}
	u.mu.Unlock()
	if controllers == 0 {
		event.UplinkNoController.Log(u.config.Log).Send()
	}
	g.SetConnectivity(c)
}

// serve returns the handler of calls from controllers.
func (u *Uplink) serve(g control.Gateway) link.Handler {
	return link.HandlerFunc(func(_ context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, error) {
		switch body := request.Body.(type) {
		case *wire.Envelope_Cordon:
			ack := u.cordon(g, body.Cordon)
			return &wire.Envelope{Body: &wire.Envelope_CordonAck{CordonAck: ack}}, nil
		case *wire.Envelope_ConfigRequest:
			reply := u.replica.Serve(body.ConfigRequest)
			return &wire.Envelope{Body: &wire.Envelope_ConfigReply{ConfigReply: reply}}, nil
		case *wire.Envelope_StatusRequest:
			reply := &wire.StatusReply{Json: g.Explain(requestIDOf(body.StatusRequest.Argument))}
			return &wire.Envelope{Body: &wire.Envelope_StatusReply{StatusReply: reply}}, nil
		default:
			return nil, result.New(result.UnknownMessage, "a gateway does not serve %T", request.Body)
		}
	})
}

// cordon applies a cordon. It updates the target table before the gateway, so that no later
// call of Gateway.Observe can lift the cordon.
func (u *Uplink) cordon(g control.Gateway, c *wire.Cordon) *wire.CordonAck {
	id := target.ID(c.Target)
	u.mu.Lock()
	u.targets.Cordon(id, c.Epoch, c.Lift)
	u.mu.Unlock()
	u.observeMu.Lock()
	defer u.observeMu.Unlock()
	running := g.Cordon(id, c.Epoch, c.Lift)
	return &wire.CordonAck{Target: c.Target, Epoch: c.Epoch, Running: int32(running)}
}
