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
	r := newTestCLI(t)
	file := r.file("cafe.json", strings.Replace(r.ok("contract", "show", "acme"), `"acme"`, `"cafe"`, 1))
	r.True(strings.Contains(r.ok("contract", "create", file), "revision 2 accepted: create contract cafe"))
	r.fails(result.ContractExists, "contract", "create", file)
	r.ok("contract", "set", "cafe", "limits.concurrency=9", `models=["assistant"]`)
	differences := decode[[]difference](r, "contract", "diff", file)
	r.Equal(differences, []difference{{"limits.concurrency", 9.0, 5.0}})
	r.ok("contract", "apply", file)
	r.Equal(strings.TrimSpace(r.ok("--json", "contract", "diff", file)), "[]")
	r.fails(result.BadUsage, "contract", "remove", "cafe") // without --yes
	r.ok("contract", "remove", "cafe", "--yes")
	r.fails(result.NoSuchContract, "contract", "show", "cafe")
	r.Equal(len(decode[[]contract.Contract](r, "contract", "list")), 2)
}

// TestBadInput checks that wrong arguments are refused with the right result code and
// change nothing.
func TestBadInput(t *testing.T) {
	r := newTestCLI(t)
	f := r.fails(result.BadConfiguration, "contract", "set", "acme", "limits.concurency=3")
	r.True(strings.Contains(f.Message, "concurency")) // the unknown field is named
	r.fails(result.BadConfiguration, "contract", "set", "acme", "limits.concurrency=-3")
	r.fails(result.BadUsage, "contract", "set", "acme", "limits.concurrency")
	r.fails(result.NoSuchContract, "contract", "set", "nobody", "weight=2")
	r.fails(result.NoSuchContract, "key", "list", "nobody")
	r.fails(result.NoSuchContract, "key", "issue", "nobody")
	r.fails(result.NoSuchFile, "contract", "apply", "/does/not/exist")
	r.fails(result.BadUsage, "status", "weather")
	r.fails(result.BadUsage, "nonsense")
	r.fails(result.NoSuchTopic, "status", "links")
	f = r.fails(result.RevisionConflict, "contract", "set", "acme", "weight=2", "--base", "7")
	r.Equal(f.Differences, []difference{{"acme.weight", nil, 2.0}})
	r.Equal(decode[[]struct{ Revision int }](r, "config", "history")[0].Revision, 1) // nothing was accepted
}

// TestKeyCommands issues, withdraws and lists keys, and applies a file without them.
func TestKeyCommands(t *testing.T) {
	r := newTestCLI(t)
	r.setRevisionInForce(2)
	k := decode[issuedKey](r, "key", "issue", "acme", "--label", "desk", "--wait")
	r.Equal(contract.Fingerprint(k.Key), k.Fingerprint)
	r.True(k.InForce)
	r.fails(result.BadUsage, "key", "withdraw", k.Fingerprint[:4])
	r.fails(result.NoSuchKey, "key", "withdraw", strings.Repeat("0", 16))
	r.ok("key", "withdraw", k.Fingerprint[:8])
	listed := decode[[]listedKey](r, "key", "list", "acme")
	r.True(listed[0].Withdrawn)
	r.True(!strings.Contains(r.ok("key", "list"), k.Key)) // only key issue shows the key

	// A file written before the key was issued must not drop or restore keys.
	r.fails(result.BadConfiguration, "config", "apply", r.file("old.json", testDocument))
	r.ok("config", "apply", "--keys-from-file", r.file("old.json", testDocument))
}

// TestAmbiguousFingerprint looks up a prefix that two fingerprints share.
func TestAmbiguousFingerprint(t *testing.T) {
	same := strings.Repeat("ab", 16)
	s := contract.NewSnapshot(1, contract.Fleet{}, []*contract.Contract{
		{Organisation: "acme", Keys: []contract.Key{{Fingerprint: same + strings.Repeat("0", 32)}}},
		{Organisation: "bakery", Keys: []contract.Key{{Fingerprint: same + strings.Repeat("1", 32)}}},
	})
	r := newTestCLI(t)
	_, _, err := findKey(s, same)
	r.Equal(result.CodeOf(err), result.BadUsage)
	owner, _, err := findKey(s, same+"1")
	r.NoErr(err)
	r.Equal(owner.Organisation, "bakery")
}

