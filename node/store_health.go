package node

import (
	"context"
	"sync"
	"time"
)

const (
	// returnSpread is how far apart hosts notice that the store is back: the
	// longest pause between two tries and the way of a digest.
	returnSpread = time.Second
	// answerSpread is how far the time of a peer's answer may be off: a digest
	// may take so long.
	answerSpread = 100 * time.Millisecond
)

// reach tells whether a part of the store is reached.
type reach struct {
	mu       sync.Mutex
	failing  time.Time // since when calls fail; zero when the last one did not
	doubtful bool      // the next watch must be a list
	reached  bool      // ever
	called   time.Time // when a call was answered last; zero when none was
	// spared is when a peer's call was first answered while calls of this host
	// failed; zero when none was.
	spared time.Time
	// interrupt ends the call under way.
	interrupt context.CancelFunc
}

// begin returns the context of a call that doubt ends.
func (r *reach) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	r.interrupt = cancel
	r.mu.Unlock()
	return ctx, cancel
}

// lastCall returns when a call was answered last.
func (r *reach) lastCall() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.called
}

// failed notes a failed call and returns whether it is the first in a row.
func (r *reach) failed(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing.IsZero() {
		return false
	}
	r.failing, r.spared = now, time.Time{}
	return true
}

// outage is a span without an answer of the store.
type outage struct {
	// lasted is the time since the last answer; 0 when no call failed since.
	lasted time.Duration
	// own is set when peers reached the store meanwhile.
	own bool
}

// lapsing tells whether entries of targets may have lapsed in the outage though
// the targets live.
func (o outage) lapsing() bool { return o.lasted > outageTime && !o.own }

// succeeded notes a call that was answered and returns the outage that it ends.
func (r *reach) succeeded(now time.Time) outage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ended outage
	if !r.failing.IsZero() {
		since := r.called
		if since.IsZero() {
			since = r.failing
		}
		ended = outage{now.Sub(since), !r.spared.IsZero() && now.Sub(r.spared) > returnSpread}
	}
	r.reached, r.called, r.failing = true, now, time.Time{}
	return ended
}

// standby notes that the store is not called: nothing is known against it.
func (r *reach) standby() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached, r.failing = true, time.Time{}
}

// peerAnswered notes when the store answered a peer.
func (r *reach) peerAnswered(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing.IsZero() || !at.After(r.failing.Add(answerSpread)) {
		return
	}
	if r.spared.IsZero() || at.Before(r.spared) {
		r.spared = at
	}
}

// doubt asks for a list: what is known may be old, and the call under way may
// be on a connection that has fallen silent.
func (r *reach) doubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtful = true
	if r.interrupt != nil {
		r.interrupt()
	}
}

// takeDoubt returns whether a list was asked for.
func (r *reach) takeDoubt() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.doubtful
	r.doubtful = false
	return d
}

// ok tells whether the last call was answered.
func (r *reach) ok() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reached && r.failing.IsZero()
}
