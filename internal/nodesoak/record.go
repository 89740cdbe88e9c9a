package nodesoak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/internal/verdict"
)

// contactTime is how long a node must have run undisturbed, with the store, until promises with a bound in
// time hold for what it sends.
const contactTime = 3 * time.Second

// bounds returns the promises of a run. A node may be cut off from the store for up to 2.8 s; the
// bounds without contact add that to those with contact.
func bounds() verdict.Bounds {
	return verdict.Bounds{
		Contact: contactTime, Drain: 2 * time.Second, DrainAnywhere: 6 * time.Second, ConfigApply: 2 * time.Second, ConfigAnywhere: 6 * time.Second,
		Rollback: 250 * time.Millisecond, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		LimitFactor: 1.5, LimitSlack: 5, LimitWindow: 4 * time.Second,
		RequireFence: true, Lease: 1500 * time.Millisecond, Thaw: 300 * time.Millisecond,
		UsageWindow: 2 * time.Second, UsageLate: 10 * time.Second, UsageTolerance: 0.05,
		QuotaWindow: limitWindow, QuotaOverage: limitOverage, QuotaSlack: limitSlack, QuotaSettle: limitSettle,
		CutShare: 2. / 3, MaxCutFailures: 10, CutFailureRatio: 0.02,
		TakeUps: 20, WentOnShare: 0.25,
		RecoveryShare: 0.5, ServedShare: 0.25, MaxDenied: 5, DeniedRatio: 0.002, MaxSilence: 1500 * time.Millisecond,
	}
}

// history collects what was written to the store and done to it.
type history struct {
	mu             sync.Mutex
	configurations []verdict.Configuration
	disruptions    []verdict.Disruption
	organisations  map[string]prepared.Organisation // by API key
}

// crashParts are the parts of prompts that end engines.
var crashParts = []string{"dead1", "dead2", "dead3"}

// point returns a span that begins and ends now.
func point() verdict.Span {
	now := time.Now()
	return verdict.Span{From: now, To: now}
}

// disturbStore records that the store is disturbed at present.
func (h *history) disturbStore() {
	h.mu.Lock()
	h.disruptions = append(h.disruptions, verdict.Disruption{Kind: verdict.Harm, Span: point()})
	h.mu.Unlock()
}

// addConfiguration records a configuration that was accepted just now.
func (h *history) addConfiguration(raw []byte, written time.Time) error {
	var wire struct {
		Routes []struct {
			Name, Kind, Service    string
			TimeoutMs, MaxAttempts int
			Resumable              bool
		}
		Tenants []prepared.Organisation
	}
	if err := json.Unmarshal(raw, &wire); err != nil {
		return err
	}
	c := verdict.Configuration{Written: written, Acknowledged: time.Now(), Routes: make(map[string]verdict.Route), Keys: make(map[string]string), Limits: make(map[string]verdict.OrganisationLimit)}
	for _, r := range wire.Routes {
		stream := r.Kind == "stream"
		c.Routes[r.Name] = verdict.Route{Service: r.Service, Stream: stream, Once: r.Kind == "non_idempotent" || stream && !r.Resumable,
			MaxAttempts: r.MaxAttempts, Timeout: time.Duration(r.TimeoutMs) * time.Millisecond}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range wire.Tenants {
		c.Limits[t.Name] = verdict.OrganisationLimit{Rate: t.RatePerS, Burst: t.Burst}
		for _, key := range t.ApiKeys {
			c.Keys[key] = t.Name
			if h.organisations == nil {
				h.organisations = make(map[string]prepared.Organisation)
			}
			h.organisations[key] = t
		}
	}
	h.configurations = append(h.configurations, c)
	return nil
}

// countUnits sets the organisations of requests, and what they count against its limit. Versions of a run differ in
// the rate and the burst of a limit only.
func (h *history) countUnits(requests []verdict.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range requests {
		r := &requests[i]
		if o, known := h.organisations[r.Key]; known {
			r.Organisation, r.Units = o.Name, float64(o.Units(r.Prompt.Tokens))
		}
	}
}

// addTo adds the history to a run.
func (h *history) addTo(r *verdict.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Configurations = append(r.Configurations, h.configurations...)
	r.Disruptions = append(r.Disruptions, h.disruptions...)
}

// prompt returns what the headers of a request say of its prompt.
func prompt(h http.Header) verdict.Prompt {
	return verdict.Prompt{Model: h.Get("X-Model"), Tokens: h.Get("X-Token-Count"), Parts: h.Get("X-Prompt-Prefix")}
}

// serviceOf returns the service to which a target belongs.
func serviceOf(t *prepared.Target) string {
	if t.Stage == "" {
		return "desk"
	}
	return "model"
}

// addTarget adds what a target observed to a run. listed is when the store listed it, leaves when it said that it
// leaves; zero if it did not.
func addTarget(r *verdict.Run, t *prepared.Target, listed, leaves time.Time, limits []verdict.Limit) {
	target := verdict.Target{ID: t.ID, Service: serviceOf(t), Version: t.Version, Listed: listed, Leaves: leaves, Limits: limits}
	for _, s := range t.Silences() {
		target.Silences = append(target.Silences, verdict.Span(s))
	}
	r.Targets = append(r.Targets, target)
	for _, c := range t.Crashes() {
		crash := verdict.Crash{Target: t.ID, At: c.At}
		if slices.Contains(crashParts, c.Part) {
			crash.Part = c.Part
		} else {
			crash.Content = c.Part // the body of the request that ended it
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, a := range t.Arrivals() {
		millis, _ := strconv.ParseFloat(a.Header.Get("X-Deadline-Ms"), 64) // a missing one is 0
		r.Arrivals = append(r.Arrivals, verdict.Arrival{
			Request: a.ID, Target: t.ID, Method: a.Method, URI: a.RequestURI, Body: a.Body, Prompt: prompt(a.Header),
			Organisation: a.Header.Get("X-Tenant"), Key: a.Header.Get("X-Credential"), Deadline: time.Duration(millis * float64(time.Millisecond)),
			At: a.At, Ended: a.Ended, Due: a.Due, Ran: a.Executed, PromptOnly: a.Header.Get("X-Stage") == "prefill",
			Misdirected: a.Status == http.StatusMisdirectedRequest, BrokeOff: a.BrokeOff, Status: a.Status, Signature: a.Signature,
			Answer: a.Answer, Leaving: a.Leaving, Pause: a.Pause,
		})
	}
}

// addDuties adds the calls of duties to a run.
func addDuties(r *verdict.Run, calls []prepared.DutyCall) {
	for _, c := range calls {
		call := verdict.DutyCall{At: c.At, Subject: c.Path, Holder: c.Holder, Host: c.Holder, Fence: c.Fence, Accepted: c.Status == http.StatusOK}
		if c.Path == "/usage" {
			window, _ := c.Body["WindowId"].(float64)
			counts, _ := c.Body["Counts"].(map[string]any)
			call.Usage, call.Window, call.Counts = true, int64(window), make(map[string]int)
			for organisation, n := range counts {
				count, _ := n.(float64)
				call.Counts[organisation] = int(count)
			}
		} else {
			call.Subject = fmt.Sprint(c.Path, " ", c.Body["Service"], " ", c.Body["Zone"])
		}
		r.Duties = append(r.Duties, call)
	}
}
