package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/contract"
	"zinniapin/controller"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/target"
)

// waitPollInterval is the time between the status requests of a command that waits.
const waitPollInterval = 250 * time.Millisecond

// readStatus requests the status of a topic from a controller and decodes the reply.
func readStatus[T any](ctx context.Context, b *Backend, topic, argument string) (T, error) {
	var document T
	call, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	raw, err := b.Status.Status(call, topic, argument)
	if err != nil {
		return document, err
	}
	return document, trace.Wrap(json.Unmarshal(raw, &document))
}

// waitInForce waits until every live process has the revision, or a newer one, in force.
// After the timeout it returns a result.NotInForce that names the processes with an older
// one.
func waitInForce(ctx context.Context, b *Backend, revision contract.Revision, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	behind := []string{"no controller has answered"}
	for {
		members, err := readStatus[[]controller.MemberStatus](ctx, b, controller.TopicMembers, "")
		if err == nil {
			behind = processesBehind(members, revision)
			if len(behind) == 0 {
				return nil
			}
		}
		select {
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			return result.New(result.NotInForce, "revision %d is accepted but not in force everywhere", revision).At(strings.Join(behind, ", "))
		}
	}
}

// processesBehind describes the processes that have an older revision in force. Leaving
// processes take no new work and are left out. Without any members it returns one entry,
// so that an empty fleet does not count as up to date.
func processesBehind(members []controller.MemberStatus, revision contract.Revision) []string {
	var behind []string
	for _, m := range members {
		if m.Leaving || contract.Revision(m.Revision) >= revision {
			continue
		}
		behind = append(behind, fmt.Sprintf("%s/%s at %d", m.Host, m.Role, m.Revision))
	}
	if len(members) == 0 {
		behind = append(behind, "no members")
	}
	return behind
}

// statusCommand shows one status topic.
type statusCommand struct {
	app  *app
	Args struct {
		Topic string `positional-arg-name:"TOPIC" required:"yes" description:"members, targets, config, grants, links, orders, windows or plans"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	show, ok := c.topics()[c.Args.Topic]
	if !ok {
		return result.New(result.BadUsage, "want members, targets, config, grants, links, orders, windows or plans").At(c.Args.Topic)
	}
	return c.app.withBackend(show)
}

// topics maps each topic to the function that shows it.
func (c *statusCommand) topics() map[string]func(context.Context, *Backend) error {
	return map[string]func(context.Context, *Backend) error{
		controller.TopicMembers: c.members,
		controller.TopicTargets: c.targets,
		controller.TopicConfig:  c.config,
		controller.TopicGrants:  c.grants,
		controller.TopicLinks:   c.links,
		topicOrders:             c.orders,
		topicWindows:            c.windows,
		controller.TopicPlans:   c.plans,
	}
}

// members shows the controllers and gateways.
func (c *statusCommand) members(ctx context.Context, b *Backend) error {
	members, err := readStatus[[]controller.MemberStatus](ctx, b, controller.TopicMembers, "")
	if err != nil {
		return err
	}
	t := &table{header: []string{"host", "role", "zone", "address", "revision", "leaving", "store"}}
	for _, m := range members {
		t.add(m.Host, m.Role, m.Zone, m.Address, m.Revision, m.Leaving, storeState(m))
	}
	return c.app.print(members, t)
}

// storeState tells whether a process reaches the store. It is "-" for gateways, which do
// not report it, since they use the store for claims only.
func storeState(m controller.MemberStatus) string {
	if m.Role != string(machine.Controller) {
		return "-"
	}
	return formatReachable(m.StoreReachable)
}

// formatReachable formats whether the store is reachable.
func formatReachable(yes bool) string {
	if yes {
		return "reached"
	}
	return "not reached"
}

// targetRow is a row of what the command "status targets" prints.
type targetRow struct {
	controller.TargetStatus
	// Drained is set if the accepted configuration lists the target as drained. It
	// is also unset if the object API cannot be read.
	Drained bool `json:"drained"`
}

// targets shows the targets that a controller knows.
func (c *statusCommand) targets(ctx context.Context, b *Backend) error {
	targets, err := readStatus[[]controller.TargetStatus](ctx, b, controller.TopicTargets, "")
	if err != nil {
		return err
	}
	var drained []target.ID
	if s, err := loadSnapshot(ctx, b); err == nil {
		drained = s.Fleet.Drained
	}
	rows := make([]targetRow, 0, len(targets))
	t := &table{header: []string{"target", "kind", "class", "pool", "zone", "state", "role", "running", "waiting", "report age"}}
	for _, x := range targets {
		row := targetRow{x, slices.Contains(drained, target.ID(x.ID))}
		rows = append(rows, row)
		t.add(x.ID, x.Kind, x.Class, x.Pool, x.Zone, targetState(row), x.Role, x.Running, x.Waiting, formatAge(x.ReportAgeMS))
	}
	return c.app.print(rows, t)
}

// targetState formats the state of a target and the reasons why it gets no new work.
func targetState(t targetRow) string {
	state := t.State
	if t.Drained {
		state += ", drained"
	}
	if t.Cordoned {
		state += ", cordoned"
	}
	if t.Changing {
		state += ", changing"
	}
	return state
}

// formatAge formats an age in milliseconds. A negative one stands for something that has
// not happened yet.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// config shows the configuration in force at one controller.
func (c *statusCommand) config(ctx context.Context, b *Backend) error {
	s, err := readStatus[controller.ConfigStatus](ctx, b, controller.TopicConfig, "")
	if err != nil {
		return err
	}
	t := &table{header: []string{"revision", "confirmed", "confirmed ago", "organisations", "store"}}
	t.add(s.Revision, s.ConfirmedRevision, formatAge(s.ConfirmedAgeMS), s.Organisations, formatReachable(s.StoreReachable))
	return c.app.print(s, t)
}

// grantRow is a row of what the command "status grants" prints: the sum of the grants that
// the gateways have for an organisation.
type grantRow struct {
	Organisation      string  `json:"organisation"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	Concurrency       int     `json:"concurrency"`
	TokensPerMinute   float64 `json:"tokens_per_minute"`
}

// grants shows the grants that one controller has given.
func (c *statusCommand) grants(ctx context.Context, b *Backend) error {
	grants, err := readStatus[[]controller.GrantStatus](ctx, b, controller.TopicGrants, "")
	if err != nil {
		return err
	}
	rows := make([]grantRow, 0, len(grants))
	t := &table{header: []string{"organisation", "requests/s", "concurrency", "tokens/min"}}
	for _, g := range grants {
		rows = append(rows, grantRow{g.Organisation, g.Held.RequestsPerSecond, g.Held.Concurrency, g.Held.TokensPerMinute})
		t.add(g.Organisation, g.Held.RequestsPerSecond, g.Held.Concurrency, g.Held.TokensPerMinute)
	}
	return c.app.print(rows, t)
}

// links shows the links of one controller.
func (c *statusCommand) links(ctx context.Context, b *Backend) error {
	s, err := readStatus[controller.LinkStatus](ctx, b, controller.TopicLinks, "")
	if err != nil {
		return err
	}
	t := &table{header: []string{"gateways", "peers", "temporary", "peer hosts"}}
	t.add(s.Gateways, s.Peers, s.Temporary, strings.Join(s.PeerHosts, " "))
	return c.app.print(s, t)
}
