package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"zinniapin/claim"
	"zinniapin/contract"
	"zinniapin/internal/standin/objects"
	"zinniapin/internal/standin/service"
	"zinniapin/result"
)

// limitTo allows an organisation n calls, and practically none after them.
func limitTo(n int) func(kalnins, _ *contract.Contract) {
	return func(kalnins, _ *contract.Contract) {
		kalnins.Limits = contract.Limits{RequestsPerSecond: 0.001, Burst: n, Concurrency: 10}
	}
}

// TestRefusedCallWritesNothing checks that a refused non-repeatable call costs the object
// API one read and no write, and that a repeated call is answered from its claim even though
// the limits refuse new calls.
func TestRefusedCallWritesNothing(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	tg := newTestGatewayWithServices(t, s.Address())
	api := objects.New()
	var puts, gets atomic.Int64
	api.SetFault(func(op objects.Operation, _ string) objects.Verdict {
		if op == objects.Put {
			puts.Add(1)
		} else {
			gets.Add(1)
		}
		return objects.Pass
	})
	tg.g.options.Claims = claim.NewStoreRegistry(api, claim.Options{})
	tg.g.Configure(newSnapshot(2, limitTo(2)))
	call := func(key string) (int, string, bool) {
		response, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", key)
		return response.StatusCode, body, response.Header.Get(headerReplayed) == "true"
	}
	status, first, _ := call("done")
	is.Equal(status, 201)
	s.SetFaults(service.Faults{LoseAnswers: 1})
	_, body, _ := call("lost")
	is.Equal(errorOf(body).Execution, "unknown")
	before := puts.Load()
	gets.Store(0)

	_, body, _ = call("new")
	is.Equal(errorOf(body).Code, "rate_limited")
	is.Equal(errorOf(body).Execution, "not_run")
	is.Equal(gets.Load(), int64(1))
	status, again, replayed := call("done")
	is.Equal(status, 201)
	is.True(replayed)
	is.Equal(again, first)
	_, body, _ = call("lost")
	is.Equal(errorOf(body).Code, "claim_unknown")
	is.Equal(errorOf(body).Execution, "unknown")
	is.Equal(puts.Load(), before)
	is.Equal(s.Runs()["d1"], 2)

	api.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
	_, body, _ = call("new")
	is.Equal(errorOf(body).Code, "rate_limited")
	is.Equal(errorOf(body).Execution, "not_run")
}

// claimsWithoutAnswers is a claim registry that reports each call as completed, without a
// stored answer.
type claimsWithoutAnswers struct{ *memoryClaims }

// Begin implements claim.Registry.
func (claimsWithoutAnswers) Begin(context.Context, claim.ID, [32]byte) (claim.Outcome, error) {
	err := result.Wrap(errors.New("dropped"), result.ClaimAnswerNotKept, "the request ran")
	err.Execution = result.Ran
	return claim.Outcome{}, err
}

// TestCallWithoutStoredAnswerIsReportedAsRun checks that the repetition of a call that ran,
// but whose answer is no longer stored, is reported as ran and not as not run.
func TestCallWithoutStoredAnswerIsReportedAsRun(t *testing.T) {
	is := is.New(t)
	tg := newTestGatewayWithServices(t, startService(t).Address())
	tg.g.options.Claims = claimsWithoutAnswers{tg.claims}
	_, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k")
	is.Equal(errorOf(body).Code, "claim_answer_not_kept")
	is.Equal(errorOf(body).Execution, "ran")
}
