package forward_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/forward"
	"zinniapin/internal/standin/prepared"
	"zinniapin/invariant"
	"zinniapin/platform"
	"zinniapin/route"
)

// panicking is a protocol whose calls panic once, at the place that is set.
type panicking struct {
	platform.Protocol
	place atomic.Pointer[string]
}

// at panics if a place is the one that is set.
func (p *panicking) at(place string) {
	if set := p.place.Load(); set != nil && *set == place && p.place.CompareAndSwap(set, nil) {
		panic("provoked at " + place)
	}
}

func (p *panicking) ParseRequest(h http.Header) (forward.RequestInfo, error) {
	p.at("caller's headers")
	return p.Protocol.ParseRequest(h)
}

func (p *panicking) AttemptHeaders(caller http.Header, info forward.AttemptInfo) http.Header {
	p.at("attempt")
	if info.PrefillOnly {
		p.at("prefill")
	}
	return p.Protocol.AttemptHeaders(caller, info)
}

func (p *panicking) ParseResponse(status int, h http.Header) forward.ResponseInfo {
	p.at("response")
	return p.Protocol.ParseResponse(status, h)
}

func (p *panicking) CallerHeaders(h http.Header) http.Header {
	p.at("caller's response")
	return p.Protocol.CallerHeaders(h)
}

func (p *panicking) ParsePrefill(body []byte) (forward.PrefillResult, error) {
	p.at("prefill's response")
	return p.Protocol.ParsePrefill(body)
}

func (p *panicking) RefusalHeaders(id string, retryAfter time.Duration) http.Header {
	p.at("refusal")
	return p.Protocol.RefusalHeaders(id, retryAfter)
}

// Guards against an unexpected error within one request that ends the process, and with it all other requests (LOST): its
// caller gets an answer that promises nothing, and later requests are served as before.
func TestPanicWithinARequestEndsThatRequestOnly(t *testing.T) {
	invariant.Tolerate(t)
	kinds := []struct {
		name, service, path string
		headers             []string
		places              []string
	}{
		{"plain", "desk", "/read/a", nil, []string{"caller's headers", "attempt", "response", "caller's response", "start"}},
		{"stream", "model", "/draft/a", engineHeaders, []string{"caller's headers", "attempt", "response", "caller's response", "start"}},
		{"stream with a prefill", "model", "/draft/a", longPrompt, []string{"prefill", "prefill's response"}},
	}
	for _, kind := range kinds {
		for _, place := range kind.places {
			t.Run(kind.name+", "+place, func(t *testing.T) {
				is := is.New(t)
				targets := []*prepared.Target{engine("t-1", ""), engine("t-2", "")}
				if kind.service == "model" {
					targets = []*prepared.Target{engine("p-1", "prefill"), engine("d-1", "decode")}
				}
				h := newTestHandler(t, kind.service, targets...)
				protocol := &panicking{}
				h.handler.Protocol = protocol
				started := h.handler.OnRequestStarted
				h.handler.OnRequestStarted = func(organisation string) {
					protocol.at("start")
					started(organisation)
				}
				is.Equal(h.call(http.MethodPost, kind.path, "p", kind.headers...).status, http.StatusOK)
				protocol.place.Store(&place)
				a := h.call(http.MethodPost, kind.path, "p", kind.headers...)
				is.True(protocol.place.Load() == nil) // it was reached
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusInternalServerError)
				h.handler.PlannerMu.Lock()
				is.Equal(len(h.handler.Planner.Loads(time.Now())), 0) // no attempt counts as running
				h.handler.PlannerMu.Unlock()
				for range 3 {
					is.Equal(h.call(http.MethodPost, kind.path, "p", kind.headers...).status, http.StatusOK)
				}
			})
		}
	}
}

// A panic before there is a response at all, or while a request is refused, closes the connection and no more.
func TestPanicWithoutAnAnswerEndsTheConnectionOnly(t *testing.T) {
	invariant.Tolerate(t)
	is := is.New(t)
	h := newTestHandler(t, "desk", engine("t-1", ""))
	protocol, place := &panicking{}, "refusal"
	h.handler.Protocol = protocol
	protocol.place.Store(&place)
	is.Equal(h.call(http.MethodGet, "/none/a", "").status, http.StatusInternalServerError) // the second refusal
	is.Equal(h.call(http.MethodGet, "/read/a", "").status, http.StatusOK)
}

