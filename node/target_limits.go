package node

import (
	"time"

	"zinniapin/dispatch"
	"zinniapin/wire"
)

// limitsPerDigest bounds the limits of targets in a digest; the order changes with each digest.
const limitsPerDigest = 8

// updateFleet tells the planner among which hosts limits of targets are divided.
func (n *Node) updateFleet(now time.Time) {
	hosts := n.mesh.LiveAddresses(now)
	n.handler.PlannerMu.Lock()
	n.handler.Planner.SetFleet(now, n.clock.Now(), n.settings.Mesh, hosts)
	n.handler.PlannerMu.Unlock()
}

// composeTargetLimits adds the limits that targets have named, if the change is not older.
func (n *Node) composeTargetLimits(d *wire.HostDigest, maxAge time.Duration) {
	sent := time.UnixMilli(d.TrueTimeMs)
	n.handler.PlannerMu.Lock()
	defer n.handler.PlannerMu.Unlock()
	for _, news := range n.handler.Planner.LimitNews(time.Now(), limitsPerDigest, maxAge) {
		d.TargetLimits = append(d.TargetLimits, &wire.TargetLimit{
			Target: news.Target, Born: news.StartedMillis, Limited: news.Limited, PerSecond: news.PerSecond,
			AgeMs: sent.Sub(news.AnsweredAt).Milliseconds(),
		})
	}
}

// mergeTargetLimits takes the limits in a peer's digest into account.
func (n *Node) mergeTargetLimits(d *wire.HostDigest) {
	sent := time.UnixMilli(d.TrueTimeMs)
	n.handler.PlannerMu.Lock()
	defer n.handler.PlannerMu.Unlock()
	for _, l := range d.TargetLimits {
		n.handler.Planner.ApplyLimit(time.Now(), dispatch.LimitNews{
			Target: l.Target, StartedMillis: l.Born, Limited: l.Limited, PerSecond: l.PerSecond,
			AnsweredAt: sent.Add(-time.Duration(l.AgeMs) * time.Millisecond),
		})
	}
}
