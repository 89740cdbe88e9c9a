package planning

import (
	"slices"
	"strings"
	"time"

	"zinniapin/placement"
	"zinniapin/spending"
)

// recentSteps bounds the steps that a status shows.
const recentSteps = 32

// PoolStatus tells why a pool is as it is.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Roles and Spending say why nothing is changed, as of the last plan.
	Roles       string  `json:"roles"`
	Spending    string  `json:"spending"`
	Prefill     float64 `json:"prefill_engines"` // demand, in engines' worth
	Decode      float64 `json:"decode_engines"`
	Utilisation float64 `json:"utilisation"`
	Wait        float64 `json:"wait_seconds"`
	Refused     float64 `json:"refused_share"`
}

// StepStatus is a step that was planned lately.
type StepStatus struct {
	At     time.Time `json:"at"`
	Pool   string    `json:"pool"`
	Zone   string    `json:"zone"`
	Action string    `json:"action"`
	Target string    `json:"target,omitempty"`
	Reason string    `json:"reason"`
	Gain   float64   `json:"gain_engine_seconds,omitempty"`
	Loss   float64   `json:"loss_engine_seconds,omitempty"`
}

// Status is what planning last decided for the pools that it owns.
type Status struct {
	Pools []PoolStatus `json:"pools"`
	Steps []StepStatus `json:"steps"` // newest first
}

// newStatus returns an empty status.
func newStatus() Status {
	return Status{Pools: []PoolStatus{}, Steps: []StepStatus{}}
}

// pool returns the row of a pool, making it if there is none.
func (s *Status) pool(name string) *PoolStatus {
	at, found := slices.BinarySearchFunc(s.Pools, name, func(p PoolStatus, name string) int {
		return strings.Compare(p.Pool, name)
	})
	if !found {
		s.Pools = slices.Insert(s.Pools, at, PoolStatus{Pool: name})
	}
	return &s.Pools[at]
}

// step remembers a step.
func (s *Status) step(step StepStatus) {
	s.Steps = slices.Insert(s.Steps, 0, step)
	s.Steps = s.Steps[:min(len(s.Steps), recentSteps)]
}

// roles takes in a plan of roles and returns the holds whose reason is new.
func (s *Status) roles(now time.Time, steps []placement.Step, held []placement.Held) []placement.Held {
	for _, step := range steps {
		action := string(step.Kind) + " " + string(step.Role) + step.Model
		s.step(StepStatus{now, step.Pool, string(step.Zone), action, string(step.Target), step.Reason, step.Gain, step.Loss})
		s.pool(step.Pool).Roles = action
	}
	var fresh []placement.Held
	for _, h := range held {
		row := s.pool(h.Pool)
		row.Prefill, row.Decode, row.Utilisation = h.Prefill, h.Decode, h.Utilisation
		if row.Roles != string(h.Reason) {
			row.Roles = string(h.Reason)
			fresh = append(fresh, h)
		}
	}
	return fresh
}

// purchases takes in a plan of purchases and returns the holds whose reason
// is new.
func (s *Status) purchases(now time.Time, steps []spending.Step, held []spending.Held) []spending.Held {
	for _, step := range steps {
		action := "buy " + string(step.Class)
		if step.Release != "" {
			action = "release " + string(step.Class)
		}
		s.step(StepStatus{now, step.Pool, string(step.Zone), action, string(step.Release), string(step.Reason), 0, 0})
		s.pool(step.Pool).Spending = action
	}
	var fresh []spending.Held
	for _, h := range held {
		row := s.pool(h.Pool)
		row.Wait, row.Refused = h.Figures.Wait, h.Figures.Refused
		if row.Spending != string(h.Reason) {
			row.Spending = string(h.Reason)
			fresh = append(fresh, h)
		}
	}
	return fresh
}

// Status returns what was last decided.
func (p *Planning) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{Pools: slices.Clone(p.status.Pools), Steps: slices.Clone(p.status.Steps)}
}
