package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/authority"
	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/usage"
)

// fakeReports is the platform's interface for usage reports. It counts the reports of each
// organisation, and does not answer those of the organisation in unanswered.
type fakeReports struct {
	mu         sync.Mutex
	received   map[string]int
	unanswered string
}

func (f *fakeReports) Report(_ context.Context, _ string, _ uint64, reports []provider.UsageReport) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := reports[0].Organisation
	if name == f.unanswered {
		return target.ErrIncomplete
	}
	f.received[name]++
	return nil
}

// count returns the number of windows reported for an organisation.
func (f *fakeReports) count(organisation string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received[organisation]
}

// reportingFleet is a fleet of one host whose controller reports usage.
func reportingFleet(t *testing.T, reports *fakeReports) *fleet {
	f := newFleet(t, 1)
	f.stops[0]()
	time.Sleep(100 * time.Millisecond)
	f.reports = reports
	f.startController(0, 5000)
	r := f.accept(0, 100)
	f.within(14*time.Second, "configured", func() bool { return f.inForce(r, 0) })
	return f
}

// use stores usage of the present window for organisations.
func (f *fleet) use(organisations ...string) {
	var counters []usage.Counter
	window := time.Now().Truncate(time.Minute).UTC()
	for _, name := range organisations {
		counters = append(counters, usage.Counter{Gateway: "host-0/gateway/1", Organisation: name, Window: window, Amount: usage.Amount{Requests: 1}})
	}
	if _, err := f.running[0].usageWindows().Push(f.ctx, counters); err != nil {
		f.t.Fatal(err)
	}
}

// TestOpenReportHoldsUpNoOtherShard checks that a controller goes on reporting its other shards
// while the order to report one shard stays open: another controller's whose fate is unknown, or
// its own that had no answer.
func TestOpenReportHoldsUpNoOtherShard(t *testing.T) {
	const open, other = "svetki", "sonar"
	for _, own := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			reports := &fakeReports{received: map[string]int{}}
			f := reportingFleet(t, reports)
			unit := usage.ReportUnit(usage.ShardOf(open, usage.DefaultShards))
			is.True(unit != usage.ReportUnit(usage.ShardOf(other, usage.DefaultShards)))
			if own {
				reports.unanswered = open
			} else {
				author := machine.Process{Host: "host-9", Role: machine.Controller, Incarnation: 9}.ID()
				record, err := json.Marshal(authority.Record{Epoch: 1, Open: authority.Order{ID: "order-9", Author: author, Epoch: 1}})
				is.NoErr(err)
				_, err = f.objects.Put(f.ctx, store.PurposeOrder, authority.Prefix+unit, record, store.Absent)
				is.NoErr(err)
			}
			for n := range 4 {
				f.use(open, other)
				f.within(3*time.Minute, fmt.Sprint("report ", n+1, " of the other shard"), func() bool { return reports.count(other) > n })
			}
			is.Equal(reports.count(open), 0)

			reports.mu.Lock()
			reports.unanswered = ""
			reports.mu.Unlock()
			f.hosts.mu.Lock()
			f.hosts.list = append(f.hosts.list, provider.Host{ID: "host-9", State: provider.Gone})
			f.hosts.mu.Unlock()
			f.within(3*time.Minute, "all windows of the open shard", func() bool { return reports.count(open) == 4 })
		})
	}
}
