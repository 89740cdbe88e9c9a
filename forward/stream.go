package forward

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"zinniapin/dispatch"
	"zinniapin/roster"
	"zinniapin/upstream"
)

// stream is an attempt at a stream whose target has answered.
type stream struct {
	attempt  streamAttempt
	ticket   dispatch.Ticket
	response *upstream.Response
	watch    *silenceWatch // nil if no other target may take over
	splitter eventSplitter
	output   outputMeter
	buffer   []byte
	// events and end are what was read and is not yet handled: complete events, and the error or io.EOF
	// that followed them.
	events []byte
	end    error
	failed error // set if the stream can't go on as it has begun
	// interrupt resets the connection to the target; nil if the stream cannot be moved to another engine.
	interrupt   context.CancelCauseFunc
	move        *movable // nil before the first event
	continued   bool     // the stream goes on with the memory of a run that was moved
	lastEventAt time.Time
}

// takeOver returns the stream that has begun in place of a silent target, nil if there is none.
func (r *request) takeOver() *stream {
	s := r.stream
	r.stream = nil
	return s
}

// streamFrom makes one attempt to stream the output from a target, or more than one if targets fall silent.
func (r *request) streamFrom(ctx context.Context, attempt streamAttempt) attemptResult {
	s, outcome := r.takeOver(), attemptAnswered
	if s == nil {
		s, outcome = r.openOrReplan(ctx, attempt)
	}
	for {
		if outcome == attemptReplaced {
			s = r.takeOver()
		} else if outcome != attemptAnswered {
			return outcome
		}
		if outcome = r.relay(ctx, s); outcome != attemptReplaced {
			return outcome
		}
	}
}

// openStream makes one attempt and reads the head of the response. If it returns attemptReplaced, the stream
// goes on at r.stream.
func (r *request) openStream(ctx context.Context, attempt streamAttempt) (*stream, attemptResult) {
	if !r.takeUnits(ctx) { // they may have become too old while the prompt was processed elsewhere
		return nil, attemptDenied
	}
	s := &stream{attempt: attempt, ticket: r.beginAttempt(attempt.target, attempt.uncachedTokens), splitter: r.newEventSplitter()}
	r.summary.version = attempt.target.Version
	info := AttemptInfo{Priority: r.job.Priority, PrefillSource: attempt.prefillSource, LastEventID: r.lastEventID}
	if attempt.prefillSource == "" {
		info.PrefixSource = attempt.decision.FetchFrom.Address
	}
	ctx = r.makeInterruptible(ctx, s)
	if r.route.Repeatable() {
		ctx, s.watch = r.watchSilence(ctx, attempt.target, attempt.decision, r.firstEventTimeout(attempt.decision),
			func(ctx context.Context, w *silenceWatch) { r.searchStream(ctx, w, attempt.target) })
	}
	response, outcome := r.send(ctx, s.watch, attempt.target, r.targetRequest(attempt.target, info), false, s.begin)
	if outcome != attemptAnswered {
		s.watch.stop()
		r.endAttempt(s.ticket, attempt.target.ID, plannerOutcome(outcome), 0)
		return nil, outcome
	}
	if s.response = response; response.Status == http.StatusOK {
		s.failed = r.checkBegin(s)
	}
	return s, attemptAnswered
}

// begin reads a stream until its first event or its end, and returns whether it has an event or ends properly.
func (s *stream) begin(response *upstream.Response) bool {
	if response.Status != http.StatusOK {
		return true
	}
	s.response, s.buffer = response, make([]byte, streamBufferBytes)
	if !isEventStream(response.Header) {
		s.end = errNotStream
	}
	for len(s.events) == 0 && s.end == nil {
		s.readOnce()
	}
	return len(s.events) > 0 || errors.Is(s.end, io.EOF) && s.checkEnd(true) == nil
}

// searchStream makes an attempt in place of a silent target. If its answer has begun first, it is r.stream.
func (r *request) searchStream(ctx context.Context, w *silenceWatch, silent roster.Target) {
	r.excluded[silent.ID] = true
	summary := r.summary
	s := r.beginElsewhere(ctx)
	if s != nil && !w.claim() {
		r.closeStream(s, errSuperseded, dispatch.NoEvidence)
		s = nil
	}
	if s == nil {
		r.endSearch(summary)
		return
	}
	r.stream = s
	if r.out.Started() {
		r.summary.resumed++
	}
}

