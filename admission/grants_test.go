package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
)

// fleetModel runs the schedulers of several gateways with the allocator that grants their
// shares of one contract. Time and message delivery are simulated.
type fleetModel struct {
	now         time.Time
	contract    *contract.Contract
	gateways    []*Scheduler
	cutSince    map[int]time.Time // gateways that reach no controller, by index
	activeSince map[int]time.Time // when the organisation last became active, by gateway
	grantor     *grant.Allocator
	predecessor *grant.Allocator // grantor before the last takeover; answers for grant.Margin after it
	tookOver    time.Time        // of the last takeover
	inTransit   []grantInTransit
}

// grantInTransit is a grant that has not reached its gateway yet.
type grantInTransit struct {
	gateway int
	grant   control.Grant
}

// failureTimeout is how long a gateway must be cut off until the grantors of the model
// consider it failed.
const failureTimeout = 16 * time.Second

// newFleetModel returns n gateways that are linked to one grantor.
func newFleetModel(n int, limits contract.Limits) *fleetModel {
	m := &fleetModel{now: start, contract: &contract.Contract{Organisation: "a", Limits: limits}, cutSince: map[int]time.Time{}, activeSince: map[int]time.Time{}}
	for range n {
		s := New(1000)
		s.SetCapacity("p", 1000)
		s.SetGateways(n)
		m.gateways = append(m.gateways, s)
	}
	m.grantor = grant.NewAllocator(m.now)
	m.advance(0)
	return m
}

// advance advances the time. Gateways that are not cut off note that they reach a controller.
func (m *fleetModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for i, s := range m.gateways {
		if _, cut := m.cutSince[i]; !cut {
			s.ControllerReached(m.now)
		}
	}
}

// fleet returns the grantor's view of the gateways: those that are cut off count as live until
// failureTimeout, and stay known after that.
func (m *fleetModel) fleet() grant.Fleet {
	live := len(m.gateways)
	for _, since := range m.cutSince {
		if m.now.Sub(since) >= failureTimeout {
			live--
		}
	}
	return grant.Fleet{Live: live, Known: len(m.gateways)}
}

// requestGrant sends the demand of a gateway to an allocator and puts the answer in transit.
// Gateways that are cut off send nothing.
func (m *fleetModel) requestGrant(gateway int, allocator *grant.Allocator, d control.Demand) {
	if _, cut := m.cutSince[gateway]; cut {
		return
	}
	share, ok := allocator.Allocate(m.now, fmt.Sprint(gateway), m.contract.Limits, m.fleet(), d)
	if !ok {
		return
	}
	m.inTransit = append(m.inTransit, grantInTransit{gateway, control.Grant{Organisation: "a", Expires: m.now.Add(share.Term),
		RequestsPerSecond: share.RequestsPerSecond, Concurrency: share.Concurrency, TokensPerMinute: share.TokensPerMinute}})
}

// deliver hands the i-th grant in transit to its gateway.
func (m *fleetModel) deliver(i int) {
	message := m.inTransit[i]
	m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
	m.gateways[message.gateway].SetGrants(m.now, []control.Grant{message.grant})
}

// totalLimits returns the sum of what all gateways may use at present.
func (m *fleetModel) totalLimits() limits {
	var sum limits
	for _, s := range m.gateways {
		l := s.effectiveLimits(m.now, s.organisation("a"), m.contract)
		sum.rate += l.rate
		sum.tokens += l.tokens
		sum.concurrency += l.concurrency
	}
	return sum
}

// activate makes the organisation newly active at a gateway, unless a grant is in force there.
func (m *fleetModel) activate(i int) {
	s := m.gateways[i]
	if o := s.organisation("a"); o.grant != nil && m.now.Before(o.grant.Expires) {
		return
	}
	delete(s.organisations, "a")
	m.activeSince[i] = m.now
	if ticket, err := s.Admit(m.now, request(m.contract, m.now, 1)); err == nil {
		s.Done(m.now, ticket, 0)
	}
}