// TestLostRace checks what becomes of a change if another operator's change is accepted
// first: it is applied to the newer revision, or refused if the two conflict.
func TestLostRace(t *testing.T) {
	t.Run("another contract changed: applied to the newer revision", func(t *testing.T) {
		r := newTestCLI(t)
		r.runBeforeNextAccept("contract", "set", "bakery", "weight=7")
		r.ok("contract", "set", "acme", "weight=2")
		all := decode[[]contract.Contract](r, "contract", "list")
		r.Equal([]float64{all[0].Weight, all[1].Weight}, []float64{2, 7})
	})
	t.Run("the same contract changed: refused, with the other change and its fields", func(t *testing.T) {
		r := newTestCLI(t)
		r.runBeforeNextAccept("contract", "set", "acme", "weight=7")
		f := r.fails(result.RevisionConflict, "contract", "set", "acme", "limits.concurrency=6")
		r.Equal(f.Winners[0].Author, "peter")
		r.Equal(f.Changed, []changedField{{"weight", nil, 7.0}})
		r.Equal(decode[contract.Contract](r, "contract", "show", "acme").Limits.Concurrency, 5)
	})
	t.Run("another contract changed, with --base: refused", func(t *testing.T) {
		r := newTestCLI(t)
		r.runBeforeNextAccept("contract", "set", "bakery", "weight=7")
		f := r.fails(result.RevisionConflict, "contract", "set", "acme", "weight=2", "--base", "1")
		r.Equal(f.Winners[0].Summary, "set weight=7 of bakery")
	})
	t.Run("the whole configuration changed: refused", func(t *testing.T) {
		r := newTestCLI(t)
		r.runBeforeNextAccept("contract", "set", "bakery", "weight=7")
		r.fails(result.RevisionConflict, "config", "apply", r.file("document.json", testDocument))
		r.Equal(decode[contract.Contract](r, "contract", "show", "bakery").Weight, 7.0)
	})
	t.Run("the contract was removed: refused", func(t *testing.T) {
		r := newTestCLI(t)
		r.runBeforeNextAccept("contract", "remove", "acme", "--yes")
		f := r.fails(result.RevisionConflict, "contract", "set", "acme", "weight=2")
		r.Equal(f.Changed[0].Now, "no contract")
	})
}

// TestConcurrentWithdrawalsBothApply checks that of two concurrent withdrawals neither undoes
// the other.
func TestConcurrentWithdrawalsBothApply(t *testing.T) {
	r := newTestCLI(t)
	first := decode[issuedKey](r, "key", "issue", "acme")
	second := decode[issuedKey](r, "key", "issue", "acme")
	r.runBeforeNextAccept("key", "withdraw", second.Fingerprint)
	r.ok("key", "withdraw", first.Fingerprint)
	for _, k := range decode[[]listedKey](r, "key", "list", "acme") {
		r.True(k.Withdrawn)
	}
}

// TestLostAnswer checks that a change is accepted only once if the answer to the update of
// the root object is lost, and that an unknown outcome is reported as such.
func TestLostAnswer(t *testing.T) {
	r := newTestCLI(t)
	lostAnswers := 0
	r.objects.SetFault(func(op objects.Operation, key string) objects.Verdict {
		if op == objects.Put && key == "config/root" && lostAnswers == 0 {
			lostAnswers++
			return objects.LoseAnswer
		}
		return objects.Pass
	})
	outcome := decode[changeResult](r, "contract", "set", "acme", "weight=2")
	r.Equal(outcome.Revision, contract.Revision(2)) // accepted once, and reported as accepted
	r.Equal(len(decode[[]struct{ Revision int }](r, "config", "history")), 2)

	r.objects.SetFault(func(op objects.Operation, key string) objects.Verdict {
		if op == objects.Put && key == "config/root" {
			return objects.LoseRequest
		}
		return objects.Pass
	})
	r.fails(result.StoreUnknown, "contract", "set", "acme", "weight=3")

	r.objects.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
	f := r.fails(result.StoreUnavailable, "contract", "set", "acme", "weight=3")
	r.True(f.RetryMS > 0)
}

