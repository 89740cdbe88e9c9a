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

// serviceCall is a call that the plain service executed.
type serviceCall struct {
	request            string // the gateway's request id
	headerOrganisation string // from the Zinnia-Organisation header
	body               string // also identifies the call
	bodyOrganisation   string // the organisation at the start of the body
}

// plainService simulates two instances of a plain service with shared state. Its faults delay
// calls, lose requests or responses, and refuse calls without running them.
type plainService struct {
	mu               sync.Mutex
	rng              *rand.Rand
	faulty           bool
	runs             map[string]int // number of executions, by body
	stoppedInstances map[target.ID]bool
	calls            []serviceCall
	problems         []string
}

// newPlainService returns a plain service without faults.
func newPlainService(seed uint64) *plainService {
	return &plainService{rng: rand.New(rand.NewPCG(seed, 11)), runs: map[string]int{}, stoppedInstances: map[target.ID]bool{}}
}

// setFaulty turns the faults on or off.
func (s *plainService) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

// drawFault returns the fault and the delay of the next call. With faults, 4 of 12 calls fail on
// average, and a call takes up to 4 s instead of up to 50 ms.
func (s *plainService) drawFault() (fault int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = time.Duration(s.rng.IntN(50)) * time.Millisecond
	if !s.faulty {
		return faultNone, delay
	}
	return s.rng.IntN(12), time.Duration(s.rng.IntN(4000)) * time.Millisecond
}

// Faults of calls. Any other number means that the call runs and gets its response.
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

// stopInstance stops an instance for good. Calls in progress there get no response.
func (s *plainService) stopInstance(id target.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedInstances[id] = true
}

// isStopped reports whether stopInstance stopped an instance.
func (s *plainService) isStopped(id target.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stoppedInstances[id]
}

// runCall records the execution of a call. It reports a problem if a deposit runs twice, if the
// organisation in the header differs from that in the body, or if the request contains a key.
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
		s.problems = append(s.problems, fmt.Sprintf("%s ran for organisation %q", body, c.headerOrganisation))
	}
	if strings.Contains(fmt.Sprint(r), keyPrefix) {
		s.problems = append(s.problems, body+" was sent to the service with a key")
	}
}

// wait waits for d. It returns false when ctx ends first.
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