// gatewaysAboveShare returns the number of gateways that may use 1/n of the contract instead
// of their guaranteed share, as effectiveLimits documents.
func (m *fleetModel) gatewaysAboveShare() int {
	n := 0
	for i := range m.gateways {
		since, isCut := m.cutSince[i]
		began, isNew := m.activeSince[i]
		if isCut && m.now.Sub(since) > grant.MaxTerm(len(m.gateways))+grant.Margin || isNew && m.now.Sub(began) < firstGrantWait {
			n++
		}
	}
	return n
}

// checkBounds checks the bounds that effectiveLimits documents.
func (m *fleetModel) checkBounds(t *rapid.T) {
	n := float64(len(m.gateways))
	limits, sum := m.contract.Limits, m.totalLimits()
	bound := (1 + (1-grant.GuaranteedFraction)*float64(m.gatewaysAboveShare())/n) * 1.000001
	if sum.rate > bound*limits.RequestsPerSecond {
		t.Fatalf("rate %v with a limit of %v and %d of %v gateways above their share", sum.rate, limits.RequestsPerSecond, m.gatewaysAboveShare(), n)
	}
	if most := bound * float64(limits.TokensPerMinute) / secondsPerMinute; sum.tokens > most {
		t.Fatalf("%v tokens per second, at most %v allowed", sum.tokens, most)
	}
	if most := bound*float64(limits.Concurrency) + n; float64(sum.concurrency) > most {
		t.Fatalf("concurrency %d, at most %v allowed", sum.concurrency, most)
	}
}

// TestJoinedLimitsStayWithinBounds checks that what all gateways may use together stays within
// the documented bounds. Random runs include changes of grantor, gateways that lose all
// controllers, organisations that become active at another gateway, and grants that arrive
// late, out of order or not at all.
func TestJoinedLimitsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.OneOf(rapid.IntRange(1, 9), rapid.IntRange(grant.LongTermMinGateways, grant.LongTermMinGateways+9)).Draw(t, "gateways")
		m := newFleetModel(n, contract.Limits{
			RequestsPerSecond: rapid.Float64Range(0.5, 1000).Draw(t, "rate limit"),
			Concurrency:       rapid.IntRange(1, 64).Draw(t, "concurrency limit"),
			TokensPerMinute:   rapid.IntRange(1, 100_000).Draw(t, "token limit"),
		})
		gateway := func(t *rapid.T) int { return rapid.IntRange(0, len(m.gateways)-1).Draw(t, "gateway") }
		demand := func(t *rapid.T) control.Demand {
			return control.Demand{
				RequestsPerSecond: rapid.Float64Range(0, 1000).Draw(t, "rate"),
				Concurrency:       rapid.IntRange(0, 64).Draw(t, "concurrency"),
				TokensPerMinute:   rapid.Float64Range(0, 100_000).Draw(t, "tokens"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(10, 70).Draw(t, "s")) * time.Second)
			},
			"all ask for a part": func(t *rapid.T) {
				part := rapid.Float64Range(0, 1.2).Draw(t, "part wanted by all") / float64(n)
				d := control.Demand{RequestsPerSecond: part * m.contract.Limits.RequestsPerSecond, Concurrency: 1, TokensPerMinute: part * float64(m.contract.Limits.TokensPerMinute)}
				for i := range m.gateways {
					m.requestGrant(i, m.grantor, d)
				}
				for len(m.inTransit) > 0 {
					m.deliver(0)
				}
			},
			"ask": func(t *rapid.T) { m.requestGrant(gateway(t), m.grantor, demand(t)) },
			"all ask": func(t *rapid.T) {
				for i := range m.gateways {
					m.requestGrant(i, m.grantor, demand(t))
				}
			},
			"ask the former grantor": func(t *rapid.T) {
				if m.predecessor != nil && m.now.Sub(m.tookOver) < grant.Margin {
					m.requestGrant(gateway(t), m.predecessor, demand(t))
				}
			},
			"deliver": func(t *rapid.T) {
				if len(m.inTransit) > 0 {
					m.deliver(rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "answer"))
				}
			},
			"lose": func(*rapid.T) { m.inTransit = nil },
			"take over": func(*rapid.T) {
				if m.now.Sub(m.tookOver) > grant.Term+grant.Margin {
					m.predecessor, m.grantor, m.tookOver = m.grantor, grant.NewAllocator(m.now), m.now
				}
			},
			"arrive anew": func(t *rapid.T) { m.activate(gateway(t)) },
			"cut off": func(t *rapid.T) {
				i := gateway(t)
				if _, cut := m.cutSince[i]; !cut {
					m.cutSince[i] = m.now
				}
			},
			"join": func(t *rapid.T) {
				delete(m.cutSince, gateway(t))
				m.advance(0)
			},
			"": m.checkBounds,
		})
	})
}

