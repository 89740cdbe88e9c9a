package forward

import (
	"context"

	"zinniapin/poison"
	"zinniapin/result"
	"zinniapin/roster"
)

// requestPart returns the part that stands for the request as a whole where targets crash. The caller is
// known by its organisation, whose keys change.
func (r *request) requestPart() poison.Part {
	if r.wholePart == 0 {
		caller := ""
		if r.organisation != nil {
			caller = r.organisation.Name
		}
		r.wholePart = poison.PartOfRequest(caller, r.in.Method, r.in.Host+r.in.Target, r.in.Body)
	}
	return r.wholePart
}

// crashParts returns all parts of the request that may crash targets.
func (r *request) crashParts() []poison.Part {
	return append(r.sharedParts[:len(r.sharedParts):len(r.sharedParts)], r.requestPart())
}

// brokeOff tells the crash guard that an answer broke off when it had hardly begun.
func (r *request) brokeOff(t roster.Target) { r.h.Crashes.brokeOff(t, r.crashParts()) }

// maxSoundBytes is the size of a body up to which a request is remembered as sound when it is answered. Larger
// ones hardly come again and take time to hash.
const maxSoundBytes = 4 << 10

// answered tells the crash guard that a target answered and went on.
func (r *request) answered() {
	if len(r.in.Body) <= maxSoundBytes || r.h.Crashes.hasSuspects() {
		r.h.Crashes.answered(r.crashParts())
	} else {
		r.h.Crashes.answered(r.sharedParts)
	}
}

// suspected tells whether the request should not be sent to another target, since it may have crashed some.
func (r *request) suspected() bool {
	return r.h.Crashes.hasSuspects() && r.h.Crashes.suspects(r.crashParts())
}

// endPoisoned returns how to end a request that crashes targets, nil if it is not known to.
func (r *request) endPoisoned(ctx context.Context) func() {
	if !r.h.Crashes.hasSuspects() {
		return nil
	}
	wait, whole, rejected := r.h.Crashes.rejects(r.crashParts())
	switch {
	case !rejected:
		return nil
	case r.sent.execution() != result.NotRun || r.out.Started():
		return func() { r.fail(ctx) }
	case whole:
		return func() { r.refuse(result.RequestBlocked, wait) }
	default:
		return func() { r.refuse(result.PromptBlocked, wait) }
	}
}
