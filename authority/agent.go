package authority

import (
	"fmt"
	"time"

	"zinniapin/invariant"
)

// phase is the step that the agent's order has reached.
type phase uint8

// Phases of an order.
const (
	idle         phase = iota
	reading            // reading the record to decide whether an order may be opened
	opening            // the update that opens the order is in progress
	sending            // the order is open and being sent
	markingEnded       // the update that sets Ended in the open order is in progress
	probing            // the order was sent without an answer; its outcome is being probed
	blocked            // waiting, as another author's order is open
	closing            // the update that closes the order is in progress
	rereading          // reading the record to learn whether the order is still open
)

// Agent is the state machine with which an author opens, sends and closes orders
// to one unit, one order at a time. It has no clock and does no I/O: its caller
// passes in events and the time, and carries out the actions that it returns. It
// is comparable.
type Agent struct {
	self        string // machine.Process.ID of the author
	runNumber   uint64 // distinguishes the author's agents in order ids
	policy      Policy
	phase       phase
	sequence    uint64 // number of orders opened so far
	requested   Order
	own         Order    // the order that is being opened, sent or closed
	base        Snapshot // record and version that the update in progress replaces
	put         Record   // record that the update in progress writes
	openUnknown bool     // the update that opens own had no answer and may still take effect
	sent        bool     // own was passed to the network
	wasBlocked  bool     // another author's order was found open
	watch       watch
	outcome     Outcome
}

// NewAgent returns an agent of the author self. No two agents of an author, over
// all units, may have the same run number, since order ids are built from it.
func NewAgent(self string, runNumber uint64, policy Policy) Agent {
	return Agent{self: self, runNumber: runNumber, policy: policy}
}

// Idle reports whether no order is in progress.
func (a *Agent) Idle() bool { return a.phase == idle }

// Outcome returns how the last order ended, once the agent is idle.
func (a *Agent) Outcome() Outcome { return a.outcome }

// Order returns the last order that the agent opened, or tried to open.
func (a *Agent) Order() Order { return a.own }

// Cancellable reports whether Cancelled may be given now.
func (a *Agent) Cancellable() bool {
	return a.phase == reading || a.phase == blocked || a.phase == opening
}

// Closing reports whether the order is being closed: its outcome is known, but
// the record in the object API may still show it as open.
func (a *Agent) Closing() bool { return a.phase == closing || a.phase == rereading }

// KnownOutcome returns the outcome of the order and whether it is known, which
// may be before the order is closed.
func (a *Agent) KnownOutcome() (Outcome, bool) {
	return a.outcome, a.Idle() || a.Closing()
}

// Step handles an event and returns what to do next. Cancelled may only be given
// instead of carrying out the last action, and not when that action is DoSend.
func (a *Agent) Step(now time.Time, e Event) Action {
	switch e.Kind {
	case Start:
		return a.start(e.Order)
	case Cancelled:
		return a.cancel()
	case ReadDone:
		return a.readDone(now, e)
	case PutDone:
		return a.putDone(e)
	case SendDone:
		return a.sendDone(now, e.SendResult)
	case ProbeDone:
		return a.probeDone(now, e.ProbeResult)
	default:
		return a.pauseDone()
	}
}

// start begins an order.
func (a *Agent) start(o Order) Action {
	invariant.Check(a.phase == idle, "order_serial", "agent %s starts an order in phase %d", a.self, a.phase)
	// The watch of another author's order is kept, so that calls that each give
	// up early can together observe it long enough to resolve it.
	*a = Agent{self: a.self, runNumber: a.runNumber, policy: a.policy, sequence: a.sequence, watch: a.watch, requested: o}
	return a.read(reading)
}

// read returns the action that reads the record.
func (a *Agent) read(p phase) Action {
	a.phase = p
	return Action{Kind: DoRead}
}

// finish ends the order with an outcome.
func (a *Agent) finish(o Outcome) Action {
	a.phase = idle
	a.outcome = o
	return Action{}
}

// cancel gives up an order that has not been sent. An order that may have been
// sent continues until it is closed.
func (a *Agent) cancel() Action {
	switch a.phase {
	case reading:
		if a.watch.id != "" && !a.watch.resolved {
			return a.withdrawOrFinish(Blocked)
		}
		return a.withdrawOrFinish(Unavailable)
	case blocked:
		return a.finish(Blocked)
	case opening:
		return a.withdraw()
	default:
		return Action{}
	}
}

