package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/engine"
	"zinniapin/invariant"
	"zinniapin/target"
)

// panickingTargets are engines and services whose first calls panic, at once or after a chunk.
type panickingTargets struct {
	target.Requests
	calls      atomic.Int32 // that panic
	afterChunk bool
}

// panicOnce panics while calls remain that do.
func (p *panickingTargets) panicOnce() {
	if p.calls.Add(-1) >= 0 {
		panic("provoked")
	}
}

func (p *panickingTargets) Generate(ctx context.Context, t target.Target, r target.GenerateRequest) (target.Stream, error) {
	if !p.afterChunk {
		p.panicOnce()
	}
	s, err := p.Requests.Generate(ctx, t, r)
	return &panickingStream{Stream: s, targets: p}, err
}

func (p *panickingTargets) Call(context.Context, target.Target, ServiceRequest) (ServiceResponse, error) {
	p.panicOnce()
	return ServiceResponse{Status: http.StatusOK, Body: []byte("ok")}, nil
}

// panickingStream is a stream that panics after its first chunk.
type panickingStream struct {
	target.Stream
	targets *panickingTargets
	chunks  int
}

func (s *panickingStream) Next() (target.Chunk, error) {
	if s.chunks++; s.chunks > 1 && s.targets.afterChunk {
		s.targets.panicOnce()
	}
	return s.Stream.Next()
}

// expectNothingRuns checks that no request counts as running any more.
func (tg *testGateway) expectNothingRuns(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		tg.g.fleet.mu.Lock()
		running, placed := len(tg.g.fleet.running), len(tg.g.fleet.placements)
		tg.g.fleet.mu.Unlock()
		if running == 0 && placed == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("requests run at %d targets, %d have a place", running, placed)
		}
	}
}

// Guards against an unexpected error within one call that ends the process or the gateway's room for others (LOST): the caller
// gets an error that does not promise that nothing ran, or a response that shows as incomplete.
func TestPanicWithinACallEndsThatCallOnly(t *testing.T) {
	invariant.Tolerate(t)
	for _, c := range []struct {
		name           string
		stream, begins bool
	}{{"whole", false, false}, {"stream", true, false}, {"stream that has begun", true, true}, {"whole, after a chunk", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			requests := &panickingTargets{afterChunk: c.begins}
			tg := newTestGateway(t, requests, "e-1")
			requests.Requests = tg.engines
			requests.calls.Store(1)
			response, body := tg.chat("hello", c.stream)
			if c.stream && c.begins {
				is.True(strings.Contains(body, "data:") && !strings.Contains(body, "[DONE]") && !strings.Contains(body, "internal")) // cut
			} else {
				is.Equal(response.StatusCode, http.StatusInternalServerError)
				is.True(strings.Contains(body, `"execution":"unknown"`))
			}
			tg.expectNothingRuns(t)
			response, _ = tg.chat("hello", c.stream)
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
}

// The same at a plain service: a call that must not run twice is not run again under its key.
func TestPanicWithinACallOfAServiceEndsThatCallOnly(t *testing.T) {
	invariant.Tolerate(t)
	is := is.New(t)
	services := &panickingTargets{Requests: engine.NewDirect()}
	services.calls.Store(1)
	tg := newTestGatewayWithServices(t, "127.0.0.1:1")
	tg.g.options.Services = services
	response, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k-1")
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.True(strings.Contains(body, `"execution":"unknown"`))
	tg.expectNothingRuns(t)
	response, _ = tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k-1")
	is.True(response.StatusCode != http.StatusOK)
	response, _ = tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k-2")
	is.Equal(response.StatusCode, http.StatusOK)
}

// A search for another engine that panics ends as if it had found none.
func TestPanicInASearchOfTheGatewayEndsThatSearchOnly(t *testing.T) {
	invariant.Tolerate(t)
	is := is.New(t)
	tg := newTestGateway(t, nil, "e-1")
	w := &silenceWatch{gen: nil, ctx: context.Background(), begun: true, mayMove: true, stall: time.Second}
	cancelled := make(chan error, 2)
	w.cancel = func(err error) { cancelled <- err }
	w.expired() // the watch has no generation, so that the search panics
	is.Equal(<-cancelled, errStalled)
	w.searches.Wait()
	response, _ := tg.chat("hello", false)
	is.Equal(response.StatusCode, http.StatusOK)
}
