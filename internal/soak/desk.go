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

// serviceCall is a call of a plain service that ran.
type serviceCall struct {
	request            string // the gateway's request id
	headerOrganisation string // as the gateway said
	body               string // the body
	bodyOrganisation   string // the organisation that the body names
}

// desk is the plain service: two instances that share their books. It runs
// calls, answers late, loses answers and refuses unrun.
type plainService struct {
	mu               sync.Mutex
	rng              *rand.Rand
	faulty           bool
	runs             map[string]int // by body
	stoppedInstances map[target.ID]bool
	calls            []serviceCall
	problems         []string
}

// newPlainService returns a service that works.
func newPlainService(seed uint64) *plainService {
	return &plainService{rng: rand.New(rand.NewPCG(seed, 11)), runs: map[string]int{}, stoppedInstances: map[target.ID]bool{}}
}

// setFaulty turns the faults on or off.
func (s *plainService) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

// drawFault draws what happens to a call.
func (s *plainService) drawFault() (fault int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = time.Duration(s.rng.IntN(50)) * time.Millisecond
	if !s.faulty {
		return faultNone, delay
	}
	return s.rng.IntN(12), time.Duration(s.rng.IntN(4000)) * time.Millisecond
}

// Fates of calls; any other number runs and answers.
const (
	faultNotSent = iota
	faultRefused
	faultResponseLost
	faultRequestLost
	faultNone
)

// Call implements gateway.Services.
func (s *plainService) Call(ctx context.Context, at target.Target, r gateway.ServiceRequest) (gateway.ServiceResponse, error) {
	fault, delay := s.drawFault()
	if s.isStopped(at.ID) {
		return gateway.ServiceResponse{}, target.ErrNotSent
	}
	switch fault {
	case faultNotSent:
		return gateway.ServiceResponse{}, target.ErrNotSent
	case faultRefused:
		return gateway.ServiceResponse{}, target.ErrRefused
	case faultRequestLost:
		return gateway.ServiceResponse{}, target.ErrIncomplete
	}
	s.runCall(r)
	if !wait(ctx, delay) || fault == faultResponseLost || s.isStopped(at.ID) {
		return gateway.ServiceResponse{}, target.ErrIncomplete
	}
	header := http.Header{"Content-Type": {"text/plain"}}
	return gateway.ServiceResponse{Status: http.StatusCreated, Header: header, Body: []byte("done " + string(r.Body))}, nil
}

// stopInstance ends an instance for good; calls under way there get no answer.
func (s *plainService) stopInstance(id target.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedInstances[id] = true
}

// isStopped tells whether an instance is gone.
func (s *plainService) isStopped(id target.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stoppedInstances[id]
}

// runCall books a call.
func (s *plainService) runCall(r gateway.ServiceRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := string(r.Body)
	bodyOrganisation, _, _ := strings.Cut(body, "/")
	c := serviceCall{request: r.Header.Get("Zinnia-Request-Id"), headerOrganisation: r.Header.Get("Zinnia-Organisation"), body: body, bodyOrganisation: bodyOrganisation}
	s.calls = append(s.calls, c)
	s.runs[body]++
	if s.runs[body] > 1 && strings.Contains(body, depositMarker) {
		s.problems = append(s.problems, fmt.Sprintf("%s ran %d times", body, s.runs[body]))
	}
	if c.headerOrganisation != bodyOrganisation {
		s.problems = append(s.problems, fmt.Sprintf("%s ran for %q", body, c.headerOrganisation))
	}
	if strings.Contains(fmt.Sprint(r), keyPrefix) {
		s.problems = append(s.problems, body+" came with a key")
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
