package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"zinniapin/dispatch"
	"zinniapin/result"
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
	var splitter eventSplitter
	for {
		attempt, ok := r.nextStreamAttempt(ctx, splitter.lastID)
		if !ok {
			return
		}
		outcome := r.streamOrReplan(ctx, attempt, &splitter)
		if outcome == attemptAnswered {
			return
		}
		if ctx.Err() != nil || outcome.mayHaveRun() && !r.route.Repeatable() {
			break
		}
		if outcome == attemptNotSent && r.connectFailures < maxConnectFailures {
			continue
		}
		if r.h.Crashes.suspects(r.sharedParts) || !r.takeRetry() {
			break
		}
		if r.out.Started() {
			r.summary.resumed++
		}
	}
	r.fail(ctx)
}

// rejectPoisoned ends a request whose prompt has a part that crashes targets, and returns whether it did.
func (r *request) rejectPoisoned(ctx context.Context) bool {
	wait, rejected := r.h.Crashes.rejects(r.sharedParts)
	switch {
	case !rejected:
	case r.execution != result.NotRun || r.out.Started():
		r.fail(ctx)
	default:
		r.refuse(result.PromptBlocked, wait)
	}
	return rejected
}

// streamOrReplan makes an attempt. If the prompt was processed by a prefill target and the decode
// target cannot be connected to, it tries further decode targets with the same KV cache, which it
// releases if none of them can be connected to.
func (r *request) streamOrReplan(ctx context.Context, attempt streamAttempt, splitter *eventSplitter) attemptResult {
	for {
		outcome := r.streamFrom(ctx, attempt, splitter)
		if outcome != attemptNotSent || attempt.prefillSource == "" {
			return outcome
		}
		r.h.PlannerMu.Lock()
		t, ok := r.h.Planner.PlanDecode(time.Now(), r.job, attempt.target, r.excluded)
		r.h.PlannerMu.Unlock()
		if !ok || r.connectFailures >= maxConnectFailures || ctx.Err() != nil {
			r.releaseCache(attempt.prefilled, attempt.handle)
			return outcome
		}
		attempt.target = t
	}
}

// nextStreamAttempt picks the target of the next attempt. If the planner picks a prefill target,
// the prompt is processed there first. It returns false when there is no further attempt; the
// caller has then got its refusal or failure.
func (r *request) nextStreamAttempt(ctx context.Context, lastEventID string) (streamAttempt, bool) {
	for tries := 0; ; tries++ {
		if r.rejectPoisoned(ctx) {
			return streamAttempt{}, false
		}
		d := r.plan()
		if d.Refused() {
			if r.out.Started() {
				r.fail(ctx)
			} else {
				r.refuseUnplanned(ctx, d)
			}
			return streamAttempt{}, false
		}
		if d.Target.Role != target.Prefill {
			return streamAttempt{target: d.Target, decision: d, uncachedTokens: d.UncachedTokens}, true
		}
		if !r.hasDecodeTarget() {
			r.fail(ctx) // the KV cache would be of no use
			return streamAttempt{}, false
		}
		if !r.payArrivals(r.summary.prefills + 1) {
			r.job.SkipPrefill = true
			continue
		}
		attempt, outcome := r.prefill(ctx, d, lastEventID)
		if outcome == attemptAnswered {
			return attempt, true
		}
		if outcome == attemptRejected {
			continue
		}
		if ctx.Err() != nil || tries >= maxExtraPrefills || outcome != attemptNotSent && !r.takeRetry() {
			r.fail(ctx)
			return streamAttempt{}, false
		}
	}
}

// hasDecodeTarget tells whether a target could produce the output once the prompt is processed.
func (r *request) hasDecodeTarget() bool {
	r.h.PlannerMu.Lock()
	defer r.h.PlannerMu.Unlock()
	return r.h.Planner.HasDecode(time.Now(), r.job, r.excluded)
}

// maxExtraPrefills is the number of further targets that are tried when a prefill fails.
const maxExtraPrefills = 2

