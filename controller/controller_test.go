package controller

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/internal/standin/objects"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/uplink"
	"zinniapin/usage"
	"zinniapin/zone"
)

// testLog returns a logger that writes events to standard error if
// ZINNIA_TEST_LOG is set, and otherwise drops them.
func testLog() *zerolog.Logger {
	l := zerolog.Nop()
	if os.Getenv("ZINNIA_TEST_LOG") != "" {
		l = zerolog.New(os.Stderr)
	}
	return &l
}

// fleet is a fleet of controllers and gateways on simulated hosts, in virtual
// time. Its slices, except zones, are indexed by host.
type fleet struct {
	t        *testing.T
	zones    []zone.Zone
	ctx      context.Context
	fabric   *memlink.Fabric
	objects  *objects.Store
	stores   []*faultyStore
	hosts    *fakeHosts
	reports  provider.Usage       // of controllers started from now on
	running  []*Controller        // the current controllers
	stops    []context.CancelFunc // of the controllers
	gateways []*fakeGateway
	uplinks  []*uplink.Uplink // of the gateways
	loops    sync.WaitGroup
}

// newFleet starts n hosts in the default zones, each with a controller and a
// gateway.
func newFleet(t *testing.T, n int) *fleet {
	return newFleetIn(t, n, zones)
}

// newFleetIn starts n hosts spread over zones, each with a controller and a
// gateway.
func newFleetIn(t *testing.T, n int, zones []zone.Zone) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, zones: zones, ctx: ctx, fabric: memlink.NewFabric(), objects: objects.New(), hosts: &fakeHosts{}}
	f.fabric.SetDelay(500 * time.Microsecond)
	f.running = make([]*Controller, n)
	f.stops = make([]context.CancelFunc, n)
	for i := range n {
		f.stores = append(f.stores, &faultyStore{Store: f.objects})
		f.startController(i, uint64(i+1))
		f.startGateway(i, n)
	}
	t.Cleanup(func() { cancel(); f.loops.Wait() })
	return f
}

// hostOf returns the id of a host.
func hostOf(i int) machine.HostID { return machine.HostID(fmt.Sprintf("host-%d", i)) }

// addressOf returns the address of a controller.
func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }

// startController starts the controller of a host. An earlier one is replaced, and
// must have been stopped.
func (f *fleet) startController(i int, incarnation uint64) {
	self := machine.Process{Host: hostOf(i), Role: machine.Controller, Incarnation: incarnation, Zone: f.zones[i%len(f.zones)], Address: addressOf(i)}
	k := New(Config{
		Self: self, Seeds: []string{addressOf(0), addressOf(1), addressOf(2)}, Network: f.fabric.Network(self),
		Store: f.stores[i], Hosts: f.hosts, Orders: &fakeOrders{}, Reports: f.reports, Seed: 1, Log: testLog(),
	})
	ctx, stop := context.WithCancel(f.ctx)
	f.running[i], f.stops[i] = k, stop
	f.loops.Go(func() { _ = k.Run(ctx) })
}

// startGateway starts the gateway of a host.
func (f *fleet) startGateway(i, n int) {
	self := machine.Process{Host: hostOf(i), Role: machine.Gateway, Incarnation: uint64(1000 + i), Zone: f.zones[i%len(f.zones)]}
	u := uplink.New(uplink.Config{Self: self, LocalController: addressOf(i), Seeds: []string{addressOf((i + 1) % n)}, Network: f.fabric.Network(self), Log: testLog()})
	g := &fakeGateway{grants: map[string]control.Grant{}}
	f.gateways = append(f.gateways, g)
	f.uplinks = append(f.uplinks, u)
	f.loops.Go(func() { _ = u.Run(f.ctx, g) })
}

