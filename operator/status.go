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

// waitPoll is how often a waiting command asks for the state of the hosts.
const waitPoll = 250 * time.Millisecond

// read asks a controller for a status document and decodes it.
func read[T any](ctx context.Context, b *Backend, topic, argument string) (T, error) {
	var document T
	call, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	raw, err := b.Status.Status(call, topic, argument)
	if err != nil {
		return document, err
	}
	return document, trace.Wrap(json.Unmarshal(raw, &document))
}

// waitInForce waits until every live process has the revision in force.
func waitInForce(ctx context.Context, b *Backend, revision contract.Revision, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	behind := []string{"no controller has answered"}
	for {
		members, err := read[[]controller.MemberStatus](ctx, b, controller.TopicMembers, "")
		if err == nil {
			behind = behindOf(members, revision)
			if len(behind) == 0 {
				return nil
			}
		}
		select {
		case <-time.After(waitPoll):
		case <-ctx.Done():
			return result.New(result.NotInForce, "revision %d is accepted but not in force everywhere", revision).At(strings.Join(behind, ", "))
		}
	}
}

// behindOf names the processes that have an older revision in force. Leaving
// processes take no new work and are passed over.
func behindOf(members []controller.MemberStatus, revision contract.Revision) []string {
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

// statusCommand shows a topic.
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
	return c.app.run(show)
}

// topics returns what shows each topic.
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

// members shows the processes.
func (c *statusCommand) members(ctx context.Context, b *Backend) error {
	members, err := read[[]controller.MemberStatus](ctx, b, controller.TopicMembers, "")
	if err != nil {
		return err
	}
	t := &table{header: []string{"host", "role", "zone", "address", "revision", "leaving", "store"}}
	for _, m := range members {
		t.add(m.Host, m.Role, m.Zone, m.Address, m.Revision, m.Leaving, storeOf(m))
	}
	return c.app.print(members, t)
}

// storeOf names whether a process reaches the store. Gateways say nothing of
// it: they call it for claims only.
func storeOf(m controller.MemberStatus) string {
	if m.Role != string(machine.Controller) {
		return "-"
	}
	return reachable(m.StoreReachable)
}

// reachable names whether the store is reached.
func reachable(yes bool) string {
	if yes {
		return "reached"
	}
	return "not reached"
}

// targetRow is a row of status targets.
type targetRow struct {
	controller.TargetStatus
	// Drained says that the accepted configuration keeps new work off the
	// target; false also when the object API cannot be read.
	Drained bool `json:"drained"`
}

// targets shows the targets.
func (c *statusCommand) targets(ctx context.Context, b *Backend) error {
	seen, err := read[[]controller.TargetStatus](ctx, b, controller.TopicTargets, "")
	if err != nil {
		return err
	}
	var drained []target.ID
	if s, err := snapshot(ctx, b); err == nil {
		drained = s.Fleet.Drained
	}
	rows := make([]targetRow, 0, len(seen))
	t := &table{header: []string{"target", "kind", "class", "pool", "zone", "state", "role", "running", "waiting", "report age"}}
	for _, x := range seen {
		row := targetRow{x, slices.Contains(drained, target.ID(x.ID))}
		rows = append(rows, row)
		t.add(x.ID, x.Kind, x.Class, x.Pool, x.Zone, stateOf(row), x.Role, x.Running, x.Waiting, age(x.ReportAgeMS))
	}
	return c.app.print(rows, t)
}

// stateOf names the state of a target with what keeps work off it.
func stateOf(t targetRow) string {
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

// age prints an age in milliseconds; -1 is none.
func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// config shows the configuration at the controller that answered.
func (c *statusCommand) config(ctx context.Context, b *Backend) error {
	s, err := read[controller.ConfigStatus](ctx, b, controller.TopicConfig, "")
	if err != nil {
		return err
	}
	t := &table{header: []string{"revision", "confirmed", "confirmed ago", "organisations", "store"}}
	t.add(s.Revision, s.ConfirmedRevision, age(s.ConfirmedAgeMS), s.Organisations, reachable(s.StoreReachable))
	return c.app.print(s, t)
}

// grantRow is a row of status grants: what gateways hold together.
type grantRow struct {
	Organisation      string  `json:"organisation"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	Concurrency       int     `json:"concurrency"`
	TokensPerMinute   float64 `json:"tokens_per_minute"`
}

// grants shows the grants that the controller that answered handed out.
func (c *statusCommand) grants(ctx context.Context, b *Backend) error {
	grants, err := read[[]controller.GrantStatus](ctx, b, controller.TopicGrants, "")
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

// links shows the links of the controller that answered.
func (c *statusCommand) links(ctx context.Context, b *Backend) error {
	s, err := read[controller.LinkStatus](ctx, b, controller.TopicLinks, "")
	if err != nil {
		return err
	}
	t := &table{header: []string{"gateways", "peers", "temporary", "peer hosts"}}
	t.add(s.Gateways, s.Peers, s.Temporary, strings.Join(s.PeerHosts, " "))
	return c.app.print(s, t)
}