// Guards against a search for another target, in place of a silent one, whose failure ends the process or the request.
func TestPanicInASearchEndsThatSearchOnly(t *testing.T) {
	invariant.Tolerate(t)
	is := is.New(t)
	silent, other := engine("t-1", ""), engine("t-2", "")
	for _, target := range []*prepared.Target{silent, other} {
		target.Change(func(s *prepared.TargetSwitches) { s.Delay = 700 * time.Millisecond })
	}
	h := newTestHandler(t, "desk", silent, other)
	protocol := &panicking{}
	h.handler.Protocol = protocol
	place := "attempt"
	time.AfterFunc(300*time.Millisecond, func() { protocol.place.Store(&place) }) // the first attempt is at its target by then
	a := h.call(http.MethodGet, "/read/a", "")
	is.True(protocol.place.Load() == nil) // the search was reached
	is.Equal(a.status, http.StatusOK)
}

// Guards against tables, targets and services that are taken back beneath requests in progress (LOST): each request gets an
// answer, and none panics.
func TestRequestsSurviveWhatIsTakenBackBeneathThem(t *testing.T) {
	is := is.New(t)
	kinds := []struct {
		service, path string
		headers       []string
		targets       []*prepared.Target
	}{
		{"desk", "/read/a", nil, []*prepared.Target{engine("t-1", ""), engine("t-2", "")}},
		{"model", "/draft/a", engineHeaders, []*prepared.Target{engine("e-1", "decode"), engine("e-2", "decode")}},
		{"model", "/draft/a", longPrompt, []*prepared.Target{engine("p-1", "prefill"), engine("d-1", "decode")}},
	}
	shares := map[prepared.Fault]float64{prepared.RunAndFail: 0.1, prepared.RefuseNotRun: 0.1, prepared.RunAndReset: 0.1, prepared.Truncated: 0.1, prepared.BrokenStream: 0.1, prepared.RefusePause: 0.02}
	for _, kind := range kinds {
		h := newTestHandler(t, kind.service, kind.targets...)
		for _, target := range kind.targets {
			target.Change(func(s *prepared.TargetSwitches) { s.Shares, s.Delay = shares, 2*time.Millisecond })
		}
		stop := make(chan struct{})
		var running sync.WaitGroup
		running.Go(func() { takeBack(h, stop) })
		var answered atomic.Int32
		for i := range 8 {
			running.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					headers := append([]string{withoutDefaultHeaders, fmt.Sprintf("X-Request-Id: id-%d-%d", i, n), "X-Deadline-Ms: 2000", "X-Credential: key-1"}, kind.headers...)
					if a := h.call(http.MethodPost, kind.path, "p", headers...); a.status == 0 {
						t.Errorf("no answer: %v", a.err)
						return
					}
					answered.Add(1)
				}
			})
		}
		time.Sleep(1500 * time.Millisecond)
		close(stop)
		running.Wait()
		is.True(answered.Load() > 100)
	}
}

// takeBack takes away tables, keys, limits, targets and services of a handler, and gives them back, until it is stopped.
func takeBack(h *testHandler, stop chan struct{}) {
	whole := configuration()
	bare := configuration()
	bare.Organisations, bare.Services[1].Engine = nil, nil
	other := configuration()
	other.Routes, other.Organisations[0].Name = other.Routes[:1], "others"
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		c := []*route.Configuration{whole, bare, whole, nil, other, whole}[i%6]
		h.mu.Lock()
		h.table = nil
		h.mu.Unlock()
		if c != nil {
			h.setTable(c)
		}
		h.handler.PlannerMu.Lock()
		if c != nil {
			h.handler.Planner.SetServices(c.Services)
		}
		h.handler.Planner.SetTargets(time.Now(), h.targets[:[]int{2, 1, 0, 2}[i%4]])
		h.handler.PlannerMu.Unlock()
	}
}
