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

// joined runs the cores of gateways and of grantors together.
type joined struct {
	now       time.Time
	terms     *contract.Contract
	gateways  []*Scheduler
	cut       map[int]time.Time // gateways that reach no controller, and since when
	fresh     map[int]time.Time // gateways at which the organisation became active, and when
	grantor   *grant.Allocator
	former    *grant.Allocator // may be asked for grant.Margin after a takeover
	tookOver  time.Time
	travelled []travelling
}

// travelling is a grant on its way to a gateway.
type travelling struct {
	gateway int
	grant   control.Grant
}

// suspicion is the time after which the model's grantors take a gateway that
// is cut off for dead.
const suspicion = 16 * time.Second

// newJoined returns n gateways that reach a grantor.
func newJoined(n int, limits contract.Limits) *joined {
	j := &joined{now: start, terms: &contract.Contract{Organisation: "a", Limits: limits}, cut: map[int]time.Time{}, fresh: map[int]time.Time{}}
	for range n {
		c := New(1000)
		c.SetCapacity("p", 1000)
		c.SetGateways(n)
		j.gateways = append(j.gateways, c)
	}
	j.grantor = grant.NewAllocator(j.now)
	j.pass(0)
	return j
}

// pass lets time pass.
func (j *joined) pass(d time.Duration) {
	j.now = j.now.Add(d)
	for i, c := range j.gateways {
		if _, cut := j.cut[i]; !cut {
			c.ControllerReached(j.now)
		}
	}
}

// fleet returns what a grantor knows: cut off gateways are live until they are
// suspected, and remembered after that.
func (j *joined) fleet() grant.Fleet {
	live := len(j.gateways)
	for _, since := range j.cut {
		if j.now.Sub(since) >= suspicion {
			live--
		}
	}
	return grant.Fleet{Live: live, Known: len(j.gateways)}
}

// ask lets a gateway ask a grantor for what it wants; the answer travels.
func (j *joined) ask(gateway int, o *grant.Allocator, d control.Demand) {
	if _, cut := j.cut[gateway]; cut {
		return
	}
	share, ok := o.Allocate(j.now, fmt.Sprint(gateway), j.terms.Limits, j.fleet(), d)
	if !ok {
		return
	}
	j.travelled = append(j.travelled, travelling{gateway, control.Grant{Organisation: "a", Expires: j.now.Add(share.Term),
		RequestsPerSecond: share.RequestsPerSecond, Concurrency: share.Concurrency, TokensPerMinute: share.TokensPerMinute}})
}

// deliver hands over a travelling grant, in any order.
func (j *joined) deliver(i int) {
	a := j.travelled[i]
	j.travelled = append(j.travelled[:i], j.travelled[i+1:]...)
	j.gateways[a.gateway].SetGrants(j.now, []control.Grant{a.grant})
}

// sum returns what all gateways may use now.
func (j *joined) sum() limits {
	var sum limits
	for _, c := range j.gateways {
		l := c.share(j.now, c.organisation("a"), j.terms)
		sum.rate += l.rate
		sum.tokens += l.tokens
		sum.concurrency += l.concurrency
	}
	return sum
}

// arriveAnew lets the organisation become active at a gateway that has held no
// grant for long.
func (j *joined) arriveAnew(i int) {
	c := j.gateways[i]
	if o := c.organisation("a"); o.grant != nil && j.now.Before(o.grant.Expires) {
		return
	}
	delete(c.organisations, "a")
	j.fresh[i] = j.now
	if ticket, err := c.Admit(j.now, request(j.terms, j.now, 1)); err == nil {
		c.Done(j.now, ticket, 0)
	}
}

// exceeding returns the number of gateways that may use more than grantors
// leave them.
func (j *joined) exceeding() int {
	n := 0
	for i := range j.gateways {
		since, cut := j.cut[i]
		began, fresh := j.fresh[i]
		if cut && j.now.Sub(since) > grant.MaxTerm(len(j.gateways))+grant.Margin || fresh && j.now.Sub(began) < freshSpan {
			n++
		}
	}
	return n
}

// check checks the bounds that share states.
func (j *joined) check(t *rapid.T) {
	n := float64(len(j.gateways))
	limits, sum := j.terms.Limits, j.sum()
	bound := (1 + (1-grant.GuaranteedFraction)*float64(j.exceeding())/n) * 1.000001
	if sum.rate > bound*limits.RequestsPerSecond {
		t.Fatalf("rate %v of %v with %d of %v exceeding", sum.rate, limits.RequestsPerSecond, j.exceeding(), n)
	}
	if most := bound * float64(limits.TokensPerMinute) / secondsPerMinute; sum.tokens > most {
		t.Fatalf("%v tokens a second, %v at most", sum.tokens, most)
	}
	if most := bound*float64(limits.Concurrency) + n; float64(sum.concurrency) > most {
		t.Fatalf("concurrency %d, %v at most", sum.concurrency, most)
	}
}