// refusedFractions simulates one minute at one gateway of six, with two requests per second
// that take 1.5 s each. It returns the fractions refused in the first ten seconds and later.
// The grantor gives no grants until grant.Term+grant.Margin after noOtherGrantorSince, since
// until then grants of a predecessor may be in force. A new grantor takes over at each time of
// takeovers.
func refusedFractions(t *testing.T, noOtherGrantorSince time.Time, takeovers ...time.Duration) (early, late float64) {
	const gateways, step, service, length = 6, 100 * time.Millisecond, 1500 * time.Millisecond, time.Minute
	m := newFleetModel(gateways, contract.Limits{RequestsPerSecond: 10, Concurrency: 10})
	m.grantor = grant.NewAllocator(noOtherGrantorSince)
	s := m.gateways[0]
	var arrived, refused [2]float64
	type run struct {
		ticket *Ticket
		ends   time.Time
	}
	var running []run
	for i := range int(length / step) {
		m.advance(step)
		for len(running) > 0 && !m.now.Before(running[0].ends) {
			s.Done(m.now, running[0].ticket, 0)
			running = running[1:]
		}
		for _, at := range takeovers {
			if m.now.Equal(start.Add(at)) {
				m.grantor = grant.NewAllocator(m.now)
			}
		}
		phase := 0
		if m.now.Sub(start) > 10*time.Second {
			phase = 1
		}
		if i%5 == 0 {
			arrived[phase]++
			ticket, err := s.Admit(m.now, request(m.contract, m.now, 1))
			if err == nil {
				s.Dispatch(m.now, "p")
				running = append(running, run{ticket, m.now.Add(service)})
			} else {
				refused[phase]++
			}
		}
		if i%10 == 9 {
			for _, d := range s.Demands(m.now) {
				m.requestGrant(0, m.grantor, d)
			}
			for len(m.inTransit) > 0 {
				m.deliver(0)
			}
		}
	}
	return refused[0] / arrived[0], refused[1] / arrived[1]
}

// TestSmallContractAtOneGateway bounds the refusals of an organisation whose callers all use
// one of six gateways: 2 requests per second of 1.5 s each, so 3 in progress, under a contract
// of 10 per second and 10 in progress. An even split of the contract would allow a gateway 2
// in progress (10/6, rounded up), and the guaranteed share without a grant is 1 in progress
// and 0.4 requests per second.
//
// With an established grantor nothing may be refused. A new grantor gives no grants for the
// first 5 s (grant.Term+grant.Margin). The gateway may use the even split for firstGrantWait
// and its guaranteed share until its first grant, so up to 30 % may be refused in the first
// 10 s. After a takeover the gateway's last grant ends within 3 s (grant.Term), while the new
// grantor again gives none for 5 s; up to 10 % may be refused in 50 s with two takeovers.
func TestSmallContractAtOneGateway(t *testing.T) {
	early, late := refusedFractions(t, start.Add(-time.Hour))
	t.Logf("established grantor: %.1f%% refused in the first 10 s, %.1f%% later", 100*early, 100*late)
	if early > 0 || late > 0 {
		t.Errorf("fractions %.3f and %.3f refused", early, late)
	}
	early, late = refusedFractions(t, start)
	t.Logf("new grantor in its waiting time: %.1f%% in the first 10 s, %.1f%% later", 100*early, 100*late)
	if early > 0.3 || late > 0 {
		t.Errorf("fractions %.3f and %.3f refused", early, late)
	}
	_, late = refusedFractions(t, start.Add(-time.Hour), 20*time.Second, 40*time.Second)
	t.Logf("two takeovers in 50 s: %.1f%% refused", 100*late)
	if late > 0.1 {
		t.Errorf("fraction %.3f refused", late)
	}
}
