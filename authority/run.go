package authority

import (
	"context"
	"errors"
	"time"

	"zinniapin/event"
	"zinniapin/store"
	"zinniapin/target"
)

// run carries out one order: it executes the actions of the order's agent.
type run struct {
	executor       *Executor
	unit           string
	driver         Driver
	agent          Agent
	caller         context.Context // of the caller that waits for the outcome
	impatient      bool            // the caller waits for nothing but calls, see Executor.Try
	outcome        chan Outcome    // receives the outcome once; closed when the run ends
	reported       bool            // the outcome was sent
	lastPutUnknown bool            // the last update of the record had no answer
}

// await returns the outcome. It returns false if the outcome is not known one poll
// interval after the context ended.
func (r *run) await(ctx context.Context) (Outcome, bool) {
	select {
	case o := <-r.outcome:
		return o, o != ""
	case <-ctx.Done():
	}
	grace := time.NewTimer(r.executor.options.Poll)
	defer grace.Stop()
	select {
	case o := <-r.outcome:
		return o, o != ""
	case <-grace.C:
		return "", false
	}
}

// drive carries out the agent's actions until the order is closed or the executor
// is closed. It cancels the order if the caller stops waiting before it is sent.
func (r *run) drive(o Order) {
	defer close(r.outcome)
	x := r.executor
	action := r.agent.Step(x.options.Now(), Event{Kind: Start, Order: o})
	for !r.agent.Idle() && x.ctx.Err() == nil {
		if r.cancelled() && r.agent.Cancellable() && action.Kind != DoSend {
			action = r.agent.Step(x.options.Now(), Event{Kind: Cancelled})
			r.reportOutcome()
			continue
		}
		e := r.execute(action)
		wasClosing := r.agent.Closing()
		action = r.agent.Step(x.options.Now(), e)
		if wasClosing && r.agent.Idle() {
			r.logClosed()
		}
		r.reportOutcome()
		if r.impatient && action.Kind == DoPause {
			action = r.stopWaiting(action)
		}
	}
}

// stopWaiting gives up an order that was not sent, and otherwise tells the caller that
// the outcome is not known yet.
func (r *run) stopWaiting(a Action) Action {
	if r.agent.Cancellable() {
		a = r.agent.Step(r.executor.options.Now(), Event{Kind: Cancelled})
		r.reportOutcome()
		return a
	}
	if !r.reported {
		r.reported = true
		r.outcome <- ""
	}
	return a
}

// cancelled reports whether the caller has stopped waiting.
func (r *run) cancelled() bool {
	return r.caller.Err() != nil
}

// reportOutcome sends the outcome to the caller once, as soon as it is known.
func (r *run) reportOutcome() {
	outcome, known := r.agent.KnownOutcome()
	if !known || r.reported {
		return
	}
	r.reported = true
	r.outcome <- outcome
}

// logClosed logs that the order is closed in the object API.
func (r *run) logClosed() {
	event.OrderClosed.Log(r.executor.options.Log).Str("unit", r.unit).
		Str("order", r.agent.Order().ID).Str("outcome", string(r.agent.Outcome())).Send()
}

// execute carries out an action of the agent and returns the event that reports it.
func (r *run) execute(a Action) Event {
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

// read reads the unit's record.
func (r *run) read(ctx context.Context) Event {
	found, err := readRecord(ctx, r.executor.objects, r.unit)
	return Event{Kind: ReadDone, Found: found, CallResult: callResultOf(err)}
}

// put updates the unit's record. After an update without an answer it waits for
// the poll interval first.
func (r *run) put(ctx context.Context, p Snapshot) Event {
	if r.lastPutUnknown {
		r.pause(ctx)
	}
	value, err := p.Record.encode()
	if err != nil {
		return Event{Kind: PutDone, CallResult: CallFailed}
	}
	version, err := r.executor.objects.Put(ctx, store.PurposeOrder, Prefix+r.unit, value, p.Version)
	callResult := callResultOf(err)
	r.lastPutUnknown = callResult == CallUnknown
	return Event{Kind: PutDone, CallResult: callResult, Version: version}
}

// callResultOf returns the result of an object API call that returned err.
func callResultOf(err error) CallResult {
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

// send sends the order through the driver.
func (r *run) send(ctx context.Context, o Order) Event {
	event.OrderOpened.Log(r.executor.options.Log).Str("unit", r.unit).
		Str("order", o.ID).Uint64("fence", o.Epoch).Str("payload", o.Payload).Send()
	err := r.driver.Send(ctx, o)
	return Event{Kind: SendDone, SendResult: sendResultOf(err)}
}

// sendResultOf returns the result of a send that returned err.
func sendResultOf(err error) SendResult {
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

// probe asks the driver, and the liveness of author and target, what became of an
// order. It checks first whether the author has ended, so that the target's boot id
// is read after that end.
func (r *run) probe(ctx context.Context, o Order) Event {
	x := r.executor
	if o.Author != x.author {
		x.logBlock(r.unit, o)
	}
	ended := o.Author != x.author && x.liveness.AuthorEnded(o.Author)
	found := r.driver.Probe(ctx, o)
	found.AuthorEnded = ended
	found.TargetGone = x.liveness.TargetGone(r.unit)
	return Event{Kind: ProbeDone, ProbeResult: found}
}
