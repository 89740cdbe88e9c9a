package gateway

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/internal/standin/engine"
	"zinniapin/machine"
	"zinniapin/target"
)

// Parameters of the overload. Each engine processes 10 prompts per second, so
// the four engines together serve 40 requests per second.
const (
	overloadGateways  = 3
	overloadEngines   = 4
	overloadSpan      = 40 * time.Second
	overloadPrompt    = 2000 // tokens
	maxFirstTokenTime = 1500 * time.Millisecond
	quietRate         = 4.0 // requests per second of each other organisation
	quietOrgs         = 3
)

// firstTokenRecorder is a response recorder that records the time of the first token.
type firstTokenRecorder struct {
	*httptest.ResponseRecorder
	first time.Time // zero before the first token
}

// Write implements http.ResponseWriter.
func (w *firstTokenRecorder) Write(p []byte) (int, error) {
	if w.first.IsZero() && bytes.Contains(p, []byte(`"content":"`)) && !bytes.Contains(p, []byte(`"content":""`)) {
		w.first = time.Now()
	}
	return w.ResponseRecorder.Write(p)
}

// outcomeCounts counts the requests of an organisation (offered) by outcome: complete answers
// whose first token came within maxFirstTokenTime or later, refusals, those refusals among them
// that were not immediate (heldBack), and all other responses.
type outcomeCounts struct {
	offered, inTime, late, refused, heldBack, other int
}

// overloadFleet is a set of gateways with in-memory engines.
type overloadFleet struct {
	mu         sync.Mutex
	engines    *engine.Direct
	targets    []target.Target
	gateways   []*Gateway
	outcomes   map[string]*outcomeCounts // by organisation
	unexpected []string                  // responses counted as other
}

// organisationName and organisationKey identify organisation i. Organisation 0
// sends the overload.
func organisationName(i int) string { return fmt.Sprintf("org-%d", i) }
func organisationKey(i int) string  { return fmt.Sprintf("zk_key-of-org-%d", i) }