// accept writes a configuration, with one contract of rate requests a second, as
// the successor of a revision, and returns the new revision.
func (f *fleet) accept(base contract.Revision, rate float64) contract.Revision {
	p := configuration.Proposal{ID: fmt.Sprint("change-", base), Base: base,
		Fleet: &contract.Fleet{Zones: f.zones},
		Contracts: []*contract.Contract{{Organisation: "svetki", Keys: []contract.Key{{Fingerprint: contract.Fingerprint("k")}},
			Limits: contract.Limits{RequestsPerSecond: rate, Concurrency: 16}}}}
	r, err := configuration.Accept(f.ctx, f.objects, p, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// inForce reports whether a revision or a newer one is in force at the given
// gateways.
func (f *fleet) inForce(r contract.Revision, gateways ...int) bool {
	for _, i := range gateways {
		if f.gateways[i].revision() < r {
			return false
		}
	}
	return true
}

// controllersOfGateway returns the addresses of the controllers that the gateway
// of a host is linked to, according to one controller.
func (f *fleet) controllersOfGateway(controller int, host machine.HostID) []string {
	for _, m := range f.running[controller].Members() {
		if m.Process.Role == machine.Gateway && m.Process.Host == host {
			return m.Via
		}
	}
	return nil
}

// within waits in virtual time until a condition holds, and fails the test when it
// does not within d.
func (f *fleet) within(d time.Duration, what string, condition func() bool) {
	f.t.Helper()
	begun := time.Now()
	for !condition() {
		if time.Since(begun) > d {
			f.t.Fatalf("%s: not within %v", what, d)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Logf("%s after %v", what, time.Since(begun))
}

// checkRevisionsRise fails the test if a gateway applied the same or an older
// revision after another.
func (f *fleet) checkRevisionsRise() {
	f.t.Helper()
	for i, g := range f.gateways {
		g.mu.Lock()
		for j := 1; j < len(g.revisions); j++ {
			if g.revisions[j] <= g.revisions[j-1] {
				f.t.Errorf("gateway %d went from revision %d to %d", i, g.revisions[j-1], g.revisions[j])
			}
		}
		g.mu.Unlock()
	}
}

// all7 are the hosts of a fleet of seven.
var all7 = []int{0, 1, 2, 3, 4, 5, 6}

// TestConfigurationReachesEveryGateway checks that new revisions reach every
// gateway when only one host reaches the store and during a partition, and that a
// controller restarted while the store is down takes the revision of its peers.
func TestConfigurationReachesEveryGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7)
		r1 := f.accept(0, 10)
		f.within(14*time.Second, "first revision everywhere", func() bool { return f.inForce(r1, all7...) })

		for i := range 6 {
			f.stores[i].setDown(true) // only host 6 reaches the store
		}
		f.stores[6].setDown(false)
		r2 := f.accept(r1, 20)
		// The one controller that reaches the store must be selected as a watcher.
		f.within(14*time.Second, "revision with the store down for six of seven", func() bool { return f.inForce(r2, all7...) })
		for i := range 6 {
			f.stores[i].setDown(false)
		}

		for i := range 3 {
			for j := 3; j < 7; j++ {
				f.fabric.SetCut(hostOf(i), hostOf(j), true)
			}
		}
		r3 := f.accept(r2, 30)
		f.within(30*time.Second, "revision on both sides of a split", func() bool { return f.inForce(r3, all7...) })
		for i := range 3 {
			for j := 3; j < 7; j++ {
				f.fabric.SetCut(hostOf(i), hostOf(j), false)
			}
		}

		f.stops[2]()
		for _, s := range f.stores {
			s.setDown(true)
		}
		time.Sleep(time.Second)
		f.startController(2, 99)
		is.True(f.running[2].Ready() != nil) // a controller without a configuration is not ready
		f.within(20*time.Second, "a restarted controller with the peers' revision", func() bool {
			return f.running[2].Ready() == nil && f.running[2].replica.Revision() == r3
		})
		f.checkRevisionsRise()
	})
}

