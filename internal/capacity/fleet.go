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
	"zinniapin/provider"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/uplink"
	"zinniapin/usage"
)

// fleet runs real controllers and uplinks over in-memory links.
type fleet struct {
	fabric  *memlink.Fabric
	objects *objects.Store
	targets *reports
	demands []control.Demand
	counts  bool // gateways count use
	asks    bool // gateways ask for grants
	// contracts and rate, in requests a second at each gateway, are of callers;
	// no callers come while the rate is 0.
	contracts []*contract.Contract
	rate      float64
	nodes     []*node
}

// node is a host with its controller and the uplink of its gateway.
type node struct {
	controller *controller.Controller
	gateway    *listener
	stop       context.CancelFunc
	done       sync.WaitGroup
}

// newFleet returns a fleet that does not run, with an accepted configuration.
func newFleet(targets, organisations, active int) (*fleet, error) {
	return newFleetOf(targets, contractsOf(organisations), active)
}

// newFleetOf returns a fleet like newFleet with contracts.
func newFleetOf(targets int, contracts []*contract.Contract, active int) (*fleet, error) {
	f := &fleet{contracts: contracts, fabric: memlink.NewFabric(), objects: objects.New(), targets: &reports{hosts: hostsOf(targets), sequence: map[target.ID]uint64{}}}
	described := describedFleet()
	p := configuration.Proposal{ID: "first", Author: "operator", Summary: "first", Fleet: &described, Contracts: contracts}
	if _, err := configuration.Accept(context.Background(), f.objects, p, time.Now()); err != nil {
		return nil, err
	}
	for i := range active {
		f.demands = append(f.demands, control.Demand{Organisation: organisationName(i), RequestsPerSecond: 0.017, Concurrency: 1, TokensPerMinute: 1_000})
	}
	return f, nil
}

// start runs a host in an incarnation.
func (f *fleet) start(i int, incarnation uint64) *node {
	ctx, cancel := context.WithCancel(context.Background())
	log := zerolog.Nop()
	n := &node{gateway: &listener{demands: f.demands, ledger: usage.NewLedger(gatewayOf(i, incarnation).ID()), counts: f.counts, asks: f.asks}, stop: cancel}
	if f.rate > 0 {
		n.gateway.callers = newCallers(f.contracts, f.rate, uint64(i))
	}
	self := controllerOf(i, incarnation)
	seeds := []string{controllerOf(0, 1).Address, controllerOf(1, 1).Address, controllerOf(2, 1).Address}
	n.controller = controller.New(controller.Config{Self: self, Seeds: seeds, Network: f.fabric.Network(self),
		Store: f.objects, Hosts: f.targets, Orders: f.targets, Reports: usageReports{f.targets}, Seed: uint64(i), Log: &log})
	gateway := gatewayOf(i, incarnation)
	up := uplink.New(uplink.Config{Self: gateway, LocalController: self.Address, Seeds: seeds, Network: f.fabric.Network(gateway), Log: &log})
	n.done.Go(func() { _ = n.controller.Run(ctx) })
	n.done.Go(func() { _ = up.Run(ctx, n.gateway) })
	return n
}

// grow starts hosts until there are n, over a second, so that their heartbeats
// come at different moments.
func (f *fleet) grow(n int) {
	for i := len(f.nodes); i < n; i++ {
		f.nodes = append(f.nodes, f.start(i, 1))
		time.Sleep(time.Second / time.Duration(n))
	}
}

// kill ends a host without a word.
func (f *fleet) kill(i int) {
	f.nodes[i].stop()
	f.nodes[i].done.Wait()
}

// restart replaces a host.
func (f *fleet) restart(i int, incarnation uint64) {
	f.kill(i)
	f.nodes[i] = f.start(i, incarnation)
}

// close ends every host.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		n.done.Wait()
	}
}

// accept accepts the i-th change at the store.
func (f *fleet) accept(i int) (contract.Revision, error) {
	k := contractOf(0)
	k.Limits.Concurrency = 100 + i
	return configuration.Accept(context.Background(), f.objects, proposalOf(i, k), time.Now())
}

