package node

import (
	"context"
	"sync"
	"time"
)

const (
	// recoverySpread is the longest time between the moments at which two hosts
	// notice that the store is back: the longest retry delay and the transit of a
	// digest.
	recoverySpread = time.Second
	// peerAnswerTolerance is the error of the time at which the store answered a
	// peer: the longest transit of a digest.
	peerAnswerTolerance = 100 * time.Millisecond
)

// storeHealth tracks whether this host's calls for one collection of the store
// are answered.
type storeHealth struct {
	mu           sync.Mutex
	failingSince time.Time // first failure since the last success; zero if none
	relistNeeded bool      // the next call must be a list, not a watch
	everReached  bool      // a call was answered, or this host was on standby
	answeredAt   time.Time // last answered call; zero if none
	// peerAnsweredAt is the first time at which the store answered a peer while
	// calls of this host failed; zero if it did not.
	peerAnsweredAt time.Time
	// cancelCall cancels the call in progress.
	cancelCall context.CancelFunc
}

// beginCall returns the context for a call, which requestRelist cancels.
func (h *storeHealth) beginCall(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.cancelCall = cancel
	h.mu.Unlock()
	return ctx, cancel
}

// lastAnswer returns the time of the last answered call; zero if there was none.
func (h *storeHealth) lastAnswer() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answeredAt
}

// recordFailure records a failed call and returns whether it begins an outage.
func (h *storeHealth) recordFailure(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failingSince.IsZero() {
		return false
	}
	h.failingSince, h.peerAnsweredAt = now, time.Time{}
	return true
}

// outage is a period in which the store did not answer this host.
type outage struct {
	// duration is the time since the last answer; 0 if no call has failed since.
	duration time.Duration
	// local is set if the store answered a peer during the outage, more than
	// recoverySpread before it ended: a later answer may belong to the recovery.
	local bool
}

// mayHaveLapsedEntries reports whether entries of live targets may have lapsed
// during the outage, because the targets could not renew them.
func (o outage) mayHaveLapsedEntries() bool { return o.duration > minLapseOutage && !o.local }

// recordSuccess records an answered call and returns the outage that it ends.
func (h *storeHealth) recordSuccess(now time.Time) outage {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ended outage
	if !h.failingSince.IsZero() {
		since := h.answeredAt
		if since.IsZero() {
			since = h.failingSince
		}
		ended = outage{now.Sub(since), !h.peerAnsweredAt.IsZero() && now.Sub(h.peerAnsweredAt) > recoverySpread}
	}
	h.everReached, h.answeredAt, h.failingSince = true, now, time.Time{}
	return ended
}

// recordStandby notes that this host makes no calls because its peers watch the
// store; the store then counts as reachable.
func (h *storeHealth) recordStandby() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.everReached, h.failingSince = true, time.Time{}
}

// recordPeerAnswer records when the store last answered a peer. It matters only
// while calls of this host fail.
func (h *storeHealth) recordPeerAnswer(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince.IsZero() || !at.After(h.failingSince.Add(peerAnswerTolerance)) {
		return
	}
	if h.peerAnsweredAt.IsZero() || at.Before(h.peerAnsweredAt) {
		h.peerAnsweredAt = at
	}
}

// requestRelist makes the next call a list and cancels the call in progress. It
// is used after a suspension of the host, when the known state may be old and the
// connection may be dead.
func (h *storeHealth) requestRelist() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.relistNeeded = true
	if h.cancelCall != nil {
		h.cancelCall()
	}
}

// takeRelistRequest returns whether a list was requested, and clears the request.
func (h *storeHealth) takeRelistRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	needed := h.relistNeeded
	h.relistNeeded = false
	return needed
}

// reachable reports whether the last call was answered, or this host is on
// standby.
func (h *storeHealth) reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.everReached && h.failingSince.IsZero()
}
