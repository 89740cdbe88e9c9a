package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/roster"
	"zinniapin/upstream"
)

// attemptResult is the result of one attempt at a target.
type attemptResult int

// Results of attempts.
const (
	// attemptAnswered means that the target returned a response for the caller.
	attemptAnswered attemptResult = iota
	// attemptNotSent means that nothing was written to the target.
	attemptNotSent
	// attemptRefused means that the target states that it did not run the request.
	attemptRefused
	// attemptBroken means that the response is missing, incomplete, an error that is not passed
	// on, or belongs to another request.
	attemptBroken
	// attemptRejected means that the prompt was found to crash targets while it was processed.
	attemptRejected
	// attemptStale means that the target closed a kept connection as the request came. The request may
	// have run, as after attemptBroken, but the target can be tried again.
	attemptStale
	// attemptReplaced means that the target was silent until another one had begun to answer.
	attemptReplaced
	// attemptSuperseded means that the attempt was cancelled since the silent target for which it was to
	// stand in went on.
	attemptSuperseded
	// attemptDenied means that the units of the attempt were refused, so that it was not made.
	attemptDenied
)

// mayHaveRun tells whether a failed attempt may have run.
func (a attemptResult) mayHaveRun() bool { return a == attemptBroken || a == attemptStale }

// errOtherRequest means that a response carries the id of another request.
var errOtherRequest = errors.New("the answer belongs to another request")

// send makes one attempt and reads the head of the response. If the target answers the request, begin reads on
// until there is something for the caller and returns whether there is; nil begins nothing. It must not touch
// the request, which a search for another target may be using. A prefill does not count as running the request.
func (r *request) send(ctx context.Context, w *silenceWatch, t roster.Target, out *upstream.Request, prefill bool, begin func(*upstream.Response) bool) (*upstream.Response, attemptResult) {
	r.summary.framing, r.summary.through, r.summary.partial = "", "", 0
	r.countSend(prefill)
	var spent Reservation
	if !prefill {
		spent = r.spendUnits()
	}
	w.await()
	response, err := r.h.Pool.Do(ctx, t.Address, out)
	var info ResponseInfo
	ofRequest, begun := false, false
	if err == nil {
		info = r.h.parseResponse(response)
		ofRequest = info.ID == r.info.ID
		if info.Misdirected {
			r.h.OnMisdirected(t.ID)
		}
		if info.ID == "" || ofRequest {
			r.h.heedNotices(t, info)
		}
		begun = ofRequest && !info.NotRun && !isError(response.Status) && (begin == nil || begin(response))
	}
	if w.settle(begun) {
		if response != nil {
			response.Close()
		}
		r.excluded[t.ID] = true
		r.logFailedAttempt(t, errReplaced, "silent")
		return nil, attemptReplaced
	}
	if err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			r.keepUnits(spent)
		}
		return nil, r.handleSendError(ctx, t, err, prefill)
	}
	r.summary.framing, r.summary.through = response.Framing, response.Through
	// The request id may be missing in a refusal. It cannot be a late copy of an earlier one, since a
	// connection carries no request after a response without id.
	if info.NotRun && (info.ID == "" || ofRequest) {
		if !prefill {
			r.sent.notRun()
			r.keepUnits(spent)
		}
		r.excluded[t.ID] = true
		drain(response)
		r.logFailedAttempt(t, nil, "refused")
		return nil, attemptRefused
	}
	if !ofRequest {
		response.Close()
		r.excluded[t.ID] = true
		r.logFailedAttempt(t, errOtherRequest, "broken")
		return nil, attemptBroken
	}
	return response, attemptAnswered
}

// parseResponse decodes the status and headers of a response. Its connection is not used again if the response names
// no request.
func (h *Handler) parseResponse(response *upstream.Response) ResponseInfo {
	info := h.Protocol.ParseResponse(response.Status, response.Header)
	if info.ID == "" {
		response.CloseAfter()
	}
	return info
}

// promisesNotRun tells whether a status tells callers that the request has not run. A target that sends one without
// stating that it did not run the request has promised nothing, so that the response is not passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isError tells whether a response with a status, unless it states that the request has not run, is an error of its
// target for which another one may be tried.
func isError(status int) bool {
	return status >= http.StatusInternalServerError || promisesNotRun(status)
}

// countSend counts an attempt, or a call to process the prompt, that is about to be written.
func (r *request) countSend(prefill bool) {
	if prefill {
		r.sent.prefills++
	} else {
		r.sent.begin()
	}
}

// handleSendError handles an attempt that brought no response.
func (r *request) handleSendError(ctx context.Context, t roster.Target, err error, prefill bool) attemptResult {
	notSent, superseded := errors.Is(err, upstream.ErrNotSent), r.superseded(ctx)
	switch {
	case notSent && prefill:
		r.sent.prefills--
	case notSent:
		r.sent.notSent()
	}
	switch {
	case superseded:
		r.logFailedAttempt(t, errSuperseded, "superseded")
		return attemptSuperseded
	case notSent:
		r.connectFailures++
		r.excluded[t.ID] = true
		r.logFailedAttempt(t, err, "unsent")
		return attemptNotSent
	case errors.Is(err, upstream.ErrStale):
		r.freshConnection = true
		r.logFailedAttempt(t, err, "stale")
		if !prefill {
			r.brokeOff(t) // a crash closes kept connections, too
		}
		return attemptStale
	}
	r.excluded[t.ID] = true
	r.logFailedAttempt(t, err, "broken")
	if !prefill && upstream.IsClosed(err) {
		r.brokeOff(t)
	}
	return attemptBroken
}

