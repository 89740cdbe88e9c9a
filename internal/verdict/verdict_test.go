package verdict

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bounds are those of the cases.
var bounds = Bounds{
	Contact: 3 * time.Second, Drain: 2 * time.Second, DrainAnywhere: 6 * time.Second, ConfigApply: 2 * time.Second, ConfigAnywhere: 6 * time.Second,
	Rollback: 250 * time.Millisecond, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 5, RetryWindow: 10 * time.Second,
	LimitFactor: 1.5, LimitSlack: 5, LimitWindow: 4 * time.Second, RequireFence: true, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond,
	UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second, UsageTolerance: 0.05, Recovery: 12 * time.Second, RecoveryShare: 0.25, RecoveryBefore: 0.25,
	QuotaWindow: 4 * time.Second, QuotaOverage: 0.1, QuotaSlack: 5, QuotaSettle: 5 * time.Second,
	CutShare: 2. / 3, MaxCutFailures: 10, CutFailureRatio: 0.02, MaxDenied: 5, DeniedRatio: 0.002, MaxDeniedAlways: 10, MaxOwnEnds: 2, MaxSilence: 1500 * time.Millisecond,
}

// start is when a record's run begins, at the begin of a usage window.
var start = time.Unix(1_800_000_000, 0)

// at returns a time of the run.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// span returns a time between two others.
func span(from, to int) Span { return Span{at(from), at(to)} }

// world is a record to which cases add.
type world struct{ Run }

// text is the whole text of all streams.
const text = "id: 1\n\nid: 2\n\nid: 3\n\n"

// newWorld returns a run with two hosts, three targets and one configuration.
func newWorld() *world {
	w := &world{Run{From: at(0), To: at(100_000), Requests: make([]Request, 0, 500), Arrivals: make([]Arrival, 0, 500)}}
	w.configure(-60_000, "key", "desk")
	w.Targets = []Target{{ID: "d1", Service: "desk"}, {ID: "d2", Service: "desk"}, {ID: "m1", Service: "model"}}
	return w
}

// configure adds a version whose plain routes lead to a service.
func (w *world) configure(millis int, key, service string) {
	w.Configurations = append(w.Configurations, Configuration{Written: at(millis), Acknowledged: at(millis), Keys: map[string]string{key: "parents"}, Routes: map[string]Route{
		"read": {Service: service, MaxAttempts: 2, Timeout: 3 * time.Second},
		"take": {Service: service, Once: true, MaxAttempts: 2, Timeout: 3 * time.Second},
		"talk": {Service: "model", Stream: true, MaxAttempts: 2, Timeout: 3 * time.Second},
	}})
}

// serve adds a request that a target serves within 20 ms.
func (w *world) serve(id, route string, millis int) (*Request, *Arrival) {
	target, answer := "d1", id
	if route == "talk" {
		target, answer = "m1", text
	}
	w.Requests = append(w.Requests, Request{ID: id, Host: "h1", Route: route, Key: "key", Method: http.MethodPost, URI: "/" + route, Deadline: 4 * time.Second,
		Sent: at(millis), Whole: true, Begun: at(millis + 20), End: at(millis + 20), Status: http.StatusOK, Complete: true, AnswerID: id, Signature: "s", Answer: answer})
	return &w.Requests[len(w.Requests)-1], w.arrive(id, target, route, millis+5)
}

// arrive adds an arrival that a target runs for 10 ms.
func (w *world) arrive(id, target, route string, millis int) *Arrival {
	answer := id
	if route == "talk" {
		answer = text
	}
	w.Arrivals = append(w.Arrivals, Arrival{Request: id, Target: target, Method: http.MethodPost, URI: "/" + route, Organisation: "parents", Deadline: 4 * time.Second,
		At: at(millis), Ended: at(millis + 10), Ran: true, Status: http.StatusOK, Signature: "s", Answer: answer})
	return &w.Arrivals[len(w.Arrivals)-1]
}

