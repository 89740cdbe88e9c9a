package soak

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// fatalMarker is in the prompt of the request that crashes each engine which begins to answer it.
const fatalMarker = "/fatal/"

const (
	// maxFatalAttempts bounds the attempts at that request in fatalPeriod, at all engines together:
	// some for each part of the system that is cut off from the others.
	maxFatalAttempts = 24
	// fatalPeriod is how long a request stays blocked after the latest crash.
	fatalPeriod = 20 * time.Minute
)

// sendFatal sends copies of one request that crashes engines until ctx ends.
func (c *caller) sendFatal(ctx context.Context) {
	body, _ := chatBody(c.organisation+fatalMarker, 1, 8, false, nil)
	for wait(ctx, time.Duration(1000+c.rng.IntN(3000))*time.Millisecond) {
		p := c.gateway()
		if p == nil {
			continue
		}
		a := &attempt{kind: "fatal", organisation: c.organisation, subject: c.organisation + fatalMarker}
		c.send(a, p, c.sim.operator.key(c.rng, c.organisation), "/v1/chat/completions", nil, body, func(r *http.Response) {
			raw, err := io.ReadAll(r.Body)
			if err == nil && !a.readError(raw) {
				c.sim.report.violation("%s was answered through %s", a.subject, p.id)
			}
		})
	}
}

// checkFatal checks that few attempts were made at the request that crashes engines.
func (sim *simulation) checkFatal() {
	attempts := 0
	for _, e := range sim.platform.allEngines() {
		for _, r := range e.Records().Requests {
			if strings.Contains(r.Prompt, fatalMarker) {
				attempts++
			}
		}
	}
	sim.report.note("attempts at a request that crashes engines", attempts)
	limit := maxFatalAttempts * (1 + int(sim.options.Span/fatalPeriod))
	if attempts > limit {
		sim.report.violation("%d attempts at a request that crashes engines, at most %d are stated", attempts, limit)
	}
}
