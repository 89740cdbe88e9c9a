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

// topicWindows shows how far usage is frozen and reported.
const topicWindows = "windows"

// windowReaders bounds the shards that are read at once, to leave the object
// API its budget.
const windowReaders = 4

// States of a shard's windows.
const (
	windowsReported = "reported" // every frozen window, if any, is reported
	windowsWaiting  = "waiting"  // frozen windows wait to be reported
)

// windowRow is a row of status windows.
type windowRow struct {
	Shard         int       `json:"shard"`
	State         string    `json:"state"`
	OpenFrom      time.Time `json:"open_from"`       // oldest window not known to be frozen
	Unreported    time.Time `json:"unreported_from"` // oldest window not known to be reported
	Waiting       int       `json:"waiting"`         // frozen windows not known to be reported
	OverdueMS     int64     `json:"overdue_ms"`      // since the end of the oldest open window; 0 before it
	Organisations []string  `json:"organisations"`   // with a contract now
}

// windows shows the usage windows of every shard that has seen use.
func (c *statusCommand) windows(ctx context.Context, b *Backend) error {
	s, err := snapshot(ctx, b)
	if err != nil {
		return err
	}
	rows, err := windowRows(ctx, b.Store, s, c.app.now())
	if err != nil {
		return store.Describe(err)
	}
	t := &table{header: []string{"shard", "state", "open from", "unreported from", "waiting", "open since its end", "organisations"}}
	for _, r := range rows {
		t.add(r.Shard, r.State, r.OpenFrom.Format(time.RFC3339), r.Unreported.Format(time.RFC3339), r.Waiting, age(r.OverdueMS), summarise(r.Organisations))
	}
	return c.app.print(rows, t)
}

// windowRows reads the progress of every shard.
func windowRows(ctx context.Context, objects store.Store, s *contract.Snapshot, now time.Time) ([]windowRow, error) {
	found := make([]*usage.Progress, usage.DefaultShards)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(windowReaders)
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
			rows = append(rows, windowRowOf(*p, s, now))
		}
	}
	return rows, nil
}

// windowRowOf returns the row of a shard.
func windowRowOf(p usage.Progress, s *contract.Snapshot, now time.Time) windowRow {
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
