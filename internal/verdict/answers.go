package verdict

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// answers checks that every answer is a target's own, whole, and for its request.
func (j *judge) answers() {
	for i := range j.Requests {
		r := &j.Requests[i]
		if r.Extra {
			j.find(Mixed, r.End, "%s: bytes followed the answer though no request waited", r.ID)
		}
		if !r.Complete || r.Signature == "" && r.Status/100 != 2 {
			continue
		}
		if r.AnswerID != "" && r.AnswerID != r.ID {
			j.find(Mixed, r.End, "%s got the answer of %s", r.ID, r.AnswerID)
		}
		matches := func(a *Arrival) bool {
			return a.Signature == r.Signature && a.Status == r.Status && (j.route(r).Stream && r.succeeded() || a.Answer == r.Answer)
		}
		if r.Signature == "" || !slices.ContainsFunc(j.arrivals[r.ID], matches) {
			j.find(Mixed, r.End, "%s got status %d, signature %q and body %q, which no target gave", r.ID, r.Status, r.Signature, r.Answer)
		}
	}
}

// streams checks that the events of a stream, in one answer or over several, are those of one text in
// order, and that it ends as complete after the last one only.
func (j *judge) streams() {
	followers := make(map[string][]*Request)
	for i := range j.Requests {
		if r := &j.Requests[i]; r.Resumes != "" {
			followers[r.Resumes] = append(followers[r.Resumes], r)
		}
	}
	for i := range j.Requests {
		r := &j.Requests[i]
		if r.Resumes != "" || !j.route(r).Stream {
			continue
		}
		text := ""
		var texts []string
		for _, part := range append([]*Request{r}, followers[r.ID]...) {
			for _, a := range j.arrivals[part.ID] {
				if a.Ran {
					texts = append(texts, a.Answer)
				}
			}
			if part.Complete && part.Status != http.StatusOK || !part.Complete && part.Answer == "" {
				continue
			}
			text += part.Answer
			fits := func(whole string) bool {
				return text == whole || !part.Complete && strings.HasPrefix(whole, text)
			}
			if !slices.ContainsFunc(texts, fits) {
				j.find(Order, part.End, "%s: unexpected stream %q, complete %v", part.ID, text, part.Complete)
				break
			}
		}
	}
}

// unasked checks that targets get what callers sent, for the caller's organisation and without its key.
func (j *judge) unasked() {
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		r, ok := j.request[a.Request]
		if !ok {
			j.find(Unasked, a.At, "target %s got %s, which no caller sent", a.Target, a.Request)
			continue
		}
		if a.Method != r.Method || a.URI != r.URI || a.Body != r.Body || a.Prompt != r.Prompt {
			j.find(Unasked, a.At, "target %s got %s as %s %s %q %v", a.Target, a.Request, a.Method, a.URI, a.Body, a.Prompt)
		}
		if a.Key != "" {
			j.find(Unasked, a.At, "target %s got the API key of %s", a.Target, a.Request)
		}
		if j.known(r.Key) && !slices.ContainsFunc(j.Configurations, func(c Configuration) bool {
			organisation, held := c.Keys[r.Key]
			return held && organisation == a.Organisation
		}) {
			j.find(Unasked, a.At, "target %s got %s for organisation %q", a.Target, a.Request, a.Organisation)
		}
	}
}

// promised are the statuses that promise that a request has not run and will not, beside those that deny it.
var promised = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// denials are the statuses for what a configuration does not allow.
var denials = []int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}

// runs checks that requests which may not be repeated run once, and not at all if they were refused.
func (j *judge) runs() {
	for i := range j.Requests {
		r := &j.Requests[i]
		if !j.route(r).Once {
			continue
		}
		n := 0
		for _, a := range j.arrivals[r.ID] {
			if a.Ran {
				n++
			}
		}
		if n > 1 {
			j.find(Twice, r.End, "%s ran %d times", r.ID, n)
		}
		refused := slices.Contains(promised, r.Status) || slices.Contains(denials, r.Status)
		if n > 0 && refused && r.Signature == "" {
			j.find(Refused, r.End, "%s got status %d although it ran", r.ID, r.Status)
		}
	}
}

// denied bounds how many proper requests are turned away by statuses of the system's own.
func (j *judge) denied() {
	recent, always := 0, 0
	var at time.Time
	for i := range j.Requests {
		r := &j.Requests[i]
		if r.Signature != "" || r.Status/100 != 3 && r.Status/100 != 4 || slices.Contains(promised, r.Status) {
			continue
		}
		allows := func(c Configuration) bool { return c.allows(r, "") }
		if j.inTouch(r.Host, r.Sent) && all(j.inForce(r.Sent, r.End), allows) {
			recent++
			at = r.End
		}
		if slices.Contains(denials, r.Status) && all(j.Configurations, allows) {
			always++
			at = r.End
		}
	}
	if float64(recent) > float64(j.bounds.MaxDenied)+j.bounds.DeniedRatio*float64(len(j.Requests)) {
		j.find(Denied, at, "%d of %d requests were denied though they were proper", recent, len(j.Requests))
	}
	if always > j.bounds.MaxDeniedAlways {
		j.find(Denied, at, "%d requests were denied what every configuration allows", always)
	}
}

// routes checks that only services run a request to which a configuration sends it, with a known key.
func (j *judge) routes() {
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		r, ok := j.request[a.Request]
		if !ok || !a.Ran && !a.PromptOnly {
			continue
		}
		service := j.target[a.Target].Service
		if !slices.ContainsFunc(j.Configurations, func(c Configuration) bool { return c.Routes[r.Route].Service == service }) {
			j.find(Routing, a.At, "service %s ran %s of route %s", service, r.ID, r.Route)
		}
		if !j.known(r.Key) {
			j.find(Routing, a.At, "%s ran with a key that no configuration held", r.ID)
		}
	}
}

// known tells whether some configuration holds a key.
func (j *judge) known(key string) bool {
	return slices.ContainsFunc(j.Configurations, func(c Configuration) bool {
		_, held := c.Keys[key]
		return held
	})
}
