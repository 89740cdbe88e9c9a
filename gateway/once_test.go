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

// slow lets an organisation make n calls and no more for long.
func slow(n int) func(k, _ *contract.Contract) {
	return func(k, _ *contract.Contract) {
		k.Limits = contract.Limits{RequestsPerSecond: 0.001, Burst: n, Concurrency: 10}
	}
}

// TestRefusedCallWritesNothing checks that a refused non-repeatable call
// costs the object API one read and no write, and that a repeat is answered
// from its claim although the limits refuse a new call.
func TestRefusedCallWritesNothing(t *testing.T) {
	is := is.New(t)
	s := desk(t)
	r := withDesks(t, s.Address())
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
	r.g.options.Claims = claim.NewStoreRegistry(api, claim.Options{})
	r.g.Configure(snapshot(2, slow(2)))
	call := func(key string) (int, string, bool) {
		response, body := r.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", key)
		return response.StatusCode, body, response.Header.Get(headerReplayed) == "true"
	}
	status, first, _ := call("done")
	is.Equal(status, 201)
	s.SetFaults(service.Faults{LoseAnswers: 1})
	_, body, _ := call("lost")
	is.Equal(failure(body).Execution, "unknown")
	before := puts.Load()
	gets.Store(0)

	_, body, _ = call("new")
	is.Equal(failure(body).Code, "rate_limited")
	is.Equal(failure(body).Execution, "not_run")
	is.Equal(gets.Load(), int64(1))
	status, again, replayed := call("done")
	is.Equal(status, 201)
	is.True(replayed)
	is.Equal(again, first)
	_, body, _ = call("lost")
	is.Equal(failure(body).Code, "claim_unknown")
	is.Equal(failure(body).Execution, "unknown")
	is.Equal(puts.Load(), before)
	is.Equal(s.Runs()["d1"], 2)

	api.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
	_, body, _ = call("new")
	is.Equal(failure(body).Code, "rate_limited")
	is.Equal(failure(body).Execution, "not_run")
}

// lostAnswers is a registry whose claims are done without a kept answer.
type lostAnswers struct{ *memoryClaims }

// Begin implements claim.Registry.
func (lostAnswers) Begin(context.Context, claim.ID, [32]byte) (claim.Outcome, error) {
	err := result.Wrap(errors.New("dropped"), result.ClaimAnswerNotKept, "the request ran")
	err.Execution = result.Ran
	return claim.Outcome{}, err
}

// TestAnswerNotKeptRan checks that a repeat of a call that ran is never told
// as not run because its answer is gone.
func TestAnswerNotKeptRan(t *testing.T) {
	is := is.New(t)
	r := withDesks(t, desk(t).Address())
	r.g.options.Claims = lostAnswers{r.claims}
	_, body := r.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k")
	is.Equal(failure(body).Code, "claim_answer_not_kept")
	is.Equal(failure(body).Execution, "ran")
}