// TestJoinedLimitsStayWithinBounds runs gateways and grantors through changes
// of grantor, gateways that are cut off from all controllers, callers that come
// to new gateways, and late, crossed and lost answers.
func TestJoinedLimitsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.OneOf(rapid.IntRange(1, 9), rapid.IntRange(grant.LongTermMinGateways, grant.LongTermMinGateways+9)).Draw(t, "gateways")
		j := newJoined(n, contract.Limits{
			RequestsPerSecond: rapid.Float64Range(0.5, 1000).Draw(t, "rate limit"),
			Concurrency:       rapid.IntRange(1, 64).Draw(t, "concurrency limit"),
			TokensPerMinute:   rapid.IntRange(1, 100_000).Draw(t, "token limit"),
		})
		gateway := func(t *rapid.T) int { return rapid.IntRange(0, len(j.gateways)-1).Draw(t, "gateway") }
		demand := func(t *rapid.T) control.Demand {
			return control.Demand{
				RequestsPerSecond: rapid.Float64Range(0, 1000).Draw(t, "rate"),
				Concurrency:       rapid.IntRange(0, 64).Draw(t, "concurrency"),
				TokensPerMinute:   rapid.Float64Range(0, 100_000).Draw(t, "tokens"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				j.pass(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) {
				j.pass(time.Duration(rapid.IntRange(10, 70).Draw(t, "s")) * time.Second)
			},
			"all ask for a part": func(t *rapid.T) {
				part := rapid.Float64Range(0, 1.2).Draw(t, "part wanted by all") / float64(n)
				d := control.Demand{RequestsPerSecond: part * j.terms.Limits.RequestsPerSecond, Concurrency: 1, TokensPerMinute: part * float64(j.terms.Limits.TokensPerMinute)}
				for i := range j.gateways {
					j.ask(i, j.grantor, d)
				}
				for len(j.travelled) > 0 {
					j.deliver(0)
				}
			},
			"ask": func(t *rapid.T) { j.ask(gateway(t), j.grantor, demand(t)) },
			"all ask": func(t *rapid.T) {
				for i := range j.gateways {
					j.ask(i, j.grantor, demand(t))
				}
			},
			"ask the former grantor": func(t *rapid.T) {
				if j.former != nil && j.now.Sub(j.tookOver) < grant.Margin {
					j.ask(gateway(t), j.former, demand(t))
				}
			},
			"deliver": func(t *rapid.T) {
				if len(j.travelled) > 0 {
					j.deliver(rapid.IntRange(0, len(j.travelled)-1).Draw(t, "answer"))
				}
			},
			"lose": func(*rapid.T) { j.travelled = nil },
			"take over": func(*rapid.T) {
				if j.now.Sub(j.tookOver) > grant.Term+grant.Margin {
					j.former, j.grantor, j.tookOver = j.grantor, grant.NewAllocator(j.now), j.now
				}
			},
			"arrive anew": func(t *rapid.T) { j.arriveAnew(gateway(t)) },
			"cut off": func(t *rapid.T) {
				i := gateway(t)
				if _, cut := j.cut[i]; !cut {
					j.cut[i] = j.now
				}
			},
			"join": func(t *rapid.T) {
				delete(j.cut, gateway(t))
				j.pass(0)
			},
			"": j.check,
		})
	})
}

// refusals drives one gateway of six with steady callers, four at once and two
// requests a second on average, and returns the parts refused in the first ten
// seconds and later.
func refusals(t *testing.T, since time.Time, changes ...time.Duration) (early, late float64) {
	const gateways, step, service, length = 6, 100 * time.Millisecond, 1500 * time.Millisecond, time.Minute
	j := newJoined(gateways, contract.Limits{RequestsPerSecond: 10, Concurrency: 10})
	j.grantor = grant.NewAllocator(since)
	c := j.gateways[0]
	var arrived, refused [2]float64
	type run struct {
		ticket *Ticket
		ends   time.Time
	}
	var running []run
	for i := range int(length / step) {
		j.pass(step)
		for len(running) > 0 && !j.now.Before(running[0].ends) {
			c.Done(j.now, running[0].ticket, 0)
			running = running[1:]
		}
		for _, at := range changes {
			if j.now.Equal(start.Add(at)) {
				j.grantor = grant.NewAllocator(j.now)
			}
		}
		span := 0
		if j.now.Sub(start) > 10*time.Second {
			span = 1
		}
		if i%5 == 0 {
			arrived[span]++
			ticket, err := c.Admit(j.now, request(j.terms, j.now, 1))
			if err == nil {
				c.Dispatch(j.now, "p")
				running = append(running, run{ticket, j.now.Add(service)})
			} else {
				refused[span]++
			}
		}
		if i%10 == 9 {
			for _, d := range c.Demands(j.now) {
				j.ask(0, j.grantor, d)
			}
			for len(j.travelled) > 0 {
				j.deliver(0)
			}
		}
	}
	return refused[0] / arrived[0], refused[1] / arrived[1]
}

// TestSmallContractAtOneGateway measures what is refused of the requests of one
// organisation, all of whose callers come through one of six gateways: 2 a
// second for 1.5 s each, of a contract of 10 a second and 10 at once.
func TestSmallContractAtOneGateway(t *testing.T) {
	early, late := refusals(t, start.Add(-time.Hour))
	t.Logf("a settled grantor: %.1f%% refused in the first 10 s, %.1f%% later", 100*early, 100*late)
	if early > 0 || late > 0 {
		t.Errorf("%.3f and %.3f refused", early, late)
	}
	early, late = refusals(t, start)
	t.Logf("a grantor that must wait: %.1f%% in the first 10 s, %.1f%% later", 100*early, 100*late)
	if early > 0.3 || late > 0 {
		t.Errorf("%.3f and %.3f refused", early, late)
	}
	_, late = refusals(t, start.Add(-time.Hour), 20*time.Second, 40*time.Second)
	t.Logf("two changes of grantor in 50 s: %.1f%% refused", 100*late)
	if late > 0.1 {
		t.Errorf("%.3f refused", late)
	}
}
