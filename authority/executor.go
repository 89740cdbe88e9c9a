package authority

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"zinniapin/result"
	"zinniapin/store"
	"zinniapin/target"
)

// Liveness gives proof of ends. It answers true only on proof: a lapsed
// lease, a missed heartbeat or an absence from the list of hosts is none.
type Liveness interface {
	// AuthorEnded reports proof that a process has ended: a new incarnation
	// answers on its address, or the platform says that its host is gone.
	AuthorEnded(author string) bool
	// TargetGone reports the platform's word that the unit's host is gone.
	TargetGone(unit string) bool
}

// Driver sends the orders of one unit and asks what became of them.
type Driver interface {
	// Send sends the order once. Its errors are those of target.Orders; any
	// other error leaves the outcome open. When it returns, no byte of the
	// order that is not yet sent will be sent.
	Send(ctx context.Context, o Order) error
	// Probe asks for the present state. AuthorEnded and TargetGone are filled
	// in by the executor.
	Probe(ctx context.Context, o Order) ProbeResult
}

// Options are the settings of an Executor. Zero values take defaults.
type Options struct {
	// Settle is how long an order may stay on its way to a target after its
	// author's connection is reset or its author has ended. Default 2 minutes.
	MaxTransit time.Duration
	// Patience is how long another author's order to a fenced target is given
	// to end before it is replaced; it should exceed a change. Default 30 s.
	TakeoverDelay time.Duration
	// Poll is the pause between tries. Default 500 ms.
	Poll time.Duration
	// CallTimeout bounds one call. Default 30 s.
	CallTimeout time.Duration
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Log receives events. Default none.
	Log *zerolog.Logger
}

// Defaults of Options.
const (
	defaultSettle      = 2 * time.Minute
	defaultPatience    = 30 * time.Second
	defaultPoll        = 500 * time.Millisecond
	defaultCallTimeout = 30 * time.Second
)

// withDefaults fills the zero values.
func (o Options) withDefaults() Options {
	o.MaxTransit = cmp.Or(o.MaxTransit, defaultSettle)
	o.TakeoverDelay = cmp.Or(o.TakeoverDelay, defaultPatience)
	o.Poll = cmp.Or(o.Poll, defaultPoll)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		none := zerolog.Nop()
		o.Log = &none
	}
	return o
}

// Executor carries out orders as one author. It is safe for concurrent use;
// orders to one unit go one at a time.
type Executor struct {
	objects  store.Store
	author   string
	liveness Liveness
	options  Options
	ctx      context.Context // ends with Close
	stop     context.CancelFunc
	runs     sync.WaitGroup

	mu      sync.Mutex
	busy    map[string]chan struct{} // closed when the run of the unit ends
	started uint64                   // runs so far
	floors  map[string]uint64        // least fencing number by unit
	agents  map[string]Agent         // by unit, between runs
}

// NewExecutor returns the executor of an author, a machine.Process.ID.
func NewExecutor(objects store.Store, author string, liveness Liveness, options Options) *Executor {
	ctx, stop := context.WithCancel(context.Background())
	return &Executor{
		objects:  objects,
		author:   author,
		liveness: liveness,
		options:  options.withDefaults(),
		ctx:      ctx,
		stop:     stop,
		busy:     map[string]chan struct{}{},
		agents:   map[string]Agent{},
		floors:   map[string]uint64{},
	}
}

// Close stops at once and waits for the runs to stop. Orders that are open
// stay open in the object API.
func (x *Executor) Close() {
	x.stop()
	x.runs.Wait()
}

// Drain waits until every order is closed, or the context ends.
func (x *Executor) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		x.runs.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Closed waits until this process has no order to the unit that is not
// closed, or the context ends.
func (x *Executor) WaitClosed(ctx context.Context, unit string) error {
	x.mu.Lock()
	ended := x.busy[unit]
	x.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Do opens, sends, settles and closes an order to a unit. The error is nil
// when the order took effect. When the context ends first, an order that may
// have been sent goes on in the background until it is closed.
func (x *Executor) Do(ctx context.Context, unit string, fenced bool, d Driver, o Order) (Outcome, error) {
	number, ok := x.claim(unit)
	if !ok {
		return Blocked, result.New(result.OrderOpen, "an earlier order of this process to %s is not closed", unit)
	}
	r := &run{
		executor: x,
		unit:     unit,
		driver:   d,
		agent:    x.agent(unit, number, fenced),
		caller:   ctx,
		known:    make(chan Outcome, 1),
	}
	o.Epoch = max(o.Epoch, x.floor(unit))
	x.runs.Go(func() {
		defer x.unclaim(r)
		r.drive(o)
	})
	outcome, known := r.await(ctx)
	if !known {
		err := result.New(result.OrderOutcomeUnknown, "the order to %s goes on in the background", unit)
		err.Execution = result.Unknown
		return "", err
	}
	return outcome, outcomeError(unit, outcome)
}

// claim reserves a unit for one run and numbers the run.
func (x *Executor) claim(unit string) (uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[unit] != nil || x.ctx.Err() != nil {
		return 0, false
	}
	x.busy[unit] = make(chan struct{})
	x.started++
	return x.started, true
}

// agent returns the agent of a unit, with what it learnt in earlier runs.
func (x *Executor) agent(unit string, number uint64, fenced bool) Agent {
	x.mu.Lock()
	defer x.mu.Unlock()
	policy := Policy{Fenced: fenced, MaxTransit: x.options.MaxTransit, TakeoverDelay: x.options.TakeoverDelay}
	agent, known := x.agents[unit]
	if !known {
		return NewAgent(x.author, number, policy)
	}
	agent.number, agent.policy = number, policy
	return agent
}

// unclaim ends the reservation.
func (x *Executor) unclaim(r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.agents[r.unit] = r.agent
	close(x.busy[r.unit])
	delete(x.busy, r.unit)
}

// floor returns the least fencing number that the unit's target may accept.
func (x *Executor) floor(unit string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.floors[unit]
}

// raiseFloor notes a fencing number that the unit's target has seen.
func (x *Executor) raiseFloor(unit string, seen uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.floors[unit] = max(x.floors[unit], seen+1)
}

// outcomeError returns the error of an order that did not take effect.
func outcomeError(unit string, o Outcome) error {
	switch o {
	case Applied:
		return nil
	case Blocked:
		return result.New(result.OrderOpen, "another author's order to %s is open", unit)
	case Unavailable:
		return result.Wrap(store.ErrUnavailable, result.StoreUnavailable, "the order to %s was not opened", unit)
	case NotSent:
		return trace.Wrap(target.ErrNotSent, "order to %s", unit)
	case Refused:
		return trace.Wrap(target.ErrRefused, "order to %s", unit)
	case Stale:
		return result.Wrap(target.ErrStaleFence, result.OrderStale, "order to %s", unit)
	default:
		err := result.New(result.OrderOutcomeUnknown, "the order to %s ended as %s", unit, o)
		err.Execution = result.Unknown
		return err
	}
}

// readRecord reads the record of a unit; one that does not exist is empty.
func readRecord(ctx context.Context, objects store.Store, unit string) (Snapshot, error) {
	object, err := objects.Get(ctx, store.PurposeOrder, Prefix+unit)
	if errors.Is(err, store.ErrNotFound) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, trace.Wrap(err)
	}
	record, err := decodeRecord(object.Value)
	return Snapshot{Version: object.Version, Record: record}, err
}
