// Package grant shares out the limits of organisations among gateways. It
// does no I/O: time comes in.
//
// # Sums
//
// A gateway without a grant in force uses GuaranteedShare(L, n), that is
// GuaranteedFraction*L/n of a limit L among n gateways, and a gateway with one uses only
// the grant. A grantor counts each gateway that holds grants with the larger of
// its grants and a safe share, and each other gateway with a safe share, and
// grants no more than what that leaves of L, or a safe share where that is more,
// as after the loss of a gateway whose grant still counts. So grants and safe shares together
// stay within L as long as there is one grantor and every gateway counts the
// same n, and when all n gateways hold grants these may sum to L.
//
// A grant runs for a term counted from the moment at which the gateway sent
// its request, and the grantor counts the term from the later moment at which
// it answers: a delayed or lost answer can only end earlier at the gateway. A
// repeated request replaces a grant, but the earlier one may still be in
// force, so the larger of the two is counted until the earlier one ends.
//
// In a fleet of LongTermMinGateways gateways and more a demand that leaves room for
// others is granted with a little headroom for LongTerm, so that it need not be
// asked for again soon; together such grants take up LongTermFraction*L at most. Where
// demands exceed that, the whole of what is left is shared out for Term.
//
// A new grantor, started or taken over, grants nothing for one term and a
// margin, in which the predecessor's short grants end. For LongTerm and a
// margin it leaves LongTermFraction*L alone and gives no long term, since the
// predecessor's long grants may be in force, and those of its predecessors:
// all of one of them, since none gives a long term before those before it
// ended. One that was the grantor all
// along, though nobody asked it, need not wait. The sum holds when no gateway
// has the predecessor asked for longer than the margin after the takeover;
// while two grantors are asked side by side for longer, the sum is at most 2*L.
//
// While the mesh is split into k parts that each have a grantor, each part
// grants as if it were alone. A grantor therefore shares out only the part
// live/known of L, where known counts the gateways that it remembers from
// before the split. While that memory lasts (membership forgets after 15
// minutes) a part uses at most the larger of its own share of L and of
// GuaranteedFraction*L, since its gateways count only those that they know to be live:
// the sum is at most (1+(k-1)*GuaranteedFraction)*L then, and k*L once the other parts
// are forgotten.
//
// Limits of concurrency are shared in whole numbers, rounded down. A safe
// share of concurrency is at least 1, so the sum may exceed the limit by at
// most one for each gateway without a grant.
package grant

import (
	"math"
	"sort"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
)

const (
	// Term is how long a grant is in force.
	Term = 3 * time.Second
	// Margin covers the difference in speed of two clocks over a term, and the
	// spread of a change of grantor through the mesh.
	Margin = 2 * time.Second
	// GuaranteedFraction is the part of each limit that is set aside for safe shares.
	GuaranteedFraction = 0.25
	// floorPart is the part of what may be granted that is shared equally among the
	// gateways that ask, whatever they ask for.
	floorPart = 0.1
	// maxIssues bounds the grants of one gateway that are counted one by one.
	maxIssues = 8
)

// Amount is a share of an organisation's limits.
type Amount struct {
	RequestsPerSecond float64
	Concurrency       int
	TokensPerMinute   float64
}

// limitsOf returns the limits of a contract as an amount.
func limitsOf(l contract.Limits) Amount {
	return Amount{l.RequestsPerSecond, l.Concurrency, float64(l.TokensPerMinute)}
}

// max returns the larger of two amounts, field by field.
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

// scale multiplies an amount; concurrency is rounded down.
func (a Amount) scale(part float64) Amount {
	return Amount{a.RequestsPerSecond * part, int(float64(a.Concurrency) * part), a.TokensPerMinute * part}
}

// Fleet is what a grantor knows of the gateways.
type Fleet struct {
	// Live is the number of live gateways.
	Live int
	// Known is the number of gateways that are remembered, live or not.
	Known int
}

// presence returns the part of the known gateways that is live, from 0 to 1.
func (f Fleet) presence() float64 {
	if f.Known <= f.Live {
		return 1
	}
	return float64(f.Live) / float64(f.Known)
}

// reserve returns what is set aside for each gateway without a grant.
func (f Fleet) reserve(l contract.Limits) Amount {
	return limitsOf(l).scale(GuaranteedFraction / float64(max(1, f.Live)))
}

// GuaranteedShare returns what a gateway may use without a grant when it counts
// that many gateways.
func GuaranteedShare(l contract.Limits, gateways int) Amount {
	limit := limitsOf(l)
	share := limit.scale(GuaranteedFraction / float64(max(1, gateways)))
	share.Concurrency = max(share.Concurrency, min(limit.Concurrency, 1))
	return share
}

// issue is one grant that may be in force.
type issue struct {
	amount  Amount
	expires time.Time
	long    bool // with the long term
}

// holder is what one gateway asked for and holds.
type holder struct {
	wanted Amount
	issues []issue
}

// held returns the largest amount that may be in force.
func (h *holder) held() Amount {
	var most Amount
	for _, i := range h.issues {
		most = most.max(i.amount)
	}
	return most
}

// prune drops the grants that ended.
func (h *holder) prune(now time.Time) {
	kept := h.issues[:0]
	for _, i := range h.issues {
		if now.Before(i.expires) {
			kept = append(kept, i)
		}
	}
	h.issues = kept
}

