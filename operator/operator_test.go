package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"zinniapin/contract"
	"zinniapin/controller"
	"zinniapin/grant"
	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/timeline"
)

// TestContractCommands creates, changes, compares and removes a contract.
func TestContractCommands(t *testing.T) {
	cli := newTestCLI(t)
	file := cli.file("cafe.json", strings.Replace(cli.ok("contract", "show", "acme"), `"acme"`, `"cafe"`, 1))
	cli.True(strings.Contains(cli.ok("contract", "create", file), "revision 2 accepted: create contract cafe"))
	cli.fails(result.ContractExists, "contract", "create", file)
	cli.ok("contract", "set", "cafe", "limits.concurrency=9", `models=["assistant"]`)
	differences := decode[[]difference](cli, "contract", "diff", file)
	cli.Equal(differences, []difference{{"limits.concurrency", 9.0, 5.0}})
	cli.ok("contract", "apply", file)
	cli.Equal(strings.TrimSpace(cli.ok("--json", "contract", "diff", file)), "[]")
	cli.fails(result.BadUsage, "contract", "remove", "cafe") // without --yes
	cli.ok("contract", "remove", "cafe", "--yes")
	cli.fails(result.NoSuchContract, "contract", "show", "cafe")
	cli.Equal(len(decode[[]contract.Contract](cli, "contract", "list")), 2)
}

// TestBadInput checks that wrong arguments are refused with the right result code and
// change nothing.
func TestBadInput(t *testing.T) {
	cli := newTestCLI(t)
	f := cli.fails(result.BadConfiguration, "contract", "set", "acme", "limits.concurency=3")
	cli.True(strings.Contains(f.Message, "concurency")) // the unknown field is named
	cli.fails(result.BadConfiguration, "contract", "set", "acme", "limits.concurrency=-3")
	cli.fails(result.BadUsage, "contract", "set", "acme", "limits.concurrency")
	cli.fails(result.NoSuchContract, "contract", "set", "nobody", "weight=2")
	cli.fails(result.NoSuchContract, "key", "list", "nobody")
	cli.fails(result.NoSuchContract, "key", "issue", "nobody")
	cli.fails(result.NoSuchFile, "contract", "apply", "/does/not/exist")
	cli.fails(result.BadUsage, "status", "weather")
	cli.fails(result.BadUsage, "nonsense")
	cli.fails(result.NoSuchTopic, "status", "links")
	f = cli.fails(result.RevisionConflict, "contract", "set", "acme", "weight=2", "--base", "7")
	cli.Equal(f.Differences, []difference{{"acme.weight", nil, 2.0}})
	cli.Equal(decode[[]struct{ Revision int }](cli, "config", "history")[0].Revision, 1) // nothing was accepted
}

// TestKeyCommands issues, withdraws and lists keys, and applies a file without them.
func TestKeyCommands(t *testing.T) {
	cli := newTestCLI(t)
	cli.setRevisionInForce(2)
	k := decode[issuedKey](cli, "key", "issue", "acme", "--label", "desk", "--wait")
	cli.Equal(contract.Fingerprint(k.Key), k.Fingerprint)
	cli.True(k.InForce)
	cli.fails(result.BadUsage, "key", "withdraw", k.Fingerprint[:4])
	cli.fails(result.NoSuchKey, "key", "withdraw", strings.Repeat("0", 16))
	cli.ok("key", "withdraw", k.Fingerprint[:8])
	listed := decode[[]listedKey](cli, "key", "list", "acme")
	cli.True(listed[0].Withdrawn)
	cli.True(!strings.Contains(cli.ok("key", "list"), k.Key)) // only key issue shows the key

	// A file written before the key was issued must not drop or restore keys.
	cli.fails(result.BadConfiguration, "config", "apply", cli.file("old.json", testDocument))
	cli.ok("config", "apply", "--keys-from-file", cli.file("old.json", testDocument))
}

// TestAmbiguousFingerprint looks up a prefix that two fingerprints share.
func TestAmbiguousFingerprint(t *testing.T) {
	same := strings.Repeat("ab", 16)
	s := contract.NewSnapshot(1, contract.Fleet{}, []*contract.Contract{
		{Organisation: "acme", Keys: []contract.Key{{Fingerprint: same + strings.Repeat("0", 32)}}},
		{Organisation: "bakery", Keys: []contract.Key{{Fingerprint: same + strings.Repeat("1", 32)}}},
	})
	cli := newTestCLI(t)
	_, _, err := findKey(s, same)
	cli.Equal(result.CodeOf(err), result.BadUsage)
	owner, _, err := findKey(s, same+"1")
	cli.NoErr(err)
	cli.Equal(owner.Organisation, "bakery")
}

