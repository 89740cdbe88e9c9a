package soak

import (
	"net/http"
	"strings"
	"time"

	"zinniapin/internal/standin/engine"
	"zinniapin/target"
)

// leavingLimit is the time after which a target that is listed as leaving or gone must get no
// new work.
const leavingLimit = 14 * time.Second

// requestIDBytes is the length of a gateway's request id. The ids of its attempts at targets
// begin with it.
const requestIDBytes = 32

// engineRequest is what engines received of a gateway's request.
type engineRequest struct {
	organisation        string
	generatedFirstToken bool // an attempt started at the first output token
}

// checkAtEnd checks the invariants that only a finished run can show.
func (sim *simulation) checkAtEnd() {
	engines := sim.checkEngines()
	sim.checkPlatform()
	sim.checkService()
	sim.checkLeaving()
	sim.checkRefusals(engines)
	sim.checkFatal()
	sim.checkUsage(engines)
	sim.checkTokens(engines)
	sim.checkCounters()
	sim.checkShutdowns()
}

// checkEngines checks the orders and requests that all engines received and returns the requests
// by their id.
func (sim *simulation) checkEngines() map[string]engineRequest {
	requests := map[string]engineRequest{}
	scopes := map[string]string{}
	for id, e := range sim.platform.allEngines() {
		records := e.Records()
		for _, o := range records.Conflicts() {
			sim.report.violation("engine %s received a conflicting order %+v among %+v", id, o, records.Orders)
		}
		sim.report.note("orders received by engines", len(records.Orders))
		sim.report.note("attempts cut by a crash or change", records.Cut)
		for _, o := range records.Orders {
			sim.report.note("orders "+string(o.Outcome), 1)
		}
		for _, r := range records.Requests {
			sim.checkRequest(id, r, scopes, requests)
		}
		sim.checkPlannedCuts(id, e)
	}
	return requests
}

// checkRequest checks that a cache scope is used by one organisation only and that no field
// contains an API key, and adds the request to requests. scopes holds the organisation of each
// cache scope seen so far.
func (sim *simulation) checkRequest(id target.ID, r target.GenerateRequest, scopes map[string]string, requests map[string]engineRequest) {
	_, content, _ := strings.Cut(r.Prompt, "\n")
	organisation, _, _ := strings.Cut(content, "/")
	if known, ok := scopes[r.CacheScope]; ok && known != organisation {
		sim.report.violation("engine %s ran a request of %s in the scope of %s", id, organisation, known)
	}
	scopes[r.CacheScope] = organisation
	for _, field := range []string{r.Prompt, r.CacheScope, r.Attempt, r.Delivered, r.KVHandle} {
		if strings.Contains(field, keyPrefix) {
			sim.report.violation("engine %s saw a key in attempt %s", id, r.Attempt)
		}
	}
	request := r.Attempt[:min(len(r.Attempt), requestIDBytes)]
	s := requests[request]
	requests[request] = engineRequest{organisation, s.generatedFirstToken || r.Offset == 0}
}

// Tags of violations that KNOWN-RED.txt may list.
const (
	// plannedCut marks planned changes of engines that interrupted requests.
	plannedCut = "planned-cut"
	// usageUnreported marks usage that is missing from the usage reports.
	usageUnreported = "usage-unreported"
)

// checkPlannedCuts checks that no planned change of the engine interrupted an attempt of a
// gateway that the planner could reach. An attempt of an isolated gateway may be interrupted,
// but its caller must get the answer or learn that it did not run.
func (sim *simulation) checkPlannedCuts(id target.ID, e *engine.Engine) {
	cut := e.Records().CutByChange
	sim.report.note("attempts cut by a planned change", len(cut))
	if len(cut) == 0 {
		return
	}
	byRequest := map[string]*attempt{}
	attempts, _ := sim.recorder.snapshot()
	for _, a := range attempts {
		byRequest[a.requestID] = a
	}
	for _, c := range cut {
		a := byRequest[c.Attempt[:min(len(c.Attempt), requestIDBytes)]]
		if a == nil {
			continue
		}
		if !sim.wasIsolated(a.gateway, c.At) {
			sim.report.knownFault(plannedCut, "a planned change of engine %s cut %s of %s through %s at %v", id, a.kind, a.subject, a.gateway, c.At)
		} else if !a.complete && a.code != "" && a.execution != "not_run" {
			sim.report.knownFault(plannedCut, "a planned change of engine %s cut %s of %s, which ended with %s", id, a.kind, a.subject, a.code)
		}
	}
}

