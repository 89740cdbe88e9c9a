package engine

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/target"
)

const model = "m"

// withTwoEngines runs test in virtual time, with engines at the addresses "a" and "b".
func withTwoEngines(t *testing.T, o Options, test func(t *testing.T, d *Direct, a, b *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := NewDirect()
		o.Models = []string{model}
		a := d.Add("a", o)
		o.Seed++
		b := d.Add("b", o)
		test(t, d, a, b)
		a.Close()
		b.Close()
		synctest.Wait()
	})
}

// readStream reads a stream to its end and joins the chunks of the attempt by their
// offsets. It skips chunks of other attempts and repeated chunks.
func readStream(s target.Stream, attempt string, offset int) (text string, tokens int, last target.Chunk, err error) {
	tokens = offset
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, tokens, last, nil
		}
		if err != nil {
			return text, tokens, last, err
		}
		if c.Attempt != attempt || c.Offset != tokens && !c.Done {
			continue
		}
		text += c.Text
		tokens += c.Tokens
		last = c
	}
}

// generateRequest returns a request for an answer of up to 400 tokens.
func generateRequest(attempt, prompt string) target.GenerateRequest {
	return target.GenerateRequest{Attempt: attempt, Model: model, Prompt: prompt, MaxTokens: 400}
}

// An answer that breaks off after any chunk and is resumed on another engine has the same
// text as one that is generated without a break.
func TestResumedAnswerIsTheSame(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		prompt := rapid.StringN(1, 50, 100).Draw(r, "prompt")
		after := rapid.IntRange(0, 8).Draw(r, "chunks before the break")
		size := rapid.IntRange(1, 9).Draw(r, "tokens a chunk")
		withTwoEngines(t, Options{ChunkTokens: size}, func(t *testing.T, _ *Direct, a, b *Engine) {
			is := is.New(t)
			want, finish := Length(model, prompt, 400)
			a.SetFaults(Faults{BreakStreams: 1, BreakAfter: after})
			s, err := a.Generate(t.Context(), generateRequest("1", prompt))
			is.NoErr(err)
			first, tokens, _, err := readStream(s, "1", 0)
			if err == nil {
				is.Equal(first, Text(model, prompt, 0, want)) // ended before the break
				return
			}
			is.True(errors.Is(err, target.ErrIncomplete))
			q := generateRequest("2", prompt)
			q.Offset = tokens
			q.Delivered = first
			s, err = b.Generate(t.Context(), q)
			is.NoErr(err)
			rest, tokens, last, err := readStream(s, "2", tokens)
			is.NoErr(err)
			is.Equal(first+rest, Text(model, prompt, 0, want))
			is.Equal(tokens, want)
			is.Equal(last.OutputTokens, want)
			is.Equal(last.Finish, finish)
		})
	})
}

// A request to continue an answer is refused if its delivered text is not the beginning of
// that answer.
func TestWrongDeliveredTextIsRefused(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		q := generateRequest("1", "p")
		q.Offset = 3
		q.Delivered = "not what was sent "
		_, err := a.Generate(t.Context(), q)
		is.True(errors.Is(err, target.ErrRefused))
	})
}

// Chunks of other attempts, repeated and late chunks do not disturb a reader that joins
// the chunks by attempt and offset.
func TestDisturbedChunksJoinByAttemptAndOffset(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		a.SetFaults(Faults{StrayChunks: 2, Duplicate: 3, LateChunks: 3})
		s, err := a.Generate(t.Context(), generateRequest("1", "p"))
		is.NoErr(err)
		text, tokens, _, err := readStream(s, "1", 0)
		is.NoErr(err)
		want, _ := Length(model, "p", 400)
		is.Equal(tokens, want)
		is.Equal(text, Text(model, "p", 0, want))
	})
}

