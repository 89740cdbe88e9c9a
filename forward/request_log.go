package forward

import (
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/target"
)

// trail is what the log line of a request says.
type trail struct {
	targets  []string
	decision dispatch.Decision
	reading  target.ID // prefilled there
	first    time.Duration
	events   int
	resumed  int
	status   int
	code     result.Code
}

// finish writes the log line and the metrics of the request.
func (r *request) finish() {
	spent := time.Since(r.in.Arrived)
	r.h.Metrics.observe(r, spent)
	line := event.RequestDone.Log(r.h.Log).Str("request", r.call.ID).Int("status", r.trail.status).
		Float64("ms", milliseconds(spent)).Uint64("revision", r.view.Revision)
	if r.view.Table != nil {
		line = line.Uint64("configuration", r.view.Table.Version())
	}
	if r.trail.code != 0 {
		line = line.Int("code", int(r.trail.code)).Str("reason", r.trail.code.String()).Str("execution", r.execution.String())
	}
	if r.route == nil {
		line.Str("host", r.in.Host).Str("path", r.in.Path).Send()
		return
	}
	line = line.Str("route", r.route.Name).Int("sent", r.sent).Strs("targets", r.trail.targets)
	if r.holder != nil {
		line = line.Str("organisation", r.holder.Name)
	}
	if r.service != nil {
		line = line.Str("service", r.service.Name)
	}
	d := &r.trail.decision
	if d.Candidates > 0 {
		line = line.Int("candidates", d.Candidates).Float64("wait_ms", milliseconds(d.Wait)).
			Float64("bound_ms", milliseconds(d.MaxWait)).Float64("forecast_ms", milliseconds(d.Forecast)).Float64("load_age_ms", milliseconds(d.LoadAge))
	}
	if r.job.PromptTokens > 0 {
		line = line.Int("prompt", r.job.PromptTokens).Int("unread", d.UncachedTokens).Bool("returning", r.job.RefusedBefore).
			Int("events", r.trail.events).Int("resumed", r.trail.resumed).Float64("first_ms", milliseconds(r.trail.first))
	}
	if d.FetchFrom.ID != "" {
		line = line.Str("fetched_from", string(d.FetchFrom.ID))
	}
	if r.trail.reading != "" {
		line = line.Str("prefilled_at", string(r.trail.reading))
	}
	line.Send()
}

// milliseconds converts a duration for the log.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
