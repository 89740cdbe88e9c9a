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

// drainCommand keeps new work off a target by an accepted change of the
// fleet, so that it outlives every host.
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
	return c.app.run(func(ctx context.Context, b *Backend) error {
		if err := c.checkKnown(ctx, b); err != nil {
			return err
		}
		done, err := c.app.change(ctx, b, baseOption{}, c.waitOptions, mergesAlways, c.drain)
		if err != nil {
			return err
		}
		if c.Wait && !c.Lift {
			if err := waitIdle(ctx, b, c.Args.Target, c.WaitTimeout); err != nil {
				return err
			}
		}
		return c.app.printAccepted(done)
	})
}

// checkKnown refuses to drain a target that the controllers do not know. It
// lets all pass while no controller answers, and lifts in any case.
func (c *drainCommand) checkKnown(ctx context.Context, b *Backend) error {
	if c.Lift {
		return nil
	}
	known, err := read[[]controller.TargetStatus](ctx, b, controller.TopicTargets, "")
	if err != nil {
		return nil
	}
	if !slices.ContainsFunc(known, func(t controller.TargetStatus) bool { return t.ID == c.Args.Target }) {
		return result.New(result.NoSuchObject, "no such target").At(c.Args.Target)
	}
	return nil
}

// drain makes the change; it leaves the drains of other targets as they are.
func (c *drainCommand) drain(s *contract.Snapshot) (configuration.Proposal, error) {
	fleet := s.Fleet
	fleet.Drained = drained(fleet.Drained, target.ID(c.Args.Target), c.Lift)
	if slices.Equal(fleet.Drained, s.Fleet.Drained) {
		return configuration.Proposal{}, result.New(result.BadUsage, "the target already is so").At(c.Args.Target)
	}
	p := configuration.Proposal{Fleet: &fleet, Summary: "drain " + c.Args.Target}
	if c.Lift {
		p.Summary = "lift the drain of " + c.Args.Target
	}
	return p, nil
}

// drained returns the drained targets with one added or taken out.
func drained(all []target.ID, id target.ID, lift bool) []target.ID {
	if !lift && slices.Contains(all, id) {
		return all
	}
	kept := slices.DeleteFunc(slices.Clone(all), func(x target.ID) bool { return x == id })
	if !lift {
		kept = append(kept, id)
	}
	return kept
}

// idleReports is the number of reports in a row that must show nothing
// running, since reports lag.
const idleReports = 3

// waitIdle waits until the target reports that nothing runs on it.
func waitIdle(ctx context.Context, b *Backend, id string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	idle := 0
	for idle < idleReports {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return result.New(result.NotInForce, "the target still runs requests").At(id)
		}
		targets, err := read[[]controller.TargetStatus](ctx, b, controller.TopicTargets, "")
		if err != nil {
			continue
		}
		at := slices.IndexFunc(targets, func(t controller.TargetStatus) bool { return t.ID == id })
		if at < 0 {
			return result.New(result.NoSuchObject, "no such target").At(id)
		}
		if targets[at].Running+targets[at].Waiting > 0 {
			idle = 0
			continue
		}
		idle++
	}
	return nil
}