// The prefill phase returns the first token and the handle of a KV cache, with which
// another engine generates the rest of the answer. A request of another cache scope cannot
// use the handle.
func TestPrefillHandsOverToDecode(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, d *Direct, a, b *Engine) {
		is := is.New(t)
		prompt := strings.Repeat("long ", 4000)
		q := generateRequest("1", prompt)
		q.CacheScope = "org"
		q.Phase = target.PhasePrefill
		s, err := a.Generate(t.Context(), q)
		is.NoErr(err)
		first, tokens, last, err := readStream(s, "1", 0)
		is.NoErr(err)
		is.Equal(tokens, 1)
		is.True(last.KVHandle != "" && !last.Done)
		q.Attempt, q.Phase = "2", target.PhaseDecode
		q.Offset, q.Delivered = tokens, first
		q.KVSource, q.KVHandle = "a", last.KVHandle
		s, err = b.Generate(t.Context(), q)
		is.NoErr(err)
		rest, _, _, err := readStream(s, "2", tokens)
		is.NoErr(err)
		want, _ := Length(model, prompt, 400)
		is.Equal(first+rest, Text(model, prompt, 0, want))
		q.Attempt, q.CacheScope = "3", "other"
		s, err = b.Generate(t.Context(), q)
		is.NoErr(err)
		_, _, _, err = readStream(s, "3", tokens)
		is.True(errors.Is(err, target.ErrIncomplete)) // another organisation's cache
	})
}

// A cached prompt gets its first token sooner, but only for requests of the same cache
// scope.
func TestPrefixCacheSavesPrefillWithinAScope(t *testing.T) {
	withTwoEngines(t, Options{PrefillRate: 1000}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		first := func(attempt, scope string) time.Duration {
			q := generateRequest(attempt, strings.Repeat("p", 4*pieceBytes))
			q.CacheScope = scope
			start := time.Now()
			s, err := a.Generate(t.Context(), q)
			is.NoErr(err)
			_, err = s.Next()
			is.NoErr(err)
			s.Close()
			return time.Since(start)
		}
		cold := first("1", "x")
		is.True(first("2", "x") < cold/10)
		is.Equal(first("3", "y"), cold)
		is.Equal(len(a.CacheEvents(0)), 8)
	})
}

// Of two waiting requests, the one with the higher priority runs first although it arrived
// later.
func TestPriorityGoesFirst(t *testing.T) {
	withTwoEngines(t, Options{Capacity: 1}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		ended := make(chan string, 3)
		for i, attempt := range []string{"running", "low", "high"} {
			q := generateRequest(attempt, "p")
			q.Priority = i
			s, err := a.Generate(t.Context(), q)
			is.NoErr(err)
			go func() { _, _, _, _ = readStream(s, attempt, 0); ended <- attempt }()
			synctest.Wait()
		}
		is.Equal(<-ended, "running")
		is.Equal(<-ended, "high")
		is.Equal(<-ended, "low")
	})
}

// A cancelled attempt ends, so that reports do not count it any more.
func TestCancelFreesThePlace(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		_, err := a.Generate(t.Context(), generateRequest("1", "p"))
		is.NoErr(err)
		is.Equal(a.Report().Running, 1)
		is.True(a.Cancel("1"))
		synctest.Wait()
		is.Equal(a.Report().Running, 0)
		is.Equal(a.Report().PrefillTokens, 0)
		is.True(!a.Cancel("1"))
	})
}

// roleOrder returns an order to change the role.
func roleOrder(id, author string, fence uint64, r target.Role) target.Order {
	return target.Order{ID: id, Author: author, Fence: fence, Kind: target.OrderRole, Role: r}
}

// A role change interrupts the running request. The engine refuses requests during the
// change, and afterwards those for a phase that its new role does not run.
func TestRoleChangeCutsAndRefuses(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		s, err := a.Generate(t.Context(), generateRequest("1", "p"))
		is.NoErr(err)
		done := make(chan error, 1)
		go func() { done <- a.Send(t.Context(), roleOrder("o1", "x", 1, target.Decode)) }()
		synctest.Wait()
		is.True(a.Report().Changing)
		_, _, _, err = readStream(s, "1", 0)
		is.True(errors.Is(err, target.ErrIncomplete))
		_, err = a.Generate(t.Context(), generateRequest("2", "p"))
		is.True(errors.Is(err, target.ErrRefused))
		is.NoErr(<-done)
		is.Equal(a.Report().Role, target.Decode)
		is.Equal(a.Report().LastOrder, "o1")
		is.Equal(a.Records().Cut, 1)
		_, err = a.Generate(t.Context(), generateRequest("3", "p"))
		is.True(errors.Is(err, target.ErrRefused)) // decode runs no whole request
	})
}

