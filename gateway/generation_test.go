package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/internal/standin/engine"
	"zinniapin/provider"
	"zinniapin/routing"
	"zinniapin/target"
)

// scriptedEngines implements target.Requests with attempts that follow a script.
type scriptedEngines struct {
	mu       sync.Mutex
	attempts []target.GenerateRequest // requests received so far
	targets  []target.ID              // the target of each of them
	// run returns the chunks of an attempt, the error of Generate and the error that ends the
	// stream after the chunks.
	run     func(attempt int, t target.Target, r target.GenerateRequest) (chunks []target.Chunk, start, end error)
	unblock chan struct{} // if set, streams return their last chunk only once it is closed
}

func (s *scriptedEngines) Generate(ctx context.Context, t target.Target, r target.GenerateRequest) (target.Stream, error) {
	s.mu.Lock()
	s.attempts = append(s.attempts, r)
	s.targets = append(s.targets, t.ID)
	chunks, start, end := s.run(len(s.attempts)-1, t, r)
	s.mu.Unlock()
	if start != nil {
		return nil, start
	}
	return &scriptedStream{ctx: ctx, chunks: chunks, end: end, unblock: s.unblock}, nil
}

// count returns the number of attempts so far.
func (s *scriptedEngines) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// scriptedStream returns its chunks and then its error.
type scriptedStream struct {
	ctx     context.Context
	chunks  []target.Chunk
	end     error
	unblock chan struct{}
}

func (s *scriptedStream) Next() (target.Chunk, error) {
	if len(s.chunks) == 1 && s.unblock != nil {
		select {
		case <-s.unblock:
		case <-s.ctx.Done():
			return target.Chunk{}, fmt.Errorf("%w: %w", target.ErrIncomplete, s.ctx.Err())
		}
	}
	if len(s.chunks) == 0 {
		if s.end == nil {
			return target.Chunk{}, io.EOF
		}
		return target.Chunk{}, s.end
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c, nil
}

func (s *scriptedStream) Close() error { return nil }

// scriptedChunks returns the chunks of an attempt up to token upTo, out of n. It includes
// the end marker if upTo reaches n.
func scriptedChunks(r target.GenerateRequest, upTo, n int) []target.Chunk {
	var chunks []target.Chunk
	for i := r.Offset; i < min(upTo, n); i++ {
		chunks = append(chunks, target.Chunk{Attempt: r.Attempt, Offset: i, Tokens: 1, Text: fmt.Sprintf("t%d ", i)})
	}
	if upTo >= n {
		chunks = append(chunks, target.Chunk{Attempt: r.Attempt, Offset: n, Done: true, Finish: "stop", PromptTokens: 5, OutputTokens: n})
	}
	return chunks
}

// scriptedText returns the text of a scripted answer of n tokens.
func scriptedText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// TestCrossedAndLateChunks checks that chunks of other attempts, repeated chunks and late
// chunks do not affect an answer.
func TestCrossedAndLateChunks(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, nil, "e1")
	e := tg.engines.Add("e1", engine.Options{ID: "e1", Models: []string{testModel}, DecodeRate: 1e6, PrefillRate: 1e7})
	want, _ := engineText("crossed")
	for range 20 {
		e.SetFaults(engine.Faults{StrayChunks: 3, Duplicate: 2, LateChunks: 2})
		response, body := tg.chat("crossed", true)
		is.Equal(response.StatusCode, 200)
		all := parseEvents(body)
		is.Equal(streamText(all), want)
		is.Equal(all[len(all)-1].data, "[DONE]")
	}
}

