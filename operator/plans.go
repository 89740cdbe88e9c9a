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

// plannedPool is the status of a pool with the controller that plans it.
type plannedPool struct {
	Controller string `json:"controller"`
	planning.PoolStatus
}

// plannedStep is a planned step with the controller that planned it.
type plannedStep struct {
	Controller string `json:"controller"`
	planning.StepStatus
}

// mergedPlans are the plans of all controllers that answered.
type mergedPlans struct {
	Pools []plannedPool `json:"pools"`
	Steps []plannedStep `json:"steps"` // newest first
	// Unanswered are the controllers that did not answer. The pools that they plan
	// are missing.
	Unanswered []string `json:"silent,omitempty"`
}

// plans shows the plans of all controllers.
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

// mergePlans merges the replies of all controllers. A controller that plans nothing
// answers with result.NoSuchTopic and is not included. It is an error if none has plans.
func mergePlans(replies []Reply) (*mergedPlans, error) {
	merged := &mergedPlans{Pools: []plannedPool{}, Steps: []plannedStep{}}
	served := false
	var lastErr error
	for _, r := range replies {
		if r.Err != nil {
			lastErr = r.Err
			if result.CodeOf(r.Err) != result.NoSuchTopic {
				merged.Unanswered = append(merged.Unanswered, r.Controller)
			}
			continue
		}
		served = true
		if err := merged.addReply(r); err != nil {
			return nil, err
		}
	}
	if !served && len(merged.Unanswered) < len(replies) {
		return nil, result.New(result.TopicNotServed, "no controller that answers serves plans").At(controller.TopicPlans)
	}
	if !served {
		return nil, result.Wrap(lastErr, result.NoController, "no controller answers")
	}
	merged.sort()
	return merged, nil
}

// addReply adds the plans of one controller.
func (p *mergedPlans) addReply(r Reply) error {
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

// sort orders pools by name and steps by time, newest first.
func (p *mergedPlans) sort() {
	slices.SortStableFunc(p.Pools, func(a, b plannedPool) int { return strings.Compare(a.Pool, b.Pool) })
	slices.SortStableFunc(p.Steps, func(a, b plannedStep) int { return b.At.Compare(a.At) })
}

// printPlans prints the plans as tables, followed by the controllers that did not answer.
func (c *statusCommand) printPlans(p *mergedPlans) error {
	t := &table{header: []string{"pool", "controller", "roles", "spending", "prefill", "decode", "utilisation", "wait", "refused"}}
	for _, x := range p.Pools {
		t.add(x.Pool, x.Controller, x.Roles, x.Spending, formatNumber(x.Prefill), formatNumber(x.Decode), formatNumber(x.Utilisation), formatNumber(x.Wait)+"s", formatNumber(x.Refused))
	}
	if err := c.app.print(nil, t); err != nil {
		return err
	}
	steps := &table{header: []string{"time", "pool", "zone", "action", "target", "reason", "gain", "loss"}}
	for _, x := range p.Steps {
		steps.add(x.At.UTC().Format(time.RFC3339), x.Pool, x.Zone, x.Action, x.Target, x.Reason, formatNumber(x.Gain), formatNumber(x.Loss))
	}
	if err := c.app.print(nil, steps); err != nil {
		return err
	}
	if len(p.Unanswered) == 0 {
		return nil
	}
	_, err := fmt.Fprintln(c.app.out, "no answer from", strings.Join(p.Unanswered, ", "))
	return trace.Wrap(err)
}

// formatNumber formats a number for people.
func formatNumber(x float64) string {
	return fmt.Sprintf("%.2f", x)
}
