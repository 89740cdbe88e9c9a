package authority

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/store"
	"zinniapin/target"
)

// Liveness tells whether authors and targets are proven to have ended. A lapsed
// lease, a missed heartbeat or absence from the list of hosts is not proof.
type Liveness interface {
	// AuthorEnded reports proof that a process has ended: a new incarnation
	// answers on its address, or the platform reports that its host is gone.
	AuthorEnded(author string) bool
	// TargetGone reports whether the platform states that the unit's host is gone.
	TargetGone(unit string) bool
}

// Driver sends orders to the target of one unit and probes what became of them.
type Driver interface {
	// Send sends the order once. Its errors are those of target.Orders; any other
	// error means that the outcome is unknown. After it returns, no further byte
	// of the order is sent.
	Send(ctx context.Context, o Order) error
	// Probe asks the target whether the order took effect. The executor sets
	// AuthorEnded and TargetGone in the result.
	Probe(ctx context.Context, o Order) ProbeResult
}

// Options are the settings of an Executor. Zero values take defaults.
type Options struct {
	// MaxTransit is how long an order may still be in transit to a target after
	// its author's connection was reset or its author ended. Default 2 minutes.
	MaxTransit time.Duration
	// TakeoverDelay is how long to wait for another author's order to a fenced
	// target to end before it is replaced. It should exceed the time that a
	// target needs for a change. Default 30 s.
	TakeoverDelay time.Duration
	// Poll is the pause between attempts to read, update or probe. Default 500 ms.
	Poll time.Duration
	// CallTimeout is the timeout of one call to the object API or a target. Default
	// 30 s.
	CallTimeout time.Duration
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Log receives events. Default none.
	Log *zerolog.Logger
}

// Defaults of Options.
const (
	defaultMaxTransit    = 2 * time.Minute
	defaultTakeoverDelay = 30 * time.Second
	defaultPoll          = 500 * time.Millisecond
	defaultCallTimeout   = 30 * time.Second
)

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.MaxTransit = cmp.Or(o.MaxTransit, defaultMaxTransit)
	o.TakeoverDelay = cmp.Or(o.TakeoverDelay, defaultTakeoverDelay)
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

// Executor carries out the orders of one author, at most one at a time per unit.
// It is safe for concurrent use.
type Executor struct {
	objects  store.Store
	author   string
	liveness Liveness
	options  Options
	ctx      context.Context // canceled by Close
	stop     context.CancelFunc
	runs     sync.WaitGroup

	mu          sync.Mutex
	busy        map[string]chan struct{} // by unit; closed when its run ends
	runsStarted uint64                   // number of runs started so far
	minFences   map[string]uint64        // lowest usable fencing number, by unit
	agents      map[string]Agent         // by unit; kept between runs
	logged      map[string]string        // by unit: the other author's open order that was logged last
}

// NewExecutor returns an executor of the given author, a machine.Process.ID.
func NewExecutor(objects store.Store, author string, liveness Liveness, options Options) *Executor {
	ctx, stop := context.WithCancel(context.Background())
	return &Executor{
		objects:   objects,
		author:    author,
		liveness:  liveness,
		options:   options.withDefaults(),
		ctx:       ctx,
		stop:      stop,
		busy:      map[string]chan struct{}{},
		agents:    map[string]Agent{},
		logged:    map[string]string{},
		minFences: map[string]uint64{},
	}
}

// Close cancels all runs and waits until they have stopped. Their open orders stay
// open in the object API.
func (x *Executor) Close() {
	x.stop()
	x.runs.Wait()
}

// Drain waits until every order in progress is closed. It returns the context's
// error if the context ends first.
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

