package authority

import (
	"context"
	"errors"
	"time"

	"zinniapin/event"
	"zinniapin/store"
	"zinniapin/target"
)

// run is one order under way.
type run struct {
	executor *Executor
	unit     string
	driver   Driver
	agent    Agent
	caller   context.Context
	known    chan Outcome
	told     bool
	doubtful bool // the last update had no answer
	warned   bool // of another author's open order
}

// await returns the outcome, and false when it is not known in time.
func (r *run) await(ctx context.Context) (Outcome, bool) {
	select {
	case o := <-r.known:
		return o, o != ""
	case <-ctx.Done():
	}
	grace := time.NewTimer(r.executor.options.Poll)
	defer grace.Stop()
	select {
	case o := <-r.known:
		return o, o != ""
	case <-grace.C:
		return "", false
	}
}

// drive carries out the agent's actions until the order is closed.
func (r *run) drive(o Order) {
	defer close(r.known)
	x := r.executor
	action := r.agent.Step(x.options.Now(), Event{Kind: Start, Order: o})
	for !r.agent.Idle() && x.ctx.Err() == nil {
		if r.cancelled() && r.agent.Cancellable() && action.Kind != DoSend {
			action = r.agent.Step(x.options.Now(), Event{Kind: Cancelled})
			r.tell()
			continue
		}
		e := r.carryOut(action)
		wasClosing := r.agent.Closing()
		action = r.agent.Step(x.options.Now(), e)
		if wasClosing && r.agent.Idle() {
			r.logClosed()
		}
		r.tell()
	}
}

// cancelled reports whether the caller no longer waits.
func (r *run) cancelled() bool {
	return r.caller.Err() != nil
}

// tell hands the outcome to the caller as soon as it is known.
func (r *run) tell() {
	outcome, known := r.agent.KnownOutcome()
	if !known || r.told {
		return
	}
	r.told = true
	r.known <- outcome
}

// logClosed logs that the object API holds the order closed.
func (r *run) logClosed() {
	event.OrderClosed.Log(r.executor.options.Log).Str("unit", r.unit).
		Str("order", r.agent.Order().ID).Str("outcome", string(r.agent.Outcome())).Send()
}

// carryOut does what the agent wants and returns what happened.
func (r *run) carryOut(a Action) Event {
	ctx, cancel := context.WithTimeout(r.executor.ctx, r.executor.options.CallTimeout)
	defer cancel()
	if a.Kind != DoPut && r.agent.Cancellable() {
		stop := context.AfterFunc(r.caller, cancel)
		defer stop()
	}
	switch a.Kind {
	case DoRead:
		return r.read(ctx)
	case DoPut:
		return r.put(ctx, a.Put)
	case DoSend:
		return r.send(ctx, a.Send)
	case DoProbe:
		return r.probe(ctx, a.Probe)
	default:
		r.pause(ctx)
		return Event{Kind: PauseDone}
	}
}

// pause waits for the poll interval.
func (r *run) pause(ctx context.Context) {
	timer := time.NewTimer(r.executor.options.Poll)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// read reads the record.
func (r *run) read(ctx context.Context) Event {
	found, err := readRecord(ctx, r.executor.objects, r.unit)
	return Event{Kind: ReadDone, Found: found, CallResult: answerOf(err)}
}

// put updates the record.
func (r *run) put(ctx context.Context, p Snapshot) Event {
	if r.doubtful {
		r.pause(ctx)
	}
	value, err := p.Record.encode()
	if err != nil {
		return Event{Kind: PutDone, CallResult: CallFailed}
	}
	version, err := r.executor.objects.Put(ctx, store.PurposeOrder, Prefix+r.unit, value, p.Version)
	answer := answerOf(err)
	r.doubtful = answer == CallUnknown
	return Event{Kind: PutDone, CallResult: answer, Version: version}
}

// answerOf tells how a call of the object API ended.
func answerOf(err error) CallResult {
	switch {
	case err == nil:
		return CallConfirmed
	case errors.Is(err, store.ErrConflict):
		return CallConflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrTooLarge):
		return CallFailed
	default:
		return CallUnknown
	}
}

// send sends the order.
func (r *run) send(ctx context.Context, o Order) Event {
	event.OrderOpened.Log(r.executor.options.Log).Str("unit", r.unit).
		Str("order", o.ID).Uint64("fence", o.Epoch).Str("payload", o.Payload).Send()
	err := r.driver.Send(ctx, o)
	return Event{Kind: SendDone, SendResult: deliveryOf(err)}
}

// deliveryOf tells how a send ended.
func deliveryOf(err error) SendResult {
	switch {
	case err == nil:
		return SendApplied
	case errors.Is(err, target.ErrNotSent):
		return SendUndelivered
	case errors.Is(err, target.ErrRefused):
		return SendRefused
	case errors.Is(err, target.ErrStaleFence):
		return SendStale
	default:
		return SendUnanswered
	}
}

// probe gathers evidence. Proof of the author's end comes first, so that the
// target's boot id is one seen after that end.
func (r *run) probe(ctx context.Context, o Order) Event {
	x := r.executor
	if o.Author != x.author && !r.warned {
		r.warned = true
		event.OrderStuck.Log(x.options.Log).Str("unit", r.unit).Str("order", o.ID).Str("author", o.Author).Send()
	}
	ended := o.Author != x.author && x.liveness.AuthorEnded(o.Author)
	found := r.driver.Probe(ctx, o)
	found.AuthorEnded = ended
	found.TargetGone = x.liveness.TargetGone(r.unit)
	return Event{Kind: ProbeDone, ProbeResult: found}
}
