package planning

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/authority"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/internal/standin/objects"
	"zinniapin/placement"
	"zinniapin/provider"
	"zinniapin/result"
	"zinniapin/spending"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/zone"
)

// engineID is the engine that the tests change.
const engineID = target.ID("engine")

// fakeFleet is a Fleet with one engine. Tests set what the gateways report and what can
// be reached.
type fakeFleet struct {
	mu                sync.Mutex
	state             control.TargetState
	runningAtGateways int      // requests on the engine, as the gateways report them
	silentGateways    []string // gateways that do not answer CordonEverywhere
	cordonCalls       int      // accepted calls of CordonEverywhere, lifts included
	storeDown         bool     // the controller does not reach the object API
	gatewaysDown      bool     // the controller does not reach all gateways
}

// newFakeFleet returns a fleet with one live engine.
func newFakeFleet() *fakeFleet {
	return &fakeFleet{state: control.TargetState{
		State:  provider.Live,
		Target: target.Target{ID: engineID, Kind: target.Engine, Pool: "pool", Zone: "zone", Class: target.Reclaimable},
	}}
}

func (f *fakeFleet) Snapshot() *contract.Snapshot {
	return contract.NewSnapshot(1, contract.Fleet{
		Zones: []zone.Zone{{Name: "zone", Region: "region"}},
		Pools: []contract.Pool{{Name: "pool"}},
	}, nil)
}

func (f *fakeFleet) Targets() []control.TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []control.TargetState{f.state}
}

func (f *fakeFleet) Loads(string) []control.PoolLoad { return nil }
func (f *fakeFleet) Owns(string) bool                { return true }
func (f *fakeFleet) StoreReachable() bool            { return !f.storeDown }
func (f *fakeFleet) AllGatewaysReachable() bool      { return !f.gatewaysDown }

func (f *fakeFleet) CordonEverywhere(ctx context.Context, _ target.ID, epoch uint64, lift bool) (int, []string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.state.CordonEpoch {
		return 0, nil, errors.New("stale epoch")
	}
	f.state.CordonEpoch = epoch
	f.state.Cordoned = !lift
	f.cordonCalls++
	return f.runningAtGateways, f.silentGateways, ctx.Err()
}

// update changes the fleet under its lock.
func (f *fakeFleet) update(change func(*fakeFleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// cordoned tells whether the engine is cordoned at the gateways.
func (f *fakeFleet) cordoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Cordoned
}

// fakeOrders is the engine's order interface: it receives orders and answers reports.
type fakeOrders struct {
	fleet *fakeFleet

	mu     sync.Mutex
	busy   int // number of requests that the engine reports
	sent   []target.Order
	onSend func()      // called for each order before it is handled
	err    error       // error of every order
	role   target.Role // role that the last successful order set
	last   string      // ID of the last successful order
}

func (o *fakeOrders) Send(_ context.Context, _ target.Target, order target.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.onSend != nil {
		o.onSend()
	}
	o.sent = append(o.sent, order)
	if o.err != nil {
		return o.err
	}
	o.role = order.Role
	o.last = order.ID
	return nil
}

func (o *fakeOrders) Report(context.Context, target.Target) (target.Report, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return target.Report{Target: engineID, Boot: 1, Role: o.role, Running: o.busy, LastOrder: o.last}, nil
}

// count returns the number of orders received.
func (o *fakeOrders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.sent)
}

// fakeTargets is the platform's interface for ordering targets.
type fakeTargets struct {
	mu     sync.Mutex
	orders []provider.TargetOrder
	refuse bool  // accept no order
	err    error // error of every order
}

func (p *fakeTargets) Order(_ context.Context, o provider.TargetOrder) (provider.TargetOrderResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, o)
	if p.refuse || p.err != nil {
		return provider.TargetOrderResult{}, p.err
	}
	return provider.TargetOrderResult{Accepted: max(o.Count, 1)}, nil
}

// received returns the orders received so far.
func (p *fakeTargets) received() []provider.TargetOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.orders)
}

func (p *fakeTargets) Lookup(context.Context, string) (provider.TargetOrderResult, bool, error) {
	return provider.TargetOrderResult{}, false, nil
}

// allAlive is a liveness check by which no author and no target has ended.
type allAlive struct{}

func (allAlive) AuthorEnded(string) bool { return false }
func (allAlive) TargetGone(string) bool  { return false }