// WaitClosed waits until this executor has no order to the unit in progress. It
// returns the context's error if the context ends first.
func (x *Executor) WaitClosed(ctx context.Context, unit string) error {
	x.mu.Lock()
	done := x.busy[unit]
	x.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Do opens an order to a unit, sends it, finds out its outcome and closes it. The
// error is nil when the order took effect. If the context ends first, an order
// that may have been sent is carried on in the background until it is closed.
func (x *Executor) Do(ctx context.Context, unit string, fenced bool, d Driver, o Order) (Outcome, error) {
	return x.do(ctx, unit, fenced, d, o, false)
}

// Try is Do without its waits. It gives up with Blocked as soon as another author's
// order is found open, and leaves an order that was sent without an answer to the
// background at once. What was observed of the other author's order is kept, so that
// repeated calls replace it like one call of Do.
func (x *Executor) Try(ctx context.Context, unit string, fenced bool, d Driver, o Order) (Outcome, error) {
	return x.do(ctx, unit, fenced, d, o, true)
}

// do is Do, or Try if impatient is set.
func (x *Executor) do(ctx context.Context, unit string, fenced bool, d Driver, o Order, impatient bool) (Outcome, error) {
	runNumber, ok := x.reserve(unit)
	if !ok {
		return Blocked, result.New(result.OrderOpen, "an earlier order of this process to %s is not closed yet", unit)
	}
	r := &run{
		executor:  x,
		unit:      unit,
		driver:    d,
		agent:     x.agent(unit, runNumber, fenced),
		caller:    ctx,
		impatient: impatient,
		outcome:   make(chan Outcome, 1),
	}
	o.Epoch = max(o.Epoch, x.minFence(unit))
	x.runs.Go(func() {
		defer x.unreserve(r)
		r.drive(o)
	})
	outcome, known := r.await(ctx)
	if !known {
		err := result.New(result.OrderOutcomeUnknown, "the outcome of the order to %s is not known yet; it continues in the background", unit)
		err.Execution = result.Unknown
		return "", err
	}
	return outcome, outcomeError(unit, outcome)
}

// reserve reserves a unit for one run and returns the run's number. It returns
// false if the unit is already reserved or the executor is closed.
func (x *Executor) reserve(unit string) (uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[unit] != nil || x.ctx.Err() != nil {
		return 0, false
	}
	x.busy[unit] = make(chan struct{})
	x.runsStarted++
	return x.runsStarted, true
}

// agent returns the agent for a run of a unit. It keeps the state of the unit's
// earlier runs.
func (x *Executor) agent(unit string, runNumber uint64, fenced bool) Agent {
	x.mu.Lock()
	defer x.mu.Unlock()
	policy := Policy{Fenced: fenced, MaxTransit: x.options.MaxTransit, TakeoverDelay: x.options.TakeoverDelay}
	agent, known := x.agents[unit]
	if !known {
		return NewAgent(x.author, runNumber, policy)
	}
	agent.runNumber, agent.policy = runNumber, policy
	return agent
}

// unreserve stores the agent of a run that ended and frees its unit.
func (x *Executor) unreserve(r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.agents[r.unit] = r.agent
	close(x.busy[r.unit])
	delete(x.busy, r.unit)
}

// logBlock logs that another author's order is open, once for each order.
func (x *Executor) logBlock(unit string, o Order) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.logged[unit] == o.ID {
		return
	}
	x.logged[unit] = o.ID
	event.OrderStuck.Log(x.options.Log).Str("unit", unit).Str("order", o.ID).Str("author", o.Author).Send()
}

// minFence returns the lowest fencing number that the unit's target may accept.
func (x *Executor) minFence(unit string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.minFences[unit]
}

// raiseMinFence records a fencing number that the unit's target has seen.
func (x *Executor) raiseMinFence(unit string, seen uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.minFences[unit] = max(x.minFences[unit], seen+1)
}

// outcomeError returns the error for an outcome, nil for Applied.
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
		err := result.New(result.OrderOutcomeUnknown, "the order to %s ended with outcome %s", unit, o)
		err.Execution = result.Unknown
		return err
	}
}

// readRecord reads the record of a unit. A record that does not exist is empty.
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