// withdraw gives up an order that was never sent. If the update that opens it had
// no answer, another update of the same version prevents it from taking effect.
func (a *Agent) withdraw() Action {
	invariant.Check(!a.sent, "order_withdrawn_unsent", "order %s was sent", a.own.ID)
	if !a.openUnknown {
		return a.finish(NotSent)
	}
	a.outcome = NotSent
	record := a.base.Record
	record.Epoch = a.own.Epoch
	return a.update(closing, record)
}

// update enters phase p and returns the action that replaces the record with r. The
// update takes effect only if the stored record still has the version of a.base.
func (a *Agent) update(p phase, r Record) Action {
	invariant.Check(r.Epoch >= a.base.Record.Epoch, "order_epoch_rises", "epoch %d after %d", r.Epoch, a.base.Record.Epoch)
	a.phase = p
	a.put = r
	return Action{Kind: DoPut, Put: Snapshot{Version: a.base.Version, Record: r}}
}

// readDone handles the record that was read, or the failure to read it.
func (a *Agent) readDone(now time.Time, e Event) Action {
	if e.CallResult != CallConfirmed {
		if a.phase == rereading {
			return Action{Kind: DoPause}
		}
		if a.openUnknown {
			return a.withdraw()
		}
		if a.wasBlocked {
			a.phase = blocked // a failed read does not show that the other order has ended
			return Action{Kind: DoPause}
		}
		return a.finish(Unavailable)
	}
	previous := a.base
	a.base = e.Found
	if a.phase == rereading {
		return a.closeIfOpen()
	}
	open := e.Found.Record.Open
	if a.openUnknown {
		invariant.Check(e.Found.Version > previous.Version, "order_conflict_version",
			"conflict at version %d, read %d", previous.Version, e.Found.Version)
		a.openUnknown = false // at a higher version the update has taken effect or never will
		if e.Found.Record == a.put {
			return a.send()
		}
	}
	if open.ID == "" {
		return a.open(now)
	}
	return a.handleOpenOrder(now, open)
}

// handleOpenOrder replaces an open order if that is allowed, and otherwise waits
// for it to end.
func (a *Agent) handleOpenOrder(now time.Time, open Order) Action {
	if open.Author == a.self {
		// The agent closes every order that it sent before it starts the next, so
		// an open order of its own was never sent.
		return a.open(now)
	}
	a.watchOrder(now, open)
	a.wasBlocked = true
	if a.watch.resolved || a.takeoverDue(now) {
		return a.open(now)
	}
	a.phase = blocked
	return Action{Kind: DoProbe, Probe: open}
}

// watchOrder starts to watch an order, or continues if it is already watched.
func (a *Agent) watchOrder(now time.Time, open Order) {
	if a.watch.id != open.ID {
		a.watch = watch{id: open.ID}
		if a.policy.Fenced {
			a.watch.firstSeen = now
		}
	}
	if open.Ended {
		a.watch.markEnded(now)
	}
}

// takeoverDue reports whether another author's order to a fenced target has been
// open for the takeover delay. The delay lets the target finish that order, so
// that it does not receive two at once; the fencing number keeps the older one
// from taking effect after the newer.
func (a *Agent) takeoverDue(now time.Time) bool {
	return a.policy.Fenced && now.Sub(a.watch.firstSeen) >= a.policy.TakeoverDelay
}

// open returns the update that opens the requested order.
func (a *Agent) open(now time.Time) Action {
	record := a.base.Record
	invariant.Check(a.mayReplace(record.Open), "order_open_exclusive",
		"order %s of %s is open", record.Open.ID, record.Open.Author)
	a.sequence++
	a.own = a.requested
	a.own.ID = fmt.Sprintf("%s-%d-%d", a.self, a.runNumber, a.sequence)
	a.own.Author = a.self
	a.own.Epoch = max(record.Epoch+1, a.requested.Epoch)
	a.own.OpenedMillis = now.UnixMilli()
	if record.Open.ID != "" {
		record = record.closed(a.replacedOutcome())
	}
	return a.update(opening, record.opened(a.own))
}