// cutOff makes a request end without an answer.
func cutOff(r *Request, millis int) {
	r.Status, r.Complete, r.Signature, r.Answer, r.Begun, r.End = 0, false, "", "", time.Time{}, at(millis)
}

// answer makes a request end with a status of the system's own.
func answer(r *Request, status int) { r.Status, r.Signature, r.Answer = status, "", "" }

// disrupt adds a disruption.
func (w *world) disrupt(host string, kind Kind, from, to int) {
	w.Disruptions = append(w.Disruptions, Disruption{host, kind, span(from, to)})
}

// call adds an accepted call of a duty.
func (w *world) call(host string, fence uint64, millis int) *DutyCall {
	w.Duties = append(w.Duties, DutyCall{At: at(millis), Subject: "usage", Holder: host, Host: host, Fence: fence, Accepted: true})
	return &w.Duties[len(w.Duties)-1]
}

// limit gives the organisation of all requests a limit in the newest version.
func (w *world) limit(rate, burst float64) {
	w.Configurations[len(w.Configurations)-1].Limits = map[string]OrganisationLimit{"parents": {rate, burst}}
}

// ask adds requests of one unit each at equal distances that targets serve.
func (w *world) ask(millis, count, distance int) {
	for i := range count {
		r, _ := w.serve(fmt.Sprint("ask-", len(w.Requests)), "read", millis+i*distance)
		r.Organisation, r.Units = "parents", 1
	}
}

// refuse makes requests that ask added end with 429.
func (w *world) refuse(numbers ...int) {
	for _, i := range numbers {
		answer(&w.Requests[i], http.StatusTooManyRequests)
		w.Arrivals[i].Ran = false
	}
}

// pick returns the first value in a record that breaks the rule, otherwise the second.
func pick[T any](broken bool, breaks, inside T) T {
	if broken {
		return breaks
	}
	return inside
}

