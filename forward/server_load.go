package forward

import (
	"time"

	"zinniapin/dispatch"
	"zinniapin/roster"
)

// heedLoad takes in the load that a target reports in a response, if that includes a slowdown. A misdirected
// request was answered by another target, whose load says nothing of this one.
func (h *Handler) heedLoad(t roster.Target, info ResponseInfo) {
	if !info.SlowdownGiven || info.Misdirected {
		return
	}
	h.PlannerMu.Lock()
	defer h.PlannerMu.Unlock()
	h.Planner.SetServerLoad(time.Now(), t, dispatch.ServerLoad{Running: info.Running, Waiting: info.Waiting, Slots: info.Slots, Slowdown: info.Slowdown})
}