// mayReplace reports whether an open order may be replaced: it is the author's
// own, the target checks fencing numbers, or the order is known to have ended.
func (a *Agent) mayReplace(open Order) bool {
	if open.ID == "" || open.Author == a.self || a.policy.Fenced {
		return true
	}
	return a.watch.id == open.ID && a.watch.resolved
}

// replacedOutcome returns the outcome to record for the order that is replaced.
func (a *Agent) replacedOutcome() Outcome {
	if a.watch.id == a.base.Record.Open.ID && a.watch.resolved {
		return a.watch.outcome
	}
	if a.base.Record.Open.Author == a.self {
		return NotSent
	}
	return Stale
}

// putDone handles the result of an update.
func (a *Agent) putDone(e Event) Action {
	if e.CallResult == CallConfirmed {
		a.base = Snapshot{Version: e.Version, Record: a.put}
	}
	switch a.phase {
	case opening:
		return a.openDone(e.CallResult)
	case markingEnded:
		return a.probeOwn() // Ended only serves other authors, so its update is not repeated
	default:
		return a.closeDone(e.CallResult)
	}
}

// openDone handles the result of the update that opens the order.
func (a *Agent) openDone(r CallResult) Action {
	switch r {
	case CallConfirmed:
		return a.send()
	case CallConflict:
		return a.read(reading)
	case CallUnknown:
		// Repeating the same update resolves this: it succeeds, or it conflicts and
		// the next read shows whether the first one took effect.
		a.openUnknown = true
		return a.update(opening, a.put)
	default:
		return a.withdrawOrFinish(Unavailable)
	}
}

// withdrawOrFinish withdraws the order if the update that opens it may still take
// effect, and otherwise ends it with the given outcome.
func (a *Agent) withdrawOrFinish(o Outcome) Action {
	if a.openUnknown {
		return a.withdraw()
	}
	return a.finish(o)
}

// send returns the action that sends the open order. An order is sent only once.
func (a *Agent) send() Action {
	invariant.Check(!a.sent, "order_sent_once", "order %s is sent again", a.own.ID)
	a.openUnknown = false
	a.sent = true
	a.phase = sending
	return Action{Kind: DoSend, Send: a.own}
}

// sendDone closes the order if the target's answer shows its outcome, and
// otherwise records that the order will not be sent again.
func (a *Agent) sendDone(now time.Time, r SendResult) Action {
	switch r {
	case SendApplied:
		return a.close(Applied)
	case SendUndelivered:
		return a.close(NotSent)
	case SendRefused:
		return a.close(Refused)
	case SendStale:
		return a.close(Stale)
	}
	a.watch = watch{id: a.own.ID}
	a.watch.markEnded(now)
	record := a.base.Record
	record.Open.Ended = true
	return a.update(markingEnded, record)
}

// probeOwn returns the action that asks what became of the order that was sent.
func (a *Agent) probeOwn() Action {
	a.phase = probing
	return Action{Kind: DoProbe, Probe: a.own}
}

// probeDone handles the result of a probe.
func (a *Agent) probeDone(now time.Time, r ProbeResult) Action {
	a.applyProbe(now, r)
	if a.watch.resolved {
		if a.phase == probing {
			return a.close(a.watch.outcome)
		}
		return a.read(reading)
	}
	return Action{Kind: DoPause}
}

// pauseDone continues after the poll interval.
func (a *Agent) pauseDone() Action {
	switch a.phase {
	case probing:
		return a.probeOwn()
	case blocked:
		return a.read(reading)
	case closing:
		return a.update(closing, a.put)
	case rereading:
		return a.read(rereading)
	default:
		return Action{}
	}
}

// close returns the update that closes the order.
func (a *Agent) close(o Outcome) Action {
	a.outcome = o
	return a.update(closing, a.base.Record.closed(o))
}

// closeDone handles the result of the update that closes the order.
func (a *Agent) closeDone(r CallResult) Action {
	switch r {
	case CallConfirmed:
		return a.finish(a.outcome)
	case CallConflict:
		return a.read(rereading)
	default:
		return Action{Kind: DoPause}
	}
}

// closeIfOpen closes the order if the record still holds it as open. A record
// without it has a higher version than every update of this agent required, so
// none of them can open the order again.
func (a *Agent) closeIfOpen() Action {
	if a.base.Record.Open.ID != a.own.ID {
		return a.finish(a.outcome)
	}
	return a.close(a.outcome)
}
