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
	hostCount     = 5
	modelName     = "m"
	poolName      = "p"
	serviceName   = "desk"
	keyPrefix     = "zk_soak-"
	depositMarker = "/deposit-"
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
	gate            *gate
	stop            context.CancelFunc // graceful, for a gateway
	kill            context.CancelFunc
	ended           chan struct{}
	controller      *controller.Controller
	gateway         *gateway.Gateway
	listener        *pipeListener
	client          *http.Client
	id              string
	lostState       bool // it ended with use, or requests, that only it knew
	stopped         bool // it was asked to end and ended by itself
	highestRevision contract.Revision
}

// world is everything.
type simulation struct {
	options  Options
	rng      *rand.Rand // of the faults alone
	fabric   *memlink.Fabric
	objects  *objects.Store
	engines  *engine.Direct
	platform *platform
	service  *plainService
	report   *Report
	recorder *recorder
	operator *operator
	running  sync.WaitGroup

	mu              sync.Mutex
	hosts           [hostCount]*host
	machineNumbers  [hostCount]int // of the machine that is the host now
	machineCount    int            // number of machines ever used
	lastIncarnation uint64
	storeFaults     []storeFaultInterval // outages of the object API
	reportSequences map[target.ID]uint64
	startedGateways []*process // every gateway ever started
	isolations      []*isolation
	lostUsage       map[string]usage.Amount // use that ended gateways never handed over, by organisation
}

// storeFaultInterval is a stretch of time; an open one has no end.
type storeFaultInterval struct {
	from, to time.Time
	down     bool // for all
}

// isolation is a span in which a gateway, or any if none is named, may not have
// been heard.
type isolation struct {
	gateway  string
	from, to time.Time
}

// beginIsolation notes the begin of a silence.
func (sim *simulation) beginIsolation(gateway string) *isolation {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s := &isolation{gateway: gateway, from: time.Now()}
	sim.isolations = append(sim.isolations, s)
	return s
}

// endIsolation notes its end.
func (sim *simulation) endIsolation(s *isolation) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s.to = time.Now()
}

// newSimulation makes a world whose processes do not run yet.
func newSimulation(o Options) *simulation {
	sim := &simulation{
		options:         o,
		rng:             rand.New(rand.NewPCG(o.Seed, 1)),
		fabric:          memlink.NewFabric(),
		objects:         objects.New(),
		engines:         engine.NewDirect(),
		service:         newPlainService(o.Seed),
		report:          newReport(o.Seed),
		reportSequences: map[target.ID]uint64{},
		lostUsage:       map[string]usage.Amount{},
	}
	sim.fabric.SetDelay(500 * time.Microsecond)
	sim.platform = newPlatform(o.Seed, sim.engines)
	sim.recorder = newRecorder()
	sim.operator = newOperator(sim)
	for i := range sim.machineNumbers {
		sim.machineNumbers[i] = i
		sim.platform.addEntryHost(string(sim.hostID(i)), zoneOf(i).Name)
	}
	sim.machineCount = hostCount
	sim.startTargets()
	return sim
}

// startTargets starts the targets of the beginning: fenced and unfenced
// engines of two classes, and two instances of the plain service.
func (sim *simulation) startTargets() {
	sim.platform.mu.Lock()
	defer sim.platform.mu.Unlock()
	for i := range 7 {
		class := target.Reserved
		if i >= 3 {
			class = target.Reclaimable
		}
		id := target.ID(fmt.Sprintf("engine-%d", i))
		sim.platform.startEngine(id, class, zones[i%len(zones)].Name, i%2 == 0, sim.options.Seed*100+uint64(i))
	}
	for i := range 2 {
		id := target.ID(fmt.Sprintf("desk-%d", i))
		x := target.Target{ID: id, Kind: target.Service, Class: target.Reserved, Pool: serviceName, Zone: zones[i].Name, Address: string(id)}
		sim.platform.listService(x)
	}
}

// hostID returns the id of the machine that is a host now.
func (sim *simulation) hostID(i int) machine.HostID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return machine.HostID(fmt.Sprintf("host-%d", sim.machineNumbers[i]))
}

// address returns the address of a host's controller.
func (sim *simulation) address(i int) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.addressLocked(i)
}

// addressLocked does so with the lock held.
func (sim *simulation) addressLocked(i int) string {
	return fmt.Sprintf("10.0.0.%d:7000", sim.machineNumbers[i]+1)
}

// zoneOf returns the zone of a host.
func zoneOf(i int) zone.Zone { return zones[i%len(zones)] }

// nextIncarnation returns an incarnation that no process has.
func (sim *simulation) nextIncarnation() uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.lastIncarnation++
	return sim.lastIncarnation
}

