package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"zinniapin/internal/standin/engine"
)

const (
	// callerCount is the number of callers, each with one request at a time.
	callerCount = 12
	// attemptTimeout bounds one attempt of a caller.
	attemptTimeout = 40 * time.Second
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 12
	// retryPause is the pause between two attempts.
	retryPause = 700 * time.Millisecond
)

// caller sends requests of one organisation, one after the other, and takes
// each to another gateway when it fails.
type caller struct {
	sim          *simulation
	rng          *rand.Rand
	organisation string
	name         string
	count        int
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for wait(ctx, time.Duration(c.rng.IntN(1500))*time.Millisecond) {
		c.count++
		subject := fmt.Sprintf("%s/%s/%d", c.organisation, c.name, c.count)
		switch c.rng.IntN(5) {
		case 0, 1:
			c.chat(subject)
		case 2:
			c.stream(subject)
		case 3:
			c.service(subject+depositMarker+"x", "deposits")
		case 4:
			c.service(subject, "drafts")
		}
	}
}

// gateway returns one of the gateways.
func (c *caller) gateway() *process {
	running := c.sim.gateways()
	if len(running) == 0 {
		return nil
	}
	return running[c.rng.IntN(len(running))]
}

// send makes one attempt and hands an answer that began to read.
func (c *caller) send(a *attempt, p *process, key, path string, headers map[string]string, body string, read func(*http.Response)) {
	defer c.sim.recordAttempt(a, key)
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://gateway"+path, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	a.gateway, a.sent = p.id, time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		a.timedOut = ctx.Err() != nil
		a.transportError = err
		a.notConnected = errors.Is(err, net.ErrClosed)
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	a.requestID = response.Header.Get("Zinnia-Request-Id")
	a.replayed = response.Header.Get("Idempotent-Replayed") == "true"
	read(response)
	a.timedOut = ctx.Err() != nil
}

