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
	"zinniapin/target"
	"zinniapin/usage"
	"zinniapin/wire"
	"zinniapin/zone"
)

// fakeController answers an uplink's calls.
type fakeController struct {
	mu        sync.Mutex
	links     []link.Link
	reply     *wire.Heartbeat
	grants    []*wire.Grant
	stores    bool
	pushes    int
	stopped   func() error
	confirmed time.Time // when the store last confirmed; zero means never
}

// startController starts a controller that answers with reply.
func startController(f *memlink.Fabric, host, address string, z zone.Name, reply *wire.Heartbeat) *fakeController {
	k := &fakeController{reply: reply, stores: true}
	self := machine.Process{Host: machine.HostID(host), Role: machine.Controller, Incarnation: 1, Address: address, Zone: zone.Zone{Name: z, Region: "baltic"}}
	_, stop, err := f.Network(self).Listen(address, link.HandlerFunc(k.serve), func(l link.Link) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.links = append(k.links, l)
	})
	if err != nil {
		panic(err)
	}
	k.stopped = stop
	return k
}

// stop ends the controller and its links.
func (k *fakeController) stop() {
	_ = k.stopped()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.links {
		_ = l.Close()
	}
}

// linked returns the number of open links.
func (k *fakeController) linked() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, l := range k.links {
		select {
		case <-l.Done():
		default:
			n++
		}
	}
	return n
}

// serve answers a call.
func (k *fakeController) serve(_ context.Context, _ link.Link, q *wire.Envelope) (*wire.Envelope, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch body := q.Body.(type) {
	case *wire.Envelope_Heartbeat:
		reply := proto.CloneOf(k.reply)
		if !k.confirmed.IsZero() {
			reply.ConfirmedAgeMs = time.Since(k.confirmed).Milliseconds()
		}
		return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: reply}}, nil
	case *wire.Envelope_GrantRequest:
		return &wire.Envelope{Body: &wire.Envelope_GrantReply{GrantReply: &wire.GrantReply{Grants: k.grants}}}, nil
	case *wire.Envelope_UsagePush:
		k.pushes++
		ack := &wire.UsageAck{}
		if k.stores {
			ack.Stored = body.UsagePush.Counters
		}
		return &wire.Envelope{Body: &wire.Envelope_UsageAck{UsageAck: ack}}, nil
	default:
		return nil, fmt.Errorf("unexpected %T", q.Body)
	}
}

// fakeGateway records what the uplink does to it.
type fakeGateway struct {
	mu        sync.Mutex
	view      []control.TargetState
	connected control.Connectivity
	granted   []control.Grant
	counters  []usage.Counter
	order     []string
}

func (g *fakeGateway) Configure(*contract.Snapshot)  {}
func (g *fakeGateway) PoolLoads() []control.PoolLoad { return nil }

func (g *fakeGateway) Demands() []control.Demand {
	return []control.Demand{{Organisation: "svetki", RequestsPerSecond: 1}}
}
func (g *fakeGateway) Explain(id string) []byte { return []byte(id) }

func (g *fakeGateway) Observe(view []control.TargetState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view = view
	g.order = append(g.order, "observe")
}

func (g *fakeGateway) Cordon(target.ID, uint64, bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.order = append(g.order, "cordon")
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
	g.connected = c
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

// seen returns what the uplink last said of its links.
func (g *fakeGateway) seen() control.Connectivity {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connected
}

// newUplink returns the uplink of a gateway in riga-a.
func newUplink(f *memlink.Fabric, seeds ...string) *Uplink {
	log := zerolog.Nop()
	self := machine.Process{Host: "host-0", Role: machine.Gateway, Incarnation: 9, Zone: zone.Zone{Name: "riga-a", Region: "baltic"}}
	return New(Config{Self: self, LocalController: "own", Seeds: seeds, Network: f.Network(self), Log: &log})
}

// heartbeat returns a reply that names one engine.
func heartbeat(gateways uint32, members ...*wire.Member) *wire.Heartbeat {
	return &wire.Heartbeat{LiveGateways: gateways, LiveControllers: gateways, ConfirmedAgeMs: -1, TargetsVersion: 1, Members: members,
		Targets: []*wire.TargetState{{Id: "engine-0", Kind: "engine", Zone: "riga-a", State: "live"}}}
}

// TestFailsOver covers the choice of another zone, the loss of either
// controller, the loss of both and their return.
func TestFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memlink.NewFabric()
		named := []*wire.Member{
			{Host: "host-1", Role: "controller", Incarnation: 2, Zone: "riga-a", Address: "near"},
			{Host: "host-2", Role: "controller", Incarnation: 3, Zone: "jelgava", Address: "far"},
		}
		own := startController(f, "host-0", "own", "riga-a", heartbeat(7, named...))
		near := startController(f, "host-1", "near", "riga-a", heartbeat(7))
		far := startController(f, "host-2", "far", "jelgava", heartbeat(7))
		u, g := newUplink(f, "near"), &fakeGateway{}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { is.NoErr(u.Run(ctx, g)) })
		defer func() { cancel(); loops.Wait() }()
		time.Sleep(10 * time.Second)
		is.Equal([]int{own.linked(), near.linked(), far.linked()}, []int{1, 0, 1})
		is.Equal(g.seen().Controllers, 2)
		is.Equal(g.seen().LiveGateways, 7)

		far.stop()
		time.Sleep(10 * time.Second)
		is.Equal([]int{own.linked(), near.linked()}, []int{1, 1})
		own.stop()
		near.stop()
		time.Sleep(10 * time.Second)
		is.Equal(g.seen().Controllers, 0)
		is.Equal(g.seen().StoreDownForMost, false)

		own = startController(f, "host-0", "own", "riga-a", heartbeat(1))
		far = startController(f, "host-2", "far", "jelgava", heartbeat(1))
		time.Sleep(30 * time.Second)
		is.Equal([]int{own.linked(), far.linked()}, []int{1, 1})
		is.Equal(g.seen().LiveGateways, 7) // a controller that just started knows few
		is.Equal(len(g.view), 1)
	})
}

