package gateway

import (
	"time"

	"zinniapin/event"
	"zinniapin/routing"
)

// recordAttempt records the outcome of an attempt in the execution state, the metrics, the
// log and the history.
func (gen *generation) recordAttempt(a *engineAttempt, err error) {
	gen.execution.record(err, a.chunks > 0)
	outcome := attemptExecution(err, a.chunks > 0).String()
	if err == nil {
		outcome = "whole"
	}
	gen.gateway.metrics.attempts.WithLabelValues(outcome).Inc()
	if err == nil {
		return
	}
	event.AttemptFailed.Log(&gen.gateway.log).Str("request", gen.call.id).Str("attempt", a.id).
		Str("target", string(a.target.ID)).Str("outcome", outcome).Int("delivered", gen.assembly.received).Err(err).Send()
	gen.gateway.history.add(decision{At: time.Now(), Request: gen.call.id, Organisation: gen.contract.Organisation,
		Decision: "attempt_failed", Target: string(a.target.ID), Reason: err.Error(), Execution: outcome})
}

// logRouted records a routing decision in the log and the history.
func (g *Gateway) logRouted(c *call, organisation, model string, choice *routing.Choice) {
	line := event.RequestRouted.Log(&g.log).Str("request", c.id).Str("organisation", organisation).Str("model", model).
		Str("target", string(choice.Target.ID)).Str("reason", string(choice.Reason)).Int("candidates", choice.Candidates).
		Int64("expected_ms", choice.Expected.Milliseconds())
	if choice.Prefill != nil {
		line = line.Str("prefill", string(choice.Prefill.ID))
	}
	line.Send()
	g.history.add(decision{At: time.Now(), Request: c.id, Organisation: organisation, Decision: "routed",
		Target: string(choice.Target.ID), Reason: string(choice.Reason), Candidates: choice.Candidates,
		ExpectedMS: choice.Expected.Milliseconds()})
}