// TestTargetsAndCordons checks that the list of targets, their reports and a
// cordon reach every gateway, that a cordon names the gateways that do not answer,
// and that a cordon with a lower epoch is refused.
func TestTargetsAndCordons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7)
		r := f.accept(0, 10)
		f.hosts.mu.Lock()
		for i := range 5 {
			id := target.ID(fmt.Sprint("engine-", i))
			f.hosts.list = append(f.hosts.list, provider.Host{ID: string(id), State: provider.Live, Zone: zones[i%4].Name,
				Target: &target.Target{ID: id, Kind: target.Engine, Zone: zones[i%4].Name, Pool: "assistant"}})
		}
		f.hosts.mu.Unlock()
		f.within(14*time.Second, "configured", func() bool { return f.inForce(r, all7...) })
		f.within(10*time.Second, "reports at every gateway", func() bool {
			for _, g := range f.gateways {
				g.mu.Lock()
				complete := len(g.view) == 5 && g.view[4].Report.Sequence > 0
				g.mu.Unlock()
				if !complete {
					return false
				}
			}
			return true
		})
		f.within(10*time.Second, "every gateway is known", func() bool { return len(f.running[3].regionGateways()) == 7 })
		running, missing, err := f.running[3].CordonEverywhere(f.ctx, "engine-1", 5, false)
		is.NoErr(err)
		is.Equal(running, 7) // one request at each gateway
		is.Equal(len(missing), 0)
		f.within(10*time.Second, "cordon in every view", func() bool {
			for _, g := range f.gateways {
				g.mu.Lock()
				cordoned := g.view[1].Cordoned
				g.mu.Unlock()
				if !cordoned {
					return false
				}
			}
			return true
		})
		for i := range 6 {
			f.fabric.SetCut(hostOf(i), hostOf(6), true)
		}
		_, missing, err = f.running[3].CordonEverywhere(f.ctx, "engine-2", 6, false)
		is.NoErr(err)
		is.Equal(missing, []string{"host-6/gateway/00000000000003ee"}) // the id ends with the incarnation, 1006, in hexadecimal
		_, _, err = f.running[3].CordonEverywhere(f.ctx, "engine-1", 4, false)
		is.True(err != nil) // a lower epoch is refused
	})
}

// TestGrantsAndUsage checks the grants of two gateways before and after one of them
// loses the controller of its host, and the flush of usage. Grants and guaranteed
// shares together must stay within the limit.
func TestGrantsAndUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7)
		r := f.accept(0, 100)
		f.within(14*time.Second, "configured", func() bool { return f.inForce(r, all7...) })
		for _, i := range []int{0, 1} {
			f.gateways[i].mu.Lock()
			f.gateways[i].demands = []control.Demand{{Organisation: "svetki", RequestsPerSecond: 50, Concurrency: 8}}
			f.gateways[i].mu.Unlock()
		}
		guaranteed := grant.GuaranteedShare(contract.Limits{RequestsPerSecond: 100}, 7).RequestsPerSecond
		sum := func() (rate float64) {
			for _, g := range f.gateways[:2] {
				g.mu.Lock()
				if held := g.grants["svetki"]; time.Now().Before(held.Expires) {
					rate += held.RequestsPerSecond
				}
				g.mu.Unlock()
			}
			return rate
		}
		f.within(20*time.Second, "grants", func() bool { return sum() > 70 })
		is.True(sum()+5*guaranteed <= 100.0001) // five gateways hold no grant
		f.stops[0]()
		f.within(10*time.Second, "two other controllers serve the gateway", func() bool {
			via := f.controllersOfGateway(1, hostOf(0))
			return len(via) == 2 && !slices.Contains(via, addressOf(0))
		})
		f.within(10*time.Second, "grants again", func() bool { return sum() > 70 })
		is.True(sum()+5*guaranteed <= 100.0001) // five gateways hold no grant
		f.gateways[0].mu.Lock()
		f.gateways[0].counters = []usage.Counter{{Gateway: "host-0/gateway/00000000000003e8", Organisation: "svetki", Window: time.Unix(0, 0)}}
		f.gateways[0].mu.Unlock()
		ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
		defer cancel()
		is.NoErr(f.uplinks[0].Flush(ctx, f.gateways[0]))
	})
}
