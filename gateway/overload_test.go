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

// Sizes of the overload. Each engine processes 10 prompts a second, so all
// four serve 40 requests a second.
const (
	overloadGateways = 3
	overloadEngines  = 4
	overloadSpan     = 40 * time.Second
	overloadPrompt   = 2000 // tokens
	overloadFirst    = 1500 * time.Millisecond
	quietRate        = 4.0 // requests a second of each other organisation
	quietOrgs        = 3
)

// firstWriter notes the time of the first token.
type firstWriter struct {
	*httptest.ResponseRecorder
	first time.Time
}

// Write implements http.ResponseWriter.
func (w *firstWriter) Write(p []byte) (int, error) {
	if w.first.IsZero() && bytes.Contains(p, []byte(`"content":"`)) && !bytes.Contains(p, []byte(`"content":""`)) {
		w.first = time.Now()
	}
	return w.ResponseRecorder.Write(p)
}

// tally counts what became of an organisation's requests.
type tally struct {
	offered, inTime, late, refused, heldBack, other int
}

// overload is a fleet of gateways before in-memory engines.
type overload struct {
	mu       sync.Mutex
	engines  *engine.Direct
	targets  []target.Target
	gateways []*Gateway
	tallies  map[string]*tally
	wrong    []string
}

// organisationName and its key; number 0 floods.
func organisationName(i int) string { return fmt.Sprintf("org-%d", i) }
func organisationKey(i int) string  { return fmt.Sprintf("zk_key-of-org-%d", i) }

// newOverload starts the fleet; its loops end with ctx.
func newOverload(ctx context.Context, t *testing.T, loops *sync.WaitGroup) *overload {
	o := &overload{engines: engine.NewDirect(), tallies: map[string]*tally{}}
	for i := range overloadEngines {
		name := fmt.Sprintf("e%d", i)
		o.engines.Add(name, engine.Options{ID: target.ID(name), Seed: uint64(i + 1), Models: []string{testModel}, Capacity: 64})
		o.targets = append(o.targets, live(name, target.Engine, "p", name).Target)
	}
	var contracts []*contract.Contract
	for i := range quietOrgs + 1 {
		o.tallies[organisationName(i)] = &tally{}
		contracts = append(contracts, &contract.Contract{Organisation: organisationName(i), Models: []string{testModel},
			Keys:   []contract.Key{{Fingerprint: contract.Fingerprint(organisationKey(i))}},
			Limits: contract.Limits{RequestsPerSecond: 1e5, Concurrency: 1e5}})
	}
	s := testSettings()
	s.FirstTokenMillis = 900
	for i := range overloadGateways {
		g, err := New(Options{Process: machine.Process{Host: hostName(i), Role: machine.Gateway, Incarnation: uint64(i + 1), Zone: home},
			Settings: s, ResumeKey: bytes.Repeat([]byte("k"), MinResumeKeyBytes), Engines: o.engines, Claims: newMemoryClaims(),
			Log: zerolog.Nop(), Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		g.Configure(contract.NewSnapshot(1, snapshot(1, nil).Fleet, contracts))
		g.SetConnectivity(control.Connectivity{Controllers: 1, LiveGateways: overloadGateways, ConfirmedAt: time.Now()})
		o.gateways = append(o.gateways, g)
	}
	o.report(ctx, loops)
	return o
}

// report shows the gateways the engines' state of a quarter of a second ago,
// now and every half a second.
func (o *overload) report(ctx context.Context, loops *sync.WaitGroup) {
	view := func() (rows []control.TargetState) {
		for _, x := range o.targets {
			row := live(string(x.ID), x.Kind, x.Pool, x.Address)
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

// ask sends a streaming request and counts what becomes of it.
func (o *overload) ask(number, org, gateway int) {
	prompt := fmt.Sprintf("%08d", number) + strings.Repeat("x", 4*overloadPrompt)
	r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatRequest(prompt, true)))
	r.Header.Set("Authorization", "Bearer "+organisationKey(org))
	w := &firstWriter{ResponseRecorder: httptest.NewRecorder()}
	began := time.Now()
	o.gateways[gateway].ServeHTTP(w, r)
	took := time.Since(began)
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.tallies[organisationName(org)]
	c.offered++
	whole := strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n")
	switch {
	case w.Code == 200 && whole && w.first.Sub(began) <= overloadFirst:
		c.inTime++
	case w.Code == 200 && whole:
		c.late++
	case failure(w.Body.String()).Execution == "not_run" && w.Header().Get("Retry-After") != "":
		c.refused++
		if took > 0 {
			c.heldBack++
		}
	default:
		c.other++
		o.wrong = append(o.wrong, fmt.Sprint(w.Code, w.Body.String()[:min(200, w.Body.Len())]))
	}
}

// run sends requests at random times, the first organisation's at a rate of
// its own, until the span is over and all are answered.
func (o *overload) run(floodRate float64) {
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
		callers.Go(func() { o.ask(number, org, gateway) })
		time.Sleep(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
	}
	callers.Wait()
}

// TestOverloadByOneOrganisation has one organisation send three times what
// all engines serve. The others' first tokens still come in time; the engines
// stay at work; what is refused is refused truly, and nearly all of it at once.
func TestOverloadByOneOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		o := newOverload(ctx, t, &loops)
		o.run(120)
		var all, others tally
		for name, c := range o.tallies {
			t.Logf("%s: %+v", name, *c)
			all.refused += c.refused
			all.heldBack += c.heldBack
			all.inTime += c.inTime
			if name != organisationName(0) {
				is.True(c.inTime >= c.offered*92/100) // one that does not flood
				others.offered += c.offered
				others.inTime += c.inTime
			}
		}
		is.True(others.inTime >= others.offered*95/100)
		is.Equal(len(o.wrong), 0)
		possible := overloadEngines * 10 * int(overloadSpan/time.Second)
		t.Logf("in time %d of %d possible, held back %d of %d refused", all.inTime, possible, all.heldBack, all.refused)
		is.True(all.inTime >= possible*90/100)
		is.True(all.heldBack <= all.refused*5/100)
	})
}
