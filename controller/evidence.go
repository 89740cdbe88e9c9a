package controller

import (
	"time"

	"zinniapin/control"
	"zinniapin/wire"
)

// Controllers pass on the gateways' evidence on requests that crash targets. They decide
// nothing by it, but know which requests are blocked and tell of these first.

// mergeCrashEvidence takes the evidence in a heartbeat. The caller holds k.mu.
func (k *Controller) mergeCrashEvidence(now time.Time, h *wire.Heartbeat) {
	for _, e := range h.ToCrashEvidence(now) {
		k.crashes.Merge(now, e)
	}
}

// addCrashEvidence adds to a reply what was learnt lately, and at first and now and then all.
// The caller holds k.mu.
func (k *Controller) addCrashEvidence(now time.Time, request, reply *wire.Heartbeat) {
	since := now.Add(-control.EvidenceAge())
	if request.MembersVersion == 0 { // the link is new
		since = time.Time{}
	}
	reply.SetCrashEvidence(now, k.crashes.Recent(control.MaxEvidence, since))
}
