package soak

import (
	"net/http"
	"strings"
	"time"

	"zinniapin/internal/standin/engine"
	"zinniapin/target"
)

// leavingLimit is the time after which a target that is leaving or gone gets
// no new work.
const leavingLimit = 14 * time.Second

// requestIDBytes is the length of a gateway's request id, with which the ids
// of its attempts begin.
const requestIDBytes = 32

// seen is what targets saw of a gateway's request.
type seen struct {
	organisation string
	first        bool // an attempt began with the first token
}

// judge checks what can be checked only at the end.
func (w *world) judge() {
	engines := w.judgeEngines()
	w.judgePlatform()
	w.judgeDesk()
	w.judgeLeaving()
	w.judgeRefusals(engines)
	w.judgeUsage(engines)
	w.judgeTokens(engines)
	w.judgeMemory()
	w.judgeShutdowns()
}

// judgeEngines checks orders and requests of all engines and returns the
// requests by id.
func (w *world) judgeEngines() map[string]seen {
	requests := map[string]seen{}
	scopes := map[string]string{}
	for id, e := range w.cloud.all() {
		records := e.Records()
		for _, o := range records.Conflicts() {
			w.report.violation("engine %s received a conflicting order %+v among %+v", id, o, records.Orders)
		}
		w.report.note("orders received by engines", len(records.Orders))
		w.report.note("attempts cut by a crash or change", records.Cut)
		for _, o := range records.Orders {
			w.report.note("orders "+string(o.Outcome), 1)
		}
		for _, r := range records.Requests {
			w.judgeRequest(id, r, scopes, requests)
		}
		w.judgeCuts(id, e)
	}
	return requests
}

// judgeRequest checks whom a request ran for and that it held no key.
func (w *world) judgeRequest(id target.ID, r target.GenerateRequest, scopes map[string]string, requests map[string]seen) {
	_, content, _ := strings.Cut(r.Prompt, "\n")
	organisation, _, _ := strings.Cut(content, "/")
	if known, ok := scopes[r.CacheScope]; ok && known != organisation {
		w.report.violation("engine %s ran a request of %s in the scope of %s", id, organisation, known)
	}
	scopes[r.CacheScope] = organisation
	for _, field := range []string{r.Prompt, r.CacheScope, r.Attempt, r.Delivered, r.KVHandle} {
		if strings.Contains(field, keyMark) {
			w.report.violation("engine %s saw a key in attempt %s", id, r.Attempt)
		}
	}
	request := r.Attempt[:min(len(r.Attempt), requestIDBytes)]
	s := requests[request]
	requests[request] = seen{organisation, s.first || r.Offset == 0}
}

// Tags of violations that may be on the list of known faults.
const (
	// plannedCut is that of planned changes that cut requests.
	plannedCut = "planned-cut"
	// usageUnreported is that of use that is missing in the reports.
	usageUnreported = "usage-unreported"
)

// judgeCuts checks that no planned change cut an attempt of a gateway that the
// planner could hear, and that no caller was left without its answer by one.
func (w *world) judgeCuts(id target.ID, e *engine.Engine) {
	cut := e.Records().CutByChange
	w.report.note("attempts cut by a planned change", len(cut))
	if len(cut) == 0 {
		return
	}
	byRequest := map[string]*attempt{}
	attempts, _ := w.ledger.all()
	for _, a := range attempts {
		byRequest[a.request] = a
	}
	for _, c := range cut {
		a := byRequest[c.Attempt[:min(len(c.Attempt), requestIDBytes)]]
		if a == nil {
			continue
		}
		if !w.unheard(a.gateway, c.At) {
			w.report.tagged(plannedCut, "a planned change of engine %s cut %s of %s through %s at %v", id, a.kind, a.subject, a.gateway, c.At)
		} else if !a.whole && a.code != "" && a.execution != "not_run" {
			w.report.tagged(plannedCut, "a planned change of engine %s cut %s of %s, which ended with %s", id, a.kind, a.subject, a.code)
		}
	}
}

const (
	// goneAfter is the least silence after which a gateway passes for gone.
	goneAfter = 8 * time.Second
	// backAfter is how long it may do so after the fault has healed.
	backAfter = 5 * time.Second
)

// unheard tells whether a gateway was frozen, or any hosts were cut off each
// other, for so long before a time that the gateway may pass for gone.
func (w *world) unheard(gateway string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.silences {
		if (f.gateway == "" || f.gateway == gateway) && at.Sub(f.from) > goneAfter && (f.to.IsZero() || f.to.Add(backAfter).After(at)) {
			return true
		}
	}
	return false
}

// judgePlatform collects what the platform found.
func (w *world) judgePlatform() {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, p := range w.cloud.problems {
		w.report.violation("platform: %s", p)
	}
	w.report.note("orders taken by the platform", w.cloud.taken)
	w.report.note("windows reported", w.cloud.reported)
}