// beginElsewhere makes an attempt at another target and reads the first event of its stream. It returns nil
// if that fails.
func (r *request) beginElsewhere(ctx context.Context) *stream {
	if r.suspected() || !r.takeRetry(ctx) {
		return nil
	}
	attempt, end := r.nextStreamAttempt(ctx)
	if end != nil {
		return nil
	}
	if s := r.takeOver(); s != nil {
		return s
	}
	s, outcome := r.openOrReplan(ctx, attempt)
	switch outcome {
	case attemptAnswered:
	case attemptReplaced:
		return r.takeOver()
	default:
		return nil
	}
	if s.response.Status != http.StatusOK {
		r.closeStatus(s)
		return nil
	}
	if s.failed != nil {
		outcome := dispatch.Unreachable
		if r.superseded(ctx) {
			outcome = dispatch.NoEvidence
		} else if endsLikeACrash(s.failed) {
			r.brokeOff(s.attempt.target)
		}
		r.closeStream(s, s.failed, outcome)
		return nil
	}
	return s
}

// closeStream ends an attempt that failed.
func (r *request) closeStream(s *stream, err error, o dispatch.Outcome) {
	how := "broken"
	switch {
	case errors.Is(err, errReplaced):
		how = "silent"
	case o == dispatch.NoEvidence:
		how = "superseded"
	}
	r.excluded[s.attempt.target.ID] = true
	r.logFailedAttempt(s.attempt.target, err, how)
	r.endAttempt(s.ticket, s.attempt.target.ID, o, 0)
	s.response.Close()
	s.watch.stop()
}

