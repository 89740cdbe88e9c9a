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

// fate is what became of one attempt.
type fate int

// Fates of attempts.
const (
	// answered: the target's answer is to be passed on.
	answered fate = iota
	// unsent: nothing was written.
	unsent
	// refused: the target says that it did not run the request.
	refused
	// broken: no answer, a broken one or one of another request.
	broken
)

// errForeign means that an answer belongs to another request.
var errForeign = errors.New("the answer belongs to another request")

// send makes one attempt and reads the head of the answer. What is known of
// the request afterwards follows from what was written and what the target
// says.
func (r *request) send(ctx context.Context, t roster.Target, out *upstream.Request, prefill bool) (*upstream.Response, fate) {
	before := r.execution
	answer, err := r.h.Pool.Do(ctx, t.Address, out)
	if errors.Is(err, upstream.ErrNotSent) {
		r.unreached++
		r.exclude[t.ID] = true
		r.attemptEnded(t, err, "unsent")
		return nil, unsent
	}
	if !prefill {
		r.sent++
		r.execution = result.Unknown
	}
	if err != nil {
		r.exclude[t.ID] = true
		r.attemptEnded(t, err, "broken")
		return nil, broken
	}
	reply := r.h.Protocol.ParseResponse(answer.Status, answer.Header)
	if reply.Misdirected {
		r.h.OnMisdirected(t.ID)
	}
	if reply.NotRun {
		// Such an answer need not name the request: an older one's would not
		// come on a connection that was silent.
		if reply.ID == "" || reply.ID == r.call.ID {
			r.execution = before
			r.exclude[t.ID] = true
			drain(answer)
			r.attemptEnded(t, nil, "refused")
			return nil, refused
		}
	}
	if reply.ID != r.call.ID {
		answer.Close()
		r.exclude[t.ID] = true
		r.attemptEnded(t, errForeign, "broken")
		return nil, broken
	}
	return answer, answered
}

// attemptEnded logs an attempt without an answer.
func (r *request) attemptEnded(t roster.Target, err error, how string) {
	event.AttemptEnded.Log(r.h.Log).Str("request", r.call.ID).Str("target", string(t.ID)).Str("address", t.Address).
		Str("how", how).Str("execution", r.execution.String()).Float64("ms", milliseconds(time.Since(r.in.Arrived))).Err(err).Send()
	r.h.Metrics.attempts.WithLabelValues(t.Service, how).Inc()
}

// maxDrainBytes bounds what is read of a refusal to keep its connection.
const maxDrainBytes = 16 << 10

// drain reads the rest of a short answer, so that its connection can be kept.
func drain(a *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxDrainBytes)) // the connection is closed if it fails
	a.Close()
}

// outcomeOf returns what a fate says of a target.
func outcomeOf(f fate) dispatch.Outcome {
	switch f {
	case answered, refused:
		return dispatch.Answered
	default:
		return dispatch.Unreachable
	}
}

// maxWholeBytes is the size up to which an answer is read whole before it is
// passed on, so that one that breaks off can be replaced.
const maxWholeBytes = 256 << 10

// whole reads an answer of moderate size to its end.
func whole(a *upstream.Response) (body []byte, more bool, err error) {
	body, err = io.ReadAll(io.LimitReader(a.Body, maxWholeBytes+1))
	return body, len(body) > maxWholeBytes, err
}

// deliver passes a whole answer on.
func (r *request) deliver(a *upstream.Response, body []byte, more bool) {
	r.trail.status = a.Status
	length := int64(len(body))
	if more {
		length = a.Length
	}
	if r.in.Method == http.MethodHead {
		length = max(a.Length, 0)
	}
	if err := r.out.Start(a.Status, r.h.Protocol.CallerHeaders(a.Header), length); err != nil {
		r.trail.code = result.CallerLeft
		return
	}
	if _, err := r.out.Write(body); err != nil {
		r.trail.code = result.CallerLeft
		return
	}
	if more {
		if _, err := io.Copy(r.out, a.Body); err != nil {
			r.trail.code = result.StreamCut
			r.out.Abort()
		}
	}
}