// testPlanning is a Planning with fakes for all that it depends on.
type testPlanning struct {
	*Planning
	fleet   *fakeFleet
	orders  *fakeOrders
	targets *fakeTargets
	store   *objects.Store
}

// runTest runs a test in virtual time.
func runTest(t *testing.T, test func(t *testing.T, r *testPlanning)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		r := &testPlanning{fleet: f, orders: &fakeOrders{fleet: f}, targets: &fakeTargets{}, store: objects.New()}
		x := authority.NewExecutor(r.store, "self", allAlive{}, authority.Options{})
		defer x.Close()
		r.Planning = New(f, x, r.orders, r.targets, Options{})
		test(t, r)
	})
}

// roleStep is the change of role that the tests make.
var roleStep = placement.Step{Pool: "pool", Zone: "zone", Target: engineID, Kind: target.OrderRole, Role: target.Prefill}

// TestChangeWaitsUntilNothingRuns checks that the engine is sent the order only once every
// gateway has answered with no request left and the engine reports none.
func TestChangeWaitsUntilNothingRuns(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.fleet.runningAtGateways, r.fleet.silentGateways, r.orders.busy = 2, []string{"gateway"}, 2
		r.orders.onSend = func() {
			is.True(r.fleet.cordoned())
			is.Equal(r.fleet.runningAtGateways, 0)
			is.Equal(len(r.fleet.silentGateways), 0)
			is.Equal(r.orders.busy, 0)
		}
		r.startChange(t.Context(), roleStep)
		time.Sleep(5 * time.Second)
		is.Equal(r.orders.count(), 0)
		r.fleet.update(func(f *fakeFleet) { f.runningAtGateways = 0 })
		time.Sleep(5 * time.Second)
		is.Equal(r.orders.count(), 0) // a gateway has not answered
		r.fleet.update(func(f *fakeFleet) { f.silentGateways = nil })
		time.Sleep(5 * time.Second)
		is.Equal(r.orders.count(), 0) // the engine reports requests
		r.orders.mu.Lock()
		r.orders.busy = 0
		r.orders.mu.Unlock()
		r.tasks.Wait()
		is.Equal(r.orders.count(), 1)
		is.Equal(r.orders.role, target.Prefill)
		is.True(!r.fleet.cordoned())
	})
}

// TestChangeIsGivenUpWhenTheDrainTakesTooLong checks that if the drain times out, no order
// is sent and the cordon is lifted.
func TestChangeIsGivenUpWhenTheDrainTakesTooLong(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.fleet.runningAtGateways = 1
		r.startChange(t.Context(), roleStep)
		r.tasks.Wait()
		is.Equal(r.orders.count(), 0)
		is.True(!r.fleet.cordoned())
	})
}

// TestUnansweredOrderKeepsTheCordon checks that an engine stays cordoned while an order to
// it may still take effect.
func TestUnansweredOrderKeepsTheCordon(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.orders.err = target.ErrIncomplete
		r.startChange(t.Context(), roleStep)
		time.Sleep(60 * time.Second)
		is.Equal(r.orders.count(), 1)
		is.True(r.fleet.cordoned())
		r.tasks.Wait()
		open, err := r.executor.List(t.Context())
		is.NoErr(err)
		is.Equal(len(open), 0)
		is.True(!r.fleet.cordoned()) // lifted once the order is closed
	})
}

// TestGatewayThatJoinsDuringTheDrainIsWaitedFor checks that a change also waits for a
// gateway with a request on the engine that joins after all others have acknowledged the
// cordon.
func TestGatewayThatJoinsDuringTheDrainIsWaitedFor(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.startChange(t.Context(), roleStep)
		time.Sleep(r.options.PollInterval)
		r.fleet.update(func(f *fakeFleet) { f.runningAtGateways = 1 }) // not yet in the engine's reports, which lag
		time.Sleep(20 * time.Second)
		is.Equal(r.orders.count(), 0)
		r.fleet.update(func(f *fakeFleet) { f.runningAtGateways = 0 })
		r.tasks.Wait()
		is.Equal(r.orders.count(), 1)
	})
}

// TestSecondTaskOnATargetIsRefused checks that only one change of an engine runs at a time.
func TestSecondTaskOnATargetIsRefused(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.startChange(t.Context(), roleStep)
		r.startChange(t.Context(), roleStep)
		r.tasks.Wait()
		is.Equal(r.orders.count(), 1)
	})
}