const (
	// presumedGoneAfter is the shortest isolation after which a gateway may be considered gone.
	presumedGoneAfter = 8 * time.Second
	// rejoinDelay is how long a gateway may be considered gone after its isolation ended.
	rejoinDelay = 5 * time.Second
)

// wasIsolated reports whether a gateway may be considered gone at a time, because it was frozen,
// or any hosts were cut off from each other, for long enough before.
func (sim *simulation) wasIsolated(gateway string, at time.Time) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, f := range sim.isolations {
		if (f.gateway == "" || f.gateway == gateway) && at.Sub(f.from) > presumedGoneAfter && (f.to.IsZero() || f.to.Add(rejoinDelay).After(at)) {
			return true
		}
	}
	return false
}

// checkPlatform reports the violations that the platform found.
func (sim *simulation) checkPlatform() {
	sim.platform.mu.Lock()
	defer sim.platform.mu.Unlock()
	for _, p := range sim.platform.problems {
		sim.report.violation("platform: %s", p)
	}
	sim.report.note("orders taken by the platform", sim.platform.ordersApplied)
	sim.report.note("windows reported", sim.platform.reportsReceived)
}

// checkService reports the violations that the plain service found, and checks the outcomes of
// non-repeatable calls against its executions.
func (sim *simulation) checkService() {
	sim.service.mu.Lock()
	defer sim.service.mu.Unlock()
	for _, p := range sim.service.problems {
		sim.report.violation("service: %s", p)
	}
	attempts, _ := sim.recorder.snapshot()
	complete, mayHaveRun := map[string]bool{}, map[string]bool{}
	for _, a := range attempts {
		if a.kind != "deposit" {
			continue
		}
		complete[a.subject] = complete[a.subject] || a.complete
		mayHaveRun[a.subject] = mayHaveRun[a.subject] || a.execution != "not_run"
	}
	for id, complete := range complete {
		if runs := sim.service.runs[id]; complete && runs != 1 {
			sim.report.violation("service: %s got its response but ran %d times", id, runs)
		}
		if runs := sim.service.runs[id]; !complete && !mayHaveRun[id] && runs != 0 {
			sim.report.violation("service: every attempt at %s was refused as not run, but it ran %d times", id, runs)
		}
	}
}

// checkLeaving checks that gateways chose no leaving target, except just after they were frozen.
func (sim *simulation) checkLeaving() {
	_, choices := sim.recorder.snapshot()
	sim.platform.mu.Lock()
	defer sim.platform.mu.Unlock()
	for _, c := range choices {
		shownAt, leaving := sim.platform.firstShownLeaving[c.target]
		switch {
		case !leaving || c.at.Sub(shownAt) <= leavingLimit:
		case sim.wokeRecently(c.gateway, c.at):
			sim.report.note("leaving targets chosen just after a pause", 1)
		default:
			sim.report.violation("%s chose %s %v after it was first listed as leaving, at %v", c.gateway, c.target, c.at.Sub(shownAt), c.at)
		}
	}
}

// staleViewAfterWake is how long a gateway may act on its old view of the targets after a pause.
const staleViewAfterWake = 3 * time.Second

// wokeRecently reports whether a gateway was frozen at a time or within staleViewAfterWake
// before it.
func (sim *simulation) wokeRecently(gateway string, at time.Time) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, s := range sim.isolations {
		if s.gateway == gateway && !s.from.After(at) && (s.to.IsZero() || !s.to.Add(staleViewAfterWake).Before(at)) {
			return true
		}
	}
	return false
}

