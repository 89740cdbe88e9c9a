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

// engineID is the engine that these tests change.
const engineID = target.ID("engine")

// fakeFleet is a fleet with one engine. The gateways count running requests
// until they are done.
type fakeFleet struct {
	mu       sync.Mutex
	state    control.TargetState
	running  int
	missing  []string
	cordons  int
	storeOff bool
	unheard  bool
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
func (f *fakeFleet) StoreReachable() bool            { return !f.storeOff }
func (f *fakeFleet) AllGatewaysReachable() bool      { return !f.unheard }

func (f *fakeFleet) CordonEverywhere(ctx context.Context, _ target.ID, epoch uint64, lift bool) (int, []string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.state.CordonEpoch {
		return 0, nil, errors.New("stale epoch")
	}
	f.state.CordonEpoch = epoch
	f.state.Cordoned = !lift
	f.cordons++
	return f.running, f.missing, ctx.Err()
}

// set changes the fleet.
func (f *fakeFleet) set(change func(*fakeFleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// cordoned tells whether the engine is cordoned.
func (f *fakeFleet) cordoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Cordoned
}

// fakeOrders is the engine's side: it takes orders and reports.
type fakeOrders struct {
	fleet *fakeFleet

	mu     sync.Mutex
	busy   int // requests that the engine reports
	sent   []target.Order
	onSend func()
	err    error
	role   target.Role
	last   string
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

// fakeTargets is the platform's target interface.
type fakeTargets struct {
	mu     sync.Mutex
	orders []provider.TargetOrder
	refuse bool  // accept nothing
	err    error // of every order
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

// alive is a liveness that proves no end.
type alive struct{}

func (alive) AuthorEnded(string) bool { return false }
func (alive) TargetGone(string) bool  { return false }

// rig is planning over fakes.
type rig struct {
	*Planning
	fleet   *fakeFleet
	orders  *fakeOrders
	targets *fakeTargets
	store   *objects.Store
}

// run runs a test in virtual time.
func run(t *testing.T, test func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		r := &rig{fleet: f, orders: &fakeOrders{fleet: f}, targets: &fakeTargets{}, store: objects.New()}
		x := authority.NewExecutor(r.store, "self", alive{}, authority.Options{})
		defer x.Close()
		r.Planning = New(f, x, r.orders, r.targets, Options{})
		test(t, r)
	})
}

// step is the change of role that these tests make.
var step = placement.Step{Pool: "pool", Zone: "zone", Target: engineID, Kind: target.OrderRole, Role: target.Prefill}

// TestChangeWaitsUntilNothingRuns orders the engine only once every gateway
// has answered with no request left and the engine reports none.
func TestChangeWaitsUntilNothingRuns(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.fleet.running, r.fleet.missing, r.orders.busy = 2, []string{"gateway"}, 2
		r.orders.onSend = func() {
			is.True(r.fleet.cordoned())
			is.Equal(r.fleet.running, 0)
			is.Equal(len(r.fleet.missing), 0)
			is.Equal(r.orders.busy, 0)
		}
		r.start(t.Context(), step)
		time.Sleep(5 * time.Second)
		is.Equal(r.orders.count(), 0)
		r.fleet.set(func(f *fakeFleet) { f.running = 0 })
		time.Sleep(5 * time.Second)
		is.Equal(r.orders.count(), 0) // a gateway is missing
		r.fleet.set(func(f *fakeFleet) { f.missing = nil })
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

// TestChangeIsGivenUpWhenTheDrainTakesTooLong gives the engine back unordered.
func TestChangeIsGivenUpWhenTheDrainTakesTooLong(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.fleet.running = 1
		r.start(t.Context(), step)
		r.tasks.Wait()
		is.Equal(r.orders.count(), 0)
		is.True(!r.fleet.cordoned())
	})
}

// TestUnansweredOrderKeepsTheCordon keeps work off an engine while an order
// may yet take effect there.
func TestUnansweredOrderKeepsTheCordon(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.orders.err = target.ErrBroken
		r.start(t.Context(), step)
		time.Sleep(60 * time.Second)
		is.Equal(r.orders.count(), 1)
		is.True(r.fleet.cordoned())
		r.tasks.Wait()
		open, err := r.executor.List(t.Context())
		is.NoErr(err)
		is.Equal(len(open), 0)
		is.True(!r.fleet.cordoned()) // only once the order is closed
	})
}

