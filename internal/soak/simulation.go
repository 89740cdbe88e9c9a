// Package soak runs real gateways and controllers in virtual time against stand-ins for
// everything outside them, injects random faults and checks invariants of the system. It runs in
// a bubble of testing/synctest.
//
// A seed fixes the faults and the load. The order in which goroutines run is not fixed, so two
// runs of a seed differ in detail; therefore only invariants are checked, never timings of the
// machine.
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

// Names and sizes in the simulated system.
const (
	hostCount     = 5
	modelName     = "m"
	poolName      = "p"
	serviceName   = "desk"
	keyPrefix     = "zk_soak-"  // of every API key
	depositMarker = "/deposit-" // in the body of every deposit, which must not run twice
)

var zones = []zone.Zone{
	{Name: "riga-a", Region: "baltic"}, {Name: "riga-b", Region: "baltic"}, {Name: "jelgava", Region: "baltic"},
}

// Options are the settings of a run.
type Options struct {
	// Seed seeds the random generators of faults and load.
	Seed uint64
	// Span is how long faults and load last, in virtual time, without the recovery
	// after them.
	Span time.Duration
	// Losses adds two faults: the replacement of hosts and the loss of zones.
	Losses bool
	// Log receives the events of all processes.
	Log zerolog.Logger
}

// host is an entry host: it runs a controller and a gateway.
type host struct {
	index      int
	controller *process
	gateway    *process
}

// process is one incarnation of a controller or gateway.
type process struct {
	gate            *gate
	stop            context.CancelFunc // starts the graceful shutdown of a gateway
	kill            context.CancelFunc // ends the process without a graceful shutdown
	ended           chan struct{}
	controller      *controller.Controller
	gateway         *gateway.Gateway
	listener        *pipeListener
	client          *http.Client
	id              string
	lostState       bool // it ended with usage or requests that no other process knew of
	stopped         bool // it ended by a graceful shutdown
	highestRevision contract.Revision
}

// simulation is the whole system under test: the processes, the stand-ins around them and what
// was recorded of them.
type simulation struct {
	options  Options
	rng      *rand.Rand // for faults only
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
	hostNumbers     [hostCount]int // of the present hosts; a replacement gets a new one
	nextHostNumber  int            // number of the next new host
	lastIncarnation uint64
	storeFaults     []storeFaultInterval // faults of the object API
	reportSequences map[target.ID]uint64
	startedGateways []*process // every gateway ever started
	isolations      []*isolation
	lostUsage       map[string]usage.Amount // usage that ended gateways did not hand over, by organisation
}

// storeFaultInterval is the time of a fault of the object API. While it lasts, to is zero.
type storeFaultInterval struct {
	from, to time.Time
	down     bool // every call fails
}

// isolation is an interval in which a gateway, or any gateway if none is named, may have been
// unreachable for others. While it lasts, to is zero.
type isolation struct {
	gateway  string
	from, to time.Time
}

// beginIsolation records the start of an isolation.
func (sim *simulation) beginIsolation(gateway string) *isolation {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s := &isolation{gateway: gateway, from: time.Now()}
	sim.isolations = append(sim.isolations, s)
	return s
}

// endIsolation records the end of an isolation.
func (sim *simulation) endIsolation(s *isolation) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s.to = time.Now()
}

// newSimulation returns a simulation without running processes.
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
	for i := range sim.hostNumbers {
		sim.hostNumbers[i] = i
		sim.platform.addEntryHost(string(sim.hostID(i)), zoneOf(i).Name)
	}
	sim.nextHostNumber = hostCount
	sim.startTargets()
	return sim
}

// startTargets starts the initial targets: engines of two classes, with and without checks of
// fencing tokens, and two instances of the plain service.
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

// hostID returns the id of the host at index i. It changes when the host is replaced.
func (sim *simulation) hostID(i int) machine.HostID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return machine.HostID(fmt.Sprintf("host-%d", sim.hostNumbers[i]))
}

// address returns the address of the controller at index i.
func (sim *simulation) address(i int) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.addressLocked(i)
}

// addressLocked is address for callers that hold the lock.
func (sim *simulation) addressLocked(i int) string {
	return fmt.Sprintf("10.0.0.%d:7000", sim.hostNumbers[i]+1)
}

// zoneOf returns the zone of the host at index i.
func zoneOf(i int) zone.Zone { return zones[i%len(zones)] }

// nextIncarnation returns an incarnation number that no process has used.
func (sim *simulation) nextIncarnation() uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.lastIncarnation++
	return sim.lastIncarnation
}

// startController starts the controller of the host at index i.
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

// gatewaySettings returns the settings of every gateway.
func gatewaySettings() settings.Gateway {
	return settings.Gateway{
		DrainDelayMillis: 2_000, ControllerLossMillis: 5_000, MaxConfirmationAgeMillis: 12_000, FirstTokenMillis: 10_000, FirstChunkMillis: 20_000,
		StallMillis: 5_000, QueueLength: 256, ResumeMillis: 600_000, FlushMillis: 5_000,
	}
}

// startGateway starts the gateway of the host at index i.
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
		Refuses: sim.refuses,
		Claims:  claims, Uplink: links, Log: log, Seed: self.Incarnation,
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

// start starts the processes of all hosts.
func (sim *simulation) start() {
	for i := range hostCount {
		h := &host{index: i, controller: sim.startController(i), gateway: sim.startGateway(i)}
		sim.mu.Lock()
		sim.hosts[i] = h
		sim.mu.Unlock()
	}
}

// killProcess kills a process, as SIGKILL would, and waits until it has ended.
func (sim *simulation) killProcess(p *process) {
	sim.mu.Lock()
	p.lostState = true
	sim.mu.Unlock()
	p.gate.kill()
	p.kill()
	<-p.ended
	sim.recordLostUsage(p)
}

// recordLostUsage records the usage that an ended gateway has not handed over.
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

// gateways returns the current gateways of all hosts.
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

// controllers returns the current controllers of all hosts.
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

// orders implements target.Orders for the engines and the plain service.
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

// gatewaysWithLostState reports for every gateway ever started whether it ended with usage or
// requests that no other process knew of.
func (sim *simulation) gatewaysWithLostState() map[string]bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	lost := map[string]bool{}
	for _, p := range sim.startedGateways {
		lost[p.id] = p.lostState
	}
	return lost
}

// openGate is the gate of an address at which no process listens.
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