// checkRefusals checks that no target ran a request that a gateway refused as not run.
func (sim *simulation) checkRefusals(engines map[string]engineRequest) {
	services := sim.serviceRequests()
	attempts, _ := sim.recorder.snapshot()
	for _, a := range attempts {
		if a.execution != "not_run" {
			continue
		}
		_, atEngine := engines[a.requestID]
		_, atService := services[a.requestID]
		if atEngine || atService {
			sim.report.violation("%s refused %s %s as not run (%s), but it ran", a.gateway, a.kind, a.subject, a.code)
		}
		sim.report.note("refusals as not run checked", 1)
	}
}

// serviceRequests returns the requests that the plain service executed, with the organisation
// that the gateway named for each.
func (sim *simulation) serviceRequests() map[string]string {
	sim.service.mu.Lock()
	defer sim.service.mu.Unlock()
	requests := map[string]string{}
	for _, c := range sim.service.calls {
		requests[c.request] = c.headerOrganisation
	}
	return requests
}

// checkUsage compares the reported requests and calls with those that ran and those that callers
// saw complete. Usage that only a killed gateway held may be missing; reports must not exceed
// what ran.
func (sim *simulation) checkUsage(engines map[string]engineRequest) {
	services := sim.serviceRequests()
	lostState := sim.gatewaysWithLostState()
	attempts, _ := sim.recorder.snapshot()
	for _, name := range organisations {
		var ranRequests, ranCalls, completeRequests, completeCalls uint64
		for _, s := range engines {
			if s.organisation == name && s.generatedFirstToken {
				ranRequests++
			}
		}
		for _, organisation := range services {
			if organisation == name {
				ranCalls++
			}
		}
		for _, a := range attempts {
			served := a.organisation == name && a.complete && !lostState[a.gateway]
			switch {
			case served && (a.kind == "chat" || a.kind == "stream") && !a.resumed:
				completeRequests++
			case served && a.status == http.StatusCreated && !a.replayed:
				completeCalls++
			}
		}
		total := sim.platform.reportedUsage(name)
		requests, calls := total.Requests, total.Calls
		sim.report.note("reported requests of "+name, int(requests))
		sim.report.note("reported calls of "+name, int(calls))
		if requests > ranRequests || calls > ranCalls {
			sim.report.violation("usage of %s: reported %d requests and %d calls, %d and %d ran", name, requests, calls, ranRequests, ranCalls)
		}
		if requests < completeRequests || calls < completeCalls {
			sim.report.knownFault(usageUnreported, "usage of %s: reported %d requests and %d calls, callers got %d and %d", name, requests, calls, completeRequests, completeCalls)
		}
	}
}

// checkCounters checks that no gateway still holds usage that it has not handed over.
func (sim *simulation) checkCounters() {
	for _, p := range sim.gateways() {
		if left := p.gateway.Usage(); len(left) > 0 {
			sim.report.violation("%s still holds %d counters", p.id, len(left))
		}
	}
}

// checkShutdowns checks that a gateway that was asked to shut down broke no request.
func (sim *simulation) checkShutdowns() {
	sim.mu.Lock()
	stopped := map[string]bool{}
	for _, p := range sim.startedGateways {
		stopped[p.id] = p.stopped
	}
	sim.mu.Unlock()
	attempts, _ := sim.recorder.snapshot()
	for _, a := range attempts {
		if !stopped[a.gateway] {
			continue
		}
		sim.report.note("attempts at gateways that were stopped", 1)
		if !a.complete && a.code == "" && !a.timedOut && !a.notConnected {
			sim.report.violation("%s cut %s of %s, sent at %v, by its shutdown: status %d, %v", a.gateway, a.kind, a.subject, a.sent, a.status, a.transportError)
		}
	}
}
