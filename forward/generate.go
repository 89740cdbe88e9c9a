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

// leg is an attempt to stream from a target.
type leg struct {
	target roster.Target
	plan   dispatch.Decision
	unread int
	// source is the KV cache to fetch; empty when the target processes the
	// prompt itself.
	source string
}

// generate takes a request to a model engine: its prompt may be processed by
// one target and its output produced by another.
func (r *request) generate(ctx context.Context) {
	var stream events
	for {
		l, ok := r.nextLeg(ctx, stream.last)
		if !ok {
			return
		}
		f := r.streamAny(ctx, l, &stream)
		if f == answered {
			return
		}
		if ctx.Err() != nil || f == broken && !r.route.Repeatable() {
			break
		}
		if f == unsent && r.unreached < maxUnreached {
			continue
		}
		if !r.mayRepeat() {
			break
		}
		if r.out.Started() {
			r.trail.resumed++
		}
	}
	r.fail(ctx)
}

// streamAny makes an attempt; a processed prompt is offered to another target
// where the first could not be connected to.
func (r *request) streamAny(ctx context.Context, l leg, s *events) fate {
	for {
		f := r.stream(ctx, l, s)
		if f != unsent || l.source == "" || r.unreached >= maxUnreached || ctx.Err() != nil {
			return f
		}
		r.h.PlannerMu.Lock()
		t, ok := r.h.Planner.PlanDecode(time.Now(), r.job, l.target, r.exclude)
		r.h.PlannerMu.Unlock()
		if !ok {
			return f
		}
		l.target = t
	}
}

// nextLeg decides where the request goes and has its prompt processed first
// where that is done elsewhere. It returns false when the request was answered.
func (r *request) nextLeg(ctx context.Context, lastEvent string) (leg, bool) {
	for tries := 0; ; tries++ {
		d := r.plan()
		if d.Refused() {
			if r.out.Started() {
				r.fail(ctx)
			} else {
				r.refuseFor(ctx, d)
			}
			return leg{}, false
		}
		if d.Target.Role != target.Prefill {
			return leg{target: d.Target, plan: d, unread: d.UncachedTokens}, true
		}
		l, f := r.prefill(ctx, d, lastEvent)
		if f == answered {
			return l, true
		}
		if ctx.Err() != nil || tries >= maxPrefills || f != unsent && !r.mayRepeat() {
			r.fail(ctx)
			return leg{}, false
		}
	}
}

// maxPrefills is the number of targets at which a prompt is tried beyond the
// first.
const maxPrefills = 2

// prefill has the prompt processed at a target and picks the one for the
// output.
func (r *request) prefill(ctx context.Context, d dispatch.Decision, lastEvent string) (leg, fate) {
	ctx, watch := r.patient(ctx, d, r.streamPatience(d))
	defer func() { r.paid = watch.end() || r.paid }()
	ticket := r.begin(d.Target, d.UncachedTokens)
	r.trail.reading = d.Target.ID
	out := r.outbound(d.Target, AttemptInfo{Priority: r.job.Priority, PrefillOnly: true, LastEventID: lastEvent, PrefixSource: d.FetchFrom.Address})
	answer, f := r.send(ctx, d.Target, out, true)
	if f != answered {
		r.ended(ticket, d.Target.ID, outcomeOf(f), 0)
		return leg{}, f
	}
	body, _, err := whole(answer)
	answer.Close()
	var made PrefillResult
	if err == nil && answer.Status == http.StatusOK {
		made, err = r.h.Protocol.ParsePrefill(body)
	} else if err == nil {
		err = errors.New("status " + strconv.Itoa(answer.Status))
	}
	if err != nil {
		r.exclude[d.Target.ID] = true
		r.attemptEnded(d.Target, err, "prefill")
		r.ended(ticket, d.Target.ID, dispatch.Failed, 0)
		return leg{}, broken
	}
	r.read(ticket)
	r.ended(ticket, d.Target.ID, dispatch.Answered, 0)
	r.h.PlannerMu.Lock()
	t, ok := r.h.Planner.PlanDecode(time.Now(), r.job, d.Target, r.exclude)
	r.h.PlannerMu.Unlock()
	if !ok || ctx.Err() != nil {
		r.release(d.Target, made.Handle)
		return leg{}, unsent
	}
	return leg{target: t, plan: d, source: r.h.Protocol.CacheSource(d.Target.Address, made.Handle)}, answered
}

// releaseTimeout bounds the freeing of a KV cache that nobody takes.
const releaseTimeout = time.Second

// release frees a KV cache that will not be taken.
func (r *request) release(t roster.Target, handle string) {
	method, path := r.h.Protocol.ReleaseRequest(handle)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		a, err := r.h.Pool.Do(ctx, t.Address, &upstream.Request{Method: method, Target: path, Host: t.Address, Header: http.Header{}})
		if err != nil {
			r.attemptEnded(t, err, "release") // it lapses by itself
			return
		}
		drain(a)
	}()
}

