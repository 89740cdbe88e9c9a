package grant

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/contract"
	"zinniapin/control"
	_ "zinniapin/internal/fixedseed"
)

// init sets a fixed seed, so that every run checks the same random cases.
func init() {
	if err := flag.Set("rapid.seed", "20260105"); err != nil {
		panic(err)
	}
}

// issuedGrant is a grant as its gateway sees it.
type issuedGrant struct {
	gateway int
	amount  Amount
	expires time.Time
}

// fleetModel simulates gateways that ask one grantor at a time, with delayed and lost answers.
type fleetModel struct {
	now         time.Time
	limits      contract.Limits
	grantor     *Allocator
	predecessor *Allocator    // grantor before the last takeover; answers for Margin after it
	tookOver    time.Time     // of the last takeover
	inForce     []issuedGrant // by gateway
	inTransit   []issuedGrant // answers that have not arrived
}

// totalShares returns the sum of what all gateways may use at present.
func (m *fleetModel) totalShares() Amount {
	var sum Amount
	guaranteed := GuaranteedShare(m.limits, len(m.inForce))
	for _, held := range m.inForce {
		if m.now.Before(held.expires) {
			sum = sum.add(held.amount)
		} else {
			sum = sum.add(guaranteed)
		}
	}
	return sum
}

// requestGrant sends a random demand of a random gateway to an allocator and puts the answer
// in transit.
func (m *fleetModel) requestGrant(t *rapid.T, allocator *Allocator) {
	g := rapid.IntRange(0, len(m.inForce)-1).Draw(t, "gateway")
	d := control.Demand{RequestsPerSecond: rapid.Float64Range(0, 500).Draw(t, "rate"), Concurrency: rapid.IntRange(0, 50).Draw(t, "concurrency")}
	share, ok := allocator.Allocate(m.now, fmt.Sprint(g), m.limits, Fleet{Live: len(m.inForce), Known: len(m.inForce)}, d)
	if ok {
		m.inTransit = append(m.inTransit, issuedGrant{g, share.Amount, m.now.Add(share.Term)})
	}
}

// requestAll makes all gateways ask for an equal part of a random fraction of the limit, and
// delivers the answers at once.
func (m *fleetModel) requestAll(t *rapid.T) {
	n := len(m.inForce)
	totalRate := rapid.Float64Range(0, 1.2).Draw(t, "part wanted by all") * m.limits.RequestsPerSecond
	for g := range n {
		d := control.Demand{RequestsPerSecond: totalRate / float64(n), Concurrency: 1}
		if share, ok := m.grantor.Allocate(m.now, fmt.Sprint(g), m.limits, Fleet{Live: n, Known: n}, d); ok {
			m.inForce[g] = issuedGrant{g, share.Amount, m.now.Add(share.Term)}
		}
	}
}

// TestSumStaysWithinContract checks the bounds on the sum for a single mesh, as the package
// comment states them, through random takeovers and with delayed, reordered and lost answers.
func TestSumStaysWithinContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		gateways := rapid.OneOf(rapid.IntRange(1, 9), rapid.IntRange(LongTermMinGateways, LongTermMinGateways+9)).Draw(t, "gateways")
		m := &fleetModel{now: now, inForce: make([]issuedGrant, gateways)}
		m.limits = contract.Limits{RequestsPerSecond: rapid.Float64Range(0.5, 1000).Draw(t, "limit"), Concurrency: rapid.IntRange(0, 64).Draw(t, "concurrency limit")}
		m.grantor = NewAllocator(now)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(10, 70).Draw(t, "s")) * time.Second)
			},
			"ask":     func(t *rapid.T) { m.requestGrant(t, m.grantor) },
			"all ask": func(t *rapid.T) { m.requestAll(t) },
			"ask the former grantor": func(t *rapid.T) {
				if m.predecessor != nil && m.now.Sub(m.tookOver) < Margin {
					m.requestGrant(t, m.predecessor)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(m.inTransit) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "answer")
				a := m.inTransit[i]
				m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
				m.inForce[a.gateway] = a
			},
			"lose": func(*rapid.T) { m.inTransit = nil },
			"take over": func(*rapid.T) {
				if m.now.Sub(m.tookOver) > Term+Margin {
					m.predecessor, m.grantor, m.tookOver = m.grantor, NewAllocator(m.now), m.now
				}
			},
			"": func(t *rapid.T) {
				sum := m.totalShares()
				if sum.RequestsPerSecond > m.limits.RequestsPerSecond*1.000001 {
					t.Fatalf("rate %v with a limit of %v", sum.RequestsPerSecond, m.limits.RequestsPerSecond)
				}
				if sum.Concurrency > m.limits.Concurrency+len(m.inForce) {
					t.Fatalf("concurrency %d with a limit of %d", sum.Concurrency, m.limits.Concurrency)
				}
			},
		})
	})
}