// errorBody is the body of an error.
type errorBody struct {
	Error struct {
		Code      string `json:"code"`
		Execution string `json:"execution"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// readError notes a refusal and tells whether the body was one.
func (a *attempt) readError(raw []byte) bool {
	var f errorBody
	if json.Unmarshal(raw, &f) != nil || f.Error.Code == "" {
		return false
	}
	a.code, a.execution = f.Error.Code, f.Error.Execution
	return true
}

// chatBody returns the body of a chat request and the answer to it.
func chatBody(subject string, size, limit int, stream bool, delivered *string) (body, want string) {
	content := subject + " " + strings.Repeat("tell me more ", size)
	document := map[string]any{
		"model": modelName, "max_tokens": limit, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": content}},
	}
	if delivered != nil {
		document["zinnia_delivered"] = *delivered
	}
	raw, _ := json.Marshal(document) // strings and numbers always encode
	prompt := fmt.Sprintf("user %d\n%s\nassistant\n", len(content), content)
	n, _ := engine.Length(modelName, prompt, limit)
	return string(raw), engine.Text(modelName, prompt, 0, n)
}

// drawSize draws the size of a prompt; the mix swings with time.
func (c *caller) drawSize() (size, limit int) {
	if time.Now().Unix()/120%2 == 0 {
		return 50 + c.rng.IntN(1500), 8 + c.rng.IntN(16)
	}
	return 1 + c.rng.IntN(20), 40 + c.rng.IntN(120)
}

// waitBeforeRetry waits before the next try.
func waitBeforeRetry() { time.Sleep(retryPause) }

// chat asks for a whole answer.
func (c *caller) chat(subject string) {
	size, limit := c.drawSize()
	body, want := chatBody(subject, size, limit, false, nil)
	for range maxAttempts {
		p := c.gateway()
		a := &attempt{kind: "chat", organisation: c.organisation, subject: subject}
		c.send(a, p, c.sim.operator.key(c.rng, c.organisation), "/v1/chat/completions", nil, body, func(r *http.Response) {
			raw, err := io.ReadAll(r.Body)
			if err != nil || a.readError(raw) {
				return
			}
			var answer struct {
				Choices []struct {
					Message struct {
						Content string `json:"content"`
					} `json:"message"`
				} `json:"choices"`
			}
			if err := json.Unmarshal(raw, &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content != want {
				c.sim.report.violation("%s: the answer through %s is %q, want %q", subject, p.id, raw, want)
			}
			a.complete = true
		})
		if a.complete {
			return
		}
		waitBeforeRetry()
	}
	c.sim.report.outcome("request given up")
}

// event is one event of a stream.
type event struct{ id, name, data string }

// readEvents calls take for each whole event until the stream ends.
func readEvents(r io.Reader, take func(event)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	var e event
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			e.data = value
		case "":
			take(e)
			e = event{}
		}
	}
	return lines.Err()
}

// delta is what an event of a stream adds.
type delta struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream asks for a streamed answer and resumes it elsewhere when it is cut.
func (c *caller) stream(subject string) {
	size, limit := c.drawSize()
	text, last := "", ""
	done := false
	for range maxAttempts {
		p := c.gateway()
		a := &attempt{kind: "stream", organisation: c.organisation, subject: subject, resumed: last != ""}
		headers := map[string]string{}
		var delivered *string
		if last != "" {
			headers["Last-Event-ID"], delivered = last, &text
		}
		body, want := chatBody(subject, size, limit, true, delivered)
		c.send(a, p, c.sim.operator.key(c.rng, c.organisation), "/v1/chat/completions", headers, body, func(r *http.Response) {
			if r.StatusCode != http.StatusOK {
				raw, _ := io.ReadAll(r.Body) // a cut refusal tells nothing
				a.readError(raw)
				return
			}
			_ = readEvents(r.Body, func(e event) { // a cut stream is resumed
				switch {
				case e.data == "[DONE]":
					done = true
				case e.name == "error":
					a.readError([]byte(e.data))
				default:
					var d delta
					if json.Unmarshal([]byte(e.data), &d) == nil && len(d.Choices) > 0 {
						text += d.Choices[0].Delta.Content
					}
					last = e.id
				}
			})
			a.complete = done
		})
		if !strings.HasPrefix(want, text) || done && text != want {
			c.sim.report.violation("%s: streamed %q through %s, want %q", subject, text, p.id, want)
			return
		}
		if a.code == "resume_rejected" {
			c.sim.report.violation("%s: %s rejected a resume", subject, p.id)
			return
		}
		if done {
			return
		}
		waitBeforeRetry()
	}
	c.sim.report.outcome("request given up")
}

// errStop ends the tries at a call.
var errStop = errors.New("soak: no further try")

// service calls the plain service; non-repeatable calls carry an idempotency
// key and keep it over all tries.
func (c *caller) service(subject, route string) {
	for range maxAttempts {
		p := c.gateway()
		a := &attempt{kind: strings.TrimSuffix(route, "s"), organisation: c.organisation, subject: subject}
		headers := map[string]string{"Idempotency-Key": subject}
		var err error
		c.send(a, p, c.sim.operator.key(c.rng, c.organisation), "/v1/services/"+serviceName+"/"+route, headers, subject, func(r *http.Response) {
			err = c.readServiceResponse(a, r)
		})
		if a.complete || err != nil {
			return
		}
		waitBeforeRetry()
	}
	c.sim.report.outcome("request given up")
}

// readServiceResponse reads the answer of the plain service.
func (c *caller) readServiceResponse(a *attempt, r *http.Response) error {
	raw, err := io.ReadAll(r.Body)
	if err != nil || a.readError(raw) {
		if a.code == "claim_unknown" {
			return errStop
		}
		return nil
	}
	if string(raw) != "done "+a.subject {
		c.sim.report.violation("%s: the service's answer through %s is %q", a.subject, a.gateway, raw)
	}
	a.complete = true
	return nil
}

// recordAttempt notes how an attempt ended.
func (sim *simulation) recordAttempt(a *attempt, key string) {
	sim.recorder.addAttempt(a)
	outcome := a.code
	switch {
	case a.complete && a.replayed:
		outcome = "replayed"
	case a.complete:
		outcome = "whole"
	case a.timedOut:
		outcome = "caller timeout"
	case a.notConnected:
		outcome = "not reached"
	case a.code == "":
		outcome = "cut"
	}
	sim.report.outcome(a.kind + "." + outcome)
	if a.status == http.StatusOK || a.status == http.StatusCreated {
		sim.operator.checkServedKey(a, key)
	}
}
