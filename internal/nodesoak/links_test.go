package nodesoak

import (
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/internal/verdict"
)

// linkNodes adds the ways of all nodes to a target.
func (d *deployment) linkNodes(s *prepared.Target) {
	if d.linked {
		for _, p := range d.nodes {
			p.links.add(s.Address())
		}
	}
}

// cutLinks cuts the links of some nodes to all targets for a time. The nodes stay in touch.
func (d *deployment) cutLinks(nodes []*process, mode prepared.WayMode, span time.Duration) {
	cut := verdict.Cut{Span: verdict.Span{From: time.Now()}}
	for _, p := range nodes {
		cut.Hosts = append(cut.Hosts, p.name)
		p.links.set(mode)
	}
	time.Sleep(span)
	cut.To = time.Now()
	for _, p := range nodes {
		p.links.set(prepared.WayOpen)
	}
	d.cuts = append(d.cuts, cut)
}

// ciCuts are the seeds of TestHostsWithoutLinks that CI runs.
var ciCuts = []uint64{2101, 2102}

const (
	// cutTime is how long links are cut: the contact time and a time that is judged.
	cutTime = contactTime + 3*time.Second
	// betweenCuts is the time between two cuts.
	betweenCuts = 1500 * time.Millisecond
	// healTime is the time after a cut from which hosts should serve as before.
	healTime = 500 * time.Millisecond
	// cutAim is how often hosts without links should serve compared with the others.
	cutAim = 0.9
	// linkedNodes is the number of nodes.
	linkedNodes = 6
)

// TestHostsWithoutLinks runs node processes of which some lose their links to all targets, twice, in one of the ways
// in which links are lost, beside a configuration, and SIGHUP or SIGTERM of a node that keeps its links:
//
//	go test ./internal/nodesoak -run TestHostsWithoutLinks -nodesoak.seed 2101 -nodesoak.pairs 20 -v
func TestHostsWithoutLinks(t *testing.T) {
	runSeeds(t, ciCuts, runCuts)
}

// runCuts runs one seed.
func runCuts(t *testing.T, program string, seed uint64) {
	folder := t.TempDir()
	t.Cleanup(func() { keepLogs(t, folder, seed) })
	d := startDeployment(t, program, folder, seed, true)
	d.crashPart.Store("")
	for len(d.nodes) < linkedNodes {
		d.addNode(program, folder, seed)
	}
	d.waitAllReady(10 * time.Second)
	r := rand.New(rand.NewPCG(seed, 7))
	endCallers := d.startCallers(seed)
	time.Sleep(time.Second)
	var after []verdict.Cut // times after cuts
	for range 2 {
		cut, whole := d.drawCut(r)
		mode := prepared.WayModes[r.IntN(len(prepared.WayModes))]
		t.Logf("%d hosts lose their links: %s", len(cut), mode)
		time.AfterFunc(time.Duration(r.Int64N(int64(cutTime))), d.configure)
		switch {
		case r.IntN(2) == 0:
			time.AfterFunc(time.Duration(r.Int64N(int64(cutTime))), func() { _ = whole.reload(false, 8) })
		case len(cut) < len(d.nodes)-1: // another one keeps its links
			time.AfterFunc(time.Duration(r.Int64N(int64(cutTime))), func() { d.signal(whole, syscall.SIGTERM) })
		}
		d.cutLinks(cut, mode, cutTime)
		if whole.waitEnded(0) {
			_ = whole.start()
		}
		healed := verdict.Cut{Span: point()}
		time.Sleep(betweenCuts)
		healed.To = time.Now()
		for _, p := range cut {
			healed.Hosts = append(healed.Hosts, p.name)
		}
		after = append(after, healed)
	}
	d.endFaults()
	d.quietFrom = time.Now()
	time.Sleep(2 * time.Second)
	endCallers()
	time.Sleep(time.Second) // wait for requests that targets execute late
	d.check()
	run := d.run()
	for _, hosts := range verdict.ServedInCuts(run, bounds()) {
		d.checkShares(hosts)
	}
	run.Cuts = after
	soon := bounds()
	soon.Contact = healTime
	for _, hosts := range verdict.ServedInCuts(run, soon) {
		d.checkShares(hosts)
	}
}

// drawCut draws the nodes that lose their links, one of the others, and whether they are those of one zone.
func (d *deployment) drawCut(r *rand.Rand) (cut []*process, whole *process) {
	order, pattern := r.Perm(len(d.nodes)), r.IntN(5)
	count := []int{1, 2, 3, len(d.nodes) - 1, 0}[pattern]
	for _, i := range order[:count] {
		cut = append(cut, d.nodes[i])
	}
	if count == 0 { // all of a zone
		for i, p := range d.nodes {
			if i%2 == 0 {
				cut = append(cut, p)
			}
		}
		return cut, d.nodes[1]
	}
	return cut, d.nodes[order[len(order)-1]]
}

// checkShares verifies that hosts that are or were without links served about as often as the others.
func (d *deployment) checkShares(hosts []verdict.HostServed) {
	served, sent := 0, 0
	for _, h := range hosts {
		if !h.Cut {
			served, sent = served+h.Served, sent+h.Sent
		}
	}
	for _, h := range hosts {
		d.t.Logf("%s: served %d of %d, cut off: %v", h.Host, h.Served, h.Sent, h.Cut)
		for _, r := range h.Failed {
			d.t.Logf("%s: %s %s sent at %.3f s: status %d after %v, left: %v", h.Host, r.Route, r.ID, r.Sent.Sub(d.begun).Seconds(), r.Status, r.End.Sub(r.Sent), !r.Left.IsZero())
		}
		const few = 2 // requests that may fail for another reason
		if h.Cut && float64(h.Served+few) < cutAim*float64(h.Sent)*float64(served)/float64(max(sent, 1)) {
			d.t.Errorf("%s without links served %d of %d requests, hosts with links %d of %d", h.Host, h.Served, h.Sent, served, sent)
		}
	}
}
