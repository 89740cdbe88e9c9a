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

// init fixes the seed of the randomised runs.
func init() {
	if err := flag.Set("rapid.seed", "20260105"); err != nil {
		panic(err)
	}
}

// answer is a grant on its way to a gateway.
type answer struct {
	gateway int
	amount  Amount
	expires time.Time
}

// model is a fleet of gateways and one grantor at a time.
type model struct {
	now       time.Time
	limits    contract.Limits
	grantor   *Allocator
	former    *Allocator // may still be asked for Margin after a takeover
	tookOver  time.Time
	inForce   []answer
	travelled []answer
}

// sum returns what all gateways may use now.
func (m *model) sum() Amount {
	var sum Amount
	safe := GuaranteedShare(m.limits, len(m.inForce))
	for _, a := range m.inForce {
		if m.now.Before(a.expires) {
			sum = sum.add(a.amount)
		} else {
			sum = sum.add(safe)
		}
	}
	return sum
}

// ask lets a gateway ask a grantor; the answer travels for as long as it
// likes.
func (m *model) ask(t *rapid.T, o *Allocator) {
	g := rapid.IntRange(0, len(m.inForce)-1).Draw(t, "gateway")
	d := control.Demand{RequestsPerSecond: rapid.Float64Range(0, 500).Draw(t, "rate"), Concurrency: rapid.IntRange(0, 50).Draw(t, "concurrency")}
	share, ok := o.Allocate(m.now, fmt.Sprint(g), m.limits, Fleet{len(m.inForce), len(m.inForce)}, d)
	if ok {
		m.travelled = append(m.travelled, answer{g, share.Amount, m.now.Add(share.Term)})
	}
}

// askAll lets every gateway ask for about a part of the limit and hands over
// the answers.
func (m *model) askAll(t *rapid.T) {
	n := len(m.inForce)
	whole := rapid.Float64Range(0, 1.2).Draw(t, "part wanted by all") * m.limits.RequestsPerSecond
	for g := range n {
		d := control.Demand{RequestsPerSecond: whole / float64(n), Concurrency: 1}
		if share, ok := m.grantor.Allocate(m.now, fmt.Sprint(g), m.limits, Fleet{n, n}, d); ok {
			m.inForce[g] = answer{g, share.Amount, m.now.Add(share.Term)}
		}
	}
}

// TestSumStaysWithinContract checks the sums of the package comment through
// changes of grantor, late and lost answers.
func TestSumStaysWithinContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		gateways := rapid.OneOf(rapid.IntRange(1, 9), rapid.IntRange(LongTermMinGateways, LongTermMinGateways+9)).Draw(t, "gateways")
		m := &model{now: now, inForce: make([]answer, gateways)}
		m.limits = contract.Limits{RequestsPerSecond: rapid.Float64Range(0.5, 1000).Draw(t, "limit"), Concurrency: rapid.IntRange(0, 64).Draw(t, "concurrency limit")}
		m.grantor = NewAllocator(now)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(10, 70).Draw(t, "s")) * time.Second)
			},
			"ask":     func(t *rapid.T) { m.ask(t, m.grantor) },
			"all ask": func(t *rapid.T) { m.askAll(t) },
			"ask the former grantor": func(t *rapid.T) {
				if m.former != nil && m.now.Sub(m.tookOver) < Margin {
					m.ask(t, m.former)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(m.travelled) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.travelled)-1).Draw(t, "answer")
				a := m.travelled[i]
				m.travelled = append(m.travelled[:i], m.travelled[i+1:]...)
				m.inForce[a.gateway] = a
			},
			"lose": func(*rapid.T) { m.travelled = nil },
			"take over": func(*rapid.T) {
				if m.now.Sub(m.tookOver) > Term+Margin {
					m.former, m.grantor, m.tookOver = m.grantor, NewAllocator(m.now), m.now
				}
			},
			"": func(t *rapid.T) {
				sum := m.sum()
				if sum.RequestsPerSecond > m.limits.RequestsPerSecond*1.000001 {
					t.Fatalf("rate %v of %v", sum.RequestsPerSecond, m.limits.RequestsPerSecond)
				}
				if sum.Concurrency > m.limits.Concurrency+len(m.inForce) {
					t.Fatalf("concurrency %d of %d", sum.Concurrency, m.limits.Concurrency)
				}
			},
		})
	})
}