// TestBrokenStreamResumes checks that an answer whose engine stream breaks continues, with
// each token exactly once.
func TestBrokenStreamResumes(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, nil, "e1", "e2")
	want, n := engineText("broken")
	for after := range 6 {
		for _, name := range []string{"e1", "e2"} {
			e := tg.engines.Add(name, engine.Options{ID: target.ID(name), Models: []string{testModel}, DecodeRate: 1e6, PrefillRate: 1e7})
			e.SetFaults(engine.Faults{BreakStreams: 1, BreakAfter: after})
		}
		response, body := tg.chat("broken", false)
		is.Equal(response.StatusCode, 200)
		is.True(strings.Contains(body, want))
		is.True(strings.Contains(body, fmt.Sprintf(`"completion_tokens":%d`, n)))
	}
}

// TestTokenGapIsNotDelivered checks that an attempt whose chunks miss a token is ended and the
// next attempt continues before the gap.
func TestTokenGapIsNotDelivered(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{run: func(i int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
		chunks := scriptedChunks(r, 6, 6)
		if i == 0 {
			chunks = slices.Delete(chunks, 2, 3)
		}
		return chunks, nil, nil
	}}
	tg := newTestGateway(t, s, "e1", "e2")
	_, body := tg.chat("gap", true)
	is.Equal(streamText(parseEvents(body)), scriptedText(6))
	is.Equal(s.attempts[1].Offset, 2)
	is.Equal(s.attempts[1].Delivered, scriptedText(2))
}

// TestAnswerWithoutEndIsIncomplete checks that an answer without an end marker is reported as
// incomplete and that its tokens are counted.
func TestAnswerWithoutEndIsIncomplete(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{run: func(_ int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
		return scriptedChunks(r, 3, 9), nil, nil
	}}
	tg := newTestGateway(t, s, "e1", "e2")
	response, body := tg.chat("cut", false)
	is.Equal(response.StatusCode, 502)
	is.Equal(errorOf(body).Code, "answer_incomplete")
	is.Equal(errorOf(body).Execution, "ran")
	is.True(response.Header.Get("Retry-After") != "")
	is.True(s.count() <= maxAttempts)
	_, body = tg.chat("cut", true)
	all := parseEvents(body)
	is.Equal(streamText(all), scriptedText(3))
	is.Equal(all[len(all)-1].name, "error")
	is.True(!strings.Contains(body, "[DONE]"))
	is.Equal(tg.g.Usage()[0].Amount.OutputTokens, uint64(6))
}

// TestRetriesAreBounded checks that the retry budget limits the attempts if all targets
// refuse every request.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{run: func(int, target.Target, target.GenerateRequest) ([]target.Chunk, error, error) {
		return nil, target.ErrRefused, nil
	}}
	tg := newTestGateway(t, s, "e1", "e2", "e3")
	const requests = 200
	for range requests {
		response, body := tg.chat("refused", false)
		is.Equal(response.StatusCode, 503)
		is.Equal(errorOf(body).Execution, "not_run")
	}
	// Each request adds retryFraction = 0.2 of a retry to the full reserve at the start.
	is.True(s.count() <= requests+requests*2/10+retryReserve)
}

// TestReportedExecutionIsTrue checks with random attempt outcomes that "not run" is reported
// only if no attempt can have run, and "unknown" only if no attempt returned part of an answer.
func TestReportedExecutionIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Outcomes of an attempt: lost means an error without any chunk after the request was
		// sent, cut an error after the first token, whole a complete answer.
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"not_sent", "refused", "lost", "cut", "whole"}), maxAttempts, maxAttempts).Draw(rt, "attempts")
		seen := []string{}
		s := &scriptedEngines{run: func(i int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
			kind := kinds[min(i, len(kinds)-1)]
			seen = append(seen, kind)
			switch kind {
			case "not_sent":
				return nil, target.ErrNotSent, nil
			case "refused":
				return nil, target.ErrRefused, nil
			case "lost":
				return nil, target.ErrIncomplete, nil
			case "cut":
				return scriptedChunks(r, r.Offset+1, 99), nil, target.ErrIncomplete
			default:
				return scriptedChunks(r, 9, 9), nil, nil
			}
		}}
		tg := newTestGateway(t, s, "e1", "e2", "e3")
		defer tg.server.Close()
		response, body := tg.chat("truth", false)
		want := "not_run"
		for _, kind := range seen {
			if kind == "lost" && want == "not_run" {
				want = "unknown"
			}
			if kind == "cut" || kind == "whole" {
				want = "ran"
			}
		}
		if response.StatusCode == http.StatusOK {
			if seen[len(seen)-1] != "whole" {
				rt.Fatalf("whole answer after %v", seen)
			}
			return
		}
		if got := errorOf(body).Execution; got != want {
			rt.Fatalf("%q after %v", got, seen)
		}
	})
}

