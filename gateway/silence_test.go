package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/internal/standin/engine"
)

// Times of these tests.
const (
	testStall   = time.Second
	testSilence = 1500 * time.Millisecond // of an engine that then goes on
)

// newSilentGateway returns a gateway with engine e1, whose next stream falls silent after two chunks for
// some time, and e2, which gets no requests until e1 has one.
func newSilentGateway(t *testing.T, silence time.Duration) (tg *testGateway, e1, e2 *engine.Engine) {
	tg = newBareGateway(t, nil)
	o := engine.Options{Models: []string{testModel}, AnyRole: true, DecodeRate: 1e6, PrefillRate: 1e7}
	o.ID, o.Seed = "e1", 1
	e1 = tg.engines.Add("e1", o)
	o.ID, o.Seed = "e2", 2
	e2 = tg.engines.Add("e2", o)
	for _, name := range []string{"e1", "e2"} {
		tg.view = append(tg.view, liveTarget(name, "engine", "p", name))
	}
	tg.g.options.Settings.StallMillis = int(testStall.Milliseconds())
	e1.SetFaults(engine.Faults{SilentStreams: 1, SilentAfter: 2, SilentMillis: int(silence.Milliseconds())})
	tg.g.Observe(tg.view[:1])
	return tg, e1, e2
}

// streamWhileSilent sends a request to e1, lets e2 take requests once e1 has it, and returns the text that the
// caller got.
func streamWhileSilent(t *testing.T, tg *testGateway, e1 *engine.Engine, prompt string) string {
	body := make(chan string, 1)
	go func() {
		r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatRequest(prompt, true)))
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		tg.g.ServeHTTP(w, r)
		body <- w.Body.String()
	}()
	eventually(t, func() bool { return len(e1.Records().Requests) > 0 })
	tg.g.Observe(append([]control.TargetState(nil), tg.view...))
	all := parseEvents(<-body)
	if all[len(all)-1].data != "[DONE]" {
		t.Logf("the stream ended with %+v", all[len(all)-1])
	}
	return streamText(all)
}

// TestStreamOfASilentEngineIsNotCut checks that an answer whose engine falls silent and goes on is whole, if
// no other engine takes it over.
func TestStreamOfASilentEngineIsNotCut(t *testing.T) {
	for name, reject := range map[string]func(*testGateway, *engine.Engine){
		"the other one refuses":    func(_ *testGateway, e2 *engine.Engine) { e2.SetFaults(engine.Faults{Refuse: 100}) },
		"the other one breaks off": func(_ *testGateway, e2 *engine.Engine) { e2.SetFaults(engine.Faults{BreakStreams: 100}) },
		"the other one hangs":      func(_ *testGateway, e2 *engine.Engine) { e2.SetFaults(engine.Faults{DelayMillis: 60_000}) },
		"the other one has gone":   func(tg *testGateway, _ *engine.Engine) { tg.engines.Remove("e2") },
		"there is no other one":    func(tg *testGateway, _ *engine.Engine) { tg.view = tg.view[:1] },
		"the key was withdrawn": func(tg *testGateway, _ *engine.Engine) {
			time.AfterFunc(testStall/2, func() {
				tg.g.Configure(newSnapshot(2, func(kalnins, _ *contract.Contract) { kalnins.Keys[0].Withdrawn = true }))
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tg, e1, e2 := newSilentGateway(t, testSilence)
				reject(tg, e2)
				want, n := engineText("a silent prompt")
				is.True(n > 12)
				is.Equal(streamWhileSilent(t, tg, e1, "a silent prompt"), want)
				is.Equal(len(e1.Records().Requests), 1) // it was not asked twice
				eventually(t, func() bool { return tg.g.Cordon("e1", 1, false) == 0 && tg.g.Cordon("e2", 1, false) == 0 })
			})
		})
	}
}

// TestStreamOfASilentEngineGoesOnElsewhere checks that another engine takes over an answer without a token
// twice or missing, and that the silent one is told.
func TestStreamOfASilentEngineGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tg, e1, e2 := newSilentGateway(t, time.Minute)
		want, _ := engineText("a silent prompt")
		is.Equal(streamWhileSilent(t, tg, e1, "a silent prompt"), want)
		is.Equal(len(e2.Records().Requests), 1)
		eventually(t, func() bool { return tg.g.Cordon("e1", 1, false) == 0 && tg.g.Cordon("e2", 1, false) == 0 })
		eventually(t, func() bool { return e1.Report().Running == 0 })
		is.Equal(tg.g.Usage()[0].Amount.Requests, uint64(1))
	})
}

// TestSilentEngineIsGivenUpInTheEnd checks that a request does not wait forever for an engine that is silent.
func TestSilentEngineIsGivenUpInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tg, e1, e2 := newSilentGateway(t, time.Minute)
		e2.SetFaults(engine.Faults{Refuse: 1}) // then it serves
		want, _ := engineText("a silent prompt")
		is.Equal(streamWhileSilent(t, tg, e1, "a silent prompt"), want)
	})
}
