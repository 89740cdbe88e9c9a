package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/roster"
	"zinniapin/target"
	"zinniapin/upstream"
)

// A stream at an engine that leaves is handed to another engine with the memory of its run. The run at the source has
// stopped before the other engine is asked to go on, so it stays one run: it is no further attempt, is not taken from
// the retry budget, and is allowed on routes whose requests must not run twice.

const (
	// returnTimeLeft is the time that a source must have left to go on with a run that it could not hand on.
	returnTimeLeft = 500 * time.Millisecond
	// maxMovesOfRequest bounds how often a request is moved, if targets leave one after the other.
	maxMovesOfRequest = 5
	// continuationLimit keeps the silence watch of a moved stream quiet until its first event.
	continuationLimit = time.Hour
)

// Errors of streams that are moved.
var (
	// errMoved means that the run has stopped and its memory is at another engine.
	errMoved = errors.New("the stream was moved to another engine")
	// errMoveKept means that the run has stopped and its memory is at the source.
	errMoveKept = errors.New("the other engine took no memory of the moved stream")
	// errMoveUnanswered means that it is unknown whether the run has stopped.
	errMoveUnanswered = errors.New("the call that moves the stream was not answered")
	// errContinuationSilent means that the engine that was to go on has sent no event in time.
	errContinuationSilent = errors.New("the engine sent no event of the moved stream in time")
)

// isNotSent tells whether nothing of a request was written.
func isNotSent(err error) bool { return errors.Is(err, upstream.ErrNotSent) }

// canMove tells whether the streams of the request can be handed to other engines.
func (r *request) canMove() bool { return r.service.Engine != nil && r.service.Engine.Moves }

// makeInterruptible returns a context of an attempt by which its connection can be reset, if the stream can be moved.
func (r *request) makeInterruptible(ctx context.Context, s *stream) context.Context {
	if r.canMove() {
		ctx, s.interrupt = context.WithCancelCause(ctx)
	}
	return ctx
}

// noteProgress records that events of a stream were written to the caller. The first ones make it a stream that can be
// moved: its version is known from then on.
func (r *request) noteProgress(s *stream) {
	if s.interrupt == nil {
		return
	}
	s.lastEventAt = time.Now()
	events, err := strconv.Atoi(r.lastEventID)
	if err != nil {
		events = r.summary.events
	}
	if s.move == nil && r.moves < maxMovesOfRequest && s.attempt.target.Version == r.job.Version {
		s.move = &movable{
			h: r.h, request: r.info.ID, source: s.attempt.target, engine: r.service.Engine, length: dispatch.OutputLength{Expected: r.job.CarefulOutputTokens, Max: r.info.MaxOutputTokens},
			deadline: r.deadline, cutIfUnknown: r.route.Repeatable(), watch: s.watch, interrupt: s.interrupt, job: r.job,
			excluded: copyOf(r.excluded), events: events, firstEvents: events, firstAt: time.Now(),
		}
		s.move.excluded[s.attempt.target.ID] = true
		for id := range r.movesRefused {
			s.move.excluded[id] = true
		}
		r.h.registerMovable(s.move)
	}
	s.move.progress(events)
}

// endOfMove returns what a move says of the end of a stream, once no call that moves it is under way. It returns nil if
// the stream was not moved, or has ended whole.
func (r *request) endOfMove(ctx context.Context, s *stream) error {
	switch s.move.awaitLast(ctx) {
	case MoveDone:
		return errMoved
	case MoveKept:
		return errMoveKept
	case MoveUnknown:
		if errors.Is(s.end, io.EOF) && s.response.Framing != upstream.FramedByClose && !s.splitter.insideEvent() {
			return nil
		}
		return errMoveUnanswered // a stream that ends with its connection may have been closed without its end
	default:
		return nil
	}
}

// continueMoved lets a stream whose run has stopped go on at the engine that has its memory: the one that it was moved
// to, or the source. If it returns attemptReplaced, the stream goes on at r.stream.
func (r *request) continueMoved(ctx context.Context, s *stream, reason error) attemptResult {
	source := s.attempt.target
	to, refusedBy, result := s.move.take()
	r.moves++
	if refusedBy != "" {
		r.refuseMoves(refusedBy)
	}
	r.excluded[source.ID] = true
	r.endAttempt(s.ticket, source.ID, dispatch.Answered, 0)
	s.response.Close()
	s.watch.stop()
	var back bool
	if errors.Is(reason, errMoved) {
		next, outcome := r.openContinuation(ctx, s, to, result.Handle)
		if next != nil {
			r.moved(s, next, to)
			return attemptReplaced
		}
		back = outcome == attemptRefused || outcome == attemptNotSent
		r.refuseMoves(to.ID)
	} else {
		left, leaves := r.timeLeft(source)
		back = !leaves || left >= returnTimeLeft
	}
	if left, leaves := r.timeLeft(source); back && ctx.Err() == nil && (!leaves || left > 0) {
		next, _ := r.openContinuation(ctx, s, source, result.Handle)
		if next != nil {
			if to.ID != "" {
				s.move.notMoved("the other engine refused the request")
			}
			r.stream = next
			return attemptReplaced
		}
	}
	s.move.notMoved("no engine went on with the moved stream")
	r.h.freeHandle(source, result.Handle)
	if to.ID != "" {
		r.h.freeHandle(to, result.Handle)
	}
	return attemptBroken
}

