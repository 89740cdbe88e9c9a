package claim

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"zinniapin/internal/standin/objects"
	"zinniapin/store"
)

// operation is the input of an operation in the history.
type operation struct {
	kind    string // begin, run, finish, release or abandon
	key     string
	attempt string // of the ticket, except for begin
	answer  string // that finish stores
}

// observation is the output of an operation in the history.
type observation struct {
	state   State  // of a begin without a ticket; empty if it was refused
	attempt string // of the ticket that a begin got
	answer  string // that a begin got
}

// claimState is the state of the specification of one claim.
type claimState struct {
	state   State  // empty if the request may be claimed
	attempt string // of the ticket that was issued last
	answer  string // that is stored
	ran     bool
}

// stepClaim is the specification of a claim: at most one ticket at a time, at most one run, a
// stable answer, and no ticket after an unknown outcome. The update of a refused begin may
// still take effect, so a free claim may be seen as claimed or unknown.
func stepClaim(s claimState, in operation, out observation) (bool, claimState) {
	holdsClaim := s.attempt == in.attempt && s.state == Claimed
	switch in.kind {
	case "run":
		ok := s.attempt == in.attempt && s.state != Done && !s.ran
		s.ran = true
		return ok, s
	case "finish":
		if s.attempt == in.attempt {
			s.state, s.answer = Done, in.answer
		}
		return true, s
	case "release":
		if holdsClaim {
			s.state, s.attempt = "", ""
		}
		return true, s
	case "abandon":
		if holdsClaim {
			s.state = Unknown
		}
		return true, s
	}
	return stepBegin(s, out)
}

// stepBegin is the part of the specification for begin.
func stepBegin(s claimState, out observation) (bool, claimState) {
	switch out.state {
	case "":
		return true, s // refused
	case Done:
		return s.state == Done && s.answer == out.answer, s
	case Unknown:
		ok := s.state != Done
		s.state = Unknown
		return ok, s
	}
	if out.attempt == "" {
		return s.state == "" || s.state == Claimed, s
	}
	return s.state == "", claimState{state: Claimed, attempt: out.attempt, ran: s.ran}
}

// claimModel is the specification of all claims for the linearizability checker, which checks
// each key separately.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return claimState{} },
	Step: func(state, in, out any) (bool, any) {
		return stepClaim(state.(claimState), in.(operation), out.(observation))
	},
}

// recorder records a history.
type recorder struct {
	tick atomic.Int64
	mu   sync.Mutex
	ops  []porcupine.Operation
}

// record runs f and records it as an operation. If f returns open=true the operation may take
// effect at any later time, so it is recorded without an end.
func (r *recorder) record(client int, in operation, f func() (out observation, open bool)) observation {
	start := r.tick.Add(1)
	out, open := f()
	end := r.tick.Add(1)
	if open {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: start, Output: out, Return: end})
	return out
}

// unconditionalStore is an object API that ignores the version condition of updates.
type unconditionalStore struct{ store.Store }

func (s unconditionalStore) Put(ctx context.Context, p store.Purpose, key string, value []byte, version store.Version) (store.Version, error) {
	for {
		got, err := s.Store.Put(ctx, p, key, value, version)
		if !errors.Is(err, store.ErrConflict) {
			return got, err
		}
		object, err := s.Get(ctx, p, key)
		if err != nil {
			return store.Absent, err
		}
		version = object.Version
	}
}

// historyRun runs clients against one object API with random faults.
type historyRun struct {
	recorder
	clock *clock
	api   *objects.Store
	store store.Store
}

// client makes repeated requests. A simulated crash replaces its registry by a new one with
// empty memory.
func (h *historyRun) client(n int, rng *rand.Rand, keys, rounds int) {
	ctx := context.Background()
	newRegistry := func() *StoreRegistry {
		return NewStoreRegistry(h.store, Options{Now: h.clock.Now, OrphanAfter: time.Minute})
	}
	r := newRegistry()
	for range rounds {
		id := ID{Organisation: "org", IdempotencyKey: fmt.Sprint("k", rng.IntN(keys))}
		if ticket, ok := h.begin(ctx, r, n, id); ok && rng.IntN(6) > 0 {
			h.useTicket(ctx, r, n, rng, ticket)
		}
		switch rng.IntN(10) {
		case 0:
			r = newRegistry() // crash
		case 1, 2:
			_ = r.Flush(ctx)
		case 3:
			h.api.DeliverLate()
		case 4:
			h.clock.advance(10 * time.Second)
		}
	}
}