// TestCutLinkIsGivenUp covers a partition, in which calls end by their time
// limit only.
func TestCutLinkIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memlink.NewFabric()
		own := startController(f, "host-0", "own", "riga-a", heartbeat(3))
		far := startController(f, "host-2", "far", "jelgava", heartbeat(3))
		other := startController(f, "host-3", "other", "valmiera", heartbeat(3))
		u, g := newUplink(f, "far", "other"), &fakeGateway{}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { is.NoErr(u.Run(ctx, g)) })
		defer func() { cancel(); loops.Wait() }()
		time.Sleep(5 * time.Second)
		cut := machine.HostID("host-2")
		if other.linked() == 1 {
			cut = "host-3"
		}
		f.SetCut("host-0", cut, true)
		time.Sleep(20 * time.Second)
		is.Equal(own.linked(), 1)
		is.Equal(far.linked()+other.linked(), 1)
		is.Equal(g.seen().Controllers, 2)
	})
}

// TestGrantsCordonsAndUsage covers the end of a grant from the sending of its
// request, a cordon that no later view undoes, and a flush that waits for the
// store.
func TestGrantsCordonsAndUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := memlink.NewFabric()
		f.SetDelay(200 * time.Millisecond)
		own := startController(f, "host-0", "own", "riga-a", heartbeat(3))
		own.grants = []*wire.Grant{{Organisation: "svetki", RequestsPerSecond: 5, TermMs: 3000}}
		own.stores = false
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
		is.Equal(g.order, []string{"observe", "cordon", "observe"})
		g.mu.Unlock()

		short, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		is.True(u.Flush(short, g) != nil) // nothing is safe yet
		own.mu.Lock()
		own.stores = true
		own.mu.Unlock()
		is.NoErr(u.Flush(ctx, g))
	})
}

// TestDoubtRaisesTheBeat checks that a gateway of a large fleet, whose next
// beat is far, raises it at once when it learns that it is doubted.
func TestDoubtRaisesTheBeat(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	self := machine.Process{Host: "host-1", Role: machine.Gateway, Incarnation: 7}
	controller := machine.Process{Host: "host-2", Role: machine.Controller, Incarnation: 8}
	u := New(Config{Self: self, Log: &log})
	up := &upstream{link: peerOnly{process: controller}}
	reply := &wire.Heartbeat{LiveGateways: 390, LiveControllers: 390, ConfirmedAgeMs: -1}
	u.takeIn(up, reply, false)
	beat := func() uint64 {
		request, _ := u.request(up)
		return request.Members[0].Beat
	}
	first := beat()
	is.Equal(beat(), first)
	reply.Members = []*wire.Member{{Incarnation: self.Incarnation, Doubted: true}}
	u.takeIn(up, reply, false)
	is.Equal(beat(), first+1)
	is.Equal(beat(), first+1)
}

// peerOnly is a link that only names its peer.
type peerOnly struct {
	link.Link
	process machine.Process
}

// Peer implements link.Link.
func (p peerOnly) Peer() machine.Process { return p.process }

// gateway returns the link to the gateway that was opened last.
func (k *fakeController) gateway() link.Link {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.links[len(k.links)-1]
}
