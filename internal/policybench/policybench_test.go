package policybench

import (
	"testing"

	"github.com/matryer/is"
)

// TestOursIsBestOfThePolicies checks, in both deployments, that the "ours"
// policy serves at least as many requests in time as every baseline, over all
// organisations and for the worst-served one. "ours" must not refuse a request
// as not run that it has sent, which Row.FalseWords counts. The trace combines a
// share of long prompts that swings between 10 % and 70 %, a flash crowd and
// reclaimed targets.
func TestOursIsBestOfThePolicies(t *testing.T) {
	set := Set{
		Name: "regression",
		scenarios: []scenario{{
			name: "all at once", length: 240, gateways: 6, swingPeriod: 80, rampTime: 15, minLongPromptShare: 0.1, maxLongPromptShare: 0.7,
			loadFactor: 0.95, flashCrowd: span{90, 140}, flashCrowdLoad: 0.5, reclaimAt: 150, scarceTime: 60,
		}},
		seeds: []uint64{5},
	}
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			rows := map[string]Row{}
			for _, row := range Run(set, d, Policies()).All {
				rows[row.Policy] = row
			}
			ours := rows["ours"]
			t.Logf("%+v", ours)
			is.Equal(ours.FalseWords, 0)
			is.True(ours.Goodput > 0.9)
			for _, p := range Policies() {
				if row := rows[p.Name]; p.baseline() {
					t.Logf("%+v", row)
					is.True(ours.Goodput >= row.Goodput)
					is.True(ours.Worst >= row.Worst)
					is.Equal(row.Offered, ours.Offered)
				}
			}
		})
	}
}

// TestLongPromptsFindEngines runs the "ours" policy over the scenario "too many
// new reports": prompts that take an engine half a second each arrive through
// six gateways, at 1.8 times the usual load. When prompts of several gateways collide on an
// engine, first tokens are late; gateways must not shrink their prompt windows
// so far that engines idle.
func TestLongPromptsFindEngines(t *testing.T) {
	set := Set{scenarios: longTunedScenarios()[3:4], seeds: []uint64{11}}
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			row := Run(set, d, Policies()[5:6]).All[0] // "ours"
			t.Logf("%+v", row)
			is.Equal(row.FalseWords, 0)
			is.True(row.Goodput > 0.76)
			is.True(row.Refused < 0.16)
		})
	}
}

// baseline reports whether a policy is one of the baselines for "ours".
func (p *Policy) baseline() bool {
	switch p.roles {
	case fixedSplit, allMixed, thresholdRoles:
		return p.Name != "ours, fixed split"
	default:
		return false
	}
}

// TestRunsRepeat checks that two runs over the same trace give equal results.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	set := Set{scenarios: tunedScenarios()[2:3], seeds: []uint64{3}}
	set.scenarios[0].length = 60
	ours := Policies()[5:6]
	d := deployments()[0]
	is.Equal(Run(set, d, ours).All, Run(set, d, ours).All)
}