// TestSplitStaysWithinBound checks the bound on the sum for a network partition: each part
// remembers all gateways, some of its own hold grants, and the others use the guaranteed share
// computed from the gateways that are live in their part.
func TestSplitStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := contract.Limits{RequestsPerSecond: 100, Concurrency: 40}
		parts := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(t, "gateways of parts")
		known := 0
		for _, n := range parts {
			known += n
		}
		now := time.Unix(1000, 0)
		rate := 0.0
		for p, n := range parts {
			o := NewAllocator(now.Add(-time.Minute))
			asking := rapid.IntRange(0, n).Draw(t, "gateways that ask")
			for g := range asking {
				d := control.Demand{RequestsPerSecond: rapid.Float64Range(0, 300).Draw(t, "rate")}
				share, ok := o.Allocate(now, fmt.Sprint(p, g), limits, Fleet{Live: n, Known: known}, d)
				if !ok {
					t.Fatal("the grantor gives no grants yet")
				}
				rate += share.RequestsPerSecond
			}
			rate += float64(n-asking) * GuaranteedShare(limits, n).RequestsPerSecond
		}
		bound := (1 + float64(len(parts)-1)*GuaranteedFraction) * limits.RequestsPerSecond
		if rate > bound*1.000001 {
			t.Fatalf("rate %v with a bound of %v", rate, bound)
		}
	})
}

// TestSharesFollowDemand checks that a new grantor waits, that shares are proportional to
// demand above a floor, and that the whole limit can be used when every gateway asks.
func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	limits := contract.Limits{RequestsPerSecond: 100, Concurrency: 8}
	now := time.Unix(1000, 0)
	o := NewAllocator(now)
	fleet := Fleet{Live: 2, Known: 2}
	_, ok := o.Allocate(now.Add(Term), "a", limits, fleet, control.Demand{RequestsPerSecond: 90})
	is.True(!ok) // a new grantor waits
	now = now.Add(Term + Margin)
	var a, b Share
	for range 10 {
		a, _ = o.Allocate(now, "a", limits, fleet, control.Demand{RequestsPerSecond: 90, Concurrency: 5})
		b, _ = o.Allocate(now, "b", limits, fleet, control.Demand{RequestsPerSecond: 10, Concurrency: 1})
		now = now.Add(time.Second)
	}
	is.True(a.RequestsPerSecond > 80)
	is.True(b.RequestsPerSecond > 12)
	is.True(a.RequestsPerSecond+b.RequestsPerSecond > 97)
	is.Equal(a.Concurrency+b.Concurrency, 8)
}

// TestLostGatewayStarvesNobody checks that the loss of one of three gateways does not leave
// the others with less than their guaranteed share. The grant of the lost gateway still
// counts, so that nothing else is left to grant.
func TestLostGatewayStarvesNobody(t *testing.T) {
	is := is.New(t)
	limits := contract.Limits{RequestsPerSecond: 90, Concurrency: 30, TokensPerMinute: 9000}
	demand := control.Demand{RequestsPerSecond: 10, Concurrency: 3, TokensPerMinute: 100}
	now := time.Unix(1000, 0)
	o := NewAllocator(now.Add(-time.Minute))
	for range 10 {
		for _, gateway := range []string{"a", "b", "c"} {
			o.Allocate(now, gateway, limits, Fleet{Live: 3, Known: 3}, demand)
		}
		now = now.Add(time.Second)
	}
	guaranteed := GuaranteedShare(limits, 3) // gateways still count the lost one
	for range 10 {
		for _, gateway := range []string{"a", "b"} {
			share, _ := o.Allocate(now, gateway, limits, Fleet{Live: 2, Known: 3}, demand)
			is.True(share.RequestsPerSecond >= guaranteed.RequestsPerSecond)
			is.True(share.Concurrency >= guaranteed.Concurrency)
			is.True(share.TokensPerMinute >= guaranteed.TokensPerMinute)
		}
		now = now.Add(time.Second)
	}
}

