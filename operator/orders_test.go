package operator

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"zinniapin/authority"
	"zinniapin/internal/standin/objects"
	"zinniapin/planning"
	"zinniapin/result"
	"zinniapin/store"
	"zinniapin/usage"
)

// openRecord stores the record of a unit with an open order of another process.
func (r *testCLI) openRecord(unit string) {
	record := authority.Record{Epoch: 4, Open: authority.Order{
		ID: "order-9", Author: "host-3/controller/7", Epoch: 4, Payload: "{}",
		OpenedMillis: time.Now().Add(-time.Minute).UnixMilli(),
	}}
	value, err := json.Marshal(record)
	r.NoErr(err)
	_, err = r.objects.Put(context.Background(), store.PurposeOrder, authority.Prefix+unit, value, store.Absent)
	r.NoErr(err)
}

// TestRelease releases the open order of an engine and of a unit of the platform.
func TestRelease(t *testing.T) {
	r := newTestCLI(t)
	r.fails(result.NoOpenOrder, "release", "engine-3", "--yes")
	r.openRecord("engine/engine-3")
	r.openRecord("platform/assistant/riga-a")
	f := r.fails(result.BadUsage, "release", "engine-3")
	r.True(strings.Contains(f.Message, "host-3/controller/7")) // the process that must have stopped
	r.Equal(decode[[]orderRow](r, "status", "orders")[0].State, orderOpen)

	exit, out, log := r.run("release", "engine-3", "--yes")
	r.Equal(exit, 0)
	r.True(strings.Contains(out, "in the name of olga"))
	r.True(strings.Contains(log, `"name":"order_released"`))
	rows := decode[[]orderRow](r, "status", "orders")
	r.Equal(rows[0].State, orderReleased)
	r.Equal(rows[0].ReleasedBy, "olga")
	r.Equal(rows[1].State, orderOpen)
	r.fails(result.NoOpenOrder, "release", "engine-3", "--yes")
	r.ok("release", "platform/assistant/riga-a", "--yes")
}

// TestReleaseOutage releases an order while the store refuses updates or loses answers.
func TestReleaseOutage(t *testing.T) {
	r := newTestCLI(t)
	r.openRecord("engine/engine-3")
	r.objects.SetFault(func(op objects.Operation, _ string) objects.Verdict {
		if op == objects.Put {
			return objects.Refuse
		}
		return objects.Pass
	})
	r.fails(result.StoreUnavailable, "release", "engine-3", "--yes")
	lostAnswers := 0
	r.objects.SetFault(func(op objects.Operation, _ string) objects.Verdict {
		if op == objects.Put && lostAnswers == 0 {
			lostAnswers++
			return objects.LoseAnswer
		}
		return objects.Pass
	})
	r.ok("release", "engine-3", "--yes") // the record that is read back shows that the release took effect

	r.objects.SetFault(nil)
	r.openRecord("engine/engine-4")
	r.objects.SetFault(func(op objects.Operation, _ string) objects.Verdict {
		if op == objects.Put {
			return objects.LoseAnswer
		}
		return objects.Pass
	})
	r.fails(result.StoreUnknown, "release", "engine-4", "--yes")
	r.Equal(decode[[]orderRow](r, "status", "orders")[1].State, orderReleased)
}

// TestStatusWindows shows a shard before and after its windows are frozen.
func TestStatusWindows(t *testing.T) {
	r := newTestCLI(t)
	r.Equal(strings.TrimSpace(r.ok("--json", "status", "windows")), "[]")
	start := time.Now().Add(-10 * time.Minute).Truncate(time.Minute)
	windows := usage.NewWindows(r.objects, usage.Options{CommitEvery: time.Nanosecond})
	counter := usage.Counter{Gateway: "g", Organisation: "acme", Window: start, Amount: usage.Amount{Requests: 3}}
	_, err := windows.Push(context.Background(), []usage.Counter{counter})
	r.NoErr(err)
	shard := usage.ShardOf("acme", usage.DefaultShards)
	row := decode[[]windowRow](r, "status", "windows")[0]
	r.Equal(row.Shard, shard)
	r.Equal(row.State, windowsReported)
	r.True(row.OpenFrom.Equal(start))
	r.True(row.OverdueMS >= (8 * time.Minute).Milliseconds()) // not frozen yet

	frozen, err := windows.FreezeDue(context.Background(), shard)
	r.NoErr(err)
	row = decode[[]windowRow](r, "status", "windows")[0]
	r.Equal(row.State, windowsWaiting)
	r.Equal(row.Waiting, frozen)
	r.True(row.Unreported.Equal(start))
	r.Equal(row.Organisations, []string{"acme"})
}

// planOf returns the reply of a controller that plans one pool and one step.
func planOf(r *testCLI, address, pool string, at time.Time) Reply {
	raw, err := json.Marshal(planning.Status{
		Pools: []planning.PoolStatus{{Pool: pool, Roles: "balanced"}},
		Steps: []planning.StepStatus{{At: at, Pool: pool, Action: "buy reclaimable"}},
	})
	r.NoErr(err)
	return Reply{Controller: address, JSON: raw}
}

// TestStatusPlans merges the plans of two controllers; one more serves no plans and one
// does not answer.
func TestStatusPlans(t *testing.T) {
	r := newTestCLI(t)
	unserved := Reply{Controller: "10.0.0.3:7000", Err: result.New(result.NoSuchTopic, "no topic")}
	down := Reply{Controller: "10.0.0.4:7000", Err: result.New(result.LinkFailed, "down")}
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r.status.replies = []Reply{unserved, down}
	r.fails(result.TopicNotServed, "status", "plans")
	r.status.replies = []Reply{down}
	r.fails(result.NoController, "status", "plans")

	r.status.replies = []Reply{planOf(r, "10.0.0.1:7000", "triage", at), planOf(r, "10.0.0.2:7000", "assistant", at.Add(time.Minute)), unserved, down}
	merged := decode[mergedPlans](r, "status", "plans")
	r.Equal(merged.Pools[0].Pool, "assistant")
	r.Equal(merged.Steps[0].Controller, "10.0.0.2:7000") // newest first
	r.Equal(merged.Unanswered, []string{"10.0.0.4:7000"})
	r.True(strings.Contains(r.ok("status", "plans"), "no answer from 10.0.0.4:7000"))
}