// behind returns the number of hosts whose gateway or controller has not put a
// revision in force.
func (f *fleet) behind(revision contract.Revision) int {
	behind := 0
	for _, n := range f.nodes {
		s := n.controller.Snapshot()
		if s == nil || s.Revision < revision || n.gateway.inForce() < revision {
			behind++
		}
	}
	return behind
}

// peers returns the mean and the highest number of links between controllers
// that a host exchanges heartbeats over, and the same of temporary links.
func (f *fleet) peers() (mean float64, most int, temporary float64, mostTemporary int) {
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

// ages returns the mean and the highest age of the reports that controllers
// see of the targets of their region.
func (f *fleet) ages() (mean, highest time.Duration) {
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

// usageOf is what a fleet spent up to now.
type usageOf struct {
	processor time.Duration
	bytes     uint64
	calls     map[store.Purpose]int
}

// spent returns what the fleet spent so far.
func (f *fleet) spent() usageOf {
	return usageOf{processorTime(), f.fabric.Bytes(), f.objects.Calls()}
}

// reports lists and reports targets.
type reports struct {
	hosts    []provider.Host
	mu       sync.Mutex
	sequence map[target.ID]uint64
	lists    int
	polls    int
	usages   int
}

// List implements provider.Hosts.
func (r *reports) List(context.Context) ([]provider.Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	return r.hosts, nil
}

// Report implements target.Orders.
func (r *reports) Report(_ context.Context, t target.Target) (target.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls++
	r.sequence[t.ID]++
	answer := reportOf(0, r.sequence[t.ID])
	answer.Target = t.ID
	return answer, nil
}

// Report implements provider.Usage.
func (u usageReports) Report(context.Context, string, uint64, []provider.UsageReport) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.usages++
	return nil
}

// usageReports takes reports of use.
type usageReports struct{ *reports }

// Send implements target.Orders.
func (*reports) Send(context.Context, target.Target, target.Order) error { return nil }

// listener is a gateway that only notes its configuration.
type listener struct {
	mu       sync.Mutex
	revision contract.Revision
	demands  []control.Demand
	ledger   *usage.Ledger
	counted  time.Time // up to when use was counted
	counts   bool
	callers  *callers // nil: the demands are fixed
	asks     bool     // for grants
}

var _ control.Gateway = (*listener)(nil)

// Configure implements control.Gateway.
func (l *listener) Configure(s *contract.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = s.Revision
}

// inForce returns the revision in force.
func (l *listener) inForce() contract.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Demands implements control.Gateway.
func (l *listener) Demands() []control.Demand {
	if l.callers != nil {
		return l.callers.second()
	}
	if !l.asks {
		return nil
	}
	return l.demands
}

// Observe implements control.Gateway.
func (*listener) Observe([]control.TargetState) {}

// Cordon implements control.Gateway.
func (*listener) Cordon(target.ID, uint64, bool) int { return 0 }

// SetGrants implements control.Gateway.
func (l *listener) SetGrants(grants []control.Grant) {
	if l.callers != nil {
		l.callers.grant(grants)
	}
}

// SetConnectivity implements control.Gateway.
func (l *listener) SetConnectivity(c control.Connectivity) {
	if l.callers != nil {
		l.callers.connected(c)
	}
}

// Usage implements control.Gateway: every active organisation had a request
// in every second.
func (l *listener) Usage() []usage.Counter {
	if !l.counts {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.counted) >= time.Second {
		l.counted = now
		for _, d := range l.demands {
			l.ledger.Add(now, d.Organisation, usage.Amount{Requests: 1, PromptTokens: 800, OutputTokens: 230})
		}
	}
	return l.ledger.Unstored()
}

// UsageStored implements control.Gateway.
func (l *listener) UsageStored(counters []usage.Counter) { l.ledger.MarkStored(time.Now(), counters) }

// PoolLoads implements control.Gateway.
func (*listener) PoolLoads() []control.PoolLoad { return nil }

// Explain implements control.Gateway.
func (*listener) Explain(string) []byte { return nil }
