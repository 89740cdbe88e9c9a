package controller

import (
	"context"
	"sync"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/poison"
	"zinniapin/provider"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/usage"
	"zinniapin/zone"
)

// zones are the zones of newFleet.
var zones = []zone.Zone{{Name: "riga-a", Region: "baltic"}, {Name: "riga-b", Region: "baltic"}, {Name: "jelgava", Region: "baltic"}, {Name: "valmiera", Region: "baltic"}}

// faultyStore is one host's access to a store that all hosts share. Reads and watches
// through it can be made to fail.
type faultyStore struct {
	store.Store
	mu   sync.Mutex
	down bool
}

// setDown makes reads and watches fail, or ends that.
func (f *faultyStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *faultyStore) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *faultyStore) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	if f.isDown() {
		return store.Object{}, store.ErrUnavailable
	}
	return f.Store.Get(ctx, p, key)
}

func (f *faultyStore) Watch(ctx context.Context, p store.Purpose, key string, after store.Version) (store.Object, error) {
	if f.isDown() {
		return store.Object{}, store.ErrUnavailable
	}
	return f.Store.Watch(ctx, p, key, after)
}

// fakeHosts is the platform's list of hosts.
type fakeHosts struct {
	mu   sync.Mutex
	list []provider.Host
}

func (f *fakeHosts) List(context.Context) ([]provider.Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]provider.Host(nil), f.list...), nil
}

// fakeOrders returns reports with rising sequence numbers and accepts all orders.
type fakeOrders struct {
	mu       sync.Mutex
	sequence uint64
}

func (f *fakeOrders) Send(context.Context, target.Target, target.Order) error { return nil }

func (f *fakeOrders) Report(_ context.Context, t target.Target) (target.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	return target.Report{Target: t.ID, Boot: 7, Sequence: f.sequence, Role: target.Mixed, Running: 3, Capacity: 8}, nil
}

// fakeGateway records the calls that the uplink makes to a gateway.
type fakeGateway struct {
	mu           sync.Mutex
	revisions    []contract.Revision      // configured, oldest first
	view         []control.TargetState    // last observed
	cordons      int                      // calls of Cordon
	grants       map[string]control.Grant // by organisation: last set
	connectivity control.Connectivity     // last set
	demands      []control.Demand         // returned by Demands
	counters     []usage.Counter          // returned by Usage
}

func (g *fakeGateway) Configure(s *contract.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revisions = append(g.revisions, s.Revision)
}

func (g *fakeGateway) Observe(view []control.TargetState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view = view
}

// Cordon counts the call and returns that one request is still running.
func (g *fakeGateway) Cordon(target.ID, uint64, bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cordons++
	return 1
}

func (g *fakeGateway) SetGrants(grants []control.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, granted := range grants {
		g.grants[granted.Organisation] = granted
	}
}

func (g *fakeGateway) SetConnectivity(c control.Connectivity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connectivity = c
}

func (g *fakeGateway) PoolLoads() []control.PoolLoad { return nil }

func (g *fakeGateway) Demands() []control.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demands
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

func (g *fakeGateway) Explain(id string) []byte { return []byte(`{"id":"` + id + `"}`) }

func (*fakeGateway) CrashEvidence(int, time.Duration) []poison.Evidence { return nil }

func (*fakeGateway) MergeCrashEvidence([]poison.Evidence) {}

// revision returns the last revision that was applied, or 0.
func (g *fakeGateway) revision() contract.Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.revisions) == 0 {
		return 0
	}
	return g.revisions[len(g.revisions)-1]
}
