package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniapin/dispatch"
	"zinniapin/wire"
)

// registerSlowdownGauge registers the gauge of the targets that report a slowdown.
func (n *Node) registerSlowdownGauge() {
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "zinnia_targets_slowed", Help: "Targets for which this host assumes a slowdown that they reported.",
	}, func() float64 {
		n.handler.PlannerMu.Lock()
		defer n.handler.PlannerMu.Unlock()
		return float64(n.handler.Planner.SlowedTargets(time.Now()))
	}))
}

// composeSlowdown adds the slowdown in a report to the message to peers.
func composeSlowdown(now time.Time, to *wire.TargetReport, r dispatch.Report) {
	if r.Slowdown > 0 {
		to.Slowdown, to.SlowdownAgeMs = uint32(r.Slowdown), uint32(max(now.Sub(r.SlowdownAt).Milliseconds(), 0))
	}
}

// takeSlowdown adds the slowdown in a peer's message, which is of an age, to the report.
func takeSlowdown(now time.Time, age time.Duration, to *dispatch.Report, from *wire.TargetReport) {
	if from.Slowdown > 0 {
		to.Slowdown = int(from.Slowdown)
		to.SlowdownAt = now.Add(-age - time.Duration(from.SlowdownAgeMs)*time.Millisecond)
	}
}
