// Package quota keeps the rate limit of an organisation over all hosts together. Each host owns an nth of the
// limit, its base share, and either uses it or lends it for a term to the host that grants. The sum of what hosts
// may use stays within the limit however they are cut off from each other; docs/design/organisation-limits.md has
// the protocol and the sum.
//
// Package dispatch remembers hosts too, but counts all that were live within hours and judges by the reports it heard;
// here a host is forgotten on notice, or by a majority, since a base share that nobody uses is lost.
//
// A Member has no I/O, no goroutine and no clock of its own; it is not safe for concurrent use.
package quota

import (
	"hash/fnv"
	"time"
)

// Instant is a time since an arbitrary origin of a clock that goes on while the machine is suspended.
type Instant time.Duration

// Limit is the limit of one organisation over all hosts together.
type Limit struct {
	Rate  float64 // units a second
	Burst float64 // units
}

// Bounds say by how much an organisation may exceed its limit in a window.
type Bounds struct {
	Window  time.Duration
	Overage float64 // share of the limit
	Slack   float64 // units
}

// Identity names a host's process.
type Identity struct {
	Host        uint64 // as by HostKey
	Incarnation uint64
	Address     string
	// HasSeeds is set if the settings name other hosts. Such a host counts as alone only once it has heard from one.
	HasSeeds bool
}

// Peer is a live host.
type Peer struct {
	Address string
	Leaving bool // about to stop
}

// Ask goes from a host to a grantor.
type Ask struct {
	Host, Incarnation, Sequence uint64
	Fleet                       int           // hosts that the sender remembers, itself included
	Settled                     bool          // the sender knows the number of hosts
	Lends                       bool          // the base share is lent
	Term                        time.Duration // for so long
	HeardAt                     Instant       // Reply.SentAt of the newest reply of the receiver; 0 if none
	HeardIncarnation            uint64        // Reply.Incarnation of that reply
	Entries                     []AskEntry
}

// AskEntry is what an ask says of one organisation, in units of its limit.
type AskEntry struct {
	Organisation uint64 // as by OrganisationKey
	Want         int64
	Least        int64 // of Want, what the first waiting request lacks; a smaller grant is of no use to it
	Waiting      int64 // of Want, what all waiting requests lack; at least Least
	Returned     int64 // unused units of earlier grants, which the sender does not use any more
}

// Reply answers an Ask.
type Reply struct {
	Host, Incarnation uint64  // of the grantor
	AskedIncarnation  uint64  // of the ask
	Sequence          uint64  // of the ask
	SentAt            Instant // by the grantor's clock
	Settled           bool    // the grantor knows the number of hosts and may grant
	Lent              float64 // share of the fleet that lends to the grantor
	LentKnown         bool    // older versions do not tell Lent
	Entries           []ReplyEntry
}

// Minority tells whether the grantor is known to have no more than half of the fleet as lenders.
func (r Reply) Minority() bool { return r.LentKnown && r.Lent <= 0.5 }

// ReplyEntry is what a grantor says of one organisation.
type ReplyEntry struct {
	Organisation uint64 // as by OrganisationKey
	Granted      int64
	// RetryAfter is when the rest of what was wanted will be there; 0 if all was granted, or if the rest is there and may
	// be asked for at once.
	RetryAfter time.Duration
}

// Outgoing is an ask to be sent.
type Outgoing struct {
	To  string // address
	Ask Ask
}

// Outcome is the outcome of an admission.
type Outcome int

// Outcomes.
const (
	// Allowed means that the units are taken.
	Allowed Outcome = iota
	// Wait means that a grant was asked for. Admit is to be called again when a reply has arrived.
	Wait
	// Refused means that the units are not to be had now.
	Refused
)

// Reason says why units are refused.
type Reason string

// Reasons.
const (
	// Reached means that the limit is reached.
	Reached Reason = "limit_reached"
	// TooLarge means that the limit never allows so many units at once.
	TooLarge Reason = "too_large"
	// NoGrantor means that no grantor answers, or too few hosts lend to it, and the base share is lent or used up.
	NoGrantor Reason = "no_grantor"
)

// Verdict is the result of an admission.
type Verdict struct {
	Outcome    Outcome
	RetryAfter time.Duration // of a refusal
	Reason     Reason        // of a refusal
	GrantAge   time.Duration // of the oldest grant that was used
	Source     string        // address of the grantor; empty for the base share
	Balance    int64         // units left
}

// OrganisationStatus is the state of one organisation's limit at this host.
type OrganisationStatus struct {
	Organisation string
	Limit        Limit
	Used         int64  // admitted here within the last window
	Balance      int64  // units granted and not yet used
	LentTo       string // address of the grantor to which the base share is lent; empty if it is not lent
	Granted      int64  // to hosts within the last window, this one included
	Refused      int64  // admissions refused here since the start
}

// OrganisationKey returns the key of an organisation in messages.
func OrganisationKey(name string) uint64 { return hashOf(name) }

// HostKey returns the key of a host in messages.
func HostKey(name string) uint64 { return hashOf(name) }

// hashOf returns the 64-bit FNV-1a hash of a name.
func hashOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}
