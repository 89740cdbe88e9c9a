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

// call is the input of an operation of a history.
type call struct {
	kind    string // begin, run, finish, release or abandon
	key     string
	attempt string
	answer  string
}

// reply is the output of an operation of a history.
type reply struct {
	state   State // of a begin without a ticket; empty when refused
	attempt string
	answer  string
}

// claimState is the specification of one claim.
type claimState struct {
	state   State // "" while free
	attempt string
	answer  string
	ran     bool
}

// stepClaim is the specification: one ticket at a time, one run in all, a
// stable answer, and no ticket after an unknown outcome. An update that a
// refused begin left behind may make a free claim look claimed or unknown.
func stepClaim(s claimState, in call, out reply) (bool, claimState) {
	held := s.attempt == in.attempt && s.state == Claimed
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
		if held {
			s.state, s.attempt = "", ""
		}
		return true, s
	case "abandon":
		if held {
			s.state = Unknown
		}
		return true, s
	}
	return stepBegin(s, out)
}

func stepBegin(s claimState, out reply) (bool, claimState) {
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

// claimModel is the specification of all claims for porcupine.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(call).key
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
		return stepClaim(state.(claimState), in.(call), out.(reply))
	},
}

// recorder collects a history.
type recorder struct {
	tick atomic.Int64
	mu   sync.Mutex
	ops  []porcupine.Operation
}

// do records an operation; one that may take effect later never returns.
func (r *recorder) do(client int, in call, f func() (out reply, open bool)) reply {
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

// ignoringConditions is an object API that writes whatever the version.
type ignoringConditions struct{ store.Store }

func (s ignoringConditions) Put(ctx context.Context, p store.Purpose, key string, value []byte, version store.Version) (store.Version, error) {
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

// historyRun drives clients against one faulty object API.
type historyRun struct {
	recorder
	clock *clock
	api   *objects.Store
	store store.Store
}

// client makes repeated requests; it is restarted, with empty memory, when it
// crashes.
func (h *historyRun) client(n int, rng *rand.Rand, keys, rounds int) {
	ctx := context.Background()
	fresh := func() *StoreRegistry {
		return NewStoreRegistry(h.store, Options{Now: h.clock.Now, OrphanAfter: time.Minute})
	}
	r := fresh()
	for range rounds {
		id := ID{Organisation: "org", IdempotencyKey: fmt.Sprint("k", rng.IntN(keys))}
		if ticket, ok := h.begin(ctx, r, n, id); ok && rng.IntN(6) > 0 {
			h.use(ctx, r, n, rng, ticket)
		}
		switch rng.IntN(10) {
		case 0:
			r = fresh() // crash
		case 1, 2:
			_ = r.Flush(ctx)
		case 3:
			h.api.DeliverLate()
		case 4:
			h.clock.advance(10 * time.Second)
		}
	}
}

func (h *historyRun) begin(ctx context.Context, r *StoreRegistry, n int, id ID) (Ticket, bool) {
	var ticket Ticket
	out := h.do(n, call{kind: "begin", key: id.IdempotencyKey}, func() (reply, bool) {
		got, err := r.Begin(ctx, id, [32]byte{1})
		if err != nil {
			return reply{}, false
		}
		out := reply{state: got.State}
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

// use runs a claimed request, or not, and ends the claim.
func (h *historyRun) use(ctx context.Context, r *StoreRegistry, n int, rng *rand.Rand, t Ticket) {
	in := call{kind: "release", key: t.ID.IdempotencyKey, attempt: t.Attempt}
	end := func() error { return r.Release(ctx, t) }
	if choice := rng.IntN(8); choice > 1 {
		in.kind = "run"
		h.do(n, in, func() (reply, bool) { return reply{}, false })
		in.kind, in.answer = "finish", "answer of "+t.Attempt
		end = func() error { return r.Finish(ctx, t, Answer{Body: []byte(in.answer)}) }
		if choice == 2 {
			in.kind = "abandon"
			end = func() error { return r.Abandon(ctx, t) }
		}
	}
	h.do(n, in, func() (reply, bool) { return reply{}, end() != nil })
}

// faults gives every call a verdict by chance.
func faults(seed uint64) objects.Fault {
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

// checkHistory runs concurrent clients and checks what they saw.
func checkHistory(seed uint64, wrap func(store.Store) store.Store) (porcupine.CheckResult, int) {
	api := objects.New()
	api.SetFault(faults(seed))
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

// TestHistoryOfClaims checks that concurrent clients under lost answers, late
// updates, refusals and crashes see claims that run at most once.
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

// TestHistoryFindsIgnoredConditions checks that the history check rejects an
// object API that ignores the condition of an update.
func TestHistoryFindsIgnoredConditions(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		verdict, _ := checkHistory(seed, func(s store.Store) store.Store { return ignoringConditions{s} })
		is.Equal(verdict, porcupine.Illegal)
	}
}