// TestWithdrawnKeyInQueue checks that queued requests whose key is withdrawn are refused
// without being run, and that answers in progress are completed.
func TestWithdrawnKeyInQueue(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{unblock: make(chan struct{}), run: func(_ int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
		return scriptedChunks(r, 4, 4), nil, nil
	}}
	tg := newTestGateway(t, s, "e1")
	const requests = 40
	dispatched := routing.DecodeCapacityShare(16, 1) // for an engine that runs 16 requests at once
	is.True(dispatched < requests)
	answers := make(chan string, requests)
	for range requests {
		go func() {
			response, body := tg.chat("queued", false)
			answers <- fmt.Sprint(response.StatusCode, errorOf(body).Execution)
		}()
	}
	eventually(t, func() bool { return s.count() == dispatched && tg.g.queued("p") == requests-dispatched })
	tg.g.Configure(newSnapshot(2, func(kalnins, _ *contract.Contract) { kalnins.Keys[0].Withdrawn = true }))
	tg.g.Configure(newSnapshot(1, nil)) // an older revision is ignored
	close(s.unblock)
	counts := map[string]int{}
	for range requests {
		counts[<-answers]++
	}
	is.Equal(counts, map[string]int{"200": dispatched, "401not_run": requests - dispatched})
	is.Equal(s.count(), dispatched)
	response, _ := tg.chat("later", false)
	is.Equal(response.StatusCode, 401)
}

// queued returns the number of requests in the queue of a pool.
func (g *Gateway) queued(pool string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Queued(pool)
}

// TestCordonIsExact checks that the count that a cordon returns includes every request
// routed before it, and that no request is routed to the target after it.
func TestCordonIsExact(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{unblock: make(chan struct{}), run: func(_ int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
		return scriptedChunks(r, 4, 4), nil, nil
	}}
	tg := newTestGateway(t, s, "e1", "e2")
	for i := range tg.view { // each engine has capacity for all requests
		tg.view[i].Report.Capacity = 32
		tg.view[i].Report.ReceivedAt = time.Now()
	}
	tg.g.Observe(tg.view)
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() { tg.chat("before", false) })
	}
	eventually(t, func() bool { return s.count() == 20 })
	at := func(id target.ID) (n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, chosen := range s.targets {
			if chosen == id {
				n++
			}
		}
		return n
	}
	before := at("e1")
	is.Equal(tg.g.Cordon("e1", 5, false), before)
	is.Equal(tg.g.Cordon("e1", 4, true), before) // a lower epoch is ignored
	tg.g.Observe(tg.view)                        // so is a view with a lower epoch
	for range 10 {
		callers.Go(func() { tg.chat("after", false) })
	}
	eventually(t, func() bool { return s.count() == 30 })
	is.Equal(at("e1"), before)
	close(s.unblock)
	callers.Wait()
	is.Equal(tg.g.Cordon("e1", 5, false), 0)
	is.Equal(tg.g.Cordon("e1", 6, true), 0)
	is.Equal(tg.g.Cordon("e2", 1, false), 0)
	response, _ := tg.chat("lifted", false)
	is.Equal(response.StatusCode, 200)
	is.True(at("e1") > before)
}

