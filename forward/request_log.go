package forward

import (
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/target"
	"zinniapin/upstream"
)

// requestSummary collects the fields of the log line of a request.
type requestSummary struct {
	targets     []string          // targets of all attempts, in order
	decision    dispatch.Decision // the latest one
	prefilledAt target.ID         // target of the latest separate prefill
	firstEvent  time.Duration     // from arrival to the first event or response of a target
	events      int               // writes of complete events to the caller
	resumed     int               // further attempts after the response had started
	framing     upstream.Framing  // of the latest response of a target
	through     string            // host through which that response came; empty for none
	version     string            // software version of the target of the latest attempt at a stream
	partial     int               // bytes after the last complete event when the latest stream ended
	denied      *LimitRefusal     // why the units of the latest planned attempt were refused; nil if they were not
	status      int
	code        result.Code // 0 when the response of a target was sent
}

// logAndCount writes the log line of the request and updates the metrics.
func (r *request) logAndCount() {
	elapsed := time.Since(r.in.Arrived)
	r.h.Metrics.observe(r, elapsed)
	line := event.RequestDone.Log(r.h.Log).Str("request", r.info.ID).Int("status", r.summary.status).
		Float64("ms", milliseconds(elapsed)).Uint64("revision", r.view.Revision)
	if r.view.Table != nil {
		line = line.Uint64("configuration", r.view.Table.Version())
	}
	if r.summary.code != 0 {
		line = line.Int("code", int(r.summary.code)).Str("reason", r.summary.code.String()).Str("execution", r.sent.execution().String())
	}
	if r.route == nil {
		line.Str("host", r.in.Host).Str("path", r.in.Path).Send()
		return
	}
	line = line.Str("route", r.route.Name).Int("sent", r.sent.attempts).Strs("targets", r.summary.targets)
	if r.organisation != nil {
		line = line.Str("organisation", r.organisation.Name)
	}
	if r.service != nil {
		line = line.Str("service", r.service.Name)
	}
	d := &r.summary.decision
	if d.Candidates > 0 {
		line = line.Int("candidates", d.Candidates).Float64("wait_ms", milliseconds(d.Wait)).
			Float64("bound_ms", milliseconds(d.MaxWait)).Float64("forecast_ms", milliseconds(d.Forecast)).Float64("load_age_ms", milliseconds(d.LoadAge))
	}
	if d.Slowdown != 0 && d.Slowdown != 100 {
		line = line.Int("slowdown", d.Slowdown)
	}
	if r.job.PromptTokens > 0 {
		line = line.Int("prompt", r.job.PromptTokens).Int("unread", d.UncachedTokens).Bool("returning", r.job.RefusedBefore).
			Int("events", r.summary.events).Int("resumed", r.summary.resumed).Int("partial_event_bytes", r.summary.partial).Float64("first_ms", milliseconds(r.summary.firstEvent)).
			Float64("forecast_last_ms", milliseconds(d.LastToken)).Int("expected_output", r.job.OutputTokens)
	}
	if r.summary.denied != nil {
		line = line.Str("denied", r.summary.denied.Code.String())
	}
	if r.summary.framing != "" {
		line = line.Str("framing", string(r.summary.framing))
	}
	if r.summary.through != "" {
		line = line.Str("through", r.summary.through)
	}
	if r.summary.version != "" {
		line = line.Str("version", r.summary.version)
	}
	if r.info.LastEventID != "" {
		line = line.Str("resumes", r.info.Resumes).Str("after_event", r.info.LastEventID)
	}
	if d.FetchFrom.ID != "" {
		line = line.Str("fetched_from", string(d.FetchFrom.ID))
	}
	if r.summary.prefilledAt != "" {
		line = line.Str("prefilled_at", string(r.summary.prefilledAt)).Int("prefills", r.sent.prefills)
	}
	if len(r.sharedParts) > 0 {
		line = line.Strs("parts", namesOf(r.sharedParts))
	}
	line.Send()
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// milliseconds returns a duration in milliseconds for the log.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// restoreSummary takes back what an attempt in place of a silent target has noted, but for its targets.
func (r *request) restoreSummary(before requestSummary) {
	before.targets = r.summary.targets
	r.summary = before
}
