// Package soak joins real gateways and controllers in virtual time with
// stand-ins for all that lies outside, causes faults at random and checks
// what must always hold. It runs within a bubble of testing/synctest.
//
// A seed fixes the faults and the load. The order in which goroutines run is
// not fixed, so two runs of a seed differ in detail; only invariants are
// judged, never timings of the machine.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/claim"
	"zinniapin/contract"
	"zinniapin/controller"
	"zinniapin/gateway"
	"zinniapin/internal/standin/engine"
	"zinniapin/internal/standin/objects"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/settings"
	"zinniapin/target"
	"zinniapin/uplink"
	"zinniapin/usage"
	"zinniapin/zone"
)

// Names of the small world.
const (
	hostCount   = 5
	modelName   = "m"
	poolName    = "p"
	serviceName = "desk"
	keyMark     = "zk_soak-"
	depositMark = "/deposit-"
)

var zones = []zone.Zone{
	{Name: "riga-a", Region: "baltic"}, {Name: "riga-b", Region: "baltic"}, {Name: "jelgava", Region: "baltic"},
}

// Options are the settings of a run.
type Options struct {
	// Seed draws faults and load.
	Seed uint64
	// Span is how long faults and load last, in virtual time. Settling comes
	// on top.
	Span time.Duration
	// Losses adds hosts that are replaced and zones that are lost.
	Losses bool
	// Log takes the events of all processes.
	Log zerolog.Logger
}

// host is an entry host with its two processes.
type host struct {
	index      int
	controller *process
	gateway    *process
}

// process is one incarnation of a controller or gateway.
type process struct {
	gate     *gate
	stop     context.CancelFunc // graceful, for a gateway
	kill     context.CancelFunc
	ended    chan struct{}
	control  *controller.Controller
	serving  *gateway.Gateway
	listener *pipeListener
	client   *http.Client
	id       string
	killed   bool // it ended with use, or requests, that only it knew
	stopped  bool // it was asked to end and ended by itself
	highest  contract.Revision
}

// world is everything.
type world struct {
	options  Options
	rng      *rand.Rand // of the faults alone
	fabric   *memlink.Fabric
	objects  *objects.Store
	engines  *engine.Direct
	cloud    *cloud
	desk     *desk
	report   *Report
	ledger   *ledger
	operator *operator
	loops    sync.WaitGroup

	mu          sync.Mutex
	hosts       [hostCount]*host
	numbers     [hostCount]int // of the machine that is the host now
	machines    int            // number of machines ever used
	incarnation uint64
	disturbed   []span // outages of the object API
	sequence    map[target.ID]uint64
	past        []*process // every gateway ever started
	silences    []*silence
	forgone     map[string]usage.Amount // use that ended gateways never handed over, by organisation
}

// span is a stretch of time; an open one has no end.
type span struct {
	from, to time.Time
	down     bool // for all
}

// silence is a span in which a gateway, or any if none is named, may not have
// been heard.
type silence struct {
	gateway  string
	from, to time.Time
}

// silent notes the begin of a silence.
func (w *world) silent(gateway string) *silence {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &silence{gateway: gateway, from: time.Now()}
	w.silences = append(w.silences, s)
	return s
}

// heard notes its end.
func (w *world) heard(s *silence) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.to = time.Now()
}

// newWorld makes a world whose processes do not run yet.
func newWorld(o Options) *world {
	w := &world{
		options:  o,
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),
		fabric:   memlink.NewFabric(),
		objects:  objects.New(),
		engines:  engine.NewDirect(),
		desk:     newDesk(o.Seed),
		report:   newReport(o.Seed),
		sequence: map[target.ID]uint64{},
		forgone:  map[string]usage.Amount{},
	}
	w.fabric.SetDelay(500 * time.Microsecond)
	w.cloud = newCloud(o.Seed, w.engines)
	w.ledger = newLedger()
	w.operator = newOperator(w)
	for i := range w.numbers {
		w.numbers[i] = i
		w.cloud.join(string(w.hostID(i)), zoneOf(i).Name)
	}
	w.machines = hostCount
	w.listTargets()
	return w
}