// TestOrphanCordonIsLifted checks that a cordon whose author has died is lifted, but not
// while an order is open and not before OrphanCordonAge.
func TestOrphanCordonIsLifted(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.fleet.state.Cordoned, r.fleet.state.CordonEpoch = true, 7
		pools := r.fleet.Snapshot().Fleet.Pools
		begun := time.Now()
		countOrphans := func() int { return len(r.findOrphanCordons(time.Now(), pools, r.fleet.Targets())) }
		is.Equal(countOrphans(), 0)
		time.Sleep(r.options.OrphanCordonAge - time.Second)
		is.Equal(countOrphans(), 0)
		r.openOrders = map[target.ID]target.Order{engineID: {ID: "order"}}
		time.Sleep(2 * time.Second)
		is.Equal(countOrphans(), 0) // an order is open
		r.openOrders = nil
		is.Equal(countOrphans(), 0) // its age counts from here
		time.Sleep(r.options.OrphanCordonAge)
		is.Equal(countOrphans(), 1)
		is.True(time.Since(begun) > r.options.OrphanCordonAge)
	})
}

// TestReleaseDrainsFirst checks that a target is released only once no request runs there.
func TestReleaseDrainsFirst(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.fleet.runningAtGateways = 1
		r.startOrder(t.Context(), spending.Step{Pool: "pool", Zone: "zone", Class: target.Reclaimable, Release: engineID})
		time.Sleep(10 * time.Second)
		is.Equal(len(r.targets.received()), 0)
		r.fleet.update(func(f *fakeFleet) { f.runningAtGateways = 0 })
		r.tasks.Wait()
		is.Equal(len(r.targets.received()), 1)
		is.Equal(r.targets.received()[0].Release, engineID)
	})
}

// TestPurchaseIsAnswered checks that of two purchases in one zone at a time, one is
// ordered, with an ID and a fence, and the planner gets the platform's answer.
func TestPurchaseIsAnswered(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		r.tick(t.Context(), time.Now())
		r.startOrder(t.Context(), spending.Step{Pool: "pool", Zone: "zone", Class: target.Reclaimable, Count: 1})
		r.startOrder(t.Context(), spending.Step{Pool: "pool", Zone: "zone", Class: target.Reclaimable, Count: 1})
		r.tasks.Wait()
		is.Equal(len(r.targets.received()), 1) // one order per zone at a time
		is.True(r.targets.received()[0].ID != "" && r.targets.received()[0].Fence > 0)
	})
}

// TestForeignOpenOrderKeepsTheCordon checks that a change is refused because of another
// author's open order and that the engine stays cordoned, since that order may still take
// effect.
func TestForeignOpenOrderKeepsTheCordon(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		other := authority.NewExecutor(r.store, "other", allAlive{}, authority.Options{})
		defer other.Close()
		silent := &fakeOrders{fleet: r.fleet, err: target.ErrIncomplete}
		bounded, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _ = other.OrderEngine(bounded, silent, r.fleet.state.Target, authority.Change{Kind: target.OrderRole, Role: target.Decode})
		r.options.ChangeTimeout = 30 * time.Second // shorter than it takes to close the other order
		err := r.runChange(t.Context(), roleStep)
		is.Equal(result.CodeOf(err), result.OrderOpen)
		is.Equal(r.orders.count(), 0)
		is.True(r.fleet.cordoned())
	})
}

// TestPlanningGoesOnWithoutTheOpenOrders checks that planning continues while the object
// API does not answer the listing of open orders.
func TestPlanningGoesOnWithoutTheOpenOrders(t *testing.T) {
	runTest(t, func(t *testing.T, r *testPlanning) {
		is := is.New(t)
		x := authority.NewExecutor(hangingList{r.store}, "self", allAlive{}, authority.Options{})
		defer x.Close()
		r.executor = x
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(ended)
		}()
		time.Sleep(5 * time.Second)
		is.Equal(len(r.Status().Pools), 1) // planned without the open orders
		cancel()
		<-ended
	})
}

// hangingList is a store whose List answers only when its caller gives up.
type hangingList struct {
	*objects.Store
}

// List implements store.Store.
func (hangingList) List(ctx context.Context, _ store.Purpose, _ string) ([]store.Object, error) {
	<-ctx.Done()
	return nil, store.ErrUnavailable
}
