package nodesoak

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"zinniapin/internal/knownred"
	"zinniapin/internal/standin/prepared"
	"zinniapin/internal/verdict"
)

// ciKilled are the seeds of TestAllNodesKilledInARelease that CI runs.
var ciKilled = []uint64{4501}

// settleTime is the time after the nodes' start that a round of TestAllNodesKilledInARelease lasts.
const settleTime = 2500 * time.Millisecond

// killRound is the state of a release when nodes are killed.
type killRound string

// Rounds of TestAllNodesKilledInARelease.
const (
	oldLeave killRound = "the old version leaves" // its entries are gone before the nodes are back, or soon after
	bothStay killRound = "both versions stay"
	oneStays killRound = "one engine of the new version"
	noneNew  killRound = "no release"
)

// TestAllNodesKilledInARelease kills all nodes, or most, at the same moment while a version of the engines is released, some
// of them again soon after their start. The first two rounds are the same for each seed; in later ones, nodes and
// store are disturbed besides:
//
//	go test ./internal/nodesoak -run TestAllNodesKilledInARelease -nodesoak.seed 4501 -nodesoak.pairs 10 -nodesoak.seconds 40 -v
func TestAllNodesKilledInARelease(t *testing.T) {
	t.Parallel()
	runSeeds(t, ciKilled, runKilled)
}

// runKilled runs one seed.
func runKilled(t *testing.T, program string, seed uint64) {
	folder := t.TempDir()
	t.Cleanup(func() { keepLogs(t, folder, seed) })
	v := newVersionRun(newDeployment(t, program, folder, seed))
	time.Sleep(500 * time.Millisecond)
	endCallers := v.call(seed)
	time.Sleep(time.Second)
	rounds := []killRound{oldLeave, bothStay, oneStays, noneNew}
	begun := time.Now()
	for i := 0; i < 2 || time.Since(begun) < time.Duration(*secondsFlag)*time.Second; i++ {
		if i < 2 {
			v.killInRelease(rounds[i], v.nodes, 0)
			continue
		}
		if v.random.IntN(2) == 0 {
			v.disturbBeside()
		}
		killed := v.nodes
		if v.random.IntN(3) == 0 {
			killed = v.some(len(v.nodes) - 1)
		}
		v.killInRelease(rounds[v.random.IntN(len(rounds))], killed, v.random.IntN(3))
	}
	v.endFaults()
	v.quietFrom = time.Now()
	time.Sleep(2 * time.Second)
	endCallers()
	time.Sleep(time.Second) // wait for requests that targets execute late
	v.judge()
}

// killInRelease begins a release and kills nodes in the middle of it, and again some times soon after their start.
func (v *versionRun) killInRelease(round killRound, nodes []*process, again int) {
	v.note("%s", round)
	if round != noneNew {
		v.startVersion(1)
		time.Sleep(time.Duration(400+v.random.IntN(600)) * time.Millisecond)
	}
	switch round {
	case oldLeave:
		v.startMore(versionEngines - 1)
		v.drain()
	case bothStay:
		v.startMore(versionEngines/2 - 1)
	}
	time.Sleep(time.Duration(v.random.IntN(700)) * time.Millisecond)
	down := time.Duration(300+v.random.IntN(1500)) * time.Millisecond
	v.kill(nodes, down)
	for range again {
		time.Sleep(time.Duration(100+v.random.IntN(1200)) * time.Millisecond)
		v.kill(nodes, down/2)
	}
	time.Sleep(settleTime)
	v.retire()
}