// judgeDesk collects what the plain service found, and checks the outcomes of
// non-repeatable calls against its books.
func (w *world) judgeDesk() {
	w.desk.mu.Lock()
	defer w.desk.mu.Unlock()
	for _, p := range w.desk.problems {
		w.report.violation("service: %s", p)
	}
	attempts, _ := w.ledger.all()
	whole, doubt := map[string]bool{}, map[string]bool{}
	for _, a := range attempts {
		if a.kind != "deposit" {
			continue
		}
		whole[a.subject] = whole[a.subject] || a.whole
		doubt[a.subject] = doubt[a.subject] || a.execution != "not_run"
	}
	for id, done := range whole {
		if runs := w.desk.runs[id]; done && runs != 1 {
			w.report.violation("service: %s was answered and ran %d times", id, runs)
		}
		if runs := w.desk.runs[id]; !done && !doubt[id] && runs != 0 {
			w.report.violation("service: every attempt at %s was refused as not run, it ran %d times", id, runs)
		}
	}
}

// judgeLeaving checks that leaving targets got no new work.
func (w *world) judgeLeaving() {
	_, choices := w.ledger.all()
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, c := range choices {
		noticed, leaving := w.cloud.noticed[c.target]
		switch {
		case !leaving || c.at.Sub(noticed) <= leavingLimit:
		case w.wokeJustBefore(c.gateway, c.at):
			w.report.note("leaving targets chosen just after a pause", 1)
		default:
			w.report.violation("%s chose %s %v after its notice, at %v", c.gateway, c.target, c.at.Sub(noticed), c.at)
		}
	}
}

// wakingSpan is how long after a pause a gateway may go by its old view.
const wakingSpan = 3 * time.Second

// wokeJustBefore tells whether a gateway was frozen just before a time, or is.
func (w *world) wokeJustBefore(gateway string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.silences {
		if s.gateway == gateway && !s.from.After(at) && (s.to.IsZero() || !s.to.Add(wakingSpan).Before(at)) {
			return true
		}
	}
	return false
}

// judgeRefusals checks that what was refused as not run did not run.
func (w *world) judgeRefusals(engines map[string]seen) {
	services := w.serviceRequests()
	attempts, _ := w.ledger.all()
	for _, a := range attempts {
		if a.execution != "not_run" {
			continue
		}
		_, atEngine := engines[a.request]
		_, atService := services[a.request]
		if atEngine || atService {
			w.report.violation("%s refused %s %s as not run (%s), it ran", a.gateway, a.kind, a.subject, a.code)
		}
		w.report.note("refusals as not run checked", 1)
	}
}

// serviceRequests returns the organisations of the gateways' requests that
// ran at the plain service.
func (w *world) serviceRequests() map[string]string {
	w.desk.mu.Lock()
	defer w.desk.mu.Unlock()
	requests := map[string]string{}
	for _, c := range w.desk.calls {
		requests[c.request] = c.organisation
	}
	return requests
}

// judgeUsage compares what was reported with what ran and with what callers
// received. The use that only a killed gateway knew may be missing; nothing
// may be reported that did not run.
func (w *world) judgeUsage(engines map[string]seen) {
	services := w.serviceRequests()
	lost := w.lostGateways()
	attempts, _ := w.ledger.all()
	for _, name := range organisations {
		var ranRequests, ranCalls, gotRequests, gotCalls uint64
		for _, s := range engines {
			if s.organisation == name && s.first {
				ranRequests++
			}
		}
		for _, organisation := range services {
			if organisation == name {
				ranCalls++
			}
		}
		for _, a := range attempts {
			served := a.organisation == name && a.whole && !lost[a.gateway]
			switch {
			case served && (a.kind == "chat" || a.kind == "stream") && !a.resumed:
				gotRequests++
			case served && a.status == http.StatusCreated && !a.replayed:
				gotCalls++
			}
		}
		total := w.cloud.total(name)
		requests, calls := total.Requests, total.Calls
		w.report.note("reported requests of "+name, int(requests))
		w.report.note("reported calls of "+name, int(calls))
		if requests > ranRequests || calls > ranCalls {
			w.report.violation("usage of %s: reported %d requests and %d calls, %d and %d ran", name, requests, calls, ranRequests, ranCalls)
		}
		if requests < gotRequests || calls < gotCalls {
			w.report.tagged(usageUnreported, "usage of %s: reported %d requests and %d calls, callers got %d and %d", name, requests, calls, gotRequests, gotCalls)
		}
	}
}

// judgeMemory checks that nothing is left that waits.
func (w *world) judgeMemory() {
	for _, p := range w.gateways() {
		if left := p.serving.Usage(); len(left) > 0 {
			w.report.violation("%s still holds %d counters", p.id, len(left))
		}
	}
}

// judgeShutdowns checks that a gateway that was asked to end cut nobody.
func (w *world) judgeShutdowns() {
	w.mu.Lock()
	stopped := map[string]bool{}
	for _, p := range w.past {
		stopped[p.id] = p.stopped
	}
	w.mu.Unlock()
	attempts, _ := w.ledger.all()
	for _, a := range attempts {
		if !stopped[a.gateway] {
			continue
		}
		w.report.note("attempts at gateways that were stopped", 1)
		if !a.whole && a.code == "" && !a.gaveUp && !a.unreached {
			w.report.violation("%s cut %s of %s, sent at %v, by its shutdown: status %d, %v", a.gateway, a.kind, a.subject, a.sent, a.status, a.failed)
		}
	}
}
