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

// reportLimit bounds the wait for a usage report.
const reportLimit = 30 * time.Second

// show sends requests of two organisations and shows what happened.
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

// chatBody is a request to a model.
const chatBody = `{"model":"%s","max_tokens":24,"stream":%t,"messages":[{"role":"user","content":"Draft a programme for a sixth birthday with a puppet play"}]}`

// showChat sends a plain request.
func showChat(ctx context.Context, url, key string) error {
	step("a plain request of programme-drafts")
	return printed(deploy.Call{Method: http.MethodPost, URL: url + "/v1/chat/completions", Key: key, Body: fmt.Sprintf(chatBody, "assistant", false)}.Send(ctx))
}

// showStream sends a streamed request.
func showStream(ctx context.Context, url, key string) error {
	step("a streamed request of parents-portal")
	return printed(deploy.Call{Method: http.MethodPost, URL: url + "/v1/chat/completions", Key: key, Body: fmt.Sprintf(chatBody, "triage", true)}.Send(ctx))
}

// showDeposit sends a non-repeatable call and repeats it through another
// gateway.
func showDeposit(ctx context.Context, first, second, key string) error {
	step("a deposit of parents-portal, sent twice with one Idempotency-Key through two gateways")
	call := deploy.Call{
		Method: http.MethodPost, Key: key,
		Body:   `{"id":"booking-1","amount":50}`,
		Header: map[string]string{"Idempotency-Key": "demo-deposit-1"},
	}
	for _, url := range []string{first, second} {
		call.URL = url + "/v1/services/booking-desk/deposits"
		if err := printed(call.Send(ctx)); err != nil {
			return err
		}
	}
	return nil
}

// showChange changes a contract and withdraws a key while the system runs.
func showChange(ctx context.Context, d *deploy.Deployment, url, key string) error {
	step("an operator ends the contract's use of its model; the next request is refused unrun")
	out, err := d.RunOperatorCommand(ctx, "contract", "set", "programme-drafts", `models=["triage"]`, "--wait")
	if err != nil {
		return err
	}
	fmt.Print(out)
	return printed(deploy.Call{Method: http.MethodPost, URL: url + "/v1/chat/completions", Key: key, Body: fmt.Sprintf(chatBody, "assistant", false)}.Send(ctx))
}

// printed prints an answer.
func printed(a deploy.Response, err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("HTTP %d", a.Status)
	for _, name := range []string{"Retry-After", "Idempotent-Replayed"} {
		if value := a.Header.Get(name); value != "" {
			fmt.Printf("  %s: %s", name, value)
		}
	}
	fmt.Println()
	fmt.Println(strings.TrimSpace(a.Body))
	return nil
}

// decisionNames are the events shown as decision log lines.
var decisionNames = []string{`"name":"request_routed"`, `"name":"request_refused"`, `"name":"role_`, `"name":"spending_`}

// decisionLines bounds the log lines shown.
const decisionLines = 8

// showDecisions prints log lines of decisions.
func showDecisions(d *deploy.Deployment) error {
	step("decision log lines")
	shown := 0
	for _, host := range d.Hosts {
		for _, process := range []string{"-gateway", "-controller"} {
			lines, err := decisions(d.LogPath(host + process))
			if err != nil {
				return err
			}
			for _, line := range lines {
				if shown < decisionLines {
					fmt.Println(line)
				}
				shown++
			}
		}
	}
	return nil
}

// decisions returns the lines of a log that tell of decisions.
func decisions(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	var found []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		for _, name := range decisionNames {
			if strings.Contains(scanner.Text(), name) {
				found = append(found, scanner.Text())
			}
		}
	}
	return found, trace.Wrap(scanner.Err())
}

// showReports waits for the usage reports and prints them as the platform
// received them.
func showReports(ctx context.Context, d *deploy.Deployment) error {
	step("usage reports as the platform received them")
	url, err := d.PlatformURL()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
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