// disturbBeside disturbs a node or the store for a time.
func (v *versionRun) disturbBeside() {
	span, node := v.faultTime(), v.nodes[v.random.IntN(len(v.nodes))]
	switch kind := v.random.IntN(9); kind {
	case 0:
		v.note("%s gets SIGTERM", node.name)
		v.signal(node, syscall.SIGTERM)
		time.AfterFunc(7500*time.Millisecond, func() { _ = node.start() })
	case 1:
		v.note("%s gets SIGHUP", node.name)
		if err := node.reload(v.random.IntN(2) == 0, 7+v.random.Float64()); err != nil {
			v.t.Error(err)
		}
	case 2:
		v.note("%s freezes for %v", node.name, span)
		v.signal(node, syscall.SIGSTOP)
		time.AfterFunc(span, func() { _ = node.signal(syscall.SIGCONT) })
	case 3:
		m := mode(1 + v.random.IntN(4)) // any mode but pass
		v.note("%s loses the store for %v, mode %d", node.name, span, m)
		node.disturb()
		node.store.set(m)
		time.AfterFunc(span, func() { node.disturb(); node.store.set(pass) })
	case 4:
		v.note("the store is down")
		v.outage()
	case 5:
		v.note("the configuration changes")
		v.configure()
	default:
		v.disturbStore(kind, span)
	}
}

// disturbStore makes the store slow, lose answers or carry out changes late.
func (v *versionRun) disturbStore(kind int, span time.Duration) {
	v.history.disturbStore()
	v.store.Change(func(s *prepared.StoreSwitches) {
		switch kind {
		case 6:
			s.LoseShare = 0.3
		case 7:
			s.Delay = 300 * time.Millisecond
		default:
			s.LateShare, s.LateBy, s.LateMost = 0.3, time.Second, 6*time.Second
		}
	})
	v.note("the store is disturbed for %v, kind %d", span, kind)
	time.AfterFunc(span, func() {
		v.store.Change(func(s *prepared.StoreSwitches) { s.LoseShare, s.Delay, s.LateShare = 0, 0, 0 })
		v.history.disturbStore()
	})
}

// Tags of findings in KNOWN-RED.txt.
const (
	joinedTag  = "joined-in-soak"
	refusedTag = "refused-in-soak"
)

// maxJoinedShown is the number of joined streams that a run reports in full.
const maxJoinedShown = 3

// judge checks the run. What nodes of an older build do to streams that are taken up is logged only.
func (v *versionRun) judge() {
	run := v.run()
	joined, joinedByOlder, refused := 0, 0, 0
	fail := func(tag string, f verdict.Finding) {
		knownred.Fail(v.t, "../../KNOWN-RED.txt", tag, "%s at %.3f s: %s", f.Rule, f.At.Sub(v.begun).Seconds(), f.Text)
	}
	for _, f := range v.findings(run) {
		switch {
		case f.Priced():
			v.t.Logf("%s at %.3f s: %s", f.Rule, f.At.Sub(v.begun).Seconds(), f.Text)
		case f.Rule == verdict.Order && v.byOlder(requestOf(f)):
			joinedByOlder++
		case f.Rule == verdict.Order:
			if joined++; joined <= maxJoinedShown {
				fail(joinedTag, f)
			}
		case isRefusal(f):
			// Judged below without what nodes of an older build refused.
		default:
			v.t.Errorf("%s at %.3f s: %s", f.Rule, f.At.Sub(v.begun).Seconds(), f.Text)
		}
	}
	for _, f := range verdict.Check(v.withoutOlder(run), bounds()) {
		if isRefusal(f) {
			refused++
			fail(refusedTag, f)
		}
	}
	v.t.Logf("%d streams joined, %d by the older build, %d series of take-ups refused; versions up to v%d", joined, joinedByOlder, refused, v.latest)
	if joined+refused > 0 || v.t.Failed() {
		v.report()
	}
}

// isRefusal tells whether a finding is about streams that were taken up and refused.
func isRefusal(f verdict.Finding) bool {
	return f.Rule == verdict.Lost && strings.Contains(f.Text, "took up")
}

// requestOf returns the id of the request that a finding about a stream names.
func requestOf(f verdict.Finding) string {
	id, _, _ := strings.Cut(f.Text, ":")
	return id
}
