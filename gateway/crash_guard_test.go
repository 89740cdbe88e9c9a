package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/control"
	"zinniapin/internal/standin/engine"
	"zinniapin/internal/standin/service"
	"zinniapin/poison"
	"zinniapin/target"
	"zinniapin/target/httpengine"
)

// startEngines returns a gateway before n engines that listen on sockets and have these faults.
func startEngines(t *testing.T, n int, faults engine.Faults) (*testGateway, []*engine.Server) {
	client := httpengine.New(httpengine.Options{})
	t.Cleanup(client.Close)
	tg := newTestGateway(t, client)
	var view []control.TargetState
	var all []*engine.Server
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		s, err := engine.Start("127.0.0.1:0", engine.Options{ID: target.ID(name), Seed: uint64(i + 1), Models: []string{testModel}, DecodeRate: 1e6, PrefillRate: 1e7})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.Engine.SetFaults(faults)
		all = append(all, s)
		view = append(view, liveTarget(name, target.Engine, "p", s.Address()))
	}
	tg.g.Observe(view)
	return tg, all
}

// countRequests returns how many attempts with the text in their prompts the engines got.
func countRequests(all []*engine.Server, text string) int {
	n := 0
	for _, s := range all {
		for _, r := range s.Engine.Records().Requests {
			if strings.Contains(r.Prompt, text) {
				n++
			}
		}
	}
	return n
}

// TestRequestThatCrashesEnginesIsRejected checks that a request under which three engines crashed reaches
// no further one, that its rejection says so, and that others are served.
func TestRequestThatCrashesEnginesIsRejected(t *testing.T) {
	is := is.New(t)
	tg, engines := startEngines(t, 12, engine.Faults{CrashOn: "fatal", RestartMillis: 300})
	for range 3 {
		response, _ := tg.chat("a fatal prompt", false)
		is.True(response.StatusCode >= 500)
	}
	for i := range 10 {
		response, body := tg.chat("a fatal prompt", i%2 == 0)
		is.Equal(response.StatusCode, 503)
		is.Equal(errorOf(body).Code, "request_blocked")
		is.Equal(errorOf(body).Execution, "not_run")
		is.True(response.Header.Get("Retry-After") != "")
	}
	is.Equal(countRequests(engines, "fatal"), 3)
	response, _ := tg.chat("another prompt", false)
	is.Equal(response.StatusCode, 200)
	_, body := tg.send("POST", "/v1/chat/completions", otherKey, chatRequest("a fatal prompt", false))
	is.True(errorOf(body).Code != "request_blocked") // organisations do not learn of each other's requests
}

// TestInnocentRequestsAreServed checks that a request which is under way in the same crashes again and
// again is served.
func TestInnocentRequestsAreServed(t *testing.T) {
	is := is.New(t)
	tg, engines := startEngines(t, 8, engine.Faults{CrashOn: "fatal", RestartMillis: 100, DelayMillis: 20})
	for range 6 {
		var callers sync.WaitGroup
		for i := range 16 {
			prompt := []string{"a fatal prompt", "a calm prompt", fmt.Sprintf("prompt %d", i), "a calm prompt"}[i%4]
			callers.Go(func() { tg.chat(prompt, false) })
		}
		callers.Wait()
	}
	response, body := tg.chat("a fatal prompt", false)
	is.Equal(errorOf(body).Code, "request_blocked")
	is.Equal(response.StatusCode, 503)
	is.True(countRequests(engines, "fatal") <= 16) // four at once in each round, each sent twice at most before the third crash
	for i := range 16 {
		response, _ = tg.chat("a calm prompt", i%2 == 0)
		is.Equal(response.StatusCode, 200)
	}
}

// TestBrokenAnswersAreNoCrashes checks that a request is not blocked when engines break its answers off
// and go on.
func TestBrokenAnswersAreNoCrashes(t *testing.T) {
	is := is.New(t)
	tg, _ := startEngines(t, 4, engine.Faults{BreakStreams: 5})
	served := 0
	for range 20 {
		response, body := tg.chat("a prompt", false)
		is.True(errorOf(body).Code != "request_blocked")
		if response.StatusCode == 200 {
			served++
		}
	}
	is.True(served > 0)
}

// TestCallThatCrashesServicesIsRejected checks that calls, also those that may not be repeated, are
// rejected as not run after three crashes, and that earlier ones under a key are not said to be not run.
func TestCallThatCrashesServicesIsRejected(t *testing.T) {
	// A call that may be repeated is sent to a second target, but not to a third one.
	for path, crashing := range map[string]int{"/deposits": 3, "/drafts": 2} {
		is := is.New(t)
		var services []*service.Server
		var addresses []string
		for range 8 {
			s := startService(t)
			s.SetFaults(service.Faults{CrashOn: "fatal", RestartMillis: 300})
			services, addresses = append(services, s), append(addresses, s.Address())
		}
		tg := newTestGatewayWithServices(t, addresses...)
		call := func(key, body string) (int, errorDetail) {
			response, answer := tg.send("POST", "/v1/services/desk"+path, testKey, body, "Idempotency-Key", key)
			return response.StatusCode, errorOf(answer)
		}
		for i := range crashing {
			status, e := call(fmt.Sprint("first", i), `{"id":"fatal"}`)
			is.True(status >= 500 && e.Code != "request_blocked")
			is.Equal(e.Execution, "unknown")
		}
		for i := range 5 {
			status, e := call(fmt.Sprint("later", i), `{"id":"fatal"}`)
			is.Equal(status, 503)
			is.Equal(e.Code, "request_blocked")
			is.Equal(e.Execution, "not_run")
		}
		calls := 0
		for _, s := range services {
			calls += len(s.Calls())
		}
		is.Equal(calls, 3)
		if path == "/deposits" {
			_, e := call("first0", `{"id":"fatal"}`)
			is.Equal(e.Code, "claim_unknown")
			is.Equal(e.Execution, "unknown")
			status, _ := call("sound", `{"id":"d1"}`)
			is.Equal(status, 201)
		}
	}
}

// TestNextStartShowsACrash checks that a target which is back before a connection to it is tried is known
// to have crashed by its next start, and that one which goes on is not.
func TestNextStartShowsACrash(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	c := newCrashGuard(func(context.Context, target.Target) bool { return false }, &log)
	part := newRequestPart(0, func() poison.Part { return poison.PartOfRequest("kalnins", "POST", testModel, []byte("a prompt")) })
	var view []control.TargetState
	for i := range 3 {
		view = append(view, liveTarget(fmt.Sprint("e", i), target.Engine, "p", "127.0.0.1:1"))
		c.brokeOff(t.Context(), view[i].Target, view[i].Report.Boot, part.id())
	}
	c.observeTargets(view)
	_, rejected := c.rejects(part)
	is.True(!rejected) // none has started again
	for i := range view {
		view[i].Report.Boot++
	}
	c.observeTargets(view)
	_, rejected = c.rejects(part)
	is.True(rejected)
}