// TestGatewayThatJoinsDuringTheDrainIsWaitedFor lets a gateway appear, with a
// request on the engine, after all others have acknowledged.
func TestGatewayThatJoinsDuringTheDrainIsWaitedFor(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.start(t.Context(), step)
		time.Sleep(r.options.PollInterval)
		r.fleet.set(func(f *fakeFleet) { f.running = 1 }) // unseen by the engine's lagging reports
		time.Sleep(20 * time.Second)
		is.Equal(r.orders.count(), 0)
		r.fleet.set(func(f *fakeFleet) { f.running = 0 })
		r.tasks.Wait()
		is.Equal(r.orders.count(), 1)
	})
}

// TestSecondTaskOnATargetIsRefused runs one change of an engine at a time.
func TestSecondTaskOnATargetIsRefused(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.start(t.Context(), step)
		r.start(t.Context(), step)
		r.tasks.Wait()
		is.Equal(r.orders.count(), 1)
	})
}

// TestOrphanCordonIsLifted lifts a cordon whose author died, but not while an
// order is open or before its time.
func TestOrphanCordonIsLifted(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.fleet.state.Cordoned, r.fleet.state.CordonEpoch = true, 7
		pools := r.fleet.Snapshot().Fleet.Pools
		begun := time.Now()
		look := func() int { return len(r.findOrphans(time.Now(), pools, r.fleet.Targets())) }
		is.Equal(look(), 0)
		time.Sleep(r.options.OrphanCordonAge - time.Second)
		is.Equal(look(), 0)
		r.open = map[target.ID]target.Order{engineID: {ID: "order"}}
		time.Sleep(2 * time.Second)
		is.Equal(look(), 0) // an order is open
		r.open = nil
		is.Equal(look(), 0) // seen anew
		time.Sleep(r.options.OrphanCordonAge)
		is.Equal(look(), 1)
		is.True(time.Since(begun) > r.options.OrphanCordonAge)
	})
}

// TestReleaseDrainsFirst gives a target back only once nothing runs there.
func TestReleaseDrainsFirst(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.fleet.running = 1
		r.buy(t.Context(), spending.Step{Pool: "pool", Zone: "zone", Class: target.Reclaimable, Release: engineID})
		time.Sleep(10 * time.Second)
		is.Equal(len(r.targets.received()), 0)
		r.fleet.set(func(f *fakeFleet) { f.running = 0 })
		r.tasks.Wait()
		is.Equal(len(r.targets.received()), 1)
		is.Equal(r.targets.received()[0].Release, engineID)
	})
}

// TestPurchaseIsAnswered hands the platform's answer to the planner.
func TestPurchaseIsAnswered(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		r.tick(t.Context(), time.Now())
		r.buy(t.Context(), spending.Step{Pool: "pool", Zone: "zone", Class: target.Reclaimable, Count: 1})
		r.buy(t.Context(), spending.Step{Pool: "pool", Zone: "zone", Class: target.Reclaimable, Count: 1})
		r.tasks.Wait()
		is.Equal(len(r.targets.received()), 1) // one order a zone at a time
		is.True(r.targets.received()[0].ID != "" && r.targets.received()[0].Fence > 0)
	})
}

// TestForeignOpenOrderKeepsTheCordon is refused by another author's open
// order, which may yet take effect: the engine stays cordoned.
func TestForeignOpenOrderKeepsTheCordon(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		other := authority.NewExecutor(r.store, "other", alive{}, authority.Options{})
		defer other.Close()
		silent := &fakeOrders{fleet: r.fleet, err: target.ErrBroken}
		held, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _ = other.OrderEngine(held, silent, r.fleet.state.Target, authority.Change{Kind: target.OrderRole, Role: target.Decode})
		r.options.ChangeTimeout = 30 * time.Second // less than the other's order takes to settle
		err := r.change(t.Context(), step)
		is.Equal(result.CodeOf(err), result.OrderOpen)
		is.Equal(r.orders.count(), 0)
		is.True(r.fleet.cordoned())
	})
}

// TestPlanningGoesOnWithoutTheOpenOrders plans while the object API leaves the
// list of open orders unanswered.
func TestPlanningGoesOnWithoutTheOpenOrders(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		is := is.New(t)
		x := authority.NewExecutor(hangingList{r.store}, "self", alive{}, authority.Options{})
		defer x.Close()
		r.executor = x
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(ended)
		}()
		time.Sleep(5 * time.Second)
		is.Equal(len(r.Status().Pools), 1) // planned all the same
		cancel()
		<-ended
	})
}

// hangingList leaves lists unanswered until their caller gives up.
type hangingList struct {
	*objects.Store
}

// List implements store.Store.
func (hangingList) List(ctx context.Context, _ store.Purpose, _ string) ([]store.Object, error) {
	<-ctx.Done()
	return nil, store.ErrUnavailable
}
