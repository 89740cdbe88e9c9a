package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/internal/deploy"
)

// reportTimeout bounds the wait for usage reports.
const reportTimeout = 30 * time.Second

// show sends requests of two organisations and prints the responses, log lines and usage
// reports.
func show(ctx context.Context, d *deploy.Deployment) error {
	drafts, err := d.IssueKey(ctx, "programme-drafts")
	if err != nil {
		return err
	}
	portal, err := d.IssueKey(ctx, "parents-portal")
	if err != nil {
		return err
	}
	first, err := d.URL(d.Hosts[0])
	if err != nil {
		return err
	}
	second, err := d.URL(d.Hosts[1])
	if err != nil {
		return err
	}
	if err := showChat(ctx, first, drafts); err != nil {
		return err
	}
	if err := showStream(ctx, second, portal); err != nil {
		return err
	}
	if err := showDeposit(ctx, first, second, portal); err != nil {
		return err
	}
	if err := showChange(ctx, d, first, drafts); err != nil {
		return err
	}
	if err := showDecisions(d); err != nil {
		return err
	}
	return showReports(ctx, d)
}

// chatBody is the format of a chat request; its parameters are the model and whether to stream.
const chatBody = `{"model":"%s","max_tokens":24,"stream":%t,"messages":[{"role":"user","content":"Draft a programme for a sixth birthday with a puppet play"}]}`

// showChat sends a chat request without streaming.
func showChat(ctx context.Context, url, key string) error {
	printStep("a chat request of programme-drafts without streaming")
	return printResponse(deploy.Call{Method: http.MethodPost, URL: url + "/v1/chat/completions", Key: key, Body: fmt.Sprintf(chatBody, "assistant", false)}.Send(ctx))
}

// showStream sends a streamed chat request.
func showStream(ctx context.Context, url, key string) error {
	printStep("a streamed chat request of parents-portal")
	return printResponse(deploy.Call{Method: http.MethodPost, URL: url + "/v1/chat/completions", Key: key, Body: fmt.Sprintf(chatBody, "triage", true)}.Send(ctx))
}

// showDeposit sends a non-repeatable service call and repeats it through another gateway, which
// answers from the stored response.
func showDeposit(ctx context.Context, first, second, key string) error {
	printStep("a deposit of parents-portal, sent twice with one Idempotency-Key through two gateways")
	call := deploy.Call{
		Method: http.MethodPost, Key: key,
		Body:   `{"id":"booking-1","amount":50}`,
		Header: map[string]string{"Idempotency-Key": "demo-deposit-1"},
	}
	for _, url := range []string{first, second} {
		call.URL = url + "/v1/services/booking-desk/deposits"
		if err := printResponse(call.Send(ctx)); err != nil {
			return err
		}
	}
	return nil
}

// showChange removes a model from a contract while the system runs and sends a request for it.
func showChange(ctx context.Context, d *deploy.Deployment, url, key string) error {
	printStep("an operator removes the model from the contract; the next request is refused without running")
	out, err := d.RunOperatorCommand(ctx, "contract", "set", "programme-drafts", `models=["triage"]`, "--wait")
	if err != nil {
		return err
	}
	fmt.Print(out)
	return printResponse(deploy.Call{Method: http.MethodPost, URL: url + "/v1/chat/completions", Key: key, Body: fmt.Sprintf(chatBody, "assistant", false)}.Send(ctx))
}

// printResponse prints the status, two headers and the body of a response.
func printResponse(response deploy.Response, err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("HTTP %d", response.Status)
	for _, name := range []string{"Retry-After", "Idempotent-Replayed"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Printf("  %s: %s", name, value)
		}
	}
	fmt.Println()
	fmt.Println(strings.TrimSpace(response.Body))
	return nil
}

// decisionEvents are the beginnings of the events that log decisions.
var decisionEvents = []string{`"name":"request_routed"`, `"name":"request_refused"`, `"name":"role_`, `"name":"spending_`}

// maxDecisionLines bounds the printed log lines.
const maxDecisionLines = 8

// showDecisions prints the first log lines about decisions.
func showDecisions(d *deploy.Deployment) error {
	printStep("log lines about decisions")
	shown := 0
	for _, host := range d.Hosts {
		for _, process := range []string{"-gateway", "-controller"} {
			lines, err := decisionLogLines(d.LogPath(host + process))
			if err != nil {
				return err
			}
			for _, line := range lines {
				if shown < maxDecisionLines {
					fmt.Println(line)
				}
				shown++
			}
		}
	}
	return nil
}

// decisionLogLines returns the lines of a log file about decisions.
func decisionLogLines(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	var found []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		for _, name := range decisionEvents {
			if strings.Contains(scanner.Text(), name) {
				found = append(found, scanner.Text())
			}
		}
	}
	return found, trace.Wrap(scanner.Err())
}

// showReports waits until the platform has usage reports of both organisations and prints them.
func showReports(ctx context.Context, d *deploy.Deployment) error {
	printStep("usage reports as the platform received them")
	url, err := d.PlatformURL()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for {
		answer, err := deploy.Call{Method: http.MethodGet, URL: url + "/reports"}.Send(ctx)
		if err != nil {
			return err
		}
		if strings.Contains(answer.Body, "parents-portal") && strings.Contains(answer.Body, "programme-drafts") {
			fmt.Println(strings.TrimSpace(answer.Body))
			return nil
		}
		time.Sleep(time.Second)
	}
}