// relay sends a stream to the caller.
func (r *request) relay(ctx context.Context, s *stream) attemptResult {
	if s.response.Status != http.StatusOK {
		return r.handleErrorStatus(s)
	}
	t := s.attempt.target
	defer func() { s.move.close() }() // it is set with the first event
	err := r.relayEvents(ctx, s)
	switch {
	case errors.Is(err, errMoved), errors.Is(err, errMoveKept):
		return r.continueMoved(ctx, s, err)
	case err == nil:
		r.answered()
		if r.route.Resumable {
			r.h.Versions.Ended(r.streamRequest())
		}
		r.endAttempt(s.ticket, t.ID, dispatch.Answered, 0)
		r.sent.ran = true
		s.response.Close()
		s.watch.stop()
		return attemptAnswered
	case errors.Is(err, errReplaced):
		r.closeStream(s, err, dispatch.Unreachable)
		return attemptReplaced
	}
	if r.attemptWrites <= hardlyBegunWrites && endsLikeACrash(err) {
		r.brokeOff(t)
	}
	if errors.Is(err, errCallerWrite) || ctx.Err() != nil {
		r.excluded[t.ID] = true
		r.endAttempt(s.ticket, t.ID, dispatch.Answered, 0)
		s.response.Close()
		s.watch.stop()
		return attemptBroken
	}
	r.closeStream(s, err, dispatch.Unreachable)
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
// caller if no further attempt is allowed. A status that would tell the caller that nothing
// ran, which the target did not state, is never sent on.
func (r *request) handleErrorStatus(s *stream) attemptResult {
	body, more, err := readBuffered(s.response, r.out.Reserve)
	retry := r.route.Repeatable() && r.sent.attempts < r.route.Attempts
	if err != nil || more || r.out.Started() || promisesNotRun(s.response.Status) || retry {
		r.closeStatus(s)
		return attemptBroken
	}
	r.endAttempt(s.ticket, s.attempt.target.ID, dispatch.Failed, 0)
	r.countStart()
	r.sent.ran = true
	r.writeResponse(s.response, body, false)
	s.response.Close()
	s.watch.stop()
	return attemptAnswered
}

// closeStatus ends an attempt whose response has an error status that is not sent to the caller.
func (r *request) closeStatus(s *stream) {
	r.excluded[s.attempt.target.ID] = true
	r.logFailedAttempt(s.attempt.target, nil, "status "+strconv.Itoa(s.response.Status))
	r.endAttempt(s.ticket, s.attempt.target.ID, dispatch.Failed, 0)
	s.response.Close()
	s.watch.stop()
}

// Errors of streams.
var (
	errCallerWrite   = errors.New("writing to the caller failed")
	errEventTooLarge = errors.New("an event of the stream exceeds 128 KiB")
	errInsideEvent   = errors.New("the stream ended inside an event")
	errEmptyStream   = errors.New("the stream ended before its first event")
	errNotStream     = errors.New("the response is no stream of events")
)

// streamBufferBytes is the size of the read buffer of a stream.
const streamBufferBytes = 8 << 10

// readOnce reads once from the target.
func (s *stream) readOnce() {
	n, err := s.response.Body.Read(s.buffer)
	s.events, s.end = s.splitter.add(s.buffer[:n]), err
	if len(s.events) > 0 {
		s.output.readAt = time.Now()
	}
	switch {
	case s.splitter.err != nil:
		s.end = s.splitter.err
	case s.splitter.held() > maxEventBytes:
		s.end = errEventTooLarge
	}
}

// read waits for the target and reads once. It returns whether another target has begun to answer instead.
func (s *stream) read() (replaced bool) {
	s.watch.await()
	s.readOnce()
	return s.watch.settle(s.end == nil || errors.Is(s.end, io.EOF))
}

// checkBegin judges how a stream has begun. It returns an error if the stream can't go on.
func (r *request) checkBegin(s *stream) error {
	r.summary.partial = len(s.splitter.pending)
	if len(s.events) > 0 {
		if !s.continued {
			r.promptProcessed(s.ticket)
		}
		return nil
	}
	if errors.Is(s.end, io.EOF) {
		return s.checkEnd(true)
	}
	return s.end
}

// checkEnd judges the end of a body. The framing alone does not prove a stream complete: a failed
// target may end its body inside an event, and an orderly close looks like the end of a body without length
// and chunks. empty tells that the body had no event. A stream that has broken off was complete before only if its
// continuation says that it is a stream, too.
func (s *stream) checkEnd(empty bool) error {
	if s.splitter.insideEvent() {
		return errInsideEvent
	}
	if empty && (s.response.Framing == upstream.FramedByClose || s.splitter.joined && s.response.Header.Get("Content-Type") == "") {
		return errEmptyStream
	}
	return nil
}

// isEventStream tells whether a response may be a stream of events by its type, which may be missing.
func isEventStream(h http.Header) bool {
	kind := h.Get("Content-Type")
	if kind == "" {
		return true
	}
	media, _, err := mime.ParseMediaType(kind)
	return err == nil && media == "text/event-stream"
}

// relayEvents sends complete events to the caller until the target ends its stream properly. The
// bytes of an incomplete event are discarded if the stream goes on elsewhere.
func (r *request) relayEvents(ctx context.Context, s *stream) error {
	r.attemptWrites = 0
	if s.failed != nil {
		return s.failed
	}
	defer r.endOutput(s)
	for {
		if len(s.events) == 0 && s.end == nil && s.read() {
			return errReplaced
		}
		if len(s.events) > 0 {
			r.measureOutput(s)
			if r.attemptWrites == 0 {
				r.fixVersion(ctx, s.attempt.target)
			}
			if err := r.writeEvents(s.response, s.events); err != nil {
				return err
			}
			s.output.outputWritten()
			r.lastEventID, s.events = s.splitter.lastID, nil
			r.noteProgress(s)
			s.watch.setLimit(r.gapTimeout())
		}
		r.summary.partial = len(s.splitter.pending)
		if s.end != nil {
			if err := r.endOfMove(ctx, s); err != nil {
				return err
			}
		}
		if errors.Is(s.end, io.EOF) {
			return r.finishStream(s)
		}
		if s.end != nil {
			return s.end
		}
	}
}

// finishStream handles the proper end of a stream and sends what remains in the splitter.
func (r *request) finishStream(s *stream) error {
	if err := s.checkEnd(r.attemptWrites == 0); err != nil {
		return err
	}
	if rest := s.splitter.rest(); len(rest) > 0 || !r.out.Started() {
		return r.writeEvents(s.response, rest)
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
		r.answered()
	}
	if _, err := r.out.Write(p); err != nil {
		return errCallerWrite
	}
	return nil
}