// refuseMoves keeps the stream from being moved to a target once more. The target may still get the request without the
// memory of a run.
func (r *request) refuseMoves(id target.ID) {
	if r.movesRefused == nil {
		r.movesRefused = make(map[target.ID]bool)
	}
	r.movesRefused[id] = true
}

// timeLeft returns the time until a target has left, and whether it leaves.
func (r *request) timeLeft(t roster.Target) (time.Duration, bool) {
	r.h.PlannerMu.Lock()
	defer r.h.PlannerMu.Unlock()
	return r.h.Planner.TimeLeft(time.Now(), t)
}

// moved logs and counts a stream that goes on elsewhere.
func (r *request) moved(from, next *stream, to roster.Target) {
	event.StreamMoved.Log(r.h.Log).Str("request", r.info.ID).Str("from", string(from.attempt.target.ID)).Str("to", string(to.ID)).
		Int("events", r.summary.events).Float64("pause_ms", milliseconds(time.Since(from.lastEventAt))).Send()
	r.h.Metrics.moves.WithLabelValues(to.Service, "moved").Inc()
	r.stream = next
}

// openContinuation sends the request to an engine that is to go on with the memory of a stopped run. It is the same run,
// so it counts as no attempt. It returns attemptRefused if the engine does not run the request, attemptNotSent if it
// cannot be connected to, and attemptBroken if it may run it.
func (r *request) openContinuation(ctx context.Context, from *stream, t roster.Target, handle string) (*stream, attemptResult) {
	attempt := streamAttempt{target: t, decision: from.attempt.decision}
	s := &stream{attempt: attempt, ticket: r.beginAttempt(t, 0), splitter: r.newEventSplitter(), continued: true, lastEventAt: from.lastEventAt}
	r.summary.version = t.Version
	info := AttemptInfo{Priority: r.job.Priority, LastEventID: r.lastEventID, PrefillSource: r.h.Protocol.CacheSource(from.attempt.target.Address, handle)}
	ctx = r.makeInterruptible(ctx, s)
	if r.route.Repeatable() {
		// No other target may take over before the first event, since the memory has gone to this one. If there
		// is none in time, the connection is reset and the stream counts as cut.
		silent := time.AfterFunc(max(r.gapTimeout(), minEventTimeout), func() { s.interrupt(errContinuationSilent) })
		defer silent.Stop()
		ctx, s.watch = r.watchSilence(ctx, t, attempt.decision, continuationLimit, func(ctx context.Context, w *silenceWatch) { r.searchStream(ctx, w, t) })
	}
	attempts, excluded := r.sent.attempts, r.excluded[t.ID]
	out := r.targetRequest(t, info)
	out.Fresh = true // a kept connection that is closed as the request comes would leave the outcome unknown
	response, outcome := r.send(ctx, s.watch, t, out, false, s.begin)
	r.sent.attempts = attempts
	if outcome == attemptRefused && !excluded {
		delete(r.excluded, t.ID) // it may have refused the memory alone
		r.freshConnection = true // a late copy of this refusal would have the id of the request
	}
	if outcome != attemptAnswered {
		s.watch.stop()
		r.endAttempt(s.ticket, t.ID, plannerOutcome(outcome), 0)
		return nil, outcome
	}
	if s.response = response; response.Status != http.StatusOK {
		r.closeStatus(s)
		if response.Status == http.StatusServiceUnavailable || response.Status < http.StatusInternalServerError {
			return nil, attemptRefused
		}
		return nil, attemptBroken
	}
	if err := r.checkBegin(s); err != nil {
		r.closeStream(s, err, dispatch.Unreachable)
		return nil, attemptBroken
	}
	return s, attemptAnswered
}

// copyOf returns a copy of a map.
func copyOf[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m)+1)
	for k, v := range m {
		out[k] = v
	}
	return out
}
