package grant

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
)

const (
	// LongTerm is the term of a long grant, which is given in a large fleet if it leaves room
	// for others.
	LongTerm = time.Minute
	// LongTermFraction is the fraction of each limit that long grants together may take. A new
	// grantor leaves it unused until the long grants of its predecessor have ended.
	LongTermFraction = 0.5
	// LongTermMinGateways is the number of live gateways from which on long grants are given.
	// In a smaller fleet each gateway can ask for every organisation each second.
	LongTermMinGateways = 33
	// longTermPossibleMinGateways is the number of gateways from which on a new grantor
	// assumes that its predecessor gave long grants. It is below LongTermMinGateways because
	// the predecessor may have seen more gateways.
	longTermPossibleMinGateways = 17
	// demandHeadroom is the factor by which a long grant exceeds the demand at least.
	demandHeadroom = 1.25
	// minRoomFraction is the fraction of the room for long grants that each of them gets at
	// least while the demands of all gateways leave room, so that a rate limit refills soon
	// after one or two requests.
	minRoomFraction = 0.125
)

// Share is a granted share of an organisation's limits. The term counts from the moment at
// which the gateway sent its request.
type Share struct {
	Amount
	Term time.Duration
}

// MaxTerm returns the longest term of the grants that may be in force in a fleet of that many
// gateways.
func MaxTerm(gateways int) time.Duration {
	if gateways < longTermPossibleMinGateways {
		return Term
	}
	return LongTerm
}

// longGrantsPossible reports whether a predecessor may have given long grants.
func (f Fleet) longGrantsPossible() bool {
	return MaxTerm(max(f.Live, f.Known)) > Term
}

// AmountOf returns the amount that a demand asks for.
func AmountOf(d control.Demand) Amount {
	return Amount{d.RequestsPerSecond, d.Concurrency, d.TokensPerMinute}
}

// Within reports whether no field of a exceeds that of b. Tokens are compared only if the
// contract limits them.
func (a Amount) Within(b Amount, l contract.Limits) bool {
	return a.RequestsPerSecond <= b.RequestsPerSecond && a.Concurrency <= b.Concurrency &&
		(l.TokensPerMinute == 0 || a.TokensPerMinute <= b.TokensPerMinute)
}

// maxLongOutstanding returns the largest amount, field by field, of the long grants that may
// be in force.
func (s *gatewayState) maxLongOutstanding() Amount {
	var most Amount
	for _, g := range s.outstanding {
		if g.long {
			most = most.max(g.amount)
		}
	}
	return most
}

// longShare returns a gateway's share for LongTerm. It returns false if the gateway must get a
// short grant: in a small fleet, while long grants of a predecessor may be in force, and when
// the demands leave no room for others. A share of less than one concurrent request is no
// reason to refuse, since a gateway may always run one request.
func (a *Allocator) longShare(now time.Time, gateway string, limits contract.Limits, f Fleet) (Amount, bool) {
	if f.Live < LongTermMinGateways || now.Before(a.grantsFrom.Add(LongTerm-Term)) {
		return Amount{}, false
	}
	reserve := f.reservedShare(limits)
	var totalWanted, longOutstanding, others Amount
	for name, state := range a.gateways {
		totalWanted = totalWanted.add(state.wanted)
		if name != gateway {
			longOutstanding = longOutstanding.add(state.maxLongOutstanding())
			others = others.add(state.maxOutstanding().max(reserve))
		}
	}
	limit := contractAmount(limits).scale(f.grantedFraction())
	room := limit.scale(LongTermFraction).minus(longOutstanding, 1)
	available := limit.minus(reserve, max(0, f.Live-len(a.gateways))).minus(others, 1)
	room = room.min(available)
	share := a.gateways[gateway].wanted.scale(demandHeadroom).max(reserve)
	totalWanted.Concurrency = 0 // a gateway may always run one request
	if totalWanted.Within(limit.scale(LongTermFraction), limits) {
		share = share.max(room.scale(minRoomFraction))
	}
	if a.gateways[gateway].wanted.Concurrency > max(1, room.Concurrency) {
		return Amount{}, false
	}
	share.Concurrency = min(share.Concurrency, room.Concurrency)
	return share, share.Within(room, limits)
}

// min returns the smaller value of each field.
func (a Amount) min(b Amount) Amount {
	return Amount{
		min(a.RequestsPerSecond, b.RequestsPerSecond),
		min(a.Concurrency, b.Concurrency),
		min(a.TokensPerMinute, b.TokensPerMinute),
	}
}