// stream makes one attempt to stream from a target.
func (r *request) stream(ctx context.Context, l leg, s *events) fate {
	ticket := r.begin(l.target, l.unread)
	o := AttemptInfo{Priority: r.job.Priority, PrefillSource: l.source, LastEventID: s.last}
	if l.source == "" {
		o.PrefixSource = l.plan.FetchFrom.Address
	}
	out := r.outbound(l.target, o)
	attempt, watch := ctx, (*patience)(nil)
	if r.route.Repeatable() && r.sent+1 < r.route.Attempts {
		attempt, watch = r.patient(ctx, l.plan, r.streamPatience(l.plan))
		defer func() { r.paid = watch.end() || r.paid }()
	}
	answer, f := r.send(attempt, l.target, out, false)
	if f != answered {
		r.ended(ticket, l.target.ID, outcomeOf(f), 0)
		return f
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		return r.streamFailed(l, ticket, answer)
	}
	err := r.copyEvents(watch, ticket, answer, s)
	if err == nil {
		r.ended(ticket, l.target.ID, dispatch.Answered, 0)
		r.execution = result.Ran
		return answered
	}
	r.exclude[l.target.ID] = true
	if errors.Is(err, errCaller) || ctx.Err() != nil {
		r.ended(ticket, l.target.ID, dispatch.Answered, 0)
		return broken
	}
	r.attemptEnded(l.target, err, "broken")
	r.ended(ticket, l.target.ID, dispatch.Unreachable, 0)
	return broken
}

// streamFailed passes a target's own failure on, or prepares another attempt.
func (r *request) streamFailed(l leg, ticket dispatch.Ticket, a *upstream.Response) fate {
	r.ended(ticket, l.target.ID, dispatch.Failed, 0)
	r.exclude[l.target.ID] = true
	body, more, err := whole(a)
	retry := r.route.Repeatable() && r.sent < r.route.Attempts
	if err != nil || more || r.out.Started() || a.Status == http.StatusServiceUnavailable || retry {
		r.attemptEnded(l.target, err, "status "+strconv.Itoa(a.Status))
		return broken
	}
	r.countBegin()
	r.execution = result.Ran
	r.deliver(a, body, false)
	return answered
}

// Errors of streams.
var (
	errCaller = errors.New("the caller does not read")
	errJoin   = errors.New("the stream does not go on where the one before ended")
	errEvent  = errors.New("an event is too large")
)

// copyBytes is the buffer of a stream.
const copyBytes = 8 << 10

// copyEvents passes whole events on until the stream ends as whole.
func (r *request) copyEvents(watch *patience, ticket dispatch.Ticket, a *upstream.Response, s *events) error {
	s.pending = s.pending[:0]
	joined := s.last
	buffer := make([]byte, copyBytes)
	first := true
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			wholeEvents := s.take(buffer[:n])
			if len(s.pending) > maxEventBytes {
				return errEvent
			}
			if len(wholeEvents) > 0 {
				if first {
					first = false
					r.read(ticket)
					if !follows(joined, firstID(wholeEvents)) {
						return errJoin
					}
				}
				if e := r.passOn(a, wholeEvents); e != nil {
					return e
				}
				watch.event(time.Duration(r.route.GapMillis) * time.Millisecond)
			}
		}
		if errors.Is(err, io.EOF) {
			return r.streamEnd(a, s)
		}
		if err != nil {
			return err
		}
	}
}

// follows tells whether an event may come after the last one passed on.
func follows(last, first string) bool {
	if last == "" || first == "" {
		return true
	}
	before, err := strconv.Atoi(last)
	if err != nil {
		return true // ids that are no numbers cannot be compared
	}
	next, err := strconv.Atoi(first)
	return err != nil || next == before+1
}

// streamEnd passes the rest of a stream on that ended as whole.
func (r *request) streamEnd(a *upstream.Response, s *events) error {
	if len(s.pending) > 0 || !r.out.Started() {
		if err := r.passOn(a, s.pending); err != nil {
			return err
		}
	}
	return nil
}

// passOn writes bytes to the caller, with the head of the first target before
// the first ones.
func (r *request) passOn(a *upstream.Response, p []byte) error {
	if !r.out.Started() {
		r.trail.status = a.Status
		r.trail.first = time.Since(r.in.Arrived)
		r.countBegin()
		if err := r.out.Start(a.Status, r.h.Protocol.CallerHeaders(a.Header), -1); err != nil {
			return errCaller
		}
	}
	r.trail.events++
	if _, err := r.out.Write(p); err != nil {
		return errCaller
	}
	return nil
}