// listTargets starts the targets of the beginning: fenced and unfenced
// engines of two classes, and two instances of the plain service.
func (w *world) listTargets() {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for i := range 7 {
		class := target.Reserved
		if i >= 3 {
			class = target.Reclaimable
		}
		id := target.ID(fmt.Sprintf("engine-%d", i))
		w.cloud.startEngine(id, class, zones[i%len(zones)].Name, i%2 == 0, w.options.Seed*100+uint64(i))
	}
	for i := range 2 {
		id := target.ID(fmt.Sprintf("desk-%d", i))
		x := target.Target{ID: id, Kind: target.Service, Class: target.Reserved, Pool: serviceName, Zone: zones[i].Name, Address: string(id)}
		w.cloud.listService(x)
	}
}

// hostID returns the id of the machine that is a host now.
func (w *world) hostID(i int) machine.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return machine.HostID(fmt.Sprintf("host-%d", w.numbers[i]))
}

// address returns the address of a host's controller.
func (w *world) address(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addressNow(i)
}

// addressNow does so with the lock held.
func (w *world) addressNow(i int) string { return fmt.Sprintf("10.0.0.%d:7000", w.numbers[i]+1) }

// zoneOf returns the zone of a host.
func zoneOf(i int) zone.Zone { return zones[i%len(zones)] }

// next returns an incarnation that no process has.
func (w *world) next() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	return w.incarnation
}

// startController starts the controller of a host.
func (w *world) startController(i int) *process {
	self := machine.Process{Host: w.hostID(i), Role: machine.Controller, Incarnation: w.next(), Zone: zoneOf(i), Address: w.address(i)}
	p := &process{gate: &gate{}, ended: make(chan struct{}), id: self.ID()}
	outside := &gatedPlatform{p.gate, w.cloud}
	log := w.options.Log.With().Str("process", self.ID()).Logger()
	p.control = controller.New(controller.Config{
		Self:         self,
		Seeds:        []string{w.address(0), w.address(1), w.address(2)},
		Network:      &gatedNetwork{p.gate, w.fabric.Network(self), w.gateAt},
		Store:        &gatedStore{p.gate, w.objects},
		Hosts:        outside,
		Orders:       &gatedOrders{p.gate, &orders{w}},
		Reports:      outside,
		TargetOrders: outside,
		Seed:         w.options.Seed,
		Log:          &log,
	})
	ctx, kill := context.WithCancel(context.Background())
	p.kill = kill
	w.loops.Go(func() {
		defer close(p.ended)
		if err := p.control.Run(ctx); err != nil {
			w.report.violation("controller %s ended: %v", p.id, err)
		}
	})
	return p
}

// gatewaySettings are those of every gateway.
func gatewaySettings() settings.Gateway {
	return settings.Gateway{
		DrainDelayMillis: 2_000, ControllerLossMillis: 5_000, MaxConfirmationAgeMillis: 12_000, FirstTokenMillis: 10_000, FirstChunkMillis: 20_000,
		StallMillis: 5_000, QueueLength: 256, ResumeMillis: 600_000, FlushMillis: 5_000,
	}
}