// TestWaitTimesOut checks that a wait that times out names the processes behind.
func TestWaitTimesOut(t *testing.T) {
	r := newTestCLI(t)
	r.setRevisionInForce(1)
	f := r.fails(result.NotInForce, "contract", "set", "acme", "weight=2", "--wait", "--wait-timeout", "20ms")
	r.Equal(f.Place, "host-1/gateway at 1, host-2/controller at 1")
	r.fails(result.NotInForce, "config", "wait", "2", "--timeout", "20ms")
	r.setRevisionInForce(2)
	r.True(strings.Contains(r.ok("config", "wait", "2"), "in force on every live host"))
}

// TestDrain drains two targets concurrently, lifts a drain, and refuses to drain an
// unknown target.
func TestDrain(t *testing.T) {
	r := newTestCLI(t)
	r.runBeforeNextAccept("drain", "engine-2")
	r.ok("drain", "engine-1")
	shown := decode[Document](r, "config", "show")
	r.Equal(len(shown.Fleet.Drained), 2) // neither drain was overwritten
	r.fails(result.BadUsage, "drain", "engine-1")
	r.ok("drain", "engine-1", "--lift")
	r.fails(result.BadUsage, "drain", "engine-1", "--lift")
	r.status.documents[controller.TopicTargets] = []controller.TargetStatus{{ID: "engine-2"}}
	r.fails(result.NoSuchObject, "drain", "engine-22")
	rows := decode[[]targetRow](r, "status", "targets")
	r.True(rows[0].Drained)
}

// TestStatusTables checks the tables and the JSON of status targets, members and grants.
func TestStatusTables(t *testing.T) {
	r := newTestCLI(t)
	r.setRevisionInForce(1)
	r.status.documents[controller.TopicTargets] = []controller.TargetStatus{{ID: "engine-1", State: "live", Cordoned: true, ReportAgeMS: -1}}
	out := r.ok("status", "targets")
	r.True(strings.HasPrefix(out, "TARGET"))
	r.True(strings.Contains(out, "live, cordoned"))
	r.True(strings.Contains(out, "never"))
	r.Equal(len(decode[[]controller.MemberStatus](r, "status", "members")), 2)
	r.status.documents[controller.TopicGrants] = []controller.GrantStatus{{Organisation: "acme", Held: grant.Amount{Concurrency: 3}}}
	r.Equal(decode[[]grantRow](r, "status", "grants"), []grantRow{{Organisation: "acme", Concurrency: 3}})
}

// TestExplainMergesGateways checks that the decisions are listed with their gateway.
func TestExplainMergesGateways(t *testing.T) {
	r := newTestCLI(t)
	r.setRevisionInForce(1)
	r.fails(result.NoSuchObject, "explain", "abc")
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r.status.documents[controller.TopicExplain] = []decision{{At: at, Decision: "dispatch", Target: "engine-1"}}
	found := decode[[]decision](r, "explain", "abc")
	r.Equal(found[0].Gateway, "host-1")
	r.Equal(found[0].Target, "engine-1")
}

// TestExplainReadsLogs checks that explain merges log files of several hosts into one
// timeline. It needs neither settings nor a running process.
func TestExplainReadsLogs(t *testing.T) {
	r := newTestCLI(t)
	r.settings = filepath.Join(t.TempDir(), "none.json")
	one, two := filepath.Join(t.TempDir(), "one.log"), filepath.Join(t.TempDir(), "two.log")
	r.NoErr(os.WriteFile(one, []byte(`{"host":"h1","event":7000,"name":"request_done","request":"abc","status":503,"ms":2,"reason":"targets_busy","time":"2026-03-01T12:00:01Z"}
`), 0o600))
	r.NoErr(os.WriteFile(two, []byte(`{"host":"h2","event":7000,"name":"request_done","request":"abc","status":200,"ms":80,"time":"2026-03-01T12:00:02Z"}
{"host":"h2","event":7014,"name":"store_lost","time":"2026-03-01T12:00:01Z"}
`), 0o600))
	found := decode[[]timeline.Entry](r, "explain", "abc", two, one)
	var names []string
	for _, e := range found {
		names = append(names, e.Host+" "+e.Event)
	}
	r.Equal(names, []string{"h1 received", "h1 request_done", "h2 store_lost", "h2 received", "h2 request_done"})
	out := r.ok("explain", "abc", one, two)
	r.True(strings.Contains(out, "reason=targets_busy"))
	r.True(strings.Contains(out, "(store_lost)"))
	r.fails(result.NoSuchObject, "explain", "abd", one)
	r.fails(result.NoSuchFile, "explain", "abc", filepath.Join(t.TempDir(), "none.log"))
}
