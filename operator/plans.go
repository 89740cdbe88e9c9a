package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/controller"
	"zinniapin/planning"
	"zinniapin/result"
)

// plannedPool is a pool as its planner sees it.
type plannedPool struct {
	Controller string `json:"controller"`
	planning.PoolStatus
}

// plannedStep is a step with the controller that planned it.
type plannedStep struct {
	Controller string `json:"controller"`
	planning.StepStatus
}

// plans are what all controllers decided.
type plans struct {
	Pools []plannedPool `json:"pools"`
	Steps []plannedStep `json:"steps"` // newest first
	// Silent are the controllers that did not answer; pools that they plan
	// are missing.
	Silent []string `json:"silent,omitempty"`
}

// plans shows the plans.
func (c *statusCommand) plans(ctx context.Context, b *Backend) error {
	call, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	merged, err := mergePlans(b.Status.StatusOfAll(call, controller.TopicPlans, ""))
	if err != nil {
		return err
	}
	if c.app.options.JSON {
		return c.app.printJSON(merged)
	}
	return c.printPlans(merged)
}

// mergePlans merges the replies of all controllers.
func mergePlans(replies []Reply) (*plans, error) {
	merged := &plans{Pools: []plannedPool{}, Steps: []plannedStep{}}
	served := false
	var lastErr error
	for _, r := range replies {
		if r.Err != nil {
			lastErr = r.Err
			if result.CodeOf(r.Err) != result.NoSuchTopic {
				merged.Silent = append(merged.Silent, r.Controller)
			}
			continue
		}
		served = true
		if err := merged.take(r); err != nil {
			return nil, err
		}
	}
	if !served && len(merged.Silent) < len(replies) {
		return nil, result.New(result.TopicNotServed, "the controllers that answer plan nothing").At(controller.TopicPlans)
	}
	if !served {
		return nil, result.Wrap(lastErr, result.NoController, "no controller answers")
	}
	merged.sort()
	return merged, nil
}

// take takes in one controller's plans.
func (p *plans) take(r Reply) error {
	var s planning.Status
	if err := json.Unmarshal(r.JSON, &s); err != nil {
		return trace.Wrap(err)
	}
	for _, pool := range s.Pools {
		p.Pools = append(p.Pools, plannedPool{r.Controller, pool})
	}
	for _, step := range s.Steps {
		p.Steps = append(p.Steps, plannedStep{r.Controller, step})
	}
	return nil
}

// sort puts pools in order of name and steps newest first.
func (p *plans) sort() {
	slices.SortStableFunc(p.Pools, func(a, b plannedPool) int { return strings.Compare(a.Pool, b.Pool) })
	slices.SortStableFunc(p.Steps, func(a, b plannedStep) int { return b.At.Compare(a.At) })
}

// printPlans prints the plans for people.
func (c *statusCommand) printPlans(p *plans) error {
	t := &table{header: []string{"pool", "controller", "roles", "spending", "prefill", "decode", "utilisation", "wait", "refused"}}
	for _, x := range p.Pools {
		t.add(x.Pool, x.Controller, x.Roles, x.Spending, number(x.Prefill), number(x.Decode), number(x.Utilisation), number(x.Wait)+"s", number(x.Refused))
	}
	if err := c.app.print(nil, t); err != nil {
		return err
	}
	steps := &table{header: []string{"time", "pool", "zone", "action", "target", "reason", "gain", "loss"}}
	for _, x := range p.Steps {
		steps.add(x.At.UTC().Format(time.RFC3339), x.Pool, x.Zone, x.Action, x.Target, x.Reason, number(x.Gain), number(x.Loss))
	}
	if err := c.app.print(nil, steps); err != nil {
		return err
	}
	if len(p.Silent) == 0 {
		return nil
	}
	_, err := fmt.Fprintln(c.app.out, "no answer from", strings.Join(p.Silent, ", "))
	return trace.Wrap(err)
}

// number prints a figure for people.
func number(x float64) string {
	return fmt.Sprintf("%.2f", x)
}