// begin records a Begin and returns its ticket, if it got one.
func (h *historyRun) begin(ctx context.Context, r *StoreRegistry, n int, id ID) (Ticket, bool) {
	var ticket Ticket
	out := h.record(n, operation{kind: "begin", key: id.IdempotencyKey}, func() (observation, bool) {
		got, err := r.Begin(ctx, id, [32]byte{1})
		if err != nil {
			return observation{}, false
		}
		out := observation{state: got.State}
		if got.Ticket != nil {
			ticket = *got.Ticket
			out.attempt = ticket.Attempt
		}
		if got.Answer != nil {
			out.answer = string(got.Answer.Body)
		}
		return out, false
	})
	return ticket, out.attempt != ""
}

// useTicket runs the claimed request or not, at random, and ends the claim accordingly.
func (h *historyRun) useTicket(ctx context.Context, r *StoreRegistry, n int, rng *rand.Rand, t Ticket) {
	in := operation{kind: "release", key: t.ID.IdempotencyKey, attempt: t.Attempt}
	endClaim := func() error { return r.Release(ctx, t) }
	if choice := rng.IntN(8); choice > 1 {
		in.kind = "run"
		h.record(n, in, func() (observation, bool) { return observation{}, false })
		in.kind, in.answer = "finish", "answer of "+t.Attempt
		endClaim = func() error { return r.Finish(ctx, t, Answer{Body: []byte(in.answer)}) }
		if choice == 2 {
			in.kind = "abandon"
			endClaim = func() error { return r.Abandon(ctx, t) }
		}
	}
	h.record(n, in, func() (observation, bool) { return observation{}, endClaim() != nil })
}

// randomFaults returns faults that give about a third of the calls a random verdict.
func randomFaults(seed uint64) objects.Fault {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	verdicts := []objects.Verdict{objects.Refuse, objects.LoseAnswer, objects.LoseRequest, objects.Late}
	return func(op objects.Operation, _ string) objects.Verdict {
		mu.Lock()
		defer mu.Unlock()
		if rng.IntN(3) > 0 {
			return objects.Pass
		}
		return verdicts[rng.IntN(len(verdicts))]
	}
}

// checkHistory runs eight concurrent clients and checks their history against the
// specification. It returns the verdict and the number of operations.
func checkHistory(seed uint64, wrap func(store.Store) store.Store) (porcupine.CheckResult, int) {
	api := objects.New()
	api.SetFault(randomFaults(seed))
	h := &historyRun{clock: newClock(), api: api, store: wrap(api)}
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			h.client(n, rand.New(rand.NewPCG(seed, uint64(n)+2)), 12, 24)
		})
	}
	wg.Wait()
	return porcupine.CheckOperationsTimeout(claimModel, h.ops, 30*time.Second), len(h.ops)
}

// TestHistoryOfClaims checks that no request runs twice, whatever concurrent clients do, with
// lost answers, late updates, refusals and crashes.
func TestHistoryOfClaims(t *testing.T) {
	is := is.New(t)
	total := 0
	for seed := range uint64(60) {
		verdict, ops := checkHistory(seed, func(s store.Store) store.Store { return s })
		is.Equal(verdict, porcupine.Ok)
		total += ops
	}
	t.Logf("%d operations checked", total)
}

// TestHistoryFindsIgnoredConditions checks that the history check detects an object API that
// ignores version conditions. It guards against a check that accepts everything.
func TestHistoryFindsIgnoredConditions(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		verdict, _ := checkHistory(seed, func(s store.Store) store.Store { return unconditionalStore{s} })
		is.Equal(verdict, porcupine.Illegal)
	}
}