// cases build a record that breaks a rule, and one just inside it.
var cases = []struct {
	name  string
	rule  Rule
	build func(w *world, broken bool)
}{
	{"body of no target", Mixed, func(w *world, broken bool) {
		r, _ := w.serve("a", "read", 0)
		r.Answer = pick(broken, "b", "a")
	}},
	{"success in place of a failure", Mixed, func(w *world, broken bool) {
		_, a := w.serve("a", "read", 0)
		a.Status = pick(broken, 500, 200)
	}},
	{"failure with another status", Mixed, func(w *world, broken bool) {
		r, a := w.serve("a", "read", 0)
		r.Status, a.Status = 500, pick(broken, 502, 500)
	}},
	{"success without a signature", Mixed, func(w *world, broken bool) {
		r, a := w.serve("a", "read", 0)
		a.Signature = pick(broken, "", "s")
		r.Signature = a.Signature
	}},
	{"answer of another request", Mixed, func(w *world, broken bool) {
		r, _ := w.serve("a", "read", 0)
		r.AnswerID = pick(broken, "b", "a")
	}},
	{"bytes after the answer", Mixed, func(w *world, broken bool) {
		r, _ := w.serve("a", "read", 0)
		r.Extra = broken
	}},
	{"short stream that looks complete", Order, func(w *world, broken bool) {
		r, _ := w.serve("a", "talk", 0)
		r.Answer, r.Complete = text[:14], broken
		w.Arrivals[0].BrokeOff = true
	}},
	{"event twice over two answers", Order, func(w *world, broken bool) {
		r, a := w.serve("a", "talk", 0)
		r.Answer, r.Complete, a.BrokeOff = text[:14], false, true
		again, _ := w.serve("b", "talk", 100)
		again.Resumes, again.Answer = "a", pick(broken, text[7:], text[14:])
	}},
	{"changed request", Unasked, func(w *world, broken bool) {
		_, a := w.serve("a", "read", 0)
		a.Body = pick(broken, "x", "")
	}},
	{"request that nobody sent", Unasked, func(w *world, broken bool) {
		w.serve("a", "read", 0)
		w.arrive(pick(broken, "b", "a"), "d1", "read", 30)
	}},
	{"another organisation", Unasked, func(w *world, broken bool) {
		_, a := w.serve("a", "read", 0)
		a.Organisation = pick(broken, "others", "parents")
	}},
	{"key passed on", Unasked, func(w *world, broken bool) {
		_, a := w.serve("a", "read", 0)
		a.Key = pick(broken, "key", "")
	}},
	{"run twice", Twice, func(w *world, broken bool) {
		w.serve("a", "take", 0)
		w.arrive("a", "d2", "take", 10).Ran = broken
	}},
	{"refused but run", Refused, func(w *world, broken bool) {
		r, a := w.serve("a", "take", 0)
		answer(r, 503)
		a.Ran = broken
	}},
	{"denied in touch", Denied, func(w *world, broken bool) {
		for i := range pick(broken, 6, 5) {
			r, a := w.serve(fmt.Sprint(i), "read", 10*i)
			answer(r, 400)
			a.Ran = false
		}
	}},
	{"denied out of touch", Denied, func(w *world, broken bool) {
		w.disrupt("h1", Harm, 0, 1000)
		for i := range pick(broken, 11, 10) {
			r, a := w.serve(fmt.Sprint(i), "read", 10*i)
			answer(r, 404)
			a.Ran = false
		}
	}},
	{"service of no configuration", Routing, func(w *world, broken bool) {
		_, a := w.serve("a", "read", 0)
		a.Target = pick(broken, "m1", "d2")
	}},
	{"key of no configuration", Routing, func(w *world, broken bool) {
		r, _ := w.serve("a", "read", 0)
		r.Key = pick(broken, "other", "key")
	}},
	{"hosts without links serve less than two thirds", Recover, func(w *world, broken bool) {
		w.Cuts = []Cut{{Hosts: []string{"h2"}, Span: span(0, 20_000)}}
		for i := range 60 {
			w.serve(fmt.Sprint("a", i), "read", 3000+10*i)
			r, a := w.serve(fmt.Sprint("b", i), "read", 3000+10*i)
			if r.Host = "h2"; i < pick(broken, 21, 20) {
				answer(r, 503)
				a.Ran = false
			}
		}
	}},
	{"hosts without links deny keys that are not in force everywhere", Recover, func(w *world, broken bool) {
		w.Cuts = []Cut{{Hosts: []string{"h2"}, Span: span(0, 20_000)}}
		w.configure(pick(broken, 500, 2500), "new", "desk") // in force 2 s later
		for i := range 60 {
			a, _ := w.serve(fmt.Sprint("a", i), "read", 3000+20*i)
			b, arrival := w.serve(fmt.Sprint("b", i), "read", 3000+20*i)
			a.Key, b.Key, b.Host = "new", "new", "h2"
			answer(b, 503)
			arrival.Ran = false
		}
	}},
	{"failures of hosts without links that are few", Recover, func(w *world, broken bool) {
		w.Cuts = []Cut{{Hosts: []string{"h2"}, Span: span(0, 20_000)}}
		for i := range 40 {
			w.serve(fmt.Sprint("a", i), "read", 3000+10*i)
		}
		for i := range pick(broken, 12, 10) {
			r, a := w.serve(fmt.Sprint("b", i), "read", 3000+10*i)
			r.Host = "h2"
			answer(r, 503)
			a.Ran = false
		}
	}},
	{"hosts without links refuse requests at a limit", Recover, func(w *world, broken bool) {
		w.Cuts = []Cut{{Hosts: []string{"h2"}, Span: span(0, 20_000)}}
		if !broken {
			w.limit(10, 10)
		}
		for i := range 60 {
			w.serve(fmt.Sprint("a", i), "read", 3000+10*i)
			r, a := w.serve(fmt.Sprint("b", i), "read", 3000+10*i)
			if r.Host, r.Organisation, r.Units = "h2", "parents", 1; i < 21 {
				answer(r, 429)
				a.Ran = false
			}
		}
	}},
	{"repeats in a window", Budget, func(w *world, broken bool) {
		for i := range 7 {
			w.serve(fmt.Sprint(i), "read", 0)
			w.arrive(fmt.Sprint(i), "d2", "read", 20+i*pick(broken, 1666, 1667))
		}
	}},
	{"repeats in a window that ends before a burst", Budget, func(w *world, broken bool) {
		for i := range pick(broken, 6, 5) {
			w.serve(fmt.Sprint(i), "read", 0)
			w.arrive(fmt.Sprint(i), "d2", "read", 30_000)
		}
		for i := range 20 {
			w.serve(fmt.Sprint("burst", i), "read", 39_000)
		}
	}},
	{"second call for the prompt", Budget, func(w *world, broken bool) {
		for i := range 7 {
			id := fmt.Sprint(i)
			w.serve(id, "talk", 0)
			for range pick(broken, 2, 1) {
				a := w.arrive(id, "m1", "talk", 3)
				a.Ran, a.PromptOnly = false, true
			}
		}
	}},
	{"too many targets", Budget, func(w *world, broken bool) {
		for i := range pick(broken, 4, 3) {
			w.serve(fmt.Sprint(i), "read", 20_000*i)
			w.Targets = append(w.Targets, Target{ID: "d3", Service: "desk"})
			w.arrive(fmt.Sprint(i), "d2", "read", 20_000*i+8)
			w.arrive(fmt.Sprint(i), "d3", "read", 20_000*i+9)
		}
	}},
	{"more time than is left", Budget, func(w *world, broken bool) {
		for i := range 21 {
			_, a := w.serve(fmt.Sprint(i), "read", 10*i)
			a.Deadline = time.Duration(pick(broken, 4501, 4500)) * time.Millisecond
		}
	}},
	{"part that crashes targets", Budget, func(w *world, broken bool) {
		for i := range 5 {
			w.Crashes = append(w.Crashes, Crash{Target: "x", Part: "dead", At: at(i)})
		}
		for i := range 4 {
			r, a := w.serve(fmt.Sprint(i), "talk", pick(broken || i > 0, 3000, 2999))
			r.Prompt.Parts, a.Prompt.Parts = "aa:1,dead:2,last:3", "aa:1,dead:2,last:3"
		}
	}},
	{"request that crashes targets", Budget, func(w *world, broken bool) {
		for i := range 3 {
			w.Crashes = append(w.Crashes, Crash{Target: "x", Content: "c", At: at(i)})
		}
		for i := range pick(broken, 4, 3) {
			r, _ := w.serve(fmt.Sprint(i), "read", 3100+i)
			r.Content = "c"
		}
	}},
	{"sound requests beside crashes", Lost, func(w *world, broken bool) {
		w.Crashes = append(w.Crashes, Crash{Target: "x", Part: "dead", At: at(8000)})
		for i := range 61 {
			r, a := w.serve(fmt.Sprint(i), "talk", 400*i)
			r.Crashing = i == 60
			r.Prompt.Parts = pick(r.Crashing, "aa:1,dead:2,last:3", "aa:1,bb:3")
			a.Prompt = r.Prompt
			if i >= 36 && i < pick(broken, 49, 48) {
				answer(r, 503)
				a.Ran = false
			}
		}
	}},
	{"sound requests beside crashes that are refused at a limit", Lost, func(w *world, broken bool) {
		w.Crashes = append(w.Crashes, Crash{Target: "x", Part: "dead", At: at(8000)})
		if !broken {
			w.limit(100, 100)
		}
		for i := range 81 {
			r, a := w.serve(fmt.Sprint(i), "talk", 400*i)
			r.Crashing, r.Organisation, r.Units = i == 80, "parents", 1
			r.Prompt.Parts = pick(r.Crashing, "aa:1,dead:2,last:3", "aa:1,bb:3")
			a.Prompt = r.Prompt
			if i >= 36 && i < 70 {
				answer(r, 429)
				a.Ran = false
			}
		}
	}},
	{"sound requests while another part crashes targets", Lost, func(w *world, broken bool) {
		second := pick(broken, "dead", "other") // known 6 s after its last crash, at 32 s
		w.Crashes = append(w.Crashes, Crash{Target: "x", Part: "dead", At: at(8000)}, Crash{Target: "x", Part: second, At: at(16_000)}, Crash{Target: "x", Part: second, At: at(26_000)})
		for i := range 111 {
			r, a := w.serve(fmt.Sprint(i), "talk", 400*i)
			r.Crashing = i == 110
			r.Prompt.Parts = pick(r.Crashing, "aa:1,dead:2,last:3", "aa:1,bb:3")
			a.Prompt = r.Prompt
			if i >= 40 && i < pick(broken, 110, 80) {
				answer(r, 503)
				a.Ran = false
			}
		}
	}},
	{"caller has left", Gone, func(w *world, broken bool) {
		for i := range 4 {
			r, a := w.serve(fmt.Sprint(i), "read", 0)
			cutOff(r, 100)
			r.Left, a.At, a.Ended = at(100), at(pick(broken, 601, 600)), at(610)
		}
	}},
	{"work for a caller that has left", Gone, func(w *world, broken bool) {
		for i := range 4 {
			r, a := w.serve(fmt.Sprint(i), "read", 0)
			cutOff(r, 100)
			r.Left, a.Due, a.Ended = at(100), at(5000), at(pick(i < pick(broken, 2, 1), 601, 600))
		}
	}},
	{"kept connections", Lost, func(w *world, broken bool) {
		for i := range pick(broken, 4, 3) {
			r, _ := w.serve(fmt.Sprint(i), "read", 10*i)
			cutOff(r, 10*i+20)
			r.Kept = true
		}
	}},
	{"cut by SIGTERM", Lost, func(w *world, broken bool) {
		w.disrupt("h1", Term, 0, 0)
		r, _ := w.serve("a", "talk", 100)
		cutOff(r, pick(broken, 9000, 9001))
		r.Deadline = 20 * time.Second
		w.Configurations[0].Routes["talk"] = Route{Service: "model", Stream: true, Timeout: 20 * time.Second}
	}},
	{"closed before it was passed on", Lost, func(w *world, broken bool) {
		w.disrupt("h1", Reload, 0, 0)
		r, _ := w.serve("a", "read", 100)
		w.Arrivals = nil
		cutOff(r, pick(broken, 301, 300))
	}},
	{"cut beside the store's outage", Lost, func(w *world, broken bool) {
		w.disrupt("h1", Term, 0, 0)
		w.disrupt("", Harm, 0, 1000)
		r, _ := w.serve("a", pick(broken, "read", "talk"), 100)
		cutOff(r, 120)
	}},
	{"cut as the host lost its links", Lost, func(w *world, broken bool) {
		w.Cuts = []Cut{{Hosts: []string{pick(broken, "h2", "h1")}, Span: span(4500, 9000)}}
		w.disrupt("h1", Reload, 4000, 4000)
		r, a := w.serve("a", "talk", 4200)
		cutOff(r, 4600)
		a.Ended = at(5000)
	}},
	{"cut beside a configuration", Lost, func(w *world, broken bool) {
		w.configure(0, "key", "desk")
		for i := range 20 {
			r, _ := w.serve(fmt.Sprint(i), "talk", pick(i < 10, 0, 20_000))
			if i < 4 || i == 10 && !broken || i == 11 && !broken {
				cutOff(r, pick(i < 10, 20, 20_020))
			}
		}
	}},
	{"silent target", Lost, func(w *world, broken bool) {
		r, a := w.serve("a", "talk", 0)
		a.Ended = at(1020)
		cutOff(r, 1030)
		w.Targets[2].Silences = []Span{span(10, pick(broken, 1510, 1511))}
	}},
	{"old version", Config, func(w *world, broken bool) {
		w.configure(0, "new", "desk")
		w.serve("a", "read", pick(broken, 2001, 2000))
	}},
	{"old version out of touch", Config, func(w *world, broken bool) {
		w.configure(0, "new", "desk")
		w.disrupt("h1", Harm, 0, 10_000)
		w.serve("a", "read", pick(broken, 6001, 6000))
	}},
	{"denied by an old version", Config, func(w *world, broken bool) {
		w.configure(0, "new", "desk")
		r, a := w.serve("a", "read", pick(broken, 2001, 2000))
		r.Key, a.Ran = "new", false
		answer(r, 401)
	}},
	{"version that goes back", Config, func(w *world, broken bool) {
		w.configure(0, "new", "desk")
		r, _ := w.serve("a", "read", 100)
		r.Key = "new"
		w.serve("b", "read", pick(broken, 356, 355))
	}},
	{"timeout", Config, func(w *world, broken bool) {
		for i := range 2 {
			r, _ := w.serve(fmt.Sprint(i), "read", 0)
			answer(r, 504)
			r.Begun = at(pick(broken || i == 0, 3501, 3500))
			r.End = r.Begun
		}
	}},
	{"stream past its timeout", Config, func(w *world, broken bool) {
		for i := range pick(broken, 8, 7) {
			r, _ := w.serve(fmt.Sprint(i), "talk", 0)
			r.End = at(3501)
		}
	}},
	{"leaving target", Drain, func(w *world, broken bool) {
		w.Targets[0].Leaves = at(0)
		w.serve("a", "read", pick(broken, 1996, 1995))
	}},
	{"leaving target out of touch", Drain, func(w *world, broken bool) {
		w.Targets[0].Leaves = at(0)
		w.disrupt("", Harm, -1000, 10_000)
		w.serve("a", "read", pick(broken, 5996, 5995))
	}},
	{"target that said it leaves", Drain, func(w *world, broken bool) {
		_, a := w.serve("a", "read", 0)
		a.Leaving = true
		w.disrupt("h1", Harm, 0, 1000)
		w.serve("b", "read", pick(broken, 2021, 2020))
	}},
	{"pause", Drain, func(w *world, broken bool) {
		_, a := w.serve("a", "read", 0)
		a.Pause = time.Second // from 15 ms on
		w.serve("b", "read", 600)
		w.serve("c", "read", pick(broken, 1009, 1010))
	}},
	{"limit", LimitOf, func(w *world, broken bool) {
		w.Targets[0].Limits = []Limit{{1, span(0, 20_000)}}
		for i := range 12 {
			w.serve(fmt.Sprint(i), "read", 5000+i*pick(broken, 363, 364))
		}
	}},
	{"organisation over its limit", Quota, func(w *world, broken bool) {
		w.limit(10, 10) // 60 units in 4 s
		w.ask(0, pick(broken, 61, 60), 20)
	}},
	{"organisation over its limit by hosts that are out of touch", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.disrupt("h1", Harm, -1000, 10_000)
		w.disrupt("h2", Harm, -1000, 10_000)
		w.ask(0, 30, 20)
		w.ask(10, pick(broken, 31, 30), 20)
		for i := range w.Requests[30:] {
			w.Requests[30+i].Host = "h2"
		}
	}},
	{"window that begins with a request and ends before an arrival", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 60, 20)
		w.ask(pick(broken, 3994, 3995), 1, 0) // it arrives 5 ms later
	}},
	{"request that was sent before a window", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(pick(broken, 3500, 3499), 1, 0)
		w.Arrivals[0].At, w.Arrivals[0].Ended, w.Requests[0].End = at(7499), at(7509), at(7519)
		w.ask(3500, 60, 20)
	}},
	{"units of requests", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 2, 20)
		w.Requests[0].Units, w.Requests[1].Units = 59, pick(broken, 2., 1.)
	}},
	{"units of requests that do not run", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 61, 20)
		answer(&w.Requests[60], 503)
		w.Arrivals[60].Ran = broken
	}},
	{"units of further attempts", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 56, 50)
		for i := range pick(broken, 5, 4) {
			w.arrive(w.Requests[i].ID, "d2", "read", 3000+i)
		}
	}},
	{"limit of one organisation", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 61, 20)
		w.Requests[60].Organisation = pick(broken, "parents", "others")
	}},
	{"lower limit", Quota, func(w *world, broken bool) {
		w.limit(100, 100)
		w.configure(0, "key", "desk")
		w.limit(10, 10) // in force at all hosts 6 s later
		w.ask(pick(broken, 6001, 6000), 61, 20)
	}},
	{"lower limit that is not known to be in force at all hosts", Quota, func(w *world, broken bool) {
		w.limit(100, 100)
		w.configure(0, "key", "desk")
		w.limit(10, 10)
		if !broken {
			w.Configurations[1].Acknowledged = time.Time{}
		}
		w.ask(20_000, 61, 20)
	}},
	{"higher limit", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.configure(pick(broken, 4001, 4000), "key", "desk")
		w.limit(100, 100)
		w.ask(0, 61, 20)
	}},
	{"limit that is removed", Quota, func(w *world, broken bool) {
		w.limit(10, 10)
		w.configure(pick(broken, 4001, 4000), "key", "desk")
		w.ask(0, 61, 20)
	}},
	{"refusals below the limit", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, pick(broken, 101, 102), 200) // the bucket is empty at the first
		w.refuse(50)
	}},
	{"refusals of few requests below the limit", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, pick(broken, 101, 100), 200)
		w.refuse(50, 60, 70)
	}},
	{"refusals above the limit", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 200, 200)
		w.ask(40_000, 30, 0) // the bucket holds 10 then
		for i := range 3 {
			w.refuse(pick(broken, 207, 210) + i)
		}
	}},
	{"refusals while everything that is asked for is above the limit", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 300, pick(broken, 110, 99))
		w.refuse(100, 110, 120)
	}},
	{"refusals after far more than the limit", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 1, 0)
		w.ask(5000, 500, 0) // 10 of them are below the limit; the bucket owes 40 then
		for i := 11; i <= 500; i++ {
			w.refuse(i)
		}
		w.ask(9000, 150, 200)
		if w.refuse(501); broken {
			w.refuse(502, 503)
		}
	}},
	{"refusals beside a disruption of any host", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 200, 200)
		w.refuse(50, 51)
		w.disrupt("h9", Restart, pick(broken, 5000, 5201), pick(broken, 5000, 5201)) // 5 s before
	}},
	{"refusals beside a disruption of the store", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 200, 200)
		w.refuse(50, 51)
		w.disrupt("", Harm, 0, pick(broken, 5000, 5201))
	}},
	{"refusals while a host ends in its grace period", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 200, 200)
		w.refuse(100, 101)
		w.disrupt("h2", Term, 7000, pick(broken, 7000, 7201)) // 8 s and 5 s before
	}},
	{"refusals after a host that was told to end has started again", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 200, 200)
		w.refuse(100, 101)
		w.disrupt("h2", Term, 13_000, 13_000)
		w.disrupt("h2", Restart, pick(broken, 15_000, 15_201), pick(broken, 15_000, 15_201))
	}},
	{"refusals beside a change of the limit", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 200, 200)
		w.refuse(100, 101)
		w.configure(pick(broken, 12_999, 13_200), "key", "desk") // in force 2 s later, steady after 5 s
		w.limit(20, 20)
	}},
	{"refusals before a change of the limit", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 200, 200)
		w.refuse(100, 101)
		w.configure(pick(broken, 20_701, 20_500), "key", "desk") // 0.5 s after the requests
		w.limit(20, 20)
	}},
	{"refusals while further attempts are above the limit", Throttled, func(w *world, broken bool) {
		w.limit(10, 10)
		w.ask(0, 200, 110) // 9.1 a second
		w.refuse(152, 162, 172)
		for i := 0; i < 200 && !broken; i += 5 { // 1.8 a second
			w.arrive(w.Requests[i].ID, "d2", "read", i*110+8)
		}
	}},
	{"two counts of a window", One, func(w *world, broken bool) {
		for i := range 2 {
			c := w.call("h1", 1, i)
			c.Usage, c.Counts = true, map[string]int{"parents": pick(broken, i, 0)}
		}
	}},
	{"token of two holders", One, func(w *world, broken bool) {
		w.call("h1", 1, 0)
		w.call("h2", pick[uint64](broken, 1, 2), 10_000)
	}},
	{"holders that take turns", One, func(w *world, broken bool) {
		w.call("h1", 1, 0)
		w.call("h2", 2, 1000)
		w.call("h1", 3, pick(broken, 2999, 3000))
	}},
	{"refused token", One, func(w *world, broken bool) {
		for i := range 5 {
			w.call("h1", 1, pick(i > 0, pick(broken, 3001, 3000), 0)).Accepted = false
		}
	}},
	{"late report", UsageDue, func(w *world, broken bool) {
		w.serve("a", "read", 0)
		c := w.call("h1", 1, pick(broken, 15_001, 15_000))
		c.Usage, c.Window, c.Counts = true, start.Unix()/5, map[string]int{"parents": 1}
	}},
	{"count", UsageDue, func(w *world, broken bool) {
		for i := range 20 {
			w.serve(fmt.Sprint(i), "read", i)
		}
		c := w.call("h1", 1, 6000)
		c.Usage, c.Window, c.Counts = true, start.Unix()/5, map[string]int{"parents": pick(broken, 18, 19)}
	}},
	{"process that ends by itself", Fault, func(w *world, broken bool) {
		for i := range 4 {
			w.OwnEnds = append(w.OwnEnds, End{pick(i < pick(broken, 3, 2), "h1", "h2"), at(i)})
		}
	}},
	{"invariant that a process found violated", Fault, func(w *world, broken bool) {
		if broken {
			w.Violations = []Violation{{"h1", "no_panic", at(0)}}
		}
	}},
	{"recovery", Recover, func(w *world, broken bool) {
		w.Fault, w.Back = at(1000), at(2000)
		for i := range 8 {
			r, a := w.serve(fmt.Sprint(i), "read", pick(i < 4, 0, 14_001))
			if i != 0 && (broken || i != 4) {
				answer(r, 503)
				a.Ran = false
			}
		}
	}},
}

