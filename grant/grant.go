// Package grant divides the limits of an organisation among the gateways. A grantor, which is
// a controller, gives each gateway that asks a grant: a share of the limits for a limited
// term. The package does no I/O: callers pass in the time.
//
// # Bounds on the sum
//
// The following states how much of a limit L all n gateways together may use.
//
// A gateway without a grant in force uses GuaranteedShare(L, n), which is
// GuaranteedFraction*L/n. A gateway with a grant uses only the grant. The grantor counts a
// gateway that holds grants with the larger of its grants and the guaranteed share, and every
// other gateway with the guaranteed share. It grants at most what is then left of L. Only
// where this is less than a guaranteed share, as after the loss of a gateway whose grant still
// counts, does it grant the guaranteed share. Grants and guaranteed shares together therefore
// stay within L as long as there is one grantor and every gateway counts the same n. If all n
// gateways hold grants, the grants may add up to L.
//
// A gateway counts the term of a grant from the moment at which it sent its request; the
// grantor counts it from the later moment at which it answers. A delayed or lost answer can
// thus only make a grant end earlier at the gateway. A repeated request replaces the grant at
// the gateway, but the earlier one may still be in force there, so the grantor counts the
// larger of the two until the earlier one ends.
//
// In a fleet of at least LongTermMinGateways gateways, a demand that leaves room for others is
// granted with some headroom for LongTerm, so that the gateway need not ask again soon. Such
// grants together take at most LongTermFraction*L. If the demands exceed that, everything that
// is left is shared out for Term.
//
// A new grantor, whether it has started or taken over, grants nothing for Term+Margin, until
// the short grants of its predecessor have ended. For LongTerm+Margin it also leaves
// LongTermFraction*L unused and gives no long grants, since long grants of a predecessor may
// be in force. All of these come from the same grantor, since none gives long grants before
// those of its predecessor have ended. A controller that was the grantor all along but was not
// asked need not wait. The bound holds if no gateway asks the predecessor for longer than
// Margin after the takeover. While gateways ask two grantors for longer than that, the sum is
// at most 2*L.
//
// While a network partition splits the mesh into k parts with a grantor each, each part grants
// as if it were alone. A grantor therefore shares out only the fraction live/known of L, where
// known includes the gateways that it remembers from before the partition. When parts join, a
// gateway counts as live here only after JoinSpan; otherwise every former grantor would share out
// all of L until the parts agree on one. Long grants of the others may add LongTermFraction*L
// until they end. While it remembers
// them (membership forgets a gateway after 15 minutes), a part uses at most the larger of its
// own fraction of L and of GuaranteedFraction*L, since its gateways count only the gateways
// that they see live. The sum is then at most (1+(k-1)*GuaranteedFraction)*L. Once the other
// parts are forgotten it is at most k*L.
//
// Concurrency limits are divided into whole numbers, rounded down. A guaranteed share of
// concurrency is at least 1, so the sum may exceed the limit by at most one for each gateway
// without a grant.
package grant

import (
	"math"
	"sort"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
)

const (
	// Term is how long a grant lasts, except for the grants of LongTerm.
	Term = 3 * time.Second
	// Margin is how much longer than its term the grantor counts a grant as in force; the gateway
	// uses it for the term only. A new grantor likewise waits for the term of its predecessor's
	// grants plus Margin. It covers the clock drift between two hosts over a term, and the time
	// until all gateways know of a change of grantor.
	Margin = 2 * time.Second
	// GuaranteedFraction is the fraction of each limit that is divided equally among all gateways
	// as their guaranteed shares, which they may use without a grant.
	GuaranteedFraction = 0.25
	// floorFraction is the fraction of the available amount that is shared equally among the
	// gateways that ask, whatever their demand.
	floorFraction = 0.1
	// maxOutstandingPerGateway is how many grants the grantor keeps for each gateway, with their
	// own amounts and ends. Further grants are merged into the last of them, so that the list
	// stays short however often a gateway asks.
	maxOutstandingPerGateway = 8
)

// Amount is an amount of each of an organisation's limits.
type Amount struct {
	RequestsPerSecond float64
	Concurrency       int
	TokensPerMinute   float64
}

// contractAmount returns the limits of a contract as an amount.
func contractAmount(l contract.Limits) Amount {
	return Amount{l.RequestsPerSecond, l.Concurrency, float64(l.TokensPerMinute)}
}

// max returns the larger value of each field.
func (a Amount) max(b Amount) Amount {
	return Amount{
		math.Max(a.RequestsPerSecond, b.RequestsPerSecond),
		max(a.Concurrency, b.Concurrency),
		math.Max(a.TokensPerMinute, b.TokensPerMinute),
	}
}

