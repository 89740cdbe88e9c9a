package operator

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"zinniapin/authority"
	"zinniapin/daemon"
	"zinniapin/result"
	"zinniapin/store"
	"zinniapin/target"
)

// releaseCommand releases an open order whose author, the process that gave it, has stopped,
// so that another process can open the next order for the unit, such as an engine.
type releaseCommand struct {
	app  *app
	Yes  bool `long:"yes" description:"the author of the open order is gone for good"`
	Args struct {
		Target string `positional-arg-name:"TARGET" required:"yes" description:"an engine, or a unit of status orders"`
	} `positional-args:"yes"`
}

// unitName returns the name of the unit for the argument of the command. A name without
// a slash is that of an engine.
func unitName(name string) string {
	if strings.Contains(name, "/") {
		return name
	}
	return authority.EngineUnit(target.ID(name))
}

// Execute implements flags.Commander.
func (c *releaseCommand) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		open, err := findOpenOrder(ctx, b, unitName(c.Args.Target))
		if err != nil {
			return err
		}
		if !c.Yes {
			return c.confirmationError(open)
		}
		return c.release(ctx, b, open)
	})
}

// findOpenOrder returns the open order of a unit, or a result.NoOpenOrder.
func findOpenOrder(ctx context.Context, b *Backend, unit string) (orderRow, error) {
	units, err := authority.Units(ctx, b.Store)
	if err != nil {
		return orderRow{}, store.Describe(err)
	}
	rows := orderRows(units)
	i := slices.IndexFunc(rows, func(r orderRow) bool { return r.Unit == unit && r.State != orderReleased })
	if i < 0 {
		return orderRow{}, result.New(result.NoOpenOrder, "no order is open; the command \"status orders\" lists the open ones").At(unit)
	}
	return rows[i], nil
}

// confirmationError returns the error of a command without --yes. It names the order that
// would be released.
func (c *releaseCommand) confirmationError(open orderRow) error {
	return result.New(result.BadUsage, "order %s, given by %s and open for %s, would be released; make sure that this process has ended, and give --yes",
		open.Order, open.Author, c.app.openDuration(open)).At(open.Unit)
}

// release releases the order in the store, logs that and prints the order.
func (c *releaseCommand) release(ctx context.Context, b *Backend, open orderRow) error {
	host, _ := os.Hostname() // used in log lines only; may be empty
	log := daemon.NewLogger(c.app.errOut, "info", "zinniactl", host)
	executor := authority.NewExecutor(b.Store, b.Author, nil, authority.Options{Log: &log})
	defer executor.Close()
	call, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	if err := executor.Release(call, open.Unit, b.Author); err != nil {
		return err
	}
	open.State = orderReleased
	open.ReleasedBy = b.Author
	if c.app.options.JSON {
		return c.app.printJSON(open)
	}
	_, err := fmt.Fprintf(c.app.out, "released order %s of %s at %s in the name of %s\n", open.Order, open.Author, open.Unit, b.Author)
	return trace.Wrap(err)
}
