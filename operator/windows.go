package operator

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapin/contract"
	"zinniapin/store"
	"zinniapin/usage"
)

// topicWindows is the status topic of usage windows. A window holds the usage of the
// organisations of one shard in a fixed period. After the period it is frozen, so that it
// takes no more usage, and then reported.
const topicWindows = "windows"

// maxShardReads is the number of shards that are read concurrently. It limits the load on
// the object API.
const maxShardReads = 4

// States of a shard's windows.
const (
	windowsReported = "reported" // every frozen window, if any, is reported
	windowsWaiting  = "waiting"  // frozen windows are not reported yet
)

// windowRow is a row of what the command "status windows" prints.
type windowRow struct {
	Shard         int       `json:"shard"`
	State         string    `json:"state"`
	OpenFrom      time.Time `json:"open_from"`       // oldest window not known to be frozen
	Unreported    time.Time `json:"unreported_from"` // oldest window not known to be reported
	Waiting       int       `json:"waiting"`         // frozen windows not known to be reported
	OverdueMS     int64     `json:"overdue_ms"`      // since the end of the window at OpenFrom; 0 before it
	Organisations []string  `json:"organisations"`   // organisations of the shard that have a contract
}

// windows shows the progress of every shard that has stored usage.
func (c *statusCommand) windows(ctx context.Context, b *Backend) error {
	s, err := loadSnapshot(ctx, b)
	if err != nil {
		return err
	}
	rows, err := windowRows(ctx, b.Store, s, c.app.now())
	if err != nil {
		return store.Describe(err)
	}
	t := &table{header: []string{"shard", "state", "open from", "unreported from", "waiting", "open since its end", "organisations"}}
	for _, r := range rows {
		t.add(r.Shard, r.State, r.OpenFrom.Format(time.RFC3339), r.Unreported.Format(time.RFC3339), r.Waiting, formatAge(r.OverdueMS), summarise(r.Organisations))
	}
	return c.app.print(rows, t)
}

// windowRows reads the progress of every shard and returns the rows of those that have
// stored usage.
func windowRows(ctx context.Context, objects store.Store, s *contract.Snapshot, now time.Time) ([]windowRow, error) {
	found := make([]*usage.Progress, usage.DefaultShards)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxShardReads)
	for shard := range found {
		group.Go(func() error {
			p, used, err := usage.ReadProgress(ctx, objects, shard)
			if used {
				found[shard] = &p
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	rows := []windowRow{}
	for _, p := range found {
		if p != nil {
			rows = append(rows, newWindowRow(*p, s, now))
		}
	}
	return rows, nil
}

// newWindowRow returns the row of a shard.
func newWindowRow(p usage.Progress, s *contract.Snapshot, now time.Time) windowRow {
	row := windowRow{Shard: p.Shard, State: windowsReported, OpenFrom: p.Next, Unreported: p.Unreported, Organisations: []string{}}
	row.Waiting = max(0, int(p.Next.Sub(p.Unreported)/s.Fleet.UsageWindow()))
	row.OverdueMS = max(0, now.Sub(p.Next.Add(s.Fleet.UsageWindow())).Milliseconds())
	if row.Waiting > 0 {
		row.State = windowsWaiting
	}
	for organisation := range s.Contracts {
		if usage.ShardOf(organisation, usage.DefaultShards) == p.Shard {
			row.Organisations = append(row.Organisations, organisation)
		}
	}
	slices.Sort(row.Organisations)
	return row
}