// add returns the sum of two amounts.
func (a Amount) add(b Amount) Amount {
	return Amount{a.RequestsPerSecond + b.RequestsPerSecond, a.Concurrency + b.Concurrency, a.TokensPerMinute + b.TokensPerMinute}
}

// scale multiplies an amount by a fraction and rounds concurrency down.
func (a Amount) scale(fraction float64) Amount {
	return Amount{a.RequestsPerSecond * fraction, int(float64(a.Concurrency) * fraction), a.TokensPerMinute * fraction}
}

// Fleet is how many gateways the grantor knows.
type Fleet struct {
	// Live is the number of live gateways.
	Live int
	// Known is the number of gateways that membership remembers, live or not.
	Known int
	// Joined is the number of the live gateways that were not live for all of JoinSpan, and so may
	// hold grants of another grantor.
	Joined int
}

// JoinSpan is how long a gateway that became live may hold short grants of another grantor, whose
// network partition it was in.
const JoinSpan = Term + Margin

// grantedFraction returns the fraction of the known gateways that was live for all of JoinSpan, at
// most 1.
func (f Fleet) grantedFraction() float64 {
	return float64(f.Live-f.Joined) / float64(max(1, f.Live, f.Known))
}

// reservedShare returns the amount that is reserved for each gateway without a grant.
func (f Fleet) reservedShare(l contract.Limits) Amount {
	return contractAmount(l).scale(GuaranteedFraction / float64(max(1, f.Live)))
}

// GuaranteedShare returns what a gateway that counts that many live gateways may use without a
// grant.
func GuaranteedShare(l contract.Limits, gateways int) Amount {
	limit := contractAmount(l)
	share := limit.scale(GuaranteedFraction / float64(max(1, gateways)))
	share.Concurrency = max(share.Concurrency, min(limit.Concurrency, 1))
	return share
}

// outstandingGrant is a grant that may be in force at a gateway.
type outstandingGrant struct {
	amount  Amount
	expires time.Time
	long    bool // given for LongTerm
}

// gatewayState is the last demand of a gateway and its grants.
type gatewayState struct {
	wanted      Amount
	outstanding []outstandingGrant
}

// maxOutstanding returns the largest amount, field by field, of the grants that may be in
// force.
func (s *gatewayState) maxOutstanding() Amount {
	var most Amount
	for _, g := range s.outstanding {
		most = most.max(g.amount)
	}
	return most
}