// prefill lets the planned target process the prompt and picks the target that decodes. If no
// target can decode, it releases the KV cache and returns attemptNotSent.
func (r *request) prefill(ctx context.Context, d dispatch.Decision, lastEventID string) (streamAttempt, attemptResult) {
	ctx, timeout := r.withAttemptTimeout(ctx, d, r.firstEventTimeout(d))
	defer func() { r.retryTaken = timeout.stop() || r.retryTaken }()
	ticket := r.beginAttempt(d.Target, d.UncachedTokens)
	r.summary.prefilledAt = d.Target.ID
	out := r.targetRequest(d.Target, AttemptInfo{Priority: r.job.Priority, PrefillOnly: true, LastEventID: lastEventID, PrefixSource: d.FetchFrom.Address})
	response, outcome := r.send(ctx, d.Target, out, true)
	if outcome != attemptAnswered {
		r.endAttempt(ticket, d.Target.ID, plannerOutcome(outcome), 0)
		return streamAttempt{}, outcome
	}
	body, _, err := readBuffered(response)
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
	r.promptProcessed(ticket)
	r.endAttempt(ticket, d.Target.ID, dispatch.Answered, 0)
	if _, rejected := r.h.Crashes.rejects(r.sharedParts); rejected { // it was blocked meanwhile
		r.releaseCache(d.Target, prefilled.Handle)
		return streamAttempt{}, attemptRejected
	}
	r.h.PlannerMu.Lock()
	t, ok := r.h.Planner.PlanDecode(time.Now(), r.job, d.Target, r.excluded)
	r.h.PlannerMu.Unlock()
	if !ok || ctx.Err() != nil {
		r.releaseCache(d.Target, prefilled.Handle)
		return streamAttempt{}, attemptNotSent
	}
	return streamAttempt{
		target: t, decision: d, prefilled: d.Target, handle: prefilled.Handle,
		prefillSource: r.h.Protocol.CacheSource(d.Target.Address, prefilled.Handle),
	}, attemptAnswered
}

// releaseTimeout bounds the call that releases an unused KV cache.
const releaseTimeout = time.Second

// releaseCache asks a prefill target in the background to free a KV cache that no decode target
// will fetch.
func (r *request) releaseCache(t roster.Target, handle string) {
	r.h.PlannerMu.Lock()
	mayCall := r.h.Planner.MayCall(time.Now(), t.ID)
	r.h.PlannerMu.Unlock()
	if !mayCall {
		return // the target frees the cache itself when its handle expires
	}
	method, path := r.h.Protocol.ReleaseRequest(handle)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		response, err := r.h.Pool.Do(ctx, t.Address, &upstream.Request{Method: method, Target: path, Host: t.Address, Header: http.Header{}})
		if err != nil {
			r.logFailedAttempt(t, err, "release") // the target frees the cache itself when its handle expires
			return
		}
		r.h.heedNotices(t, r.h.Protocol.ParseResponse(response.Status, response.Header))
		drain(response)
	}()
}

// streamFrom makes one attempt to stream the output from a target. The attempt has a time-out
// only if the route allows a further attempt.
func (r *request) streamFrom(ctx context.Context, attempt streamAttempt, splitter *eventSplitter) attemptResult {
	ticket := r.beginAttempt(attempt.target, attempt.uncachedTokens)
	r.summary.version = attempt.target.Version
	info := AttemptInfo{Priority: r.job.Priority, PrefillSource: attempt.prefillSource, LastEventID: splitter.lastID}
	if attempt.prefillSource == "" {
		info.PrefixSource = attempt.decision.FetchFrom.Address
	}
	out := r.targetRequest(attempt.target, info)
	attemptCtx, timeout := ctx, (*attemptTimeout)(nil)
	if r.route.Repeatable() && r.attemptsSent+1 < r.route.Attempts {
		attemptCtx, timeout = r.withAttemptTimeout(ctx, attempt.decision, r.firstEventTimeout(attempt.decision))
		defer func() { r.retryTaken = timeout.stop() || r.retryTaken }()
	}
	response, outcome := r.send(attemptCtx, attempt.target, out, false)
	if outcome != attemptAnswered {
		r.endAttempt(ticket, attempt.target.ID, plannerOutcome(outcome), 0)
		return outcome
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		return r.handleErrorStatus(attempt, ticket, response)
	}
	err := r.relayEvents(attempt, timeout, ticket, response, splitter)
	if err == nil {
		r.h.Crashes.answered(r.sharedParts)
		r.endAttempt(ticket, attempt.target.ID, dispatch.Answered, 0)
		r.execution = result.Ran
		return attemptAnswered
	}
	r.excluded[attempt.target.ID] = true
	if r.attemptWrites <= hardlyBegunWrites && endsLikeACrash(err) {
		r.h.Crashes.brokeOff(attempt.target, r.sharedParts)
	}
	if errors.Is(err, errCallerWrite) || ctx.Err() != nil {
		r.endAttempt(ticket, attempt.target.ID, dispatch.Answered, 0)
		return attemptBroken
	}
	r.logFailedAttempt(attempt.target, err, "broken")
	r.endAttempt(ticket, attempt.target.ID, dispatch.Unreachable, 0)
	return attemptBroken
}

// hardlyBegunWrites is the number of writes of events up to which an answer has hardly begun.
const hardlyBegunWrites = 1

