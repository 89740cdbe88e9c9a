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
func (cli *testCLI) openRecord(unit string) {
	record := authority.Record{Epoch: 4, Open: authority.Order{
		ID: "order-9", Author: "host-3/controller/7", Epoch: 4, Payload: "{}",
		OpenedMillis: time.Now().Add(-time.Minute).UnixMilli(),
	}}
	value, err := json.Marshal(record)
	cli.NoErr(err)
	_, err = cli.objects.Put(context.Background(), store.PurposeOrder, authority.Prefix+unit, value, store.Absent)
	cli.NoErr(err)
}

// TestRelease releases the open order of an engine and of a unit of the platform.
func TestRelease(t *testing.T) {
	cli := newTestCLI(t)
	cli.fails(result.NoOpenOrder, "release", "engine-3", "--yes")
	cli.openRecord("engine/engine-3")
	cli.openRecord("platform/assistant/riga-a")
	f := cli.fails(result.BadUsage, "release", "engine-3")
	cli.True(strings.Contains(f.Message, "host-3/controller/7")) // the process that must have stopped
	cli.Equal(decode[[]orderRow](cli, "status", "orders")[0].State, orderOpen)

	exit, out, log := cli.run("release", "engine-3", "--yes")
	cli.Equal(exit, 0)
	cli.True(strings.Contains(out, "in the name of olga"))
	cli.True(strings.Contains(log, `"name":"order_released"`))
	rows := decode[[]orderRow](cli, "status", "orders")
	cli.Equal(rows[0].State, orderReleased)
	cli.Equal(rows[0].ReleasedBy, "olga")
	cli.Equal(rows[1].State, orderOpen)
	cli.fails(result.NoOpenOrder, "release", "engine-3", "--yes")
	cli.ok("release", "platform/assistant/riga-a", "--yes")
}

// TestReleaseOutage releases an order while the store refuses updates or loses answers.
func TestReleaseOutage(t *testing.T) {
	cli := newTestCLI(t)
	cli.openRecord("engine/engine-3")
	cli.objects.SetFault(func(op objects.Operation, _ string) objects.Verdict {
		if op == objects.Put {
			return objects.Refuse
		}
		return objects.Pass
	})
	cli.fails(result.StoreUnavailable, "release", "engine-3", "--yes")
	lostAnswers := 0
	cli.objects.SetFault(func(op objects.Operation, _ string) objects.Verdict {
		if op == objects.Put && lostAnswers == 0 {
			lostAnswers++
			return objects.LoseAnswer
		}
		return objects.Pass
	})
	cli.ok("release", "engine-3", "--yes") // the record that is read back shows that the release took effect

	cli.objects.SetFault(nil)
	cli.openRecord("engine/engine-4")
	cli.objects.SetFault(func(op objects.Operation, _ string) objects.Verdict {
		if op == objects.Put {
			return objects.LoseAnswer
		}
		return objects.Pass
	})
	cli.fails(result.StoreUnknown, "release", "engine-4", "--yes")
	cli.Equal(decode[[]orderRow](cli, "status", "orders")[1].State, orderReleased)
}

// TestStatusWindows shows a shard before and after its windows are frozen.
func TestStatusWindows(t *testing.T) {
	cli := newTestCLI(t)
	cli.Equal(strings.TrimSpace(cli.ok("--json", "status", "windows")), "[]")
	start := time.Now().Add(-10 * time.Minute).Truncate(time.Minute)
	windows := usage.NewWindows(cli.objects, usage.Options{CommitEvery: time.Nanosecond})
	counter := usage.Counter{Gateway: "g", Organisation: "acme", Window: start, Amount: usage.Amount{Requests: 3}}
	_, err := windows.Push(context.Background(), []usage.Counter{counter})
	cli.NoErr(err)
	shard := usage.ShardOf("acme", usage.DefaultShards)
	row := decode[[]windowRow](cli, "status", "windows")[0]
	cli.Equal(row.Shard, shard)
	cli.Equal(row.State, windowsReported)
	cli.True(row.OpenFrom.Equal(start))
	cli.True(row.OverdueMS >= (8 * time.Minute).Milliseconds()) // not frozen yet

	frozen, err := windows.FreezeDue(context.Background(), shard)
	cli.NoErr(err)
	row = decode[[]windowRow](cli, "status", "windows")[0]
	cli.Equal(row.State, windowsWaiting)
	cli.Equal(row.Waiting, frozen)
	cli.True(row.Unreported.Equal(start))
	cli.Equal(row.Organisations, []string{"acme"})
}

// planOf returns the reply of a controller that plans one pool and one step.
func planOf(cli *testCLI, address, pool string, at time.Time) Reply {
	raw, err := json.Marshal(planning.Status{
		Pools: []planning.PoolStatus{{Pool: pool, Roles: "balanced"}},
		Steps: []planning.StepStatus{{At: at, Pool: pool, Action: "buy reclaimable"}},
	})
	cli.NoErr(err)
	return Reply{Controller: address, JSON: raw}
}

// TestStatusPlans merges the plans of two controllers; one more serves no plans and one
// does not answer.
func TestStatusPlans(t *testing.T) {
	cli := newTestCLI(t)
	unserved := Reply{Controller: "10.0.0.3:7000", Err: result.New(result.NoSuchTopic, "no topic")}
	down := Reply{Controller: "10.0.0.4:7000", Err: result.New(result.LinkFailed, "down")}
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	cli.status.replies = []Reply{unserved, down}
	cli.fails(result.TopicNotServed, "status", "plans")
	cli.status.replies = []Reply{down}
	cli.fails(result.NoController, "status", "plans")

	cli.status.replies = []Reply{planOf(cli, "10.0.0.1:7000", "triage", at), planOf(cli, "10.0.0.2:7000", "assistant", at.Add(time.Minute)), unserved, down}
	merged := decode[mergedPlans](cli, "status", "plans")
	cli.Equal(merged.Pools[0].Pool, "assistant")
	cli.Equal(merged.Steps[0].Controller, "10.0.0.2:7000") // newest first
	cli.Equal(merged.Unanswered, []string{"10.0.0.4:7000"})
	cli.True(strings.Contains(cli.ok("status", "plans"), "no answer from 10.0.0.4:7000"))
}