// TestLostRace checks what becomes of a change if another operator's change is accepted
// first: it is applied to the newer revision, or refused if the two conflict.
func TestLostRace(t *testing.T) {
	t.Run("another contract changed: applied to the newer revision", func(t *testing.T) {
		cli := newTestCLI(t)
		cli.runBeforeNextAccept("contract", "set", "bakery", "weight=7")
		cli.ok("contract", "set", "acme", "weight=2")
		all := decode[[]contract.Contract](cli, "contract", "list")
		cli.Equal([]float64{all[0].Weight, all[1].Weight}, []float64{2, 7})
	})
	t.Run("the same contract changed: refused, with the other change and its fields", func(t *testing.T) {
		cli := newTestCLI(t)
		cli.runBeforeNextAccept("contract", "set", "acme", "weight=7")
		f := cli.fails(result.RevisionConflict, "contract", "set", "acme", "limits.concurrency=6")
		cli.Equal(f.Winners[0].Author, "peter")
		cli.Equal(f.Changed, []changedField{{"weight", nil, 7.0}})
		cli.Equal(decode[contract.Contract](cli, "contract", "show", "acme").Limits.Concurrency, 5)
	})
	t.Run("another contract changed, with --base: refused", func(t *testing.T) {
		cli := newTestCLI(t)
		cli.runBeforeNextAccept("contract", "set", "bakery", "weight=7")
		f := cli.fails(result.RevisionConflict, "contract", "set", "acme", "weight=2", "--base", "1")
		cli.Equal(f.Winners[0].Summary, "set weight=7 of bakery")
	})
	t.Run("the whole configuration changed: refused", func(t *testing.T) {
		cli := newTestCLI(t)
		cli.runBeforeNextAccept("contract", "set", "bakery", "weight=7")
		cli.fails(result.RevisionConflict, "config", "apply", cli.file("document.json", testDocument))
		cli.Equal(decode[contract.Contract](cli, "contract", "show", "bakery").Weight, 7.0)
	})
	t.Run("the contract was removed: refused", func(t *testing.T) {
		cli := newTestCLI(t)
		cli.runBeforeNextAccept("contract", "remove", "acme", "--yes")
		f := cli.fails(result.RevisionConflict, "contract", "set", "acme", "weight=2")
		cli.Equal(f.Changed[0].Now, "no contract")
	})
}

// TestConcurrentWithdrawalsBothApply checks that of two concurrent withdrawals neither undoes
// the other.
func TestConcurrentWithdrawalsBothApply(t *testing.T) {
	cli := newTestCLI(t)
	first := decode[issuedKey](cli, "key", "issue", "acme")
	second := decode[issuedKey](cli, "key", "issue", "acme")
	cli.runBeforeNextAccept("key", "withdraw", second.Fingerprint)
	cli.ok("key", "withdraw", first.Fingerprint)
	for _, k := range decode[[]listedKey](cli, "key", "list", "acme") {
		cli.True(k.Withdrawn)
	}
}

// TestLostAnswer checks that a change is accepted only once if the answer to the update of
// the root object is lost, and that an unknown outcome is reported as such.
func TestLostAnswer(t *testing.T) {
	cli := newTestCLI(t)
	lostAnswers := 0
	cli.objects.SetFault(func(op objects.Operation, key string) objects.Verdict {
		if op == objects.Put && key == "config/root" && lostAnswers == 0 {
			lostAnswers++
			return objects.LoseAnswer
		}
		return objects.Pass
	})
	outcome := decode[changeResult](cli, "contract", "set", "acme", "weight=2")
	cli.Equal(outcome.Revision, contract.Revision(2)) // accepted once, and reported as accepted
	cli.Equal(len(decode[[]struct{ Revision int }](cli, "config", "history")), 2)

	cli.objects.SetFault(func(op objects.Operation, key string) objects.Verdict {
		if op == objects.Put && key == "config/root" {
			return objects.LoseRequest
		}
		return objects.Pass
	})
	cli.fails(result.StoreUnknown, "contract", "set", "acme", "weight=3")

	cli.objects.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
	f := cli.fails(result.StoreUnavailable, "contract", "set", "acme", "weight=3")
	cli.True(f.RetryMS > 0)
}