// add counts a grant; beyond the bound the last two are counted as one.
func (h *holder) add(i issue) {
	if len(h.issues) < maxIssues {
		h.issues = append(h.issues, i)
		return
	}
	last := &h.issues[len(h.issues)-1]
	last.amount = last.amount.max(i.amount)
	last.long = last.long || i.long
	if i.expires.After(last.expires) {
		last.expires = i.expires
	}
}

// Allocator shares out the limits of one organisation. It is not safe for
// concurrent use.
type Allocator struct {
	opens   time.Time
	holders map[string]*holder // by machine.Process.ID of the gateway
}

// NewAllocator returns the grantor's state for an organisation for which no
// other grantor was asked since a time.
func NewAllocator(since time.Time) *Allocator {
	return &Allocator{opens: since.Add(Term + Margin), holders: map[string]*holder{}}
}

// Idle tells whether no grant is in force.
func (o *Allocator) Idle(now time.Time) bool {
	for name, h := range o.holders {
		h.prune(now)
		if len(h.issues) == 0 {
			delete(o.holders, name)
		}
	}
	return len(o.holders) == 0 && !now.Before(o.opens)
}

// Outstanding returns the sum of the grants that may be in force.
func (o *Allocator) Outstanding(now time.Time) Amount {
	var sum Amount
	for _, h := range o.holders {
		h.prune(now)
		sum = sum.add(h.held())
	}
	return sum
}

// Allocate answers a gateway's demand with its share. It returns false while the
// grantor waits for earlier grants to end.
func (o *Allocator) Allocate(now time.Time, gateway string, limits contract.Limits, f Fleet, d control.Demand) (Share, bool) {
	if now.Before(o.opens) {
		return Share{}, false
	}
	o.Idle(now)
	h := o.holder(gateway)
	h.wanted = AmountOf(d)
	if amount, ok := o.long(now, gateway, limits, f); ok {
		h.add(issue{amount, now.Add(LongTerm + Margin), true})
		return Share{amount, LongTerm}, true
	}
	amount := o.share(now, gateway, limits, f)
	h.add(issue{amount, now.Add(Term + Margin), false})
	return Share{amount, Term}, true
}

// holder returns the state of a gateway.
func (o *Allocator) holder(gateway string) *holder {
	h, ok := o.holders[gateway]
	if !ok {
		h = &holder{}
		o.holders[gateway] = h
	}
	return h
}

// share returns a gateway's part of what may be granted: in proportion to the
// demands, above an equal floor, and within what the others leave. It is never
// below the safe share by the known gateways, by which those count that have
// no grant: a gateway that asks is not worse off than one that does not. By the
// live ones it could be more, and the parts of a split mesh would add up to more
// than the bound.
func (o *Allocator) share(now time.Time, gateway string, limits contract.Limits, f Fleet) Amount {
	reserve := f.reserve(limits)
	var wanted, others Amount
	for name, h := range o.holders {
		wanted = wanted.add(h.wanted)
		if name != gateway {
			others = others.add(h.held().max(reserve))
		}
	}
	idle := max(0, f.Live-len(o.holders))
	pool := limitsOf(limits).scale(f.presence()).less(reserve, idle)
	if f.mayBeLong() && now.Before(o.opens.Add(LongTerm-Term)) {
		pool = pool.less(limitsOf(limits).scale(LongTermFraction), 1)
	}
	mine := o.holders[gateway].wanted
	n := float64(len(o.holders))
	granted := Amount{
		RequestsPerSecond: within(pool.RequestsPerSecond, others.RequestsPerSecond, part(mine.RequestsPerSecond, wanted.RequestsPerSecond, n)),
		Concurrency:       o.whole(gateway, pool.Concurrency, others.Concurrency, wanted.Concurrency),
		TokensPerMinute:   within(pool.TokensPerMinute, others.TokensPerMinute, part(mine.TokensPerMinute, wanted.TokensPerMinute, n)),
	}
	return granted.max(limitsOf(limits).scale(GuaranteedFraction / float64(max(1, f.Live, f.Known))))
}

// less returns an amount less n times another, and 0 at least.
func (a Amount) less(b Amount, n int) Amount {
	return Amount{
		math.Max(0, a.RequestsPerSecond-b.RequestsPerSecond*float64(n)),
		max(0, a.Concurrency-b.Concurrency*n),
		math.Max(0, a.TokensPerMinute-b.TokensPerMinute*float64(n)),
	}
}

// part returns a gateway's part, from 0 to 1.
func part(mine, wanted, n float64) float64 {
	if wanted <= 0 {
		return 1 / n
	}
	return floorPart/n + (1-floorPart)*mine/wanted
}

// within returns a part of the pool, at most what the others leave of it.
func within(pool, others, part float64) float64 {
	return max(0, min(pool*part, pool-others))
}

// whole returns a gateway's part of a pool of whole numbers. What rounding
// leaves over goes to gateways in order of name, one each.
func (o *Allocator) whole(gateway string, pool, others, wanted int) int {
	names := make([]string, 0, len(o.holders))
	for name := range o.holders {
		names = append(names, name)
	}
	sort.Strings(names)
	n := float64(len(names))
	left, target, rank := pool, 0, 0
	for i, name := range names {
		rounded := int(float64(pool) * part(float64(o.holders[name].wanted.Concurrency), float64(wanted), n))
		left -= rounded
		if name == gateway {
			target, rank = rounded, i
		}
	}
	if rank < left {
		target++
	}
	return max(0, min(target, pool-others))
}
