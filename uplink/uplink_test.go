package uplink

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/poison"
	"zinniapin/target"
	"zinniapin/usage"
	"zinniapin/wire"
	"zinniapin/zone"
)

// fakeController is a controller that answers an uplink's calls with preset replies.
type fakeController struct {
	mu            sync.Mutex
	links         []link.Link     // accepted
	reply         *wire.Heartbeat // to each heartbeat
	grants        []*wire.Grant   // the reply to each grant request
	storesUsage   bool            // pushed counters are acknowledged as stored
	pushes        int             // usage pushes received
	stopListening func() error
	confirmedAt   time.Time // when the store last confirmed the revision; zero means never
}

// startController starts a controller that answers heartbeats with reply.
func startController(f *memlink.Fabric, host, address string, z zone.Name, reply *wire.Heartbeat) *fakeController {
	c := &fakeController{reply: reply, storesUsage: true}
	self := machine.Process{Host: machine.HostID(host), Role: machine.Controller, Incarnation: 1, Address: address, Zone: zone.Zone{Name: z, Region: "baltic"}}
	_, stop, err := f.Network(self).Listen(address, link.HandlerFunc(c.serve), func(l link.Link) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.links = append(c.links, l)
	})
	if err != nil {
		panic(err)
	}
	c.stopListening = stop
	return c
}

// stop closes the listener and the links of the controller.
func (c *fakeController) stop() {
	_ = c.stopListening()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		_ = l.Close()
	}
}

// openLinks returns the number of open links.
func (c *fakeController) openLinks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, l := range c.links {
		select {
		case <-l.Done():
		default:
			n++
		}
	}
	return n
}

// serve answers a call.
func (c *fakeController) serve(_ context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch body := request.Body.(type) {
	case *wire.Envelope_Heartbeat:
		reply := proto.CloneOf(c.reply)
		if !c.confirmedAt.IsZero() {
			reply.ConfirmedAgeMs = time.Since(c.confirmedAt).Milliseconds()
		}
		return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: reply}}, nil
	case *wire.Envelope_GrantRequest:
		return &wire.Envelope{Body: &wire.Envelope_GrantReply{GrantReply: &wire.GrantReply{Grants: c.grants}}}, nil
	case *wire.Envelope_UsagePush:
		c.pushes++
		ack := &wire.UsageAck{}
		if c.storesUsage {
			ack.Stored = body.UsagePush.Counters
		}
		return &wire.Envelope{Body: &wire.Envelope_UsageAck{UsageAck: ack}}, nil
	default:
		return nil, fmt.Errorf("unexpected %T", request.Body)
	}
}

// fakeGateway records the calls that the uplink makes.
type fakeGateway struct {
	mu           sync.Mutex
	view         []control.TargetState
	connectivity control.Connectivity
	granted      []control.Grant
	counters     []usage.Counter
	calls        []string
}

func (g *fakeGateway) Configure(*contract.Snapshot)  {}
func (g *fakeGateway) PoolLoads() []control.PoolLoad { return nil }

func (g *fakeGateway) Demands() []control.Demand {
	return []control.Demand{{Organisation: "svetki", RequestsPerSecond: 1}}
}
func (g *fakeGateway) Explain(id string) []byte { return []byte(id) }

func (*fakeGateway) CrashEvidence(int, time.Duration) []poison.Evidence { return nil }

func (*fakeGateway) MergeCrashEvidence([]poison.Evidence) {}

func (g *fakeGateway) Observe(view []control.TargetState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view = view
	g.calls = append(g.calls, "observe")
}

func (g *fakeGateway) Cordon(target.ID, uint64, bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls = append(g.calls, "cordon")
	return 4
}

func (g *fakeGateway) SetGrants(grants []control.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted = grants
}

func (g *fakeGateway) SetConnectivity(c control.Connectivity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connectivity = c
}

func (g *fakeGateway) Usage() []usage.Counter {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters
}

func (g *fakeGateway) UsageStored([]usage.Counter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counters = nil
}

// lastConnectivity returns the connectivity that the uplink last reported.
func (g *fakeGateway) lastConnectivity() control.Connectivity {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connectivity
}

// newUplink returns the uplink of a gateway in riga-a.
func newUplink(f *memlink.Fabric, seeds ...string) *Uplink {
	log := zerolog.Nop()
	self := machine.Process{Host: "host-0", Role: machine.Gateway, Incarnation: 9, Zone: zone.Zone{Name: "riga-a", Region: "baltic"}}
	return New(Config{Self: self, LocalController: "own", Seeds: seeds, Network: f.Network(self), Log: &log})
}

// heartbeatReply returns a reply that lists the given members and one engine.
func heartbeatReply(gateways uint32, members ...*wire.Member) *wire.Heartbeat {
	return &wire.Heartbeat{LiveGateways: gateways, LiveControllers: gateways, ConfirmedAgeMs: -1, TargetsVersion: 1, Members: members,
		Targets: []*wire.TargetState{{Id: "engine-0", Kind: "engine", Zone: "riga-a", State: "live"}}}
}