// TestWaitTimesOut checks that a wait that times out names the processes behind.
func TestWaitTimesOut(t *testing.T) {
	cli := newTestCLI(t)
	cli.setRevisionInForce(1)
	f := cli.fails(result.NotInForce, "contract", "set", "acme", "weight=2", "--wait", "--wait-timeout", "20ms")
	cli.Equal(f.Place, "host-1/gateway at 1, host-2/controller at 1")
	cli.fails(result.NotInForce, "config", "wait", "2", "--timeout", "20ms")
	cli.setRevisionInForce(2)
	cli.True(strings.Contains(cli.ok("config", "wait", "2"), "in force on every live host"))
}

// TestDrain drains two targets concurrently, lifts a drain, and refuses to drain an
// unknown target.
func TestDrain(t *testing.T) {
	cli := newTestCLI(t)
	cli.runBeforeNextAccept("drain", "engine-2")
	cli.ok("drain", "engine-1")
	shown := decode[Document](cli, "config", "show")
	cli.Equal(len(shown.Fleet.Drained), 2) // neither drain was overwritten
	cli.fails(result.BadUsage, "drain", "engine-1")
	cli.ok("drain", "engine-1", "--lift")
	cli.fails(result.BadUsage, "drain", "engine-1", "--lift")
	cli.status.documents[controller.TopicTargets] = []controller.TargetStatus{{ID: "engine-2"}}
	cli.fails(result.NoSuchObject, "drain", "engine-22")
	rows := decode[[]targetRow](cli, "status", "targets")
	cli.True(rows[0].Drained)
}

// TestStatusTables checks the tables and the JSON of status targets, members and grants.
func TestStatusTables(t *testing.T) {
	cli := newTestCLI(t)
	cli.setRevisionInForce(1)
	cli.status.documents[controller.TopicTargets] = []controller.TargetStatus{{ID: "engine-1", State: "live", Cordoned: true, ReportAgeMS: -1}}
	out := cli.ok("status", "targets")
	cli.True(strings.HasPrefix(out, "TARGET"))
	cli.True(strings.Contains(out, "live, cordoned"))
	cli.True(strings.Contains(out, "never"))
	cli.Equal(len(decode[[]controller.MemberStatus](cli, "status", "members")), 2)
	cli.status.documents[controller.TopicGrants] = []controller.GrantStatus{{Organisation: "acme", Held: grant.Amount{Concurrency: 3}}}
	cli.Equal(decode[[]grantRow](cli, "status", "grants"), []grantRow{{Organisation: "acme", Concurrency: 3}})
}

// TestExplainMergesGateways checks that the decisions are listed with their gateway.
func TestExplainMergesGateways(t *testing.T) {
	cli := newTestCLI(t)
	cli.setRevisionInForce(1)
	cli.fails(result.NoSuchObject, "explain", "abc")
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	cli.status.documents[controller.TopicExplain] = []decision{{At: at, Decision: "dispatch", Target: "engine-1"}}
	found := decode[[]decision](cli, "explain", "abc")
	cli.Equal(found[0].Gateway, "host-1")
	cli.Equal(found[0].Target, "engine-1")
}

// TestExplainReadsLogs checks that explain merges log files of several hosts into one
// timeline. It needs neither settings nor a running process.
func TestExplainReadsLogs(t *testing.T) {
	cli := newTestCLI(t)
	cli.settings = filepath.Join(t.TempDir(), "none.json")
	one, two := filepath.Join(t.TempDir(), "one.log"), filepath.Join(t.TempDir(), "two.log")
	cli.NoErr(os.WriteFile(one, []byte(`{"host":"h1","event":7000,"name":"request_done","request":"abc","status":503,"ms":2,"reason":"targets_busy","time":"2026-03-01T12:00:01Z"}
`), 0o600))
	cli.NoErr(os.WriteFile(two, []byte(`{"host":"h2","event":7000,"name":"request_done","request":"abc","status":200,"ms":80,"time":"2026-03-01T12:00:02Z"}
{"host":"h2","event":7014,"name":"store_lost","time":"2026-03-01T12:00:01Z"}
`), 0o600))
	found := decode[[]timeline.Entry](cli, "explain", "abc", two, one)
	var names []string
	for _, e := range found {
		names = append(names, e.Host+" "+e.Event)
	}
	cli.Equal(names, []string{"h1 received", "h1 request_done", "h2 store_lost", "h2 received", "h2 request_done"})
	out := cli.ok("explain", "abc", one, two)
	cli.True(strings.Contains(out, "reason=targets_busy"))
	cli.True(strings.Contains(out, "(store_lost)"))
	cli.fails(result.NoSuchObject, "explain", "abd", one)
	cli.fails(result.NoSuchFile, "explain", "abc", filepath.Join(t.TempDir(), "none.log"))
}
