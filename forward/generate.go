package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"zinniapin/dispatch"
	"zinniapin/invariant"
	"zinniapin/roster"
	"zinniapin/target"
	"zinniapin/upstream"
)

// streamAttempt is one planned attempt to stream the output from a target.
type streamAttempt struct {
	target         roster.Target
	decision       dispatch.Decision
	uncachedTokens int // prompt tokens that the target has to process
	// prefillSource names the KV cache of the whole prompt, which the target fetches; empty when
	// the target processes the prompt itself.
	prefillSource string
	// prefilled is the target that keeps that KV cache, handle its name there.
	prefilled roster.Target
	handle    string
}

// forwardToEngine forwards a request to model engines. One target may process the prompt
// (prefill) and another one produce the output (decode). An attempt that breaks off is retried
// at another target within the route's attempts and the retry budget.
func (r *request) forwardToEngine(ctx context.Context) {
	if r.info.LastEventID != "" && !r.fixOrigin(ctx) {
		return
	}
	for {
		attempt, end := r.nextStreamAttempt(ctx)
		if end != nil {
			end()
			return
		}
		outcome := r.streamFrom(ctx, attempt)
		if outcome == attemptAnswered {
			return
		}
		if ctx.Err() != nil || outcome == attemptDenied || outcome.mayHaveRun() && !r.route.Repeatable() {
			break
		}
		if outcome == attemptNotSent && r.connectFailures < maxConnectFailures {
			continue
		}
		if r.suspected() || !r.takeRetry(ctx) {
			break
		}
		if r.out.Started() {
			r.summary.resumed++
		}
	}
	r.fail(ctx)
}

// openOrReplan makes an attempt. If the prompt was processed by a prefill target and the decode
// target cannot be connected to, it tries further decode targets with the same KV cache. It releases a cache
// that no target has taken.
func (r *request) openOrReplan(ctx context.Context, attempt streamAttempt) (*stream, attemptResult) {
	for {
		s, outcome := r.openStream(ctx, attempt)
		if attempt.prefillSource == "" {
			return s, outcome
		}
		switch outcome {
		case attemptNotSent:
		case attemptRefused, attemptSuperseded, attemptDenied:
			r.releaseCache(attempt.prefilled, attempt.handle)
			return nil, outcome
		default:
			return s, outcome
		}
		t, ok := r.planDecode(attempt.prefilled)
		if !ok || r.connectFailures >= maxConnectFailures || ctx.Err() != nil {
			r.releaseCache(attempt.prefilled, attempt.handle)
			return nil, outcome
		}
		attempt.target = t
	}
}

// nextStreamAttempt picks the target of the next attempt. If the planner picks a prefill target,
// the prompt is processed there first. When there is no further attempt, it returns how to end the
// request. If r.stream is set, another target has begun to answer in place of a silent prefill target.
func (r *request) nextStreamAttempt(ctx context.Context) (streamAttempt, func()) {
	for tries := 0; ; tries++ {
		if end := r.endPoisoned(ctx); end != nil {
			return streamAttempt{}, end
		}
		if r.out.Started() && !r.originStands() {
			return streamAttempt{}, func() { r.fail(ctx) }
		}
		d, admitted := r.planAdmitted(ctx)
		if !admitted {
			return streamAttempt{}, func() { r.fail(ctx) }
		}
		if d.Refused() {
			return streamAttempt{}, func() {
				if r.out.Started() {
					r.fail(ctx)
				} else {
					r.refuseUnplanned(ctx, d)
				}
			}
		}
		if d.Target.Role != target.Prefill {
			return streamAttempt{target: d.Target, decision: d, uncachedTokens: d.UncachedTokens}, nil
		}
		if !r.hasDecodeTarget() {
			return streamAttempt{}, func() { r.fail(ctx) } // the KV cache would be of no use
		}
		if !r.payArrivals(true) {
			r.job.SkipPrefill = true
			continue
		}
		attempt, outcome := r.prefill(ctx, d)
		if outcome == attemptAnswered {
			return attempt, nil
		}
		if outcome == attemptReplaced {
			if found := r.processed; found != nil {
				r.processed = nil
				return *found, nil
			}
			return streamAttempt{}, nil
		}
		if outcome == attemptRejected {
			continue
		}
		if ctx.Err() != nil || tries >= maxExtraPrefills || outcome != attemptNotSent && !r.takeRetry(ctx) {
			return streamAttempt{}, func() { r.fail(ctx) }
		}
	}
}