// TestSplitStaysWithinBound checks the stated bound while the mesh is split:
// each part remembers all gateways; some of its own hold grants, the others use
// the safe share of those that they know to be live.
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
				share, ok := o.Allocate(now, fmt.Sprint(p, g), limits, Fleet{n, known}, d)
				if !ok {
					t.Fatal("the grantor waits")
				}
				rate += share.RequestsPerSecond
			}
			rate += float64(n-asking) * GuaranteedShare(limits, n).RequestsPerSecond
		}
		bound := (1 + float64(len(parts)-1)*GuaranteedFraction) * limits.RequestsPerSecond
		if rate > bound*1.000001 {
			t.Fatalf("%v of %v", rate, bound)
		}
	})
}

// TestSharesFollowDemand checks the wait, the proportion, the floor and that
// the whole limit can be used when every gateway asks.
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

// TestLostGatewayStarvesNobody loses one of three gateways that hold the whole
// limit: its grant still counts and its part is set aside, but the others are
// granted no less than they could use without a grant.
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
	safe := GuaranteedShare(limits, 3) // a gateway remembers the third one as long
	for range 10 {
		for _, gateway := range []string{"a", "b"} {
			share, _ := o.Allocate(now, gateway, limits, Fleet{Live: 2, Known: 3}, demand)
			is.True(share.RequestsPerSecond >= safe.RequestsPerSecond)
			is.True(share.Concurrency >= safe.Concurrency)
			is.True(share.TokensPerMinute >= safe.TokensPerMinute)
		}
		now = now.Add(time.Second)
	}
}

// TestLongTermLeavesRoom checks who gets the long term: gateways of a large
// fleet, while what all want leaves room, once the grants of a predecessor have
// ended; and that a newcomer finds room.
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
	is.Equal(ask("a", 10).Term, Term) // a predecessor's may be in force
	now = now.Add(LongTerm - Term)
	first := ask("a", 10)
	is.Equal(first.Term, LongTerm)
	is.Equal(first.RequestsPerSecond, 12.5)
	for i := range 3 {
		is.Equal(ask(fmt.Sprint("b", i), 9).Term, LongTerm)
	}
	last := ask("c", 30)
	is.Equal(last.Term, Term) // beyond the part for long terms
	is.True(last.RequestsPerSecond > 12)
	fleet = Fleet{Live: LongTermMinGateways - 1, Known: LongTermMinGateways - 1}
	is.Equal(ask("a", 1).Term, Term)
}

// TestNewGrantorLeavesLongGrantsAlone takes over from a grantor whose long
// grants are in force.
func TestNewGrantorLeavesLongGrantsAlone(t *testing.T) {
	is := is.New(t)
	limits := contract.Limits{RequestsPerSecond: 100, Concurrency: 40}
	fleet := Fleet{Live: 40, Known: 40}
	now := time.Unix(1000, 0)
	former := NewAllocator(now.Add(-time.Hour))
	var out float64
	for i := range 20 {
		s, _ := former.Allocate(now, fmt.Sprint(i), limits, fleet, control.Demand{RequestsPerSecond: 1.9})
		if s.Term == LongTerm {
			out += s.RequestsPerSecond
		}
	}
	is.True(out > 40 && out <= 100*LongTermFraction)
	successor := NewAllocator(now)
	now = now.Add(Term + Margin)
	s, ok := successor.Allocate(now, "new", limits, fleet, control.Demand{RequestsPerSecond: 100})
	is.True(ok)
	is.Equal(s.Term, Term)
	is.True(s.RequestsPerSecond > 20) // it serves at once from the rest
	is.True(out+s.RequestsPerSecond+19*GuaranteedShare(limits, 40).RequestsPerSecond <= 100)
}

// TestManyIssuesKeepTheLatestEnd checks that a short grant which is counted
// together with a long one does not end it earlier.
func TestManyIssuesKeepTheLatestEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := &holder{}
	for range maxIssues {
		h.add(issue{Amount{RequestsPerSecond: 1}, now.Add(LongTerm), true})
	}
	h.add(issue{Amount{RequestsPerSecond: 2}, now.Add(Term), false})
	h.prune(now.Add(LongTerm - time.Second))
	is.Equal(h.held().RequestsPerSecond, 2.0)
	is.Equal(h.heldLong().RequestsPerSecond, 2.0)
}