// An order with a lower fencing number than an earlier one is refused if the engine checks
// fencing numbers. Otherwise it takes effect and is recorded as a conflict.
func TestFenceIsCheckedOrIgnored(t *testing.T) {
	for _, checks := range []bool{true, false} {
		withTwoEngines(t, Options{ChecksFence: checks}, func(t *testing.T, _ *Direct, a, _ *Engine) {
			is := is.New(t)
			is.NoErr(a.Send(t.Context(), roleOrder("new", "y", 2, target.Decode)))
			err := a.Send(t.Context(), roleOrder("old", "x", 1, target.Prefill))
			records := a.Records()
			if checks {
				is.True(errors.Is(err, target.ErrStaleFence))
				is.Equal(a.Report().Role, target.Decode)
				is.Equal(len(records.Conflicts()), 0)
				return
			}
			is.NoErr(err)
			is.Equal(a.Report().Role, target.Prefill)
			is.Equal(len(records.Conflicts()), 1)
		})
	}
}

// An order that arrives while another one is in progress is recorded as a conflict.
func TestOverlappingOrdersConflict(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		done := make(chan error, 2)
		go func() { done <- a.Send(t.Context(), roleOrder("o1", "x", 1, target.Decode)) }()
		synctest.Wait()
		go func() { done <- a.Send(t.Context(), roleOrder("o2", "y", 2, target.Prefill)) }()
		is.NoErr(<-done)
		is.NoErr(<-done)
		records := a.Records()
		is.Equal(len(records.Conflicts()), 1)
		is.True(records.Orders[1].Overlaps)
	})
}

// The answer to an order is lost after the order took effect. Sending the order again
// under the same id changes nothing and interrupts no request.
func TestLostOrderAnswerAndRepeat(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		a.SetFaults(Faults{LoseOrderAnswers: 1})
		o := roleOrder("o1", "x", 1, target.Mixed)
		is.True(errors.Is(a.Send(t.Context(), o), target.ErrIncomplete))
		is.Equal(a.Report().LastOrder, "o1")
		s, err := a.Generate(t.Context(), generateRequest("1", "p"))
		is.NoErr(err)
		is.NoErr(a.Send(t.Context(), o))
		_, _, _, err = readStream(s, "1", 0)
		is.NoErr(err)
		is.Equal(a.Records().Orders[1].Outcome, OrderRepeated)
	})
}

// An order takes effect even if its sender stops waiting for the answer.
func TestOrderOutlivesItsSender(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(a.Send(ctx, roleOrder("o1", "x", 1, target.Decode)), target.ErrIncomplete))
		is.Equal(a.Report().Role, target.Mixed)
		time.Sleep(defaultChangeTime)
		is.Equal(a.Report().Role, target.Decode)
	})
}

// An engine that crashed during a role change starts again with another boot id, its
// initial role and no memory of earlier orders.
func TestCrashInChangeLosesStateAndBoot(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, d *Direct, a, _ *Engine) {
		is := is.New(t)
		boot := a.Report().Boot
		a.SetFaults(Faults{CrashInChange: 1})
		is.True(errors.Is(a.Send(t.Context(), roleOrder("o1", "x", 7, target.Decode)), target.ErrIncomplete))
		at := target.Target{Address: "a"}
		_, err := d.Generate(t.Context(), at, generateRequest("1", "p"))
		is.True(errors.Is(err, target.ErrNotSent))
		a.Restart()
		r := a.Report()
		is.True(r.Boot != boot)
		is.Equal(r.Role, target.Mixed)
		is.Equal(r.Fence, uint64(0))
		is.Equal(r.LastOrder, "")
		is.True(!r.Changing)
	})
}

// A crash during a stream ends it with an error; the chunks before it are correct.
func TestCrashMidStream(t *testing.T) {
	withTwoEngines(t, Options{}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		a.SetFaults(Faults{CrashAfter: 3})
		s, err := a.Generate(t.Context(), generateRequest("1", "p"))
		is.NoErr(err)
		text, tokens, _, err := readStream(s, "1", 0)
		is.True(errors.Is(err, target.ErrIncomplete))
		is.Equal(text, Text(model, "p", 0, tokens))
		is.True(a.Down())
	})
}

// A report shows the state of the engine as it was ReportLag before.
func TestReportsLag(t *testing.T) {
	withTwoEngines(t, Options{ReportLag: time.Second}, func(t *testing.T, _ *Direct, a, _ *Engine) {
		is := is.New(t)
		is.Equal(a.Report().Running, 0)
		_, err := a.Generate(t.Context(), generateRequest("1", strings.Repeat("p", 400_000)))
		is.NoErr(err)
		time.Sleep(500 * time.Millisecond)
		is.Equal(a.Report().Running, 0)
		time.Sleep(time.Second)
		is.Equal(a.Report().Running, 1)
	})
}
