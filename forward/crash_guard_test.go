package forward_test

import (
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
	"zinniapin/poison"
	"zinniapin/roster"
)

// promptWith returns the headers of a request whose prompt has a part that it shares.
func promptWith(part, own string) []string {
	return []string{"X-Model: m", "X-Token-Count: 100,20", "X-Prompt-Prefix: aa:50," + part + ":20," + own + ":30"}
}

// crashingEngines returns engines that end under a part of a prompt and start again after some time.
func crashingEngines(part string, restartAfter time.Duration, ids ...string) []*prepared.Target {
	var all []*prepared.Target
	for _, id := range ids {
		e := engine(id, "decode")
		e.CrashOn(restartAfter, part)
		all = append(all, e)
	}
	return all
}

// After three crashes a request with the part is rejected at once: the answer says that it has not run
// and when to come back, and no target gets it.
func TestPromptWithAPartThatCrashesTargetsIsRejected(t *testing.T) {
	is := is.New(t)
	all := crashingEngines("dead", time.Hour, "e-1", "e-2", "e-3", "e-4", "e-5")
	h := newTestHandler(t, "model", all...)
	for _, own := range []string{"1", "2", "3", "4"} {
		h.call(http.MethodPost, "/draft/a", "p", promptWith("dead", own)...)
		time.Sleep(50 * time.Millisecond)
	}
	arrivals := func() (n int) {
		for _, e := range all {
			n += len(e.Arrivals())
		}
		return n
	}
	is.Equal(arrivals(), 3)
	a := h.call(http.MethodPost, "/draft/a", "p", promptWith("dead", "5")...)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(arrivals(), 3)
	is.Equal(h.call(http.MethodPost, "/draft/a", "p", promptWith("bb", "6")...).status, http.StatusOK)
}

// Targets break off answers and live on. That says nothing against the parts of the prompts.
func TestBrokenAnswersOfLiveTargetsBlockNoPrompt(t *testing.T) {
	is := is.New(t)
	all := []*prepared.Target{engine("e-1", "decode"), engine("e-2", "decode"), engine("e-3", "decode"), engine("e-4", "decode")}
	h := newTestHandler(t, "model", all...)
	for range 8 {
		for _, e := range all {
			e.SetFaults(prepared.RunAndReset)
		}
		h.call(http.MethodPost, "/reply/a", "p", promptWith("bb", "1")...)
		time.Sleep(30 * time.Millisecond)
	}
	for _, e := range all {
		e.SetFaults()
	}
	time.Sleep(300 * time.Millisecond) // until no target is in quarantine
	is.Equal(h.call(http.MethodPost, "/reply/a", "p", promptWith("bb", "2")...).status, http.StatusOK)
	h.handler.Crashes.ObserveTargets(h.targets)
	is.Equal(len(h.handler.Crashes.Evidence(8, time.Hour)), 0)
}

// An answer broke off at a target that lived on. A later crash of that target says nothing against its parts.
func TestEarlierBrokenAnswerIsNoVictimOfACrash(t *testing.T) {
	is := is.New(t)
	e := crashingEngines("dead", time.Hour, "e-1")[0]
	h := newTestHandler(t, "model", e)
	e.SetFaults(prepared.RunAndReset)
	h.call(http.MethodPost, "/reply/a", "p", promptWith("bb", "1")...)
	time.Sleep(1200 * time.Millisecond)
	h.call(http.MethodPost, "/reply/a", "p", promptWith("dead", "2")...)
	time.Sleep(100 * time.Millisecond)
	var suspects []poison.Part
	for _, evidence := range h.handler.Crashes.Evidence(8, time.Hour) {
		suspects = append(suspects, evidence.Part)
	}
	is.Equal(len(suspects), 3) // the first part, which both prompts have, the one that crashed the target, and the whole request
	is.True(!slices.Contains(suspects, evidenceAgainst("bb")[0].Part))
}

// Targets that crash start again so soon that connections are not refused. The list of targets shows it.
func TestCrashIsRecognisedByTheNextStart(t *testing.T) {
	is := is.New(t)
	all := []*prepared.Target{engine("e-1", "decode"), engine("e-2", "decode"), engine("e-3", "decode")}
	h := newTestHandler(t, "model", all...)
	for _, e := range all {
		e.SetFaults(slices.Repeat([]prepared.Fault{prepared.RunAndReset}, 50)...)
	}
	for _, e := range all {
		for len(e.Arrivals()) == 0 {
			h.call(http.MethodPost, "/reply/a", "p", promptWith("dead", "1")...)
		}
	}
	time.Sleep(time.Second) // until the targets were found to accept connections
	is.Equal(len(h.handler.Crashes.Evidence(8, time.Hour)), 0)
	var restarted []roster.Target
	for _, target := range h.targets {
		target.StartedMillis++
		restarted = append(restarted, target)
	}
	h.handler.Crashes.ObserveTargets(restarted)
	a := h.call(http.MethodPost, "/reply/a", "p", promptWith("dead", "9")...)
	is.Equal(a.status, http.StatusServiceUnavailable)
}

// The part becomes known as one that crashes targets while another target processes a prompt with it. The
// prompt's output is not produced, and its KV cache is freed.
func TestPartBlockedWhileThePromptIsProcessed(t *testing.T) {
	is := is.New(t)
	prefill := engine("p-1", "prefill")
	prefill.Delay = 300 * time.Millisecond
	decode := engine("d-1", "decode")
	h := newTestHandler(t, "model", prefill, decode)
	time.AfterFunc(100*time.Millisecond, func() { h.handler.Crashes.Merge(evidenceAgainst("dead")) })
	a := h.call(http.MethodPost, "/draft/a", "p", "X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,dead:5000,bb:6000")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(len(decode.Arrivals()), 0)
	for begun := time.Now(); len(prefill.FreedHandles()) == 0; time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(begun) < 2*time.Second)
	}
	is.True(strings.HasPrefix(prefill.FreedHandles()[0], "h-"))
}

// evidenceAgainst returns evidence of three crashes under a part.
func evidenceAgainst(part string) []poison.Evidence {
	id := fnv.New64a()
	_, _ = id.Write([]byte(part))
	now := time.Now()
	return []poison.Evidence{{Part: poison.PartOfPrompt(id.Sum64()), Crashes: []poison.Crash{{Process: 1, At: now}, {Process: 2, At: now}, {Process: 3, At: now}}}}
}

// A target refuses a request, and the part becomes known meanwhile. The request is not sent elsewhere.
func TestPartBlockedBetweenAttempts(t *testing.T) {
	is := is.New(t)
	one, two := engine("t-1", "decode"), engine("t-2", "decode")
	h := newTestHandler(t, "model", one, two)
	for _, e := range []*prepared.Target{one, two} {
		e.Delay = 200 * time.Millisecond
		e.SetFaults(prepared.RefuseNotRun)
	}
	time.AfterFunc(100*time.Millisecond, func() { h.handler.Crashes.Merge(evidenceAgainst("dead")) })
	is.Equal(h.call(http.MethodPost, "/draft/a", "p", promptWith("dead", "1")...).status, http.StatusServiceUnavailable)
	is.Equal(len(one.Arrivals())+len(two.Arrivals()), 1)
}
