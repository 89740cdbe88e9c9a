package main

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/controller"
	"zinniapin/internal/standin/objects"
	"zinniapin/link/memlink"
	"zinniapin/poison"
	"zinniapin/provider"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/uplink"
	"zinniapin/usage"
)

// fleet runs real controllers and uplinks in this process, over in-memory links
// and with simulated gateways, targets and store.
type fleet struct {
	fabric         *memlink.Fabric
	objects        *objects.Store
	targets        *fakeTargets
	demands        []control.Demand // of each gateway
	countsUsage    bool             // gateways count usage
	requestsGrants bool             // gateways request grants for demands
	// contracts and rate, in requests a second at each gateway, configure the
	// callers of hosts that start later. There are none while rate is 0.
	contracts []*contract.Contract
	rate      float64
	nodes     []*node
}

// node is a host with its controller and the uplink of its simulated gateway.
type node struct {
	controller *controller.Controller
	gateway    *fakeGateway
	stop       context.CancelFunc
	done       sync.WaitGroup // of the goroutines that run the controller and the uplink
}

// newFleet returns a fleet without hosts whose configuration has been accepted.
// It has that many targets and organisations, of which the first active ones
// have demands.
func newFleet(targets, organisations, active int) (*fleet, error) {
	return newFleetOf(targets, contractsOf(organisations), active)
}

// newFleetOf is like newFleet, with the given contracts.
func newFleetOf(targets int, contracts []*contract.Contract, active int) (*fleet, error) {
	f := &fleet{contracts: contracts, fabric: memlink.NewFabric(), objects: objects.New(), targets: &fakeTargets{hosts: hostsOf(targets), sequence: map[target.ID]uint64{}}}
	described := fleetDescription()
	p := configuration.Proposal{ID: "first", Author: "operator", Summary: "first", Fleet: &described, Contracts: contracts}
	if _, err := configuration.Accept(context.Background(), f.objects, p, time.Now()); err != nil {
		return nil, err
	}
	for i := range active {
		f.demands = append(f.demands, control.Demand{Organisation: organisationName(i), RequestsPerSecond: 0.017, Concurrency: 1, TokensPerMinute: 1_000})
	}
	return f, nil
}

// start starts the i-th host: its controller, and the uplink of its simulated
// gateway. incarnation counts the starts of the host from 1.
func (f *fleet) start(i int, incarnation uint64) *node {
	ctx, cancel := context.WithCancel(context.Background())
	log := zerolog.Nop()
	n := &node{gateway: &fakeGateway{demands: f.demands, ledger: usage.NewLedger(gatewayOf(i, incarnation).ID()), countsUsage: f.countsUsage, requestsGrants: f.requestsGrants}, stop: cancel}
	if f.rate > 0 {
		n.gateway.callers = newCallers(f.contracts, f.rate, uint64(i))
	}
	self := controllerOf(i, incarnation)
	seeds := []string{controllerOf(0, 1).Address, controllerOf(1, 1).Address, controllerOf(2, 1).Address}
	n.controller = controller.New(controller.Config{Self: self, Seeds: seeds, Network: f.fabric.Network(self),
		Store: f.objects, Hosts: f.targets, Orders: f.targets, Reports: fakeUsage{f.targets}, Seed: uint64(i), Log: &log})
	gateway := gatewayOf(i, incarnation)
	up := uplink.New(uplink.Config{Self: gateway, LocalController: self.Address, Seeds: seeds, Network: f.fabric.Network(gateway), Log: &log})
	n.done.Go(func() { _ = n.controller.Run(ctx) })
	n.done.Go(func() { _ = up.Run(ctx, n.gateway) })
	return n
}

// growTo starts hosts until there are n. It spreads the starts over a second so
// that the heartbeats of the hosts are not synchronised.
func (f *fleet) growTo(n int) {
	for i := len(f.nodes); i < n; i++ {
		f.nodes = append(f.nodes, f.start(i, 1))
		time.Sleep(time.Second / time.Duration(n))
	}
}

// kill stops the i-th host, as in a crash, and waits for its goroutines.
func (f *fleet) kill(i int) {
	f.nodes[i].stop()
	f.nodes[i].done.Wait()
}

// restart kills the i-th host and starts it again. incarnation counts its starts.
func (f *fleet) restart(i int, incarnation uint64) {
	f.kill(i)
	f.nodes[i] = f.start(i, incarnation)
}

// close stops every host and waits for its goroutines.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		n.done.Wait()
	}
}

// accept commits the i-th change of the configuration to the store.
func (f *fleet) accept(i int) (contract.Revision, error) {
	k := contractOf(0)
	k.Limits.Concurrency = 100 + i
	return configuration.Accept(context.Background(), f.objects, proposalOf(i, k), time.Now())
}

// hostsBehind returns the number of hosts whose gateway or controller has not
// applied a revision.
func (f *fleet) hostsBehind(revision contract.Revision) int {
	behind := 0
	for _, n := range f.nodes {
		s := n.controller.Snapshot()
		if s == nil || s.Revision < revision || n.gateway.revisionInForce() < revision {
			behind++
		}
	}
	return behind
}