// TestStreamsMoveBeforeTargetLeaves checks that a stream moves off a target before the target
// leaves, and stays there while no other target is available.
func TestStreamsMoveBeforeTargetLeaves(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{unblock: make(chan struct{}), run: func(_ int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
		return scriptedChunks(r, 6, 6), nil, nil
	}}
	tg := newTestGateway(t, s, "e1")
	done := make(chan string)
	go func() {
		_, body := tg.chat("moved", true)
		done <- body
	}()
	eventually(t, func() bool { return s.count() == 1 })
	leaving := tg.view[0]
	leaving.State = provider.Leaving
	leaving.LeavesAt = time.Now().Add(time.Second)
	tg.g.Observe([]control.TargetState{leaving})
	is.Equal(s.count(), 1)
	tg.g.Observe([]control.TargetState{leaving, liveTarget("e2", target.Engine, "p", "e2")})
	eventually(t, func() bool { return s.count() == 2 })
	close(s.unblock)
	is.Equal(streamText(parseEvents(<-done)), scriptedText(6))
	is.Equal(s.targets[1], target.ID("e2"))
	eventually(t, func() bool { return tg.g.Cordon("e1", 9, false) == 0 && tg.g.Cordon("e2", 9, false) == 0 })
}

// TestCallerCancelReachesEngine checks that an engine's attempt is cancelled when the caller
// disconnects.
func TestCallerCancelReachesEngine(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{unblock: make(chan struct{}), run: func(_ int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
		return scriptedChunks(r, 6, 6), nil, nil
	}}
	tg := newTestGateway(t, s, "e1")
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", tg.server.URL+"/v1/chat/completions", strings.NewReader(chatRequest("gone", true)))
	is.NoErr(err)
	request.Header.Set("X-Api-Key", testKey)
	go func() {
		eventually(t, func() bool { return s.count() == 1 })
		cancel()
	}()
	if response, err := http.DefaultClient.Do(request); err == nil {
		_, _ = io.ReadAll(response.Body)
		response.Body.Close()
	}
	eventually(t, func() bool { return tg.g.inFlight.Load() == 0 })
	is.Equal(tg.g.Cordon("e1", 1, false), 0)
	is.Equal(s.count(), 1)
}

// TestPrefillThenDecode checks a request in two phases, and the fallback to a single phase
// if the decode phase is refused.
func TestPrefillThenDecode(t *testing.T) {
	for _, broken := range []bool{false, true} {
		is := is.New(t)
		s := &scriptedEngines{}
		s.run = func(_ int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
			switch {
			case r.Phase == target.PhasePrefill:
				c := scriptedChunks(r, 1, 5)[0]
				c.KVHandle = "kv"
				return []target.Chunk{c}, nil, nil
			case r.Phase == target.PhaseDecode && broken:
				return nil, target.ErrRefused, nil
			default:
				return scriptedChunks(r, 5, 5), nil, nil
			}
		}
		tg := newTestGateway(t, s, "e1", "e2")
		body := chatBody{Messages: []chatMessage{{"user", "phases"}}, Model: testModel}
		c := &call{id: "x", arrived: time.Now(), credential: &credential{testKey, contract.Fingerprint(testKey)}}
		n, err := tg.g.newGeneration(c, tg.g.snapshot.Load().Contracts["kalnins"], &body)
		is.NoErr(err)
		n.emit = func(string, int) error { return nil }
		place, ok := tg.g.fleet.choose(time.Now(), &n.query)
		is.True(ok)
		prefill := target.Target{ID: "e0", Address: "e0"}
		place.prefill = &prefill
		tg.g.fleet.running["e0"]++
		is.NoErr(n.attempt(context.Background(), place))
		is.Equal(n.text.String(), scriptedText(5))
		place.done(time.Now(), false)
		is.Equal(len(tg.g.fleet.running), 0)
		is.Equal(s.attempts[1].KVSource, "e0")
		is.Equal(s.attempts[1].Offset, 1)
		is.Equal(broken, len(s.attempts) == 3)
	}
}

