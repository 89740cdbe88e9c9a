package authority

import (
	"fmt"
	"time"

	"zinniapin/invariant"
)

// phase is where the agent stands with its order.
type phase uint8

// Phases of an order.
const (
	idle      phase = iota
	reading         // to learn whether an order may be opened
	opening         // the update that opens the order is under way
	sending         // the order is open and being sent
	marking         // the update that says "never sent again" is under way
	settling        // the order was sent without an answer
	blocked         // another author's order is open
	closing         // the update that closes the order is under way
	rereading       // to learn whether the order is still open
)

// Agent is one author's part in the protocol for one unit. It is comparable,
// holds no clock and does no I/O.
type Agent struct {
	self     string
	number   uint64 // tells the author's agents apart in order ids
	policy   Policy
	phase    phase
	sequence uint64
	wanted   Order
	mine     Order    // the order being opened, sent or closed
	base     Snapshot // what the update under way replaces
	put      Record   // the update under way
	doubtful bool     // the update that opens may yet take effect
	sent     bool     // mine was handed to the network
	waited   bool     // another author's order was found open
	watch    watch
	outcome  Outcome
}

// NewAgent returns an agent of an author. No two agents of an author, over
// all units, may have the same number.
func NewAgent(self string, number uint64, policy Policy) Agent {
	return Agent{self: self, number: number, policy: policy}
}

// Idle reports whether the agent has no order in hand.
func (a *Agent) Idle() bool { return a.phase == idle }

// Outcome returns how the last order ended, once the agent is idle.
func (a *Agent) Outcome() Outcome { return a.outcome }

// Order returns the last order that the agent opened, or tried to open.
func (a *Agent) Order() Order { return a.mine }

// Cancellable reports whether Cancelled may be given now.
func (a *Agent) Cancellable() bool {
	return a.phase == reading || a.phase == blocked || a.phase == opening
}

// Closing reports whether the order is being closed: its outcome is known, and
// the object API may still hold it open.
func (a *Agent) Closing() bool { return a.phase == closing || a.phase == rereading }

// Settled returns the outcome once it is known, which may be before the
// order is closed.
func (a *Agent) KnownOutcome() (Outcome, bool) {
	return a.outcome, a.Idle() || a.Closing()
}

// Step takes an event and returns what to do next. Cancelled may only be
// given in place of carrying out the last action, and never one to send.
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
	// What was learnt about another author's order outlives a call that gave
	// up waiting; otherwise impatient callers would never see it settled.
	*a = Agent{self: a.self, number: a.number, policy: a.policy, sequence: a.sequence, watch: a.watch, wanted: o}
	return a.read(reading)
}

// read asks for the record.
func (a *Agent) read(p phase) Action {
	a.phase = p
	return Action{Kind: DoRead}
}

// finish ends the order.
func (a *Agent) finish(o Outcome) Action {
	a.phase = idle
	a.outcome = o
	return Action{}
}

// cancel gives up an order that is not yet open. One that may have been sent
// goes on until it is closed.
func (a *Agent) cancel() Action {
	switch a.phase {
	case reading:
		if a.watch.id != "" && !a.watch.settled {
			return a.withdrawOr(Blocked)
		}
		return a.withdrawOr(Unavailable)
	case blocked:
		return a.finish(Blocked)
	case opening:
		return a.withdraw()
	default:
		return Action{}
	}
}

// withdraw gives up an open order that was never sent, or sees to it that a
// doubtful update never opens it.
func (a *Agent) withdraw() Action {
	invariant.Check(!a.sent, "order_withdrawn_unsent", "order %s was sent", a.mine.ID)
	if !a.doubtful {
		return a.finish(NotSent)
	}
	a.outcome = NotSent
	record := a.base.Record
	record.Epoch = a.mine.Epoch
	return a.update(closing, record)
}

// update asks for an update of the record at the base version.
func (a *Agent) update(p phase, r Record) Action {
	invariant.Check(r.Epoch >= a.base.Record.Epoch, "order_epoch_rises", "epoch %d after %d", r.Epoch, a.base.Record.Epoch)
	a.phase = p
	a.put = r
	return Action{Kind: DoPut, Put: Snapshot{Version: a.base.Version, Record: r}}
}

// readDone decides on the record as it stands.
func (a *Agent) readDone(now time.Time, e Event) Action {
	if e.CallResult != CallConfirmed {
		if a.phase == rereading {
			return Action{Kind: DoPause}
		}
		if a.doubtful {
			return a.withdraw()
		}
		if a.waited {
			a.phase = blocked // a failed read is no reason to stop waiting
			return Action{Kind: DoPause}
		}
		return a.finish(Unavailable)
	}
	previous := a.base
	a.base = e.Found
	if a.phase == rereading {
		return a.closeAgain()
	}
	open := e.Found.Record.Open
	if a.doubtful {
		invariant.Check(e.Found.Version > previous.Version, "order_conflict_version",
			"conflict at version %d, read %d", previous.Version, e.Found.Version)
		a.doubtful = false // a higher version rules the update out, or shows it
		if open.ID == a.mine.ID {
			return a.send()
		}
	}
	if open.ID == "" {
		return a.open(now)
	}
	return a.meet(now, open)
}

// meet decides on an open order that stands in the way.
func (a *Agent) meet(now time.Time, open Order) Action {
	if open.Author == a.self {
		// The agent closes what it sent before it starts anew, so an own order
		// found open was never sent.
		return a.open(now)
	}
	a.follow(now, open)
	a.waited = true
	if a.watch.settled || a.outwaited(now) {
		return a.open(now)
	}
	a.phase = blocked
	return Action{Kind: DoProbe, Probe: open}
}

