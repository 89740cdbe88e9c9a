package operator

import (
	"context"
	"slices"
	"time"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/controller"
	"zinniapin/result"
	"zinniapin/target"
)

// drainCommand stops new work from being sent to a target, or lifts that. The drain is
// part of the accepted configuration, so it survives the restart of any host.
type drainCommand struct {
	app  *app
	Lift bool `long:"lift" description:"let the target take work again"`
	waitOptions
	Args struct {
		Target string `positional-arg-name:"TARGET" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		if err := c.checkTargetExists(ctx, b); err != nil {
			return err
		}
		outcome, err := c.app.change(ctx, b, baseOption{}, c.waitOptions, noConflict, c.drain)
		if err != nil {
			return err
		}
		if c.Wait && !c.Lift {
			if err := waitIdle(ctx, b, c.Args.Target, c.WaitTimeout); err != nil {
				return err
			}
		}
		return c.app.printAccepted(outcome)
	})
}

// checkTargetExists refuses to drain a target that the controllers do not know. It
// checks nothing when a drain is lifted or when no controller answers.
func (c *drainCommand) checkTargetExists(ctx context.Context, b *Backend) error {
	if c.Lift {
		return nil
	}
	targets, err := readStatus[[]controller.TargetStatus](ctx, b, controller.TopicTargets, "")
	if err != nil {
		return nil
	}
	if !slices.ContainsFunc(targets, func(t controller.TargetStatus) bool { return t.ID == c.Args.Target }) {
		return result.New(result.NoSuchObject, "no such target").At(c.Args.Target)
	}
	return nil
}

// drain returns the proposal that drains the target or lifts its drain. Drains of other
// targets stay.
func (c *drainCommand) drain(s *contract.Snapshot) (configuration.Proposal, error) {
	fleet := s.Fleet
	fleet.Drained = updateDrained(fleet.Drained, target.ID(c.Args.Target), c.Lift)
	if slices.Equal(fleet.Drained, s.Fleet.Drained) {
		return configuration.Proposal{}, result.New(result.BadUsage, "the target already has that state").At(c.Args.Target)
	}
	p := configuration.Proposal{Fleet: &fleet, Summary: "drain " + c.Args.Target}
	if c.Lift {
		p.Summary = "lift the drain of " + c.Args.Target
	}
	return p, nil
}

// updateDrained returns the drained targets with id added, or removed if lift is set.
func updateDrained(all []target.ID, id target.ID, lift bool) []target.ID {
	if !lift && slices.Contains(all, id) {
		return all
	}
	kept := slices.DeleteFunc(slices.Clone(all), func(x target.ID) bool { return x == id })
	if !lift {
		kept = append(kept, id)
	}
	return kept
}

// minIdleReports is the number of consecutive status replies that must show no request
// at a target before it counts as idle: the reports of targets lag.
const minIdleReports = 3

// waitIdle waits until the target has neither running nor waiting requests. It asks once
// a second.
func waitIdle(ctx context.Context, b *Backend, id string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	idle := 0
	for idle < minIdleReports {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return result.New(result.NotInForce, "the target still runs requests").At(id)
		}
		targets, err := readStatus[[]controller.TargetStatus](ctx, b, controller.TopicTargets, "")
		if err != nil {
			continue
		}
		i := slices.IndexFunc(targets, func(t controller.TargetStatus) bool { return t.ID == id })
		if i < 0 {
			return result.New(result.NoSuchObject, "no such target").At(id)
		}
		if targets[i].Running+targets[i].Waiting > 0 {
			idle = 0
			continue
		}
		idle++
	}
	return nil
}
