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
	// callerCount is the number of callers. Each has at most one request in flight.
	callerCount = 12
	// attemptTimeout bounds one attempt at a request.
	attemptTimeout = 40 * time.Second
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 12
	// retryPause is the pause between two attempts at one request.
	retryPause = 700 * time.Millisecond
)

// caller is an API client of one organisation. It sends one request after the other and repeats
// a failed one at a gateway drawn at random.
type caller struct {
	sim          *simulation
	rng          *rand.Rand
	organisation string
	name         string // part of the prompts and bodies, which are unique thereby
	count        int    // requests begun
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

// gateway draws one of the running gateways.
func (c *caller) gateway() *process {
	running := c.sim.gateways()
	if len(running) == 0 {
		return nil
	}
	return running[c.rng.IntN(len(running))]
}

// send makes one attempt at gateway p, passes the response to read if one arrives, and records
// the attempt.
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

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		Code      string `json:"code"`
		Execution string `json:"execution"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// readError records the code and execution state of an error body. It returns false if raw is
// not an error body.
func (a *attempt) readError(raw []byte) bool {
	var f errorBody
	if json.Unmarshal(raw, &f) != nil || f.Error.Code == "" {
		return false
	}
	a.code, a.execution = f.Error.Code, f.Error.Execution
	return true
}

// chatBody returns the body of a chat request and the text that the engine stand-in generates
// for it. If delivered is not nil, the request asks for the rest of an answer of which the
// caller has that text.
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

// drawSize draws the number of repeated phrases in a prompt and the limit of output tokens. The
// load alternates every 120 s between long prompts with short answers and the reverse.
func (c *caller) drawSize() (size, limit int) {
	if time.Now().Unix()/120%2 == 0 {
		return 50 + c.rng.IntN(1500), 8 + c.rng.IntN(16)
	}
	return 1 + c.rng.IntN(20), 40 + c.rng.IntN(120)
}

func waitBeforeRetry() { time.Sleep(retryPause) }

// chat sends a chat request without streaming and checks the text of the answer.
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

// event is one server-sent event.
type event struct{ id, name, data string }

// readEvents calls handle for each complete server-sent event until the stream ends.
func readEvents(r io.Reader, handle func(event)) error {
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
			handle(e)
			e = event{}
		}
	}
	return lines.Err()
}

// delta is the JSON data of a chat chunk.
type delta struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream sends a streamed chat request and checks its text. If the stream breaks, it draws a
// gateway again and resumes the request there, with the text received so far.
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
				raw, _ := io.ReadAll(r.Body) // an incomplete error body fails to parse
				a.readError(raw)
				return
			}
			_ = readEvents(r.Body, func(e event) { // the next attempt resumes a broken stream
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

// errStop ends a call of a plain service without further attempts.
var errStop = errors.New("soak: outcome of the call unknown; no further attempt")

// service calls the plain service and sends the same idempotency key with every attempt.
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

// readServiceResponse checks the answer of the plain service. It returns errStop when the
// gateway cannot tell whether the call ran, so that a further attempt cannot help.
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

// recordAttempt records an ended attempt, counts its outcome and checks that the key of a served
// one was valid.
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