// startGateway starts the gateway of a host.
func (w *world) startGateway(i int) *process {
	self := machine.Process{Host: w.hostID(i), Role: machine.Gateway, Incarnation: w.next(), Zone: zoneOf(i)}
	p := &process{gate: &gate{}, ended: make(chan struct{}), id: self.ID(), listener: newPipeListener()}
	p.client = p.listener.client()
	log := w.options.Log.With().Str("process", self.ID()).Logger()
	network := &gatedNetwork{p.gate, w.fabric.Network(self), w.gateAt}
	seeds := []string{w.address((i + 1) % hostCount), w.address((i + 2) % hostCount)}
	links := uplink.New(uplink.Config{Self: self, LocalController: w.address(i), Seeds: seeds, Network: network, Log: &log})
	claims := claim.NewStoreRegistry(&gatedStore{p.gate, w.objects}, claim.Options{OrphanAfter: 2 * time.Minute, Log: &log})
	chose := func(id target.ID) { w.ledger.chose(p.id, id) }
	g, err := gateway.New(gateway.Options{
		Process: self, Settings: gatewaySettings(), ResumeKey: bytes.Repeat([]byte("k"), gateway.MinResumeKeyBytes),
		Engines: &gatedRequests{p.gate, w.engines, chose, w.ledger}, Services: &gatedServices{p.gate, w.desk, chose},
		Claims: claims, Uplink: links, Log: log, Seed: self.Incarnation,
	})
	if err != nil {
		w.report.violation("gateway %s: %v", p.id, err)
		return p
	}
	p.serving = g
	w.mu.Lock()
	w.past = append(w.past, p)
	w.mu.Unlock()
	graceful, stop := context.WithCancel(context.Background())
	immediate, kill := context.WithCancel(context.Background())
	p.stop, p.kill = stop, kill
	w.loops.Go(func() { claims.Run(immediate) })
	w.loops.Go(func() {
		defer close(p.ended)
		defer func() { _ = p.listener.Close() }()
		_ = g.Run(graceful, immediate, p.listener)
	})
	return p
}

// start starts every process.
func (w *world) start() {
	for i := range hostCount {
		h := &host{index: i, controller: w.startController(i), gateway: w.startGateway(i)}
		w.mu.Lock()
		w.hosts[i] = h
		w.mu.Unlock()
	}
}

// end kills a process as a signal would and waits until nothing of it runs.
func (w *world) end(p *process) {
	w.mu.Lock()
	p.killed = true
	w.mu.Unlock()
	p.gate.kill()
	p.kill()
	<-p.ended
	w.forgotten(p)
}

// forgotten notes the use that a gateway that ended never handed over.
func (w *world) forgotten(p *process) {
	if p.serving == nil {
		return
	}
	for _, c := range p.serving.Usage() {
		w.mu.Lock()
		w.forgone[c.Organisation] = w.forgone[c.Organisation].Add(c.Amount)
		w.mu.Unlock()
	}
}

// gateways returns the gateways that run now.
func (w *world) gateways() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var running []*process
	for _, h := range w.hosts {
		if h.gateway != nil {
			running = append(running, h.gateway)
		}
	}
	return running
}

// controllers returns the controllers that run now.
func (w *world) controllers() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var running []*process
	for _, h := range w.hosts {
		if h.controller != nil {
			running = append(running, h.controller)
		}
	}
	return running
}

// orders is target.Orders over the engines, with the reports of the plain
// services.
type orders struct{ world *world }

// Send implements target.Orders.
func (o *orders) Send(ctx context.Context, t target.Target, order target.Order) error {
	return o.world.engines.Send(ctx, t, order)
}

// Report implements target.Orders.
func (o *orders) Report(ctx context.Context, t target.Target) (target.Report, error) {
	if t.Kind == target.Engine {
		return o.world.engines.Report(ctx, t)
	}
	o.world.mu.Lock()
	defer o.world.mu.Unlock()
	o.world.sequence[t.ID]++
	return target.Report{Target: t.ID, Boot: 1, Sequence: o.world.sequence[t.ID], Capacity: 32}, nil
}

// lostGateways returns the gateways that died with use that only they knew.
func (w *world) lostGateways() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := map[string]bool{}
	for _, p := range w.past {
		lost[p.id] = p.killed
	}
	return lost
}

// noGate is the gate of an address that nobody listens at.
var noGate = &gate{}

// gateAt returns the gate of the controller at an address.
func (w *world) gateAt(at string) *gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, h := range w.hosts {
		if h != nil && h.controller != nil && w.addressNow(i) == at {
			return h.controller.gate
		}
	}
	return noGate
}
