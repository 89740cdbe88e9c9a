package authority

import (
	"time"

	"zinniapin/store"
)

// Policy determines when an author may replace another author's open order.
type Policy struct {
	// Fenced is set for a target that rejects orders with an old fencing number.
	// Another author's open order to such a target may be replaced after
	// TakeoverDelay, without proof that it has ended.
	Fenced bool
	// TakeoverDelay is how long to wait for another author's open order to a
	// fenced target to end before it is replaced.
	TakeoverDelay time.Duration
	// MaxTransit is how long an order may still be in transit to the target after
	// its author has closed the connection or terminated.
	MaxTransit time.Duration
}

// ActionKind is what the agent asks its caller to do next.
type ActionKind uint8

// Kinds of actions.
const (
	DoNothing ActionKind = iota // the agent is idle
	DoRead                      // read the unit's record
	DoPut                       // update the record if it still has the given version
	DoSend                      // send the order; asked for once per order
	DoProbe                     // ask the target and the platform what became of an order
	DoPause                     // wait for one poll interval
)

// Action is what the agent asks its caller to do next. The caller reports the
// result of each action in one Event.
type Action struct {
	Kind ActionKind
	// Put is the new record and the version that it replaces, with DoPut.
	Put Snapshot
	// Send is the order to send, with DoSend.
	Send Order
	// Probe is the order to ask about, with DoProbe.
	Probe Order
}

// EventKind tells what happened.
type EventKind uint8

// Kinds of events.
const (
	Start     EventKind = iota // the caller requests an order
	Cancelled                  // the caller no longer waits for the order
	ReadDone                   // the record was read
	PutDone                    // the update of the record ended
	SendDone                   // the order was sent, or sending it failed
	ProbeDone                  // the probe ended
	PauseDone                  // the wait requested by DoPause is over
)

// CallResult is the result of an object API call.
type CallResult uint8

// Results of object API calls.
const (
	CallConfirmed CallResult = iota
	CallConflict             // the record has another version than the update requires
	CallUnknown              // no answer: an update may have taken effect, or may still do so
	CallFailed               // the call failed without an effect
)

// SendResult is the result of sending an order.
type SendResult uint8

// Results of sending an order.
const (
	SendApplied     SendResult = iota // the target reports that the order took effect
	SendUndelivered                   // no byte of the order reached the target
	SendRefused                       // the target reports that the order had no effect
	SendStale                         // the target has seen a higher fencing number
	SendUnanswered                    // the connection was reset without an answer
)

// ProbeResult is what a probe found out about an order. A true field is proof;
// a false one proves nothing.
type ProbeResult struct {
	Answered bool // the target answered; Boot and Applied are valid
	Boot     uint64
	Applied  bool // the order took effect
	// AuthorEnded is set on proof that the order's author no longer runs: a new
	// incarnation answers on its address, or the platform reports its host gone.
	AuthorEnded bool
	// TargetGone is set when the platform reports the target's host gone.
	TargetGone bool
}

// Event tells the agent the result of an action or a request of its caller.
type Event struct {
	Kind EventKind
	// Order is the requested order, with Start. The agent sets ID, Author and
	// Epoch; the Epoch given here is the lowest fencing number that it may use.
	Order      Order
	CallResult CallResult // with ReadDone and PutDone
	Found      Snapshot   // with ReadDone
	// Version is the record's new version, with PutDone and CallConfirmed.
	Version     store.Version
	SendResult  SendResult  // with SendDone
	ProbeResult ProbeResult // with ProbeDone
}