// TestLongTermLeavesRoom checks which grants are long: those of a large fleet, after the
// grants of a predecessor have ended, while the demands leave room. It also checks that a
// gateway that asks later still gets a share.
func TestLongTermLeavesRoom(t *testing.T) {
	is := is.New(t)
	limits := contract.Limits{RequestsPerSecond: 100, Concurrency: 40}
	fleet := Fleet{Live: 390, Known: 390}
	now := time.Unix(1000, 0)
	o := NewAllocator(now)
	ask := func(gateway string, rate float64) Share {
		s, ok := o.Allocate(now, gateway, limits, fleet, control.Demand{RequestsPerSecond: rate, Concurrency: 1})
		is.True(ok)
		return s
	}
	now = now.Add(Term + Margin)
	is.Equal(ask("a", 10).Term, Term) // long grants of a predecessor may be in force
	now = now.Add(LongTerm - Term)
	first := ask("a", 10)
	is.Equal(first.Term, LongTerm)
	is.Equal(first.RequestsPerSecond, 12.5) // the demand of 10 times demandHeadroom
	for i := range 3 {
		is.Equal(ask(fmt.Sprint("b", i), 9).Term, LongTerm)
	}
	last := ask("c", 30)
	is.Equal(last.Term, Term) // more than LongTermFraction leaves
	is.True(last.RequestsPerSecond > 12)
	fleet = Fleet{Live: LongTermMinGateways - 1, Known: LongTermMinGateways - 1}
	is.Equal(ask("a", 1).Term, Term)
}

// TestNewGrantorLeavesLongGrantsAlone checks that a new grantor serves demands at once and
// still keeps the sum within the contract while the long grants of its predecessor are in
// force.
func TestNewGrantorLeavesLongGrantsAlone(t *testing.T) {
	is := is.New(t)
	limits := contract.Limits{RequestsPerSecond: 100, Concurrency: 40}
	fleet := Fleet{Live: 40, Known: 40}
	now := time.Unix(1000, 0)
	former := NewAllocator(now.Add(-time.Hour))
	var outstanding float64
	for i := range 20 {
		s, _ := former.Allocate(now, fmt.Sprint(i), limits, fleet, control.Demand{RequestsPerSecond: 1.9})
		if s.Term == LongTerm {
			outstanding += s.RequestsPerSecond
		}
	}
	is.True(outstanding > 40 && outstanding <= 100*LongTermFraction)
	successor := NewAllocator(now)
	now = now.Add(Term + Margin)
	s, ok := successor.Allocate(now, "new", limits, fleet, control.Demand{RequestsPerSecond: 100})
	is.True(ok)
	is.Equal(s.Term, Term)
	is.True(s.RequestsPerSecond > 20) // granted from the rest of the limit
	is.True(outstanding+s.RequestsPerSecond+19*GuaranteedShare(limits, 40).RequestsPerSecond <= 100)
}

// TestManyIssuesKeepTheLatestEnd checks that a short grant that is merged with a long one does
// not end the long one early.
func TestManyIssuesKeepTheLatestEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	state := &gatewayState{}
	for range maxOutstandingPerGateway {
		state.add(outstandingGrant{Amount{RequestsPerSecond: 1}, now.Add(LongTerm), true})
	}
	state.add(outstandingGrant{Amount{RequestsPerSecond: 2}, now.Add(Term), false})
	state.dropExpired(now.Add(LongTerm - time.Second))
	is.Equal(state.maxOutstanding().RequestsPerSecond, 2.0)
	is.Equal(state.maxLongOutstanding().RequestsPerSecond, 2.0)
}
