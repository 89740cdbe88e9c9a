package forward_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/retrybudget"
)

// longPrompt are the headers of a request whose prompt is worth processing at a prefill target.
var longPrompt = []string{"X-Model: m", "X-Token-Count: 20000,20", "X-Prompt-Prefix: aa:9000,bb:11000"}

// checkExtraArrivals fails the test if the targets got more arrivals beyond the first of each of so many
// requests than the bound allows. The first call of a request to process its prompt is free if a target
// accepted it.
func checkExtraArrivals(t *testing.T, requests int, bound float64, all ...*prepared.Target) {
	t.Helper()
	arrivals, prefilled := make(map[string]int), make(map[string]bool)
	for _, s := range all {
		for _, a := range s.Arrivals() {
			id := a.Header.Get("X-Request-Id")
			if a.Header.Get("X-Stage") == "prefill" && !prefilled[id] {
				prefilled[id] = true
				continue
			}
			arrivals[id]++
		}
	}
	extra := 0
	for _, n := range arrivals {
		extra += max(n-1, 0)
	}
	if float64(extra) > bound {
		t.Errorf("%d arrivals beyond the first for %d requests, %v allowed", extra, requests, bound)
	}
}

// The targets that produce the output break off each answer, so that each request is sent again, and
// its prompt processed again first. All of that must stay within the retry budget.
func TestRepeatedPrefillsStayWithinTheRetryBudget(t *testing.T) {
	const requests, ratio = 60, 0.2
	all := []*prepared.Target{engine("p-1", "prefill"), engine("p-2", "prefill"), engine("d-1", "decode"), engine("d-2", "decode"), engine("d-3", "decode"), engine("d-4", "decode")}
	for _, d := range all[2:] {
		d.SetFaults(slices.Repeat([]prepared.Fault{prepared.RunAndReset}, requests)...)
	}
	h := newTestHandler(t, "model", all...)
	h.handler.RetryBounds = retrybudget.Bounds{Ratio: ratio, Window: 10 * time.Second}
	for i := range requests {
		h.call(http.MethodPost, "/draft/a", "prompt", append([]string{withoutDefaultHeaders, "X-Deadline-Ms: 2000", "X-Credential: key-1", fmt.Sprint("X-Request-Id: r-", i)}, longPrompt...)...)
	}
	checkExtraArrivals(t, requests, ratio*requests, all...)
}

// The only target that could produce the output cannot be connected to, or none is known. A prompt is not
// processed again, or not at all.
func TestPromptIsNotProcessedAgainWithoutADecodeTarget(t *testing.T) {
	const requests, ratio = 20, 0.2
	alone := engine("p-0", "prefill")
	if a := newTestHandler(t, "model", alone).call(http.MethodPost, "/draft/a", "prompt", longPrompt...); a.status != http.StatusServiceUnavailable || len(alone.Arrivals()) > 0 {
		t.Errorf("status %d and %d calls without a decode target", a.status, len(alone.Arrivals()))
	}
	prefill, decode := engine("p-1", "prefill"), engine("d-1", "decode")
	decode.Close()
	h := newTestHandler(t, "model", prefill, decode)
	h.handler.RetryBounds = retrybudget.Bounds{Ratio: ratio, Window: 10 * time.Second}
	for i := range requests {
		h.call(http.MethodPost, "/draft/a", "prompt", append([]string{withoutDefaultHeaders, "X-Deadline-Ms: 2000", "X-Credential: key-1", fmt.Sprint("X-Request-Id: r-", i)}, longPrompt...)...)
	}
	if n := len(prefill.Arrivals()); n > requests+int(ratio*requests) {
		t.Errorf("%d calls to process the prompts of %d requests", n, requests)
	}
}

// Targets fall silent under the streams of many requests at once. Each search for another target, with the
// prompt processed again first, must stay within the retry budget.
func TestSearchesOfSilentStreamsStayWithinTheRetryBudget(t *testing.T) {
	const requests, ratio = 40, 0.2
	all := []*prepared.Target{engine("p-1", "prefill"), engine("p-2", "prefill"), engine("d-1", "decode"), engine("d-2", "decode"), engine("d-3", "decode"), engine("d-4", "decode")}
	for _, d := range all[2:] {
		d.SetFaults(slices.Repeat([]prepared.Fault{prepared.RunAndHang}, requests)...)
	}
	h := newTestHandler(t, "model", all...)
	h.handler.RetryBounds = retrybudget.Bounds{Ratio: ratio, Window: 10 * time.Second}
	var callers sync.WaitGroup
	for i := range requests {
		callers.Go(func() {
			h.call(http.MethodPost, "/draft/a", "prompt", append([]string{withoutDefaultHeaders, "X-Deadline-Ms: 3000", "X-Credential: key-1", fmt.Sprint("X-Request-Id: r-", i)}, longPrompt...)...)
		})
	}
	callers.Wait()
	checkExtraArrivals(t, requests, ratio*requests, all...)
}