// dropExpired removes the grants that have ended.
func (s *gatewayState) dropExpired(now time.Time) {
	kept := s.outstanding[:0]
	for _, g := range s.outstanding {
		if now.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	s.outstanding = kept
}

// add records a grant. Beyond maxOutstandingPerGateway it is merged with the last grant: the
// larger amount counts until the later of the two ends.
func (s *gatewayState) add(g outstandingGrant) {
	if len(s.outstanding) < maxOutstandingPerGateway {
		s.outstanding = append(s.outstanding, g)
		return
	}
	last := &s.outstanding[len(s.outstanding)-1]
	last.amount = last.amount.max(g.amount)
	last.long = last.long || g.long
	if g.expires.After(last.expires) {
		last.expires = g.expires
	}
}

// Allocator divides the limits of one organisation among the gateways. It is not safe for
// concurrent use.
type Allocator struct {
	grantsFrom time.Time                // until then grants of a predecessor may be in force
	gateways   map[string]*gatewayState // by machine.Process.ID; those that hold grants
}

// NewAllocator returns an allocator for an organisation for which no other grantor has been
// asked since the given time.
func NewAllocator(since time.Time) *Allocator {
	return &Allocator{grantsFrom: since.Add(Term + Margin), gateways: map[string]*gatewayState{}}
}

// Idle reports whether the allocator may be dropped: no grant is in force, and grants of a
// predecessor have ended.
func (a *Allocator) Idle(now time.Time) bool {
	for name, state := range a.gateways {
		state.dropExpired(now)
		if len(state.outstanding) == 0 {
			delete(a.gateways, name)
		}
	}
	return len(a.gateways) == 0 && !now.Before(a.grantsFrom)
}

// Outstanding returns the sum of the grants that may be in force.
func (a *Allocator) Outstanding(now time.Time) Amount {
	var sum Amount
	for _, state := range a.gateways {
		state.dropExpired(now)
		sum = sum.add(state.maxOutstanding())
	}
	return sum
}

// Allocate grants a gateway a share that follows from its demand, and records the grant. It
// returns false while grants of a predecessor may be in force.
func (a *Allocator) Allocate(now time.Time, gateway string, limits contract.Limits, f Fleet, d control.Demand) (Share, bool) {
	if now.Before(a.grantsFrom) {
		return Share{}, false
	}
	a.Idle(now)
	state := a.state(gateway)
	state.wanted = AmountOf(d)
	if amount, ok := a.longShare(now, gateway, limits, f); ok {
		state.add(outstandingGrant{amount, now.Add(LongTerm + Margin), true})
		return Share{amount, LongTerm}, true
	}
	amount := a.shortShare(now, gateway, limits, f)
	state.add(outstandingGrant{amount, now.Add(Term + Margin), false})
	return Share{amount, Term}, true
}

// state returns the state of a gateway, which it creates if needed.
func (a *Allocator) state(gateway string) *gatewayState {
	state, ok := a.gateways[gateway]
	if !ok {
		state = &gatewayState{}
		a.gateways[gateway] = state
	}
	return state
}

// shortShare returns a gateway's share for Term: in proportion to the demands, above an equal
// floor, and within what the other gateways leave. It is never below the guaranteed share
// computed from the known gateways, which is what gateways without a grant use, so that a
// gateway that asks is not worse off than one that does not. The guaranteed share computed
// from the live gateways could be larger, and in a network partition the parts would then
// exceed the bound on the sum.
func (a *Allocator) shortShare(now time.Time, gateway string, limits contract.Limits, f Fleet) Amount {
	reserve := f.reservedShare(limits)
	var totalWanted, others Amount
	for name, state := range a.gateways {
		totalWanted = totalWanted.add(state.wanted)
		if name != gateway {
			others = others.add(state.maxOutstanding().max(reserve))
		}
	}
	withoutGrant := max(0, f.Live-len(a.gateways))
	available := contractAmount(limits).scale(f.grantedFraction()).minus(reserve, withoutGrant)
	if f.longGrantsPossible() && now.Before(a.grantsFrom.Add(LongTerm-Term)) {
		available = available.minus(contractAmount(limits).scale(LongTermFraction), 1)
	}
	demand := a.gateways[gateway].wanted
	n := float64(len(a.gateways))
	granted := Amount{
		RequestsPerSecond: cappedShare(available.RequestsPerSecond, others.RequestsPerSecond, demandFraction(demand.RequestsPerSecond, totalWanted.RequestsPerSecond, n)),
		Concurrency:       a.concurrencyShare(gateway, available.Concurrency, others.Concurrency, totalWanted.Concurrency),
		TokensPerMinute:   cappedShare(available.TokensPerMinute, others.TokensPerMinute, demandFraction(demand.TokensPerMinute, totalWanted.TokensPerMinute, n)),
	}
	return granted.max(contractAmount(limits).scale(GuaranteedFraction / float64(max(1, f.Live, f.Known))))
}

// minus returns a-n*b, with negative fields set to 0.
func (a Amount) minus(b Amount, n int) Amount {
	return Amount{
		math.Max(0, a.RequestsPerSecond-b.RequestsPerSecond*float64(n)),
		max(0, a.Concurrency-b.Concurrency*n),
		math.Max(0, a.TokensPerMinute-b.TokensPerMinute*float64(n)),
	}
}

// demandFraction returns the fraction of the available amount that is due to a gateway with
// the given demand.
func demandFraction(demand, totalDemand, gateways float64) float64 {
	if totalDemand <= 0 {
		return 1 / gateways
	}
	return floorFraction/gateways + (1-floorFraction)*demand/totalDemand
}

// cappedShare returns a fraction of the available amount, at most what the others leave of it.
func cappedShare(available, others, fraction float64) float64 {
	return max(0, min(available*fraction, available-others))
}

// concurrencyShare returns a gateway's share of the available concurrency, in whole requests.
// What is left over by rounding down goes to the gateways in order of name, one each.
func (a *Allocator) concurrencyShare(gateway string, available, others, totalWanted int) int {
	names := make([]string, 0, len(a.gateways))
	for name := range a.gateways {
		names = append(names, name)
	}
	sort.Strings(names)
	n := float64(len(names))
	remainder, share, rank := available, 0, 0
	for i, name := range names {
		rounded := int(float64(available) * demandFraction(float64(a.gateways[name].wanted.Concurrency), float64(totalWanted), n))
		remainder -= rounded
		if name == gateway {
			share, rank = rounded, i
		}
	}
	if rank < remainder {
		share++
	}
	return max(0, min(share, available-others))
}
