package grant

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
)

const (
	// LongTerm is how long a grant of a large fleet is in force that leaves
	// room for others.
	LongTerm = time.Minute
	// LongTermFraction is the part of each limit that grants with the long term take up
	// at most. A new grantor leaves it alone until the last of them ended.
	LongTermFraction = 0.5
	// LongTermMinGateways is the number of gateways from which on grants may have the long
	// term. Below it each gateway can ask for each organisation every second.
	LongTermMinGateways = 33
	// cautiousFrom is the number of gateways from which on a new grantor reckons
	// with grants of the long term: those who saw more gateways than it does may
	// have given them.
	cautiousFrom = 17
	// headroom is by how much a grant with the long term exceeds the demand at
	// least.
	headroom = 1.25
	// roomPart is the part of the room left for grants with the long term that
	// each gives at least, so that a bucket refills soon after a request or two,
	// while the demands of all leave room.
	roomPart = 0.125
)

// Share is a gateway's share of an organisation's limits and how long it is in
// force from the sending of the request.
type Share struct {
	Amount
	Term time.Duration
}

// MaxTerm returns the longest term that may be in force in a fleet of that
// many gateways.
func MaxTerm(gateways int) time.Duration {
	if gateways < cautiousFrom {
		return Term
	}
	return LongTerm
}

// mayBeLong tells whether others may have given grants with the long term.
func (f Fleet) mayBeLong() bool {
	return MaxTerm(max(f.Live, f.Known)) > Term
}

// AmountOf returns what a demand asks for.
func AmountOf(d control.Demand) Amount {
	return Amount{d.RequestsPerSecond, d.Concurrency, d.TokensPerMinute}
}

// Within tells whether an amount fits into another in every field. Tokens
// count only where the contract limits them.
func (a Amount) Within(b Amount, l contract.Limits) bool {
	return a.RequestsPerSecond <= b.RequestsPerSecond && a.Concurrency <= b.Concurrency &&
		(l.TokensPerMinute == 0 || a.TokensPerMinute <= b.TokensPerMinute)
}

// heldLong returns the largest amount that may be in force with the long term.
func (h *holder) heldLong() Amount {
	var most Amount
	for _, i := range h.issues {
		if i.long {
			most = most.max(i.amount)
		}
	}
	return most
}

// long returns a gateway's share with the long term, and false when it must
// have a short one: in a small fleet, while a predecessor's may be in force, and
// when the demands of all leave no room for others. Concurrency is whole, so
// that less than one is no reason against it: a gateway may run one request
// at any time.
func (o *Allocator) long(now time.Time, gateway string, limits contract.Limits, f Fleet) (Amount, bool) {
	if f.Live < LongTermMinGateways || now.Before(o.opens.Add(LongTerm-Term)) {
		return Amount{}, false
	}
	reserve := f.reserve(limits)
	var wanted, lent, others Amount
	for name, h := range o.holders {
		wanted = wanted.add(h.wanted)
		if name != gateway {
			lent = lent.add(h.heldLong())
			others = others.add(h.held().max(reserve))
		}
	}
	limit := limitsOf(limits).scale(f.presence())
	room := limit.scale(LongTermFraction).less(lent, 1)
	left := limit.less(reserve, max(0, f.Live-len(o.holders))).less(others, 1)
	room = room.min(left)
	share := o.holders[gateway].wanted.scale(headroom).max(reserve)
	wanted.Concurrency = 0 // each gateway may run one request at any time
	if wanted.Within(limit.scale(LongTermFraction), limits) {
		share = share.max(room.scale(roomPart))
	}
	if o.holders[gateway].wanted.Concurrency > max(1, room.Concurrency) {
		return Amount{}, false
	}
	share.Concurrency = min(share.Concurrency, room.Concurrency)
	return share, share.Within(room, limits)
}

// min returns the smaller of two amounts, field by field.
func (a Amount) min(b Amount) Amount {
	return Amount{
		min(a.RequestsPerSecond, b.RequestsPerSecond),
		min(a.Concurrency, b.Concurrency),
		min(a.TokensPerMinute, b.TokensPerMinute),
	}
}
