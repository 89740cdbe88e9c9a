package planning

import (
	"slices"
	"strings"
	"time"

	"zinniapin/placement"
	"zinniapin/spending"
)

// recentSteps bounds the steps that a status holds.
const recentSteps = 32

// PoolStatus is the last decision for a pool and the demand that it is based on.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Roles and Spending are the last planned action, or the reason why nothing is
	// changed.
	Roles       string  `json:"roles"`
	Spending    string  `json:"spending"`
	Prefill     float64 `json:"prefill_engines"` // demand, in engines
	Decode      float64 `json:"decode_engines"`
	Utilisation float64 `json:"utilisation"`
	Wait        float64 `json:"wait_seconds"`
	Refused     float64 `json:"refused_share"`
}

// StepStatus is a step that was planned recently.
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

// Status holds the last decisions for the pools that the controller plans for.
type Status struct {
	Pools []PoolStatus `json:"pools"`
	Steps []StepStatus `json:"steps"` // newest first
}

// newStatus returns an empty status.
func newStatus() Status {
	return Status{Pools: []PoolStatus{}, Steps: []StepStatus{}}
}

// poolRow returns the row of a pool and adds it if there is none.
func (s *Status) poolRow(name string) *PoolStatus {
	at, found := slices.BinarySearchFunc(s.Pools, name, func(p PoolStatus, name string) int {
		return strings.Compare(p.Pool, name)
	})
	if !found {
		s.Pools = slices.Insert(s.Pools, at, PoolStatus{Pool: name})
	}
	return &s.Pools[at]
}

// addStep adds a step and drops the oldest beyond recentSteps.
func (s *Status) addStep(step StepStatus) {
	s.Steps = slices.Insert(s.Steps, 0, step)
	s.Steps = s.Steps[:min(len(s.Steps), recentSteps)]
}

// recordRoles records a plan of roles. It returns the decisions not to act whose reason
// differs from the last one for their pool, which are to be logged.
func (s *Status) recordRoles(now time.Time, steps []placement.Step, held []placement.Held) []placement.Held {
	for _, step := range steps {
		action := string(step.Kind) + " " + string(step.Role) + step.Model
		s.addStep(StepStatus{now, step.Pool, string(step.Zone), action, string(step.Target), step.Reason, step.Gain, step.Loss})
		s.poolRow(step.Pool).Roles = action
	}
	var changed []placement.Held
	for _, h := range held {
		row := s.poolRow(h.Pool)
		row.Prefill, row.Decode, row.Utilisation = h.Prefill, h.Decode, h.Utilisation
		if row.Roles != string(h.Reason) {
			row.Roles = string(h.Reason)
			changed = append(changed, h)
		}
	}
	return changed
}

// recordPurchases records a plan of purchases. It returns the decisions not to act whose
// reason differs from the last one for their pool, which are to be logged.
func (s *Status) recordPurchases(now time.Time, steps []spending.Step, held []spending.Held) []spending.Held {
	for _, step := range steps {
		action := "buy " + string(step.Class)
		if step.Release != "" {
			action = "release " + string(step.Class)
		}
		s.addStep(StepStatus{now, step.Pool, string(step.Zone), action, string(step.Release), string(step.Reason), 0, 0})
		s.poolRow(step.Pool).Spending = action
	}
	var changed []spending.Held
	for _, h := range held {
		row := s.poolRow(h.Pool)
		row.Wait, row.Refused = h.Figures.Wait, h.Figures.Refused
		if row.Spending != string(h.Reason) {
			row.Spending = string(h.Reason)
			changed = append(changed, h)
		}
	}
	return changed
}

// Status returns the last decisions.
func (p *Planning) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{Pools: slices.Clone(p.status.Pools), Steps: slices.Clone(p.status.Steps)}
}
