package operator

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/controller"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/timeline"
)

// explainCommand shows the decisions about a request, either as the gateways remember
// them or from log files.
type explainCommand struct {
	app  *app
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes" description:"the header Zinnia-Request-Id of the answer, or the caller's own id at a node"`
		Files   []string `positional-arg-name:"LOG" description:"log files of any hosts; - reads standard input"`
	} `positional-args:"yes"`
}

// decision is one decision of a gateway about a request.
type decision struct {
	At           time.Time `json:"at"`
	Gateway      string    `json:"gateway"`
	Request      string    `json:"request"`
	Organisation string    `json:"organisation,omitempty"`
	Decision     string    `json:"decision"`
	Target       string    `json:"target,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	Candidates   int       `json:"candidates,omitempty"`
	ExpectedMS   int64     `json:"expected_ms,omitempty"`
	Execution    string    `json:"execution,omitempty"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if len(c.Args.Files) > 0 {
		return c.explainFromLogs()
	}
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		found, err := explain(ctx, b, c.Args.Request)
		if err != nil {
			return err
		}
		t := &table{header: []string{"time", "gateway", "decision", "target", "reason", "candidates", "expected"}}
		for _, d := range found {
			t.add(d.At.UTC().Format(time.StampMilli), d.Gateway, d.Decision, d.Target, d.Reason, d.Candidates, formatAge(d.ExpectedMS))
		}
		return c.app.print(found, t)
	})
}

// explain asks every gateway for its decisions about a request, since a resumed request
// has run at more than one gateway. It returns them in order of time.
func explain(ctx context.Context, b *Backend, request string) ([]decision, error) {
	members, err := readStatus[[]controller.MemberStatus](ctx, b, controller.TopicMembers, "")
	if err != nil {
		return nil, err
	}
	var found []decision
	for _, m := range members {
		if m.Role != string(machine.Gateway) {
			continue
		}
		id := machine.Process{Host: machine.HostID(m.Host), Role: machine.Gateway, Incarnation: m.Incarnation}.ID()
		decisions, err := readStatus[[]decision](ctx, b, controller.TopicExplain, id+" "+request)
		if err != nil {
			continue // the gateway may have just left; the others may still know the request
		}
		for i := range decisions {
			decisions[i].Gateway = m.Host
		}
		found = append(found, decisions...)
	}
	if len(found) == 0 {
		return nil, result.New(result.NoSuchObject, "no live gateway remembers the request").At(request)
	}
	slices.SortFunc(found, func(a, b decision) int { return a.At.Compare(b.At) })
	return found, nil
}

// explainFromLogs prints the events of a request from log files, in order of time. It
// makes no connection, so the processes that wrote the files need not run.
func (c *explainCommand) explainFromLogs() error {
	collector := timeline.NewCollector(c.Args.Request)
	for _, file := range c.Args.Files {
		if err := readLog(collector, file); err != nil {
			return err
		}
	}
	found := collector.Entries()
	if len(found) == 0 {
		return result.New(result.NoSuchObject, "none of %d lines names the request; %d of them could not be read", collector.Lines, collector.Unreadable).At(c.Args.Request)
	}
	t := &table{header: []string{"time", "host", "event", "what is known"}}
	for _, e := range found {
		name := e.Event
		if !e.Own { // an event of the host, not of the request
			name = "(" + name + ")"
		}
		t.add(e.At.UTC().Format(time.StampMilli), e.Host, name, e.Text())
	}
	return c.app.print(found, t)
}

// readLog adds the lines of a log file to a collector; "-" is standard input.
func readLog(into *timeline.Collector, path string) error {
	if path == "-" {
		return trace.Wrap(into.Read(os.Stdin))
	}
	file, err := os.Open(path)
	if err != nil {
		return result.Wrap(err, result.NoSuchFile, "cannot read the file").At(path)
	}
	defer file.Close() //nolint:errcheck // it was only read
	if err := into.Read(file); err != nil {
		return result.Wrap(err, result.NoSuchFile, "cannot read the file").At(path)
	}
	return nil
}