// newOverloadFleet starts the fleet. Its background loops end with ctx.
func newOverloadFleet(ctx context.Context, t *testing.T, loops *sync.WaitGroup) *overloadFleet {
	o := &overloadFleet{engines: engine.NewDirect(), outcomes: map[string]*outcomeCounts{}}
	for i := range overloadEngines {
		name := fmt.Sprintf("e%d", i)
		o.engines.Add(name, engine.Options{ID: target.ID(name), Seed: uint64(i + 1), Models: []string{testModel}, Capacity: 64})
		o.targets = append(o.targets, liveTarget(name, target.Engine, "p", name).Target)
	}
	var contracts []*contract.Contract
	for i := range quietOrgs + 1 {
		o.outcomes[organisationName(i)] = &outcomeCounts{}
		contracts = append(contracts, &contract.Contract{Organisation: organisationName(i), Models: []string{testModel},
			Keys:   []contract.Key{{Fingerprint: contract.Fingerprint(organisationKey(i))}},
			Limits: contract.Limits{RequestsPerSecond: 1e5, Concurrency: 1e5}})
	}
	s := testSettings()
	s.FirstTokenMillis = 900
	for i := range overloadGateways {
		g, err := New(Options{Process: machine.Process{Host: hostName(i), Role: machine.Gateway, Incarnation: uint64(i + 1), Zone: homeZone},
			Settings: s, ResumeKey: bytes.Repeat([]byte("k"), MinResumeKeyBytes), Engines: o.engines, Claims: newMemoryClaims(),
			Log: zerolog.Nop(), Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		g.Configure(contract.NewSnapshot(1, newSnapshot(1, nil).Fleet, contracts))
		g.SetConnectivity(control.Connectivity{Controllers: 1, LiveGateways: overloadGateways, ConfirmedAt: time.Now()})
		o.gateways = append(o.gateways, g)
	}
	o.startReports(ctx, loops)
	return o
}

// startReports gives the gateways the current state of the engines, and then every 0.5 s
// their state of 0.25 s before.
func (o *overloadFleet) startReports(ctx context.Context, loops *sync.WaitGroup) {
	view := func() (rows []control.TargetState) {
		for _, x := range o.targets {
			row := liveTarget(string(x.ID), x.Kind, x.Pool, x.Address)
			row.Report, _ = o.engines.Report(ctx, x)
			rows = append(rows, row)
		}
		return rows
	}
	show := func(rows []control.TargetState) {
		for _, g := range o.gateways {
			g.Observe(rows)
		}
	}
	show(view())
	loops.Go(func() {
		for ctx.Err() == nil {
			rows := view()
			time.Sleep(250 * time.Millisecond)
			show(rows)
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// sendRequest sends a streaming request and counts its outcome.
func (o *overloadFleet) sendRequest(number, org, gateway int) {
	// The gateway estimates 4 bytes per token. The number makes each prompt different.
	prompt := fmt.Sprintf("%08d", number) + strings.Repeat("x", 4*overloadPrompt)
	r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatRequest(prompt, true)))
	r.Header.Set("Authorization", "Bearer "+organisationKey(org))
	w := &firstTokenRecorder{ResponseRecorder: httptest.NewRecorder()}
	began := time.Now()
	o.gateways[gateway].ServeHTTP(w, r)
	took := time.Since(began)
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.outcomes[organisationName(org)]
	c.offered++
	whole := strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n")
	switch {
	case w.Code == 200 && whole && w.first.Sub(began) <= maxFirstTokenTime:
		c.inTime++
	case w.Code == 200 && whole:
		c.late++
	case errorOf(w.Body.String()).Execution == "not_run" && w.Header().Get("Retry-After") != "":
		c.refused++
		if took > 0 {
			c.heldBack++
		}
	default:
		c.other++
		o.unexpected = append(o.unexpected, fmt.Sprint(w.Code, w.Body.String()[:min(200, w.Body.Len())]))
	}
}

// run sends requests at random times, those of organisation 0 at floodRate per second, for
// overloadSpan, and waits for all responses.
func (o *overloadFleet) run(floodRate float64) {
	var callers sync.WaitGroup
	random := rand.New(rand.NewPCG(7, 7))
	total := floodRate + quietOrgs*quietRate
	began := time.Now()
	for number := 0; time.Since(began) < overloadSpan; number++ {
		org := 0
		if random.Float64()*total > floodRate {
			org = 1 + random.IntN(quietOrgs)
		}
		gateway := random.IntN(overloadGateways)
		callers.Go(func() { o.sendRequest(number, org, gateway) })
		time.Sleep(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
	}
	callers.Wait()
}

// TestOverloadByOneOrganisation has one organisation send three times the requests that all
// engines can serve. The first tokens of the other organisations must still arrive in time,
// the engines must stay busy, each refused request must be reported as not run, and nearly
// all refusals must be immediate.
func TestOverloadByOneOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		o := newOverloadFleet(ctx, t, &loops)
		o.run(120)
		var all, others outcomeCounts
		for name, c := range o.outcomes {
			t.Logf("%s: %+v", name, *c)
			all.refused += c.refused
			all.heldBack += c.heldBack
			all.inTime += c.inTime
			if name != organisationName(0) {
				is.True(c.inTime >= c.offered*92/100) // for each organisation that stays within its share
				others.offered += c.offered
				others.inTime += c.inTime
			}
		}
		is.True(others.inTime >= others.offered*95/100)
		is.Equal(len(o.unexpected), 0)
		possible := overloadEngines * 10 * int(overloadSpan/time.Second)
		t.Logf("in time %d of %d possible, held back %d of %d refused", all.inTime, possible, all.heldBack, all.refused)
		is.True(all.inTime >= possible*90/100)
		is.True(all.heldBack <= all.refused*5/100)
	})
}
