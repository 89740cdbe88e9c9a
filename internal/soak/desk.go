package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"zinniapin/gateway"
	"zinniapin/target"
)

// deskCall is a call of a plain service that ran.
type deskCall struct {
	request      string // the gateway's request id
	organisation string // as the gateway said
	id           string // the body
	caller       string // the organisation that the body names
}

// desk is the plain service: two instances that share their books. It runs
// calls, answers late, loses answers and refuses unrun.
type desk struct {
	mu       sync.Mutex
	rng      *rand.Rand
	harsh    bool
	runs     map[string]int // by body
	gone     map[target.ID]bool
	calls    []deskCall
	problems []string
}

// newDesk returns a service that works.
func newDesk(seed uint64) *desk {
	return &desk{rng: rand.New(rand.NewPCG(seed, 11)), runs: map[string]int{}, gone: map[target.ID]bool{}}
}

// setHarsh turns the faults on or off.
func (d *desk) setHarsh(harsh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.harsh = harsh
}

// fate draws what happens to a call.
func (d *desk) fate() (fate int, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay = time.Duration(d.rng.IntN(50)) * time.Millisecond
	if !d.harsh {
		return fateRun, delay
	}
	return d.rng.IntN(12), time.Duration(d.rng.IntN(4000)) * time.Millisecond
}

// Fates of calls; any other number runs and answers.
const (
	fateNotSent = iota
	fateRefused
	fateLost
	fateUnrunLost
	fateRun
)

// Call implements gateway.Services.
func (d *desk) Call(ctx context.Context, at target.Target, r gateway.ServiceRequest) (gateway.ServiceResponse, error) {
	fate, delay := d.fate()
	if d.isGone(at.ID) {
		return gateway.ServiceResponse{}, target.ErrNotSent
	}
	switch fate {
	case fateNotSent:
		return gateway.ServiceResponse{}, target.ErrNotSent
	case fateRefused:
		return gateway.ServiceResponse{}, target.ErrRefused
	case fateUnrunLost:
		return gateway.ServiceResponse{}, target.ErrIncomplete
	}
	d.run(r)
	if !wait(ctx, delay) || fate == fateLost || d.isGone(at.ID) {
		return gateway.ServiceResponse{}, target.ErrIncomplete
	}
	header := http.Header{"Content-Type": {"text/plain"}}
	return gateway.ServiceResponse{Status: http.StatusCreated, Header: header, Body: []byte("done " + string(r.Body))}, nil
}

// lose ends an instance for good; calls under way there get no answer.
func (d *desk) lose(id target.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone[id] = true
}

// isGone tells whether an instance is gone.
func (d *desk) isGone(id target.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gone[id]
}

// run books a call.
func (d *desk) run(r gateway.ServiceRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := string(r.Body)
	caller, _, _ := strings.Cut(id, "/")
	c := deskCall{request: r.Header.Get("Zinnia-Request-Id"), organisation: r.Header.Get("Zinnia-Organisation"), id: id, caller: caller}
	d.calls = append(d.calls, c)
	d.runs[id]++
	if d.runs[id] > 1 && strings.Contains(id, depositMark) {
		d.problems = append(d.problems, fmt.Sprintf("%s ran %d times", id, d.runs[id]))
	}
	if c.organisation != caller {
		d.problems = append(d.problems, fmt.Sprintf("%s ran for %q", id, c.organisation))
	}
	if strings.Contains(fmt.Sprint(r), keyMark) {
		d.problems = append(d.problems, id+" came with a key")
	}
}

// wait waits and tells whether ctx lasted.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