// TestStalledAnswerContinuesElsewhere checks that an answer continues at another engine if
// its engine stops sending chunks.
func TestStalledAnswerContinuesElsewhere(t *testing.T) {
	is := is.New(t)
	s := &scriptedEngines{unblock: make(chan struct{}), run: func(i int, _ target.Target, r target.GenerateRequest) ([]target.Chunk, error, error) {
		if i > 0 {
			return append(scriptedChunks(r, 5, 5), target.Chunk{}), nil, nil
		}
		return scriptedChunks(r, 3, 5), nil, nil
	}}
	tg := newTestGateway(t, s, "e1", "e2")
	tg.g.options.Settings.StallMillis = 50
	_, body := tg.chat("silent", true)
	is.Equal(streamText(parseEvents(body)), scriptedText(5))
	is.Equal(s.count(), 2)
	is.True(s.targets[0] != s.targets[1])
}

// TestWithdrawnStreamIsCut checks that a stream whose key is withdrawn is cut after the time
// that the setting allows.
func TestWithdrawnStreamIsCut(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, nil)
	s := &scriptedEngines{run: func(_ int, _ target.Target, q target.GenerateRequest) ([]target.Chunk, error, error) {
		return scriptedChunks(q, 500, 500), nil, nil
	}}
	tg.g.options.Engines = hookedRequests{s, func(i int) {
		if i == 3 {
			tg.g.Configure(newSnapshot(2, func(kalnins, _ *contract.Contract) { kalnins.Keys[0].Withdrawn = true }))
		}
		time.Sleep(time.Millisecond)
	}}
	tg.g.options.Settings.WithdrawnStreamMillis = 20
	tg.g.Observe([]control.TargetState{liveTarget("e1", target.Engine, "p", "e1")})
	_, body := tg.chat("cut", true)
	all := parseEvents(body)
	is.Equal(all[len(all)-1].name, "error")
	is.True(strings.Contains(all[len(all)-1].data, "key_withdrawn"))
	is.True(len(all) < 400)
}

// hookedRequests calls a function before each chunk of a stream.
type hookedRequests struct {
	target.Requests
	before func(chunk int)
}

func (s hookedRequests) Generate(ctx context.Context, t target.Target, r target.GenerateRequest) (target.Stream, error) {
	stream, err := s.Requests.Generate(ctx, t, r)
	return &hookedStream{Stream: stream, before: s.before}, err
}

// hookedStream is a stream of hookedRequests.
type hookedStream struct {
	target.Stream
	before func(chunk int)
	chunks int
}

func (s *hookedStream) Next() (target.Chunk, error) {
	s.before(s.chunks)
	s.chunks++
	return s.Stream.Next()
}

// TestSplitPool checks requests to a pool with separate prefill and decode engines, before
// and after the loss of a prefill engine.
func TestSplitPool(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, nil)
	var view []control.TargetState
	for _, e := range []struct {
		name string
		role target.Role
	}{{"p1", target.Prefill}, {"p2", target.Prefill}, {"d1", target.Decode}} {
		tg.engines.Add(e.name, engine.Options{ID: target.ID(e.name), Role: e.role, Models: []string{testModel}, DecodeRate: 1e6, PrefillRate: 1e7})
		state := liveTarget(e.name, target.Engine, "p", e.name)
		state.Report.Role = e.role
		view = append(view, state)
	}
	tg.g.Observe(view)
	want, _ := engineText("split")
	response, body := tg.chat("split", false)
	is.Equal(response.StatusCode, 200)
	is.True(strings.Contains(body, want))
	tg.engines.Remove("p1")
	for range 5 {
		response, body = tg.chat("split", false)
		is.Equal(response.StatusCode, 200)
		is.True(strings.Contains(body, want))
	}
	is.Equal(len(tg.g.fleet.running), 0)
}
