package authority

import (
	"time"

	"zinniapin/store"
)

// Policy says what an author must wait for before it replaces another's open
// order.
type Policy struct {
	// Fenced targets refuse an old fencing number, so that another author's
	// order may be replaced without proof after Patience.
	Fenced bool
	// Patience is how long another author's open order to a fenced target is
	// given to end.
	TakeoverDelay time.Duration
	// Settle is how long an order may stay on its way to the target after its
	// author has ended its connection or died.
	MaxTransit time.Duration
}

// ActionKind is what the agent wants done next.
type ActionKind uint8

// Kinds of actions.
const (
	DoNothing ActionKind = iota // idle
	DoRead                      // read the record
	DoPut                       // update the record under its version
	DoSend                      // send the order, once
	DoProbe                     // ask the target and the platform
	DoPause                     // wait for the poll interval
)

// Action is what the agent wants done next. Each ends in one event.
type Action struct {
	Kind ActionKind
	// Put is the record and the version to replace, with DoPut.
	Put Snapshot
	// Send is the order, with DoSend.
	Send Order
	// Probe is the order to ask about, with DoProbe.
	Probe Order
}

// EventKind is what happened.
type EventKind uint8

// Kinds of events.
const (
	Start     EventKind = iota // an order is wanted
	Cancelled                  // the order is no longer wanted
	ReadDone                   // the record was read
	PutDone                    // the update ended
	SendDone                   // the send ended
	ProbeDone                  // the probe ended
	PauseDone                  // the poll interval is over
)

// Answer is how a call of the object API ended.
type CallResult uint8

// Answers of the object API.
const (
	CallConfirmed CallResult = iota
	CallConflict
	CallUnknown // no answer: an update may have, or may yet take effect
	CallFailed  // the call had no effect
)

// Delivery is how a send ended.
type SendResult uint8

// Ends of a send.
const (
	SendApplied     SendResult = iota // the target says that it took effect
	SendUndelivered                   // no byte reached the target
	SendRefused                       // the target says that it had no effect
	SendStale                         // the target has seen a higher fencing number
	SendUnanswered                    // the connection was reset without an answer
)

// Evidence is what a probe found. Only positive findings prove anything.
type ProbeResult struct {
	Answered bool // the target answered; Boot and Applied are valid
	Boot     uint64
	Applied  bool // the order took effect
	// AuthorEnded is proof that the order's author no longer runs: a new
	// incarnation on its address, or the platform's word on its host.
	AuthorEnded bool
	// TargetGone is the platform's word that the target's host is gone.
	TargetGone bool
}

// Event is what happened.
type Event struct {
	Kind EventKind
	// Order is the wanted order, with Start; ID, Author and Epoch are filled
	// in by the agent. Its Epoch is the least fencing number to use.
	Order      Order
	CallResult CallResult // with ReadDone and PutDone
	Found      Snapshot   // with ReadDone
	// Version is the new version, with PutDone and Confirmed.
	Version     store.Version
	SendResult  SendResult  // with SendDone
	ProbeResult ProbeResult // with ProbeDone
}
