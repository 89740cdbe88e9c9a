// Package uplink keeps a gateway's links to two controllers, that of its own
// host and one in another zone, and carries what the two sides tell each
// other.
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
	// interval is the interval of heartbeats, grant requests and usage pushes.
	interval = time.Second
	// callTimeout bounds a call.
	callTimeout = 2 * time.Second
	// dialTimeout bounds a dial.
	dialTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the wait after a failed dial.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxMissed is the number of heartbeats without answer after which a link
	// is given up.
	maxMissed = 3
	// countMemory is how long the highest count of gateways is kept; as long as
	// controllers remember silent processes.
	countMemory = 15 * time.Minute
	// linkCount is the number of controllers that a gateway is linked to.
	linkCount = 2
)

// Config is what an uplink needs.
type Config struct {
	// Self is the gateway's process.
	Self machine.Process
	// LocalController is the address of the controller on the same host; may be empty.
	LocalController string
	// Seeds are addresses of other controllers.
	Seeds []string
	// Network makes the links.
	Network link.Network
	// Log takes the events.
	Log *zerolog.Logger
}

// Uplink implements control.Uplink. It is safe for concurrent use.
type Uplink struct {
	config     Config
	holder     *relay.Replica
	asker      *asker // used by askGrants alone
	candidates *candidates
	configure  sync.Mutex    // orders the calls of Gateway.Configure
	observe    sync.Mutex    // orders the calls of Gateway.Observe
	pushing    chan struct{} // holds the one right to push usage, which guards what controllers hold of it
	pushes     uint64        // of usage, so far; guarded by pushing

	mu         sync.Mutex
	links      [linkCount]*upstream
	self       membership.Member
	changed    bool // the own record changed since the last beat
	nextBeat   time.Time
	targets    *targetview.Table
	seen       uint64 // version of targets that the gateway has
	configured contract.Revision
	fleet      fleet
}

// fleet is what the last heartbeat said of the fleet.
type fleet struct {
	gateways  int
	counted   time.Time // when a controller last named that many gateways
	processes int
	storeDown bool
	// storeDownAge is how old the word of most was when the reply was given.
	storeDownAge time.Duration
	asked        time.Time // when the heartbeat that said so was sent
}

// wordAge is the age up to which the word that the store is down for most
// counts: a process that was paused, or whose links bring no answers, must not
// go by an old one.
const wordAge = 5 * time.Second

// upstream is a link to a controller.
type upstream struct {
	link    link.Link
	targets uint64     // version of the controller's view seen so far
	urgent  uint64     // version of the own view whose urgent news it was told
	beats   uint64     // heartbeats so far
	told    bool       // the controller named others
	asked   time.Time  // when the last heartbeat was sent
	usage   *usageHeld // guarded by Uplink.pushing
}

var _ control.Uplink = (*Uplink)(nil)

// New returns an uplink that does not run yet.
func New(c Config) *Uplink {
	return &Uplink{
		config:     c,
		holder:     &relay.Replica{},
		asker:      newAsker(c.Self.ID()),
		candidates: newCandidates(c),
		self:       membership.Member{Process: c.Self},
		targets:    targetview.New(),
		pushing:    make(chan struct{}, 1),
	}
}

// Run implements control.Uplink.
func (u *Uplink) Run(ctx context.Context, g control.Gateway) error {
	group, ctx := errgroup.WithContext(ctx)
	for slot := range linkCount {
		group.Go(func() error { return u.keepLink(ctx, g, slot) })
	}
	group.Go(func() error { return u.every(ctx, func() { u.askGrants(ctx, g) }) })
	group.Go(func() error { return u.every(ctx, func() { u.pushUsage(ctx, g) }) })
	group.Go(func() error { return u.every(ctx, func() { u.pushLoads(ctx, g) }) })
	group.Go(func() error { return u.every(ctx, func() { u.tellConnected(g) }) })
	return group.Wait()
}

// every calls f at an interval until ctx ends.
func (u *Uplink) every(ctx context.Context, f func()) error {
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

// setLink notes the link of a slot and tells the mesh by whom this gateway is
// reached.
func (u *Uplink) setLink(slot int, up *upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.links[slot] = up
	u.self.Via = nil
	u.changed = true
	for _, other := range u.links {
		if other != nil {
			u.self.Via = append(u.self.Via, other.link.Peer().Address)
		}
	}
}

// upstreams returns the links that are open, the own host's first.
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

// tellConnected tells the gateway what it may conclude about its own view.
func (u *Uplink) tellConnected(g control.Gateway) {
	reached := len(u.upstreams())
	u.mu.Lock()
	c := control.Connectivity{
		Controllers:      reached,
		StoreDownForMost: reached > 0 && u.fleet.storeDown && time.Since(u.fleet.asked) < wordAge,
		ConfirmedAt:      u.holder.ConfirmedAt(),
		LiveGateways:     u.fleet.gateways,
	}
	if c.StoreDownForMost {
		c.StoreDownAge = u.fleet.storeDownAge + time.Since(u.fleet.asked)
	}
	u.mu.Unlock()
	if reached == 0 {
		event.UplinkNoController.Log(u.config.Log).Send()
	}
	g.SetConnectivity(c)
}

// serve answers the calls of controllers.
func (u *Uplink) serve(g control.Gateway) link.Handler {
	return link.HandlerFunc(func(_ context.Context, _ link.Link, q *wire.Envelope) (*wire.Envelope, error) {
		switch body := q.Body.(type) {
		case *wire.Envelope_Cordon:
			ack := u.cordon(g, body.Cordon)
			return &wire.Envelope{Body: &wire.Envelope_CordonAck{CordonAck: ack}}, nil
		case *wire.Envelope_ConfigRequest:
			reply := u.holder.Serve(body.ConfigRequest)
			return &wire.Envelope{Body: &wire.Envelope_ConfigReply{ConfigReply: reply}}, nil
		case *wire.Envelope_StatusRequest:
			reply := &wire.StatusReply{Json: g.Explain(requestID(body.StatusRequest.Argument))}
			return &wire.Envelope{Body: &wire.Envelope_StatusReply{StatusReply: reply}}, nil
		default:
			return nil, result.New(result.UnknownMessage, "a gateway does not serve %T", q.Body)
		}
	})
}

// cordon puts a cordon in force. The view is changed first, so that no view
// that is handed over later can bring the target back.
func (u *Uplink) cordon(g control.Gateway, c *wire.Cordon) *wire.CordonAck {
	id := target.ID(c.Target)
	u.mu.Lock()
	u.targets.Cordon(id, c.Epoch, c.Lift)
	u.mu.Unlock()
	u.observe.Lock()
	defer u.observe.Unlock()
	running := g.Cordon(id, c.Epoch, c.Lift)
	return &wire.CordonAck{Target: c.Target, Epoch: c.Epoch, Running: int32(running)}
}