// maxExtraPrefills is the number of further targets that are tried when a prefill fails.
const maxExtraPrefills = 2

// prefill lets the planned target process the prompt and picks the target that decodes. If no
// target can decode, it releases the KV cache and returns attemptNotSent. If it returns attemptReplaced,
// r.stream or r.processed is what was found in place of a silent target.
func (r *request) prefill(ctx context.Context, d dispatch.Decision) (streamAttempt, attemptResult) {
	ctx, w := r.watchSilence(ctx, d.Target, d, r.firstEventTimeout(d), func(ctx context.Context, w *silenceWatch) { r.searchPrefill(ctx, w, d.Target) })
	defer w.stop()
	ticket := r.beginAttempt(d.Target, d.UncachedTokens)
	r.summary.prefilledAt = d.Target.ID
	out := r.targetRequest(d.Target, AttemptInfo{Priority: r.job.Priority, PrefillOnly: true, LastEventID: r.lastEventID, PrefixSource: d.FetchFrom.Address})
	response, outcome := r.send(ctx, w, d.Target, out, true, nil)
	if outcome != attemptAnswered {
		r.endAttempt(ticket, d.Target.ID, plannerOutcome(outcome), 0)
		return streamAttempt{}, outcome
	}
	body, _, err := readBuffered(response, r.out.Reserve)
	response.Close()
	var prefilled PrefillResult
	if err == nil && response.Status == http.StatusOK {
		prefilled, err = r.h.Protocol.ParsePrefill(body)
	} else if err == nil {
		err = errors.New("status " + strconv.Itoa(response.Status))
	}
	if err != nil {
		r.excluded[d.Target.ID] = true
		r.logFailedAttempt(d.Target, err, "prefill")
		r.endAttempt(ticket, d.Target.ID, dispatch.Failed, 0)
		return streamAttempt{}, attemptBroken
	}
	r.sent.prefilled = true
	r.promptProcessed(ticket)
	r.endAttempt(ticket, d.Target.ID, dispatch.Answered, 0)
	if r.endPoisoned(ctx) != nil { // it was blocked meanwhile
		r.releaseCache(d.Target, prefilled.Handle)
		return streamAttempt{}, attemptRejected
	}
	t, ok := r.planDecode(d.Target)
	if !ok || ctx.Err() != nil {
		r.releaseCache(d.Target, prefilled.Handle)
		return streamAttempt{}, attemptNotSent
	}
	return streamAttempt{
		target: t, decision: d, prefilled: d.Target, handle: prefilled.Handle,
		prefillSource: r.h.Protocol.CacheSource(d.Target.Address, prefilled.Handle),
	}, attemptAnswered
}

// searchPrefill looks for another target in place of one that is silent while it processes the prompt. A request
// that may run only once is not run by the search: the prompt is processed elsewhere, or a target chosen that
// does both.
func (r *request) searchPrefill(ctx context.Context, w *silenceWatch, silent roster.Target) {
	if r.route.Repeatable() {
		r.searchStream(ctx, w, silent)
		return
	}
	r.excluded[silent.ID] = true
	summary := r.summary
	if r.keyStillValid() && r.takeUnits(ctx) && r.payArrivals(true) {
		if attempt, end := r.nextStreamAttempt(ctx); end == nil {
			if w.claim() {
				r.processed = &attempt
				return
			}
			if attempt.prefillSource != "" {
				r.releaseCache(attempt.prefilled, attempt.handle)
			}
		}
	}
	r.endSearch(summary)
}

// releaseTimeout bounds the call that releases an unused KV cache.
const releaseTimeout = time.Second

// releaseCache asks a prefill target in the background to free a KV cache that no decode target
// will fetch.
func (r *request) releaseCache(t roster.Target, handle string) {
	if !r.h.mayCall(t.ID) {
		return // the target frees the cache itself when its handle expires
	}
	method, path := r.h.Protocol.ReleaseRequest(handle)
	go func() {
		defer invariant.Contain("release of a KV cache", nil)
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		response, err := r.h.Pool.Do(ctx, t.Address, &upstream.Request{Method: method, Target: path, Host: t.Address, Header: http.Header{}})
		if err != nil {
			r.logFailedAttempt(t, err, "release") // the target frees the cache itself when its handle expires
			return
		}
		r.h.heedNotices(t, r.h.parseResponse(response))
		drain(response)
	}()
}