// endsLikeACrash tells whether a stream that ended with an error may have done so since its target's
// process has ended. The kernel closes the connections of such a process, with a reset or without.
func endsLikeACrash(err error) bool {
	return upstream.IsClosed(err) || errors.Is(err, errInsideEvent) || errors.Is(err, errEmptyStream)
}

// handleErrorStatus handles a response with another status than 200. It sends the response to the
// caller if no further attempt is allowed. A 503 is never sent on, since it would tell the caller
// that nothing ran, which the target did not state.
func (r *request) handleErrorStatus(attempt streamAttempt, ticket dispatch.Ticket, response *upstream.Response) attemptResult {
	r.endAttempt(ticket, attempt.target.ID, dispatch.Failed, 0)
	r.excluded[attempt.target.ID] = true
	body, more, err := readBuffered(response)
	retry := r.route.Repeatable() && r.attemptsSent < r.route.Attempts
	if err != nil || more || r.out.Started() || response.Status == http.StatusServiceUnavailable || retry {
		r.logFailedAttempt(attempt.target, err, "status "+strconv.Itoa(response.Status))
		return attemptBroken
	}
	r.countStart()
	r.execution = result.Ran
	r.writeResponse(response, body, false)
	return attemptAnswered
}

// Errors of streams.
var (
	errCallerWrite   = errors.New("writing to the caller failed")
	errEventGap      = errors.New("the first event of the resumed stream does not follow the last event sent to the caller")
	errEventTooLarge = errors.New("an event of the stream exceeds 128 KiB")
	errInsideEvent   = errors.New("the stream ended inside an event")
	errEmptyStream   = errors.New("the stream ended with its connection before its first event")
)

// streamBufferBytes is the size of the read buffer of a stream.
const streamBufferBytes = 8 << 10

// relayEvents sends complete events to the caller until the target ends its stream properly. The
// bytes of an incomplete event of an earlier attempt are discarded first.
func (r *request) relayEvents(attempt streamAttempt, timeout *attemptTimeout, ticket dispatch.Ticket, response *upstream.Response, splitter *eventSplitter) error {
	splitter.pending = splitter.pending[:0]
	r.attemptWrites = 0
	resumedAfter := splitter.lastID
	buffer := make([]byte, streamBufferBytes)
	first := true
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			complete := splitter.add(buffer[:n])
			r.summary.partial = len(splitter.pending)
			if len(splitter.pending) > maxEventBytes {
				return errEventTooLarge
			}
			if len(complete) > 0 {
				if first {
					first = false
					r.promptProcessed(ticket)
					if !isNextEvent(resumedAfter, firstID(complete)) {
						return errEventGap
					}
					r.fixVersion(attempt.target, timeout)
				}
				if e := r.writeEvents(response, complete); e != nil {
					return e
				}
				timeout.extend(time.Duration(r.route.GapMillis) * time.Millisecond)
			}
		}
		if errors.Is(err, io.EOF) {
			return r.finishStream(response, splitter, first)
		}
		if err != nil {
			return err
		}
	}
}

// isNextEvent tells whether the event with id first may follow the event with id last. Only
// numbers can be compared; other ids and missing ones are accepted.
func isNextEvent(last, first string) bool {
	if last == "" || first == "" {
		return true
	}
	before, err := strconv.Atoi(last)
	if err != nil {
		return true
	}
	next, err := strconv.Atoi(first)
	return err != nil || next == before+1
}

// finishStream handles the end of a body and sends what remains in the splitter. The framing alone
// does not prove a stream complete: a failed target may end its body inside an event, and an orderly
// close looks like the end of a body without length and chunks. empty tells that the body had no event.
func (r *request) finishStream(response *upstream.Response, splitter *eventSplitter, empty bool) error {
	if splitter.insideEvent() {
		return errInsideEvent
	}
	if empty && response.Framing == upstream.FramedByClose {
		return errEmptyStream
	}
	if len(splitter.pending) > 0 || !r.out.Started() {
		if err := r.writeEvents(response, splitter.pending); err != nil {
			return err
		}
	}
	return nil
}

// writeEvents writes events to the caller. The first call starts the response with the status and
// the headers of the target that sent these events.
func (r *request) writeEvents(response *upstream.Response, p []byte) error {
	if !r.out.Started() {
		r.summary.status = response.Status
		r.summary.firstEvent = time.Since(r.in.Arrived)
		r.countStart()
		if err := r.out.Start(response.Status, r.h.Protocol.CallerHeaders(response.Header), -1); err != nil {
			return errCallerWrite
		}
	}
	r.summary.events++
	if r.attemptWrites++; r.attemptWrites == hardlyBegunWrites+1 {
		r.h.Crashes.answered(r.sharedParts)
	}
	if _, err := r.out.Write(p); err != nil {
		return errCallerWrite
	}
	return nil
}