// TestFailsOver covers the choice of a controller in another zone, the loss of either
// controller, the loss of both, and their return.
func TestFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memlink.NewFabric()
		members := []*wire.Member{
			{Host: "host-1", Role: "controller", Incarnation: 2, Zone: "riga-a", Address: "near"},
			{Host: "host-2", Role: "controller", Incarnation: 3, Zone: "jelgava", Address: "far"},
		}
		own := startController(f, "host-0", "own", "riga-a", heartbeatReply(7, members...))
		near := startController(f, "host-1", "near", "riga-a", heartbeatReply(7))
		far := startController(f, "host-2", "far", "jelgava", heartbeatReply(7))
		u, g := newUplink(f, "near"), &fakeGateway{}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { is.NoErr(u.Run(ctx, g)) })
		defer func() { cancel(); loops.Wait() }()
		time.Sleep(10 * time.Second)
		is.Equal([]int{own.openLinks(), near.openLinks(), far.openLinks()}, []int{1, 0, 1})
		is.Equal(g.lastConnectivity().Controllers, 2)
		is.Equal(g.lastConnectivity().LiveGateways, 7)

		far.stop()
		time.Sleep(10 * time.Second)
		is.Equal([]int{own.openLinks(), near.openLinks()}, []int{1, 1})
		own.stop()
		near.stop()
		time.Sleep(10 * time.Second)
		is.Equal(g.lastConnectivity().Controllers, 0)
		is.Equal(g.lastConnectivity().StoreDownForMost, false)

		own = startController(f, "host-0", "own", "riga-a", heartbeatReply(1))
		far = startController(f, "host-2", "far", "jelgava", heartbeatReply(1))
		time.Sleep(30 * time.Second)
		is.Equal([]int{own.openLinks(), far.openLinks()}, []int{1, 1})
		is.Equal(g.lastConnectivity().LiveGateways, 7) // the lower count of a controller that has just started is ignored
		is.Equal(len(g.view), 1)
	})
}

// TestPartitionedLinkIsReplaced covers a partition of the network, in which calls fail only by
// time-out.
func TestPartitionedLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memlink.NewFabric()
		own := startController(f, "host-0", "own", "riga-a", heartbeatReply(3))
		far := startController(f, "host-2", "far", "jelgava", heartbeatReply(3))
		other := startController(f, "host-3", "other", "valmiera", heartbeatReply(3))
		u, g := newUplink(f, "far", "other"), &fakeGateway{}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { is.NoErr(u.Run(ctx, g)) })
		defer func() { cancel(); loops.Wait() }()
		time.Sleep(5 * time.Second)
		cut := machine.HostID("host-2")
		if other.openLinks() == 1 {
			cut = "host-3"
		}
		f.SetCut("host-0", cut, true)
		time.Sleep(20 * time.Second)
		is.Equal(own.openLinks(), 1)
		is.Equal(far.openLinks()+other.openLinks(), 1)
		is.Equal(g.lastConnectivity().Controllers, 2)
	})
}

// TestGrantsCordonsAndUsage covers the expiry of a grant, which counts from when it was
// requested, a cordon that no later update of targets lifts, and a flush that waits until the
// usage is stored.
func TestGrantsCordonsAndUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memlink.NewFabric()
		f.SetDelay(200 * time.Millisecond)
		own := startController(f, "host-0", "own", "riga-a", heartbeatReply(3))
		own.grants = []*wire.Grant{{Organisation: "svetki", RequestsPerSecond: 5, TermMs: 3000}}
		own.storesUsage = false
		u, g := newUplink(f), &fakeGateway{counters: []usage.Counter{{Gateway: "g", Organisation: "svetki", Window: time.Unix(0, 0).UTC()}}}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { is.NoErr(u.Run(ctx, g)) })
		defer func() { cancel(); loops.Wait() }()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			g.mu.Lock()
			if len(g.granted) > 0 {
				is.True(time.Until(g.granted[0].Expires) <= 2600*time.Millisecond)
			}
			g.mu.Unlock()
		}
		is.Equal(len(g.granted), 1)

		own.mu.Lock()
		l := own.links[len(own.links)-1]
		own.mu.Unlock()
		reply, err := l.Call(ctx, &wire.Envelope{Body: &wire.Envelope_Cordon{Cordon: &wire.Cordon{Target: "engine-0", Epoch: 3}}})
		is.NoErr(err)
		is.Equal(reply.GetCordonAck().Running, int32(4))
		time.Sleep(3 * time.Second)
		g.mu.Lock()
		is.True(g.view[0].Cordoned)
		is.Equal(g.calls, []string{"observe", "cordon", "observe"})
		g.mu.Unlock()

		short, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		is.True(u.Flush(short, g) != nil) // no usage is stored yet
		own.mu.Lock()
		own.storesUsage = true
		own.mu.Unlock()
		is.NoErr(u.Flush(ctx, g))
	})
}

// TestSuspectedGatewayRaisesBeat checks that a gateway increments its beat at once when it
// learns that it is suspected to have failed. In a large fleet the next regular increment may
// be several seconds away.
func TestSuspectedGatewayRaisesBeat(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	self := machine.Process{Host: "host-1", Role: machine.Gateway, Incarnation: 7}
	controller := machine.Process{Host: "host-2", Role: machine.Controller, Incarnation: 8}
	u := New(Config{Self: self, Log: &log})
	up := &upstream{link: peerOnly{process: controller}}
	reply := &wire.Heartbeat{LiveGateways: 390, LiveControllers: 390, ConfirmedAgeMs: -1}
	u.applyReply(up, reply, false)
	beat := func() uint64 {
		request, _ := u.heartbeatRequest(up)
		return request.Members[0].Beat
	}
	first := beat()
	is.Equal(beat(), first)
	reply.Members = []*wire.Member{{Incarnation: self.Incarnation, Doubted: true}}
	u.applyReply(up, reply, false)
	is.Equal(beat(), first+1)
	is.Equal(beat(), first+1)
}

// peerOnly is a link that implements only Peer.
type peerOnly struct {
	link.Link
	process machine.Process
}

// Peer implements link.Link.
func (p peerOnly) Peer() machine.Process { return p.process }

// gatewayLink returns the link that the gateway opened last.
func (c *fakeController) gatewayLink() link.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[len(c.links)-1]
}