// linkCounts returns the mean and the highest number of controllers with which
// a host exchanges heartbeats, and the same for temporary links.
func (f *fleet) linkCounts() (mean float64, most int, temporary float64, mostTemporary int) {
	for _, n := range f.nodes {
		document, err := n.controller.Status(controller.TopicLinks)
		links, ok := document.(controller.LinkStatus)
		if err != nil || !ok {
			continue
		}
		mean += float64(links.Peers) / float64(len(f.nodes))
		most = max(most, links.Peers)
		temporary += float64(links.Temporary) / float64(len(f.nodes))
		mostTemporary = max(mostTemporary, links.Temporary)
	}
	return mean, most, temporary, mostTemporary
}

// reportAges returns the mean and the highest age of the target reports that
// the controllers hold for their regions.
func (f *fleet) reportAges() (mean, highest time.Duration) {
	n := 0
	for _, node := range f.nodes {
		for _, s := range node.controller.Targets() {
			age := time.Since(s.Report.ReceivedAt)
			mean += age
			highest = max(highest, age)
			n++
		}
	}
	return mean / time.Duration(max(1, n)), highest
}

// resources holds the processor time, message bytes and store calls that a fleet
// has used.
type resources struct {
	processor time.Duration
	bytes     uint64
	calls     map[store.Purpose]int
}

// resourcesUsed returns the resources that the fleet has used so far.
func (f *fleet) resourcesUsed() resources {
	return resources{processorTime(), f.fabric.Bytes(), f.objects.Calls()}
}

// fakeTargets simulates the platform's host list and the targets, and counts
// calls.
type fakeTargets struct {
	hosts       []provider.Host
	mu          sync.Mutex
	sequence    map[target.ID]uint64 // of the last load report
	listCalls   int                  // requests for the host list
	reportCalls int                  // requests for a target's load report
	usageCalls  int                  // usage reports received
}

// List implements provider.Hosts.
func (r *fakeTargets) List(context.Context) ([]provider.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listCalls++
	return r.hosts, nil
}

// Report implements target.Orders.
func (r *fakeTargets) Report(_ context.Context, t target.Target) (target.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportCalls++
	r.sequence[t.ID]++
	answer := reportOf(0, r.sequence[t.ID])
	answer.Target = t.ID
	return answer, nil
}

// Report implements provider.Usage.
func (u fakeUsage) Report(context.Context, string, uint64, []provider.UsageReport) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.usageCalls++
	return nil
}

// fakeUsage accepts usage reports and counts the calls in fakeTargets.
type fakeUsage struct{ *fakeTargets }

// Send implements target.Orders.
func (*fakeTargets) Send(context.Context, target.Target, target.Order) error { return nil }

// fakeGateway is a gateway that records its configuration and serves no
// requests. It counts usage and has demands or callers if so configured.
type fakeGateway struct {
	mu             sync.Mutex
	revision       contract.Revision
	demands        []control.Demand
	ledger         *usage.Ledger
	usageCountedAt time.Time // when usage was last counted
	countsUsage    bool
	callers        *callers // if not nil, generates requests and demands
	requestsGrants bool     // for demands
}

var _ control.Gateway = (*fakeGateway)(nil)

// Configure implements control.Gateway.
func (g *fakeGateway) Configure(s *contract.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision = s.Revision
}

// revisionInForce returns the revision of the last configuration.
func (g *fakeGateway) revisionInForce() contract.Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revision
}

// Demands implements control.Gateway.
func (g *fakeGateway) Demands() []control.Demand {
	if g.callers != nil {
		return g.callers.runSecond()
	}
	if !g.requestsGrants {
		return nil
	}
	return g.demands
}

// Observe implements control.Gateway.
func (*fakeGateway) Observe([]control.TargetState) {}

// Cordon implements control.Gateway.
func (*fakeGateway) Cordon(target.ID, uint64, bool) int { return 0 }

// SetGrants implements control.Gateway.
func (g *fakeGateway) SetGrants(grants []control.Grant) {
	if g.callers != nil {
		g.callers.setGrants(grants)
	}
}

// SetConnectivity implements control.Gateway.
func (g *fakeGateway) SetConnectivity(c control.Connectivity) {
	if g.callers != nil {
		g.callers.setConnectivity(c)
	}
}

// Usage implements control.Gateway. It counts one request a second for each
// organisation with a demand.
func (g *fakeGateway) Usage() []usage.Counter {
	if !g.countsUsage {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := time.Now(); now.Sub(g.usageCountedAt) >= time.Second {
		g.usageCountedAt = now
		for _, d := range g.demands {
			g.ledger.Add(now, d.Organisation, usage.Amount{Requests: 1, PromptTokens: 800, OutputTokens: 230})
		}
	}
	return g.ledger.Unstored()
}

// UsageStored implements control.Gateway.
func (g *fakeGateway) UsageStored(counters []usage.Counter) {
	g.ledger.MarkStored(time.Now(), counters)
}

// PoolLoads implements control.Gateway.
func (*fakeGateway) PoolLoads() []control.PoolLoad { return nil }

// Explain implements control.Gateway.
func (*fakeGateway) Explain(string) []byte { return nil }

// CrashEvidence implements control.Gateway.
func (*fakeGateway) CrashEvidence(int, time.Duration) []poison.Evidence { return nil }

// MergeCrashEvidence implements control.Gateway.
func (*fakeGateway) MergeCrashEvidence([]poison.Evidence) {}