// heedNotices takes in what a target says of itself in a response.
func (h *Handler) heedNotices(t roster.Target, info ResponseInfo) {
	h.heedLimit(t, info)
	h.heedLoad(t, info)
	if !info.Leaving && info.RetryAfter == 0 {
		return
	}
	now := time.Now()
	var left, paused bool
	h.withPlanner(func(p *dispatch.Planner) {
		left = info.Leaving && p.MarkLeaving(now, t)
		paused = info.RetryAfter > 0 && p.Pause(now, t, info.RetryAfter)
	})
	if left {
		event.TargetLeaves.Log(h.Log).Str("target", string(t.ID)).Str("address", t.Address).Int64("born", t.StartedMillis).Send()
	}
	if paused {
		event.TargetPaused.Log(h.Log).Str("target", string(t.ID)).Str("address", t.Address).Float64("seconds", info.RetryAfter.Seconds()).Send()
	}
}

// heedLimit takes in the limit that a target names in a response, or that it names none.
func (h *Handler) heedLimit(t roster.Target, info ResponseInfo) {
	changed := false
	h.withPlanner(func(p *dispatch.Planner) { changed = p.SetLimit(time.Now(), t, info.Limit, info.Limited) })
	if changed {
		event.TargetLimited.Log(h.Log).Str("target", string(t.ID)).Str("address", t.Address).Bool("limited", info.Limited).Float64("per_second", info.Limit).Send()
	}
}

// logFailedAttempt logs and counts an attempt without a usable response.
func (r *request) logFailedAttempt(t roster.Target, err error, how string) {
	line := event.AttemptEnded.Log(r.h.Log).Str("request", r.info.ID).Str("target", string(t.ID)).Str("address", t.Address).
		Str("how", how).Int("events", r.summary.events).Str("execution", r.sent.execution().String()).Str("framing", string(r.summary.framing)).Str("through", r.summary.through).Int("partial_event_bytes", r.summary.partial).
		Float64("ms", milliseconds(time.Since(r.in.Arrived))).Err(err)
	if how == "broken" || how == "stale" {
		line = line.Str("whole", nameOf(r.requestPart())) // the target may have crashed
	}
	line.Send()
	r.h.Metrics.failedAttempts.WithLabelValues(t.Service, how).Inc()
}

const (
	// maxDrainBytes and maxDrainTime bound what is read of a refusal so that its connection can be
	// reused. The request goes on elsewhere only after that.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 50 * time.Millisecond
)

// drain reads and closes a short response, so that its connection can be reused.
func drain(response *upstream.Response) { response.Discard(maxDrainBytes, maxDrainTime) }

// plannerOutcome returns the outcome that the planner records for the target of an attempt.
func plannerOutcome(f attemptResult) dispatch.Outcome {
	switch f {
	case attemptAnswered, attemptRefused:
		return dispatch.Answered
	case attemptStale, attemptSuperseded:
		return dispatch.NoEvidence
	default:
		return dispatch.Unreachable
	}
}

const (
	// maxBufferedBytes is the size up to which a response body is read completely before any of it
	// is sent to the caller, so that the response of another target can replace one that breaks off.
	maxBufferedBytes = 256 << 10
	// uncountedBytes is that size while the process can hold no more for its callers.
	uncountedBytes = 8 << 10
)

// readBuffered reads a response body up to maxBufferedBytes. If the body is longer, it returns
// more as true and the rest is still to be read. reserve counts the bytes that are held.
func readBuffered(response *upstream.Response, reserve func(int64) bool) (body []byte, more bool, err error) {
	limit := int64(maxBufferedBytes)
	if response.Length >= 0 {
		limit = min(limit, response.Length)
	}
	if limit > uncountedBytes && !reserve(limit) {
		limit = uncountedBytes
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	return body, int64(len(body)) > limit, err
}

// writeResponse sends a target's response to the caller: the part of the body that was read and,
// if more is set, the rest.
func (r *request) writeResponse(response *upstream.Response, body []byte, more bool) {
	r.summary.status = response.Status
	length := int64(len(body))
	if more {
		length = response.Length
	}
	if r.in.Method == http.MethodHead {
		length = max(response.Length, 0)
	}
	if err := r.out.Start(response.Status, r.h.Protocol.CallerHeaders(response.Header), length); err != nil {
		r.summary.code = result.CallerLeft
		return
	}
	if _, err := r.out.Write(body); err != nil {
		r.summary.code = result.CallerLeft
		return
	}
	if more {
		if _, err := io.Copy(r.out, response.Body); err != nil {
			r.summary.code = result.StreamCut
			r.out.Abort()
		}
	}
}