func TestCasesBreakOneRuleOrNone(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, broken := range []bool{true, false} {
				w := newWorld()
				b := bounds
				if c.rule != UsageDue {
					b.UsageWindow = 0
				}
				c.build(w, broken)
				findings := Check(w.Run, b)
				others := slices.ContainsFunc(findings, func(f Finding) bool { return f.Rule != c.rule })
				if broken && (len(findings) == 0 || others) {
					t.Errorf("broken: %v", findings)
				}
				if !broken && len(findings) > 0 {
					t.Errorf("inside: %v", findings)
				}
			}
		})
	}
}

func TestFencingTokensFallWhereNothingChecksThem(t *testing.T) {
	is := is.New(t)
	b := bounds
	b.UsageWindow, b.RequireFence = 0, false
	w := newWorld()
	w.call("h1", 2, 0)
	w.call("h1", 1, 10_000)
	is.Equal(len(Check(w.Run, b)), 1)
	w.disrupt("h1", Harm, 9000, 9701) // its calls may be held up for 300 ms
	is.Equal(len(Check(w.Run, b)), 0)
}

func TestFewServed(t *testing.T) {
	is := is.New(t)
	b := bounds
	b.UsageWindow, b.ServedShare = 0, 0.5
	w := newWorld()
	w.serve("a", "read", 0)
	for _, sent := range []string{"b", "c"} {
		is.Equal(len(Check(w.Run, b)), 0)
		r, a := w.serve(sent, "read", 0)
		answer(r, 503)
		a.Ran = false
	}
	findings := Check(w.Run, b)
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Rule, Recover)
}

// Refusals at the limit of an organisation must not count as requests that the system could not serve.
func TestRefusalsAtALimitDoNotLowerTheServedShare(t *testing.T) {
	is := is.New(t)
	b := bounds
	b.UsageWindow, b.ServedShare = 0, 0.5
	w := newWorld()
	w.limit(10, 10)
	w.ask(0, 3, 20)
	w.refuse(1, 2)
	is.Equal(len(Check(w.Run, b)), 0)
	w.limit(0, 0)
	is.Equal(len(Check(w.Run, b)), 1)
}