// follow starts or goes on watching an order.
func (a *Agent) follow(now time.Time, open Order) {
	if a.watch.id != open.ID {
		a.watch = watch{id: open.ID}
		if a.policy.Fenced {
			a.watch.met = now
		}
	}
	if open.Ended {
		a.watch.end(now)
	}
}

// outwaited reports whether another author's order to a fenced target has been
// in the way for long enough. It may be under way at the target, which would
// then receive two at once; the fencing number makes sure of the rest.
func (a *Agent) outwaited(now time.Time) bool {
	return a.policy.Fenced && now.Sub(a.watch.met) >= a.policy.TakeoverDelay
}

// open asks for the update that opens the wanted order.
func (a *Agent) open(now time.Time) Action {
	record := a.base.Record
	invariant.Check(a.mayReplace(record.Open), "order_open_exclusive",
		"order %s of %s is open", record.Open.ID, record.Open.Author)
	a.sequence++
	a.mine = a.wanted
	a.mine.ID = fmt.Sprintf("%s-%d-%d", a.self, a.number, a.sequence)
	a.mine.Author = a.self
	a.mine.Epoch = max(record.Epoch+1, a.wanted.Epoch)
	a.mine.OpenedMillis = now.UnixMilli()
	if record.Open.ID != "" {
		record = record.closed(a.replacedOutcome())
	}
	return a.update(opening, record.opened(a.mine))
}

// mayReplace tells whether an open order no longer stands in the way.
func (a *Agent) mayReplace(open Order) bool {
	if open.ID == "" || open.Author == a.self || a.policy.Fenced {
		return true
	}
	return a.watch.id == open.ID && a.watch.settled
}

// replacedOutcome tells how the order that is replaced ended.
func (a *Agent) replacedOutcome() Outcome {
	if a.watch.id == a.base.Record.Open.ID && a.watch.settled {
		return a.watch.outcome
	}
	if a.base.Record.Open.Author == a.self {
		return NotSent
	}
	return Stale
}

// putDone decides on the end of an update.
func (a *Agent) putDone(e Event) Action {
	if e.CallResult == CallConfirmed {
		a.base = Snapshot{Version: e.Version, Record: a.put}
	}
	switch a.phase {
	case opening:
		return a.openDone(e.CallResult)
	case marking:
		return a.probeMine() // the mark only helps others: one try is enough
	default:
		return a.closeDone(e.CallResult)
	}
}

// openDone decides on the end of the update that opens the order.
func (a *Agent) openDone(answer CallResult) Action {
	switch answer {
	case CallConfirmed:
		return a.send()
	case CallConflict:
		return a.read(reading)
	case CallUnknown:
		// The same update again settles it: success, or a conflict that shows
		// which update came first.
		a.doubtful = true
		return a.update(opening, a.put)
	default:
		return a.withdrawOr(Unavailable)
	}
}

// withdrawOr withdraws a doubtful order, or ends one that had no effect.
func (a *Agent) withdrawOr(o Outcome) Action {
	if a.doubtful {
		return a.withdraw()
	}
	return a.finish(o)
}

// send hands the open order to the network, once.
func (a *Agent) send() Action {
	invariant.Check(!a.sent, "order_sent_once", "order %s is sent again", a.mine.ID)
	a.doubtful = false
	a.sent = true
	a.phase = sending
	return Action{Kind: DoSend, Send: a.mine}
}

// sendDone decides on the end of the send.
func (a *Agent) sendDone(now time.Time, d SendResult) Action {
	switch d {
	case SendApplied:
		return a.close(Applied)
	case SendUndelivered:
		return a.close(NotSent)
	case SendRefused:
		return a.close(Refused)
	case SendStale:
		return a.close(Stale)
	}
	a.watch = watch{id: a.mine.ID}
	a.watch.end(now)
	record := a.base.Record
	record.Open.Ended = true
	return a.update(marking, record)
}

// probeMine asks what became of the order that was sent.
func (a *Agent) probeMine() Action {
	a.phase = settling
	return Action{Kind: DoProbe, Probe: a.mine}
}

// probeDone decides on what a probe found.
func (a *Agent) probeDone(now time.Time, e ProbeResult) Action {
	a.weigh(now, e)
	if a.watch.settled {
		if a.phase == settling {
			return a.close(a.watch.outcome)
		}
		return a.read(reading)
	}
	return Action{Kind: DoPause}
}

// pauseDone goes on after the poll interval.
func (a *Agent) pauseDone() Action {
	switch a.phase {
	case settling:
		return a.probeMine()
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

// close asks for the update that closes the order.
func (a *Agent) close(o Outcome) Action {
	a.outcome = o
	return a.update(closing, a.base.Record.closed(o))
}

// closeDone decides on the end of the update that closes the order.
func (a *Agent) closeDone(answer CallResult) Action {
	switch answer {
	case CallConfirmed:
		return a.finish(a.outcome)
	case CallConflict:
		return a.read(rereading)
	default:
		return Action{Kind: DoPause}
	}
}

// closeAgain closes the order if it is still open. A record without it has a
// version above every update of ours, so none can open it again.
func (a *Agent) closeAgain() Action {
	if a.base.Record.Open.ID != a.mine.ID {
		return a.finish(a.outcome)
	}
	return a.close(a.outcome)
}