// startController starts the controller of a host.
func (sim *simulation) startController(i int) *process {
	self := machine.Process{Host: sim.hostID(i), Role: machine.Controller, Incarnation: sim.nextIncarnation(), Zone: zoneOf(i), Address: sim.address(i)}
	p := &process{gate: &gate{}, ended: make(chan struct{}), id: self.ID()}
	outside := &gatedPlatform{p.gate, sim.platform}
	log := sim.options.Log.With().Str("process", self.ID()).Logger()
	p.controller = controller.New(controller.Config{
		Self:         self,
		Seeds:        []string{sim.address(0), sim.address(1), sim.address(2)},
		Network:      &gatedNetwork{p.gate, sim.fabric.Network(self), sim.gateAt},
		Store:        &gatedStore{p.gate, sim.objects},
		Hosts:        outside,
		Orders:       &gatedOrders{p.gate, &orders{sim}},
		Reports:      outside,
		TargetOrders: outside,
		Seed:         sim.options.Seed,
		Log:          &log,
	})
	ctx, kill := context.WithCancel(context.Background())
	p.kill = kill
	sim.running.Go(func() {
		defer close(p.ended)
		if err := p.controller.Run(ctx); err != nil {
			sim.report.violation("controller %s ended: %v", p.id, err)
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
func (sim *simulation) startGateway(i int) *process {
	self := machine.Process{Host: sim.hostID(i), Role: machine.Gateway, Incarnation: sim.nextIncarnation(), Zone: zoneOf(i)}
	p := &process{gate: &gate{}, ended: make(chan struct{}), id: self.ID(), listener: newPipeListener()}
	p.client = p.listener.client()
	log := sim.options.Log.With().Str("process", self.ID()).Logger()
	network := &gatedNetwork{p.gate, sim.fabric.Network(self), sim.gateAt}
	seeds := []string{sim.address((i + 1) % hostCount), sim.address((i + 2) % hostCount)}
	links := uplink.New(uplink.Config{Self: self, LocalController: sim.address(i), Seeds: seeds, Network: network, Log: &log})
	claims := claim.NewStoreRegistry(&gatedStore{p.gate, sim.objects}, claim.Options{OrphanAfter: 2 * time.Minute, Log: &log})
	onChoice := func(id target.ID) { sim.recorder.recordChoice(p.id, id) }
	g, err := gateway.New(gateway.Options{
		Process: self, Settings: gatewaySettings(), ResumeKey: bytes.Repeat([]byte("k"), gateway.MinResumeKeyBytes),
		Engines: &gatedRequests{p.gate, sim.engines, onChoice, sim.recorder}, Services: &gatedServices{p.gate, sim.service, onChoice},
		Claims: claims, Uplink: links, Log: log, Seed: self.Incarnation,
	})
	if err != nil {
		sim.report.violation("gateway %s: %v", p.id, err)
		return p
	}
	p.gateway = g
	sim.mu.Lock()
	sim.startedGateways = append(sim.startedGateways, p)
	sim.mu.Unlock()
	graceful, stop := context.WithCancel(context.Background())
	immediate, kill := context.WithCancel(context.Background())
	p.stop, p.kill = stop, kill
	sim.running.Go(func() { claims.Run(immediate) })
	sim.running.Go(func() {
		defer close(p.ended)
		defer func() { _ = p.listener.Close() }()
		_ = g.Run(graceful, immediate, p.listener)
	})
	return p
}

// start starts every process.
func (sim *simulation) start() {
	for i := range hostCount {
		h := &host{index: i, controller: sim.startController(i), gateway: sim.startGateway(i)}
		sim.mu.Lock()
		sim.hosts[i] = h
		sim.mu.Unlock()
	}
}

// killProcess kills a process as a signal would and waits until nothing of it runs.
func (sim *simulation) killProcess(p *process) {
	sim.mu.Lock()
	p.lostState = true
	sim.mu.Unlock()
	p.gate.kill()
	p.kill()
	<-p.ended
	sim.recordLostUsage(p)
}

// recordLostUsage notes the use that a gateway that ended never handed over.
func (sim *simulation) recordLostUsage(p *process) {
	if p.gateway == nil {
		return
	}
	for _, c := range p.gateway.Usage() {
		sim.mu.Lock()
		sim.lostUsage[c.Organisation] = sim.lostUsage[c.Organisation].Add(c.Amount)
		sim.mu.Unlock()
	}
}

// gateways returns the gateways that run now.
func (sim *simulation) gateways() []*process {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var running []*process
	for _, h := range sim.hosts {
		if h.gateway != nil {
			running = append(running, h.gateway)
		}
	}
	return running
}

// controllers returns the controllers that run now.
func (sim *simulation) controllers() []*process {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var running []*process
	for _, h := range sim.hosts {
		if h.controller != nil {
			running = append(running, h.controller)
		}
	}
	return running
}

// orders is target.Orders over the engines, with the reports of the plain
// services.
type orders struct{ sim *simulation }

// Send implements target.Orders.
func (o *orders) Send(ctx context.Context, t target.Target, order target.Order) error {
	return o.sim.engines.Send(ctx, t, order)
}

// Report implements target.Orders.
func (o *orders) Report(ctx context.Context, t target.Target) (target.Report, error) {
	if t.Kind == target.Engine {
		return o.sim.engines.Report(ctx, t)
	}
	o.sim.mu.Lock()
	defer o.sim.mu.Unlock()
	o.sim.reportSequences[t.ID]++
	return target.Report{Target: t.ID, Boot: 1, Sequence: o.sim.reportSequences[t.ID], Capacity: 32}, nil
}

// gatewaysWithLostState returns the gateways that died with use that only they knew.
func (sim *simulation) gatewaysWithLostState() map[string]bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	lost := map[string]bool{}
	for _, p := range sim.startedGateways {
		lost[p.id] = p.lostState
	}
	return lost
}

// openGate is the gate of an address that nobody listens at.
var openGate = &gate{}

// gateAt returns the gate of the controller at an address.
func (sim *simulation) gateAt(at string) *gate {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i, h := range sim.hosts {
		if h != nil && h.controller != nil && sim.addressLocked(i) == at {
			return h.controller.gate
		}
	}
	return openGate
}
