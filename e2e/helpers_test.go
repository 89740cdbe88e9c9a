// Package e2e tests the built programs, which run as processes on loopback. The simulated
// platform and targets run within the test process, so that tests can inject faults into
// them and read what they received.
package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/internal/deploy"
	"zinniapin/internal/standin/process"
	"zinniapin/settings"
)

// waitTimeout limits how long a test waits for a condition. It is far above the usual
// time.
const waitTimeout = 60 * time.Second

// binaries is the folder with the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "zinniapin-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	command := exec.Command("go", "build", "-o", folder, "../cmd/...")
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "go build:", err)
		return 1
	}
	return m.Run()
}

// testDeployment is a running deployment together with its simulated platform and targets.
type testDeployment struct {
	*deploy.Deployment
	ctx      context.Context
	standins *process.Process
	is       *is.I
	t        *testing.T
}

// reserveNetwork returns the prefix of a loopback network that no other test on this
// machine uses. It listens on a port of the network until the test ends, which makes the
// same attempt of other tests fail.
func reserveNetwork(t *testing.T) string {
	t.Helper()
	for second := 90; second < 120; second++ {
		for third := 1; third < 250; third++ {
			network := fmt.Sprintf("127.%d.%d.", second, third)
			listener, err := net.Listen("tcp", network+"250:9090")
			if err == nil {
				t.Cleanup(func() { _ = listener.Close() })
				return network
			}
		}
	}
	t.Fatal("no loopback network is free")
	return ""
}

// start runs the example deployment examples/kalnins on a network of its own, with short
// usage windows.
func start(t *testing.T, hosts int) *testDeployment {
	t.Helper()
	return startOn(t, reserveNetwork(t), hosts, shortWindows)
}

// startOn runs the example deployment on a network. edit changes the content of its
// settings files.
func startOn(t *testing.T, network string, hosts int, edit func(path string, content []byte) []byte) *testDeployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*waitTimeout)
	t.Cleanup(cancel)
	r := &testDeployment{ctx: ctx, is: is.New(t), t: t}
	d, err := deploy.Prepare(deploy.Options{
		Example: "../examples/kalnins", Folder: t.TempDir(), Binaries: binaries,
		Network: network, Hosts: hosts, Edit: edit,
	})
	r.is.NoErr(err)
	r.Deployment = d
	t.Cleanup(func() { r.stopAndLog(t) })
	r.startStandins(t)
	r.is.NoErr(d.ApplyConfiguration(ctx))
	r.is.NoErr(d.StartHosts())
	r.is.NoErr(d.WaitReady(ctx))
	return r
}

// shortWindows reduces the length of usage windows from 60 s to 3 s, so that usage is
// reported during a test.
func shortWindows(path string, content []byte) []byte {
	if path != "configuration.json" {
		return content
	}
	return []byte(strings.Replace(string(content), `"usage_window_seconds": 60`, `"usage_window_seconds": 3`, 1))
}

// startStandins starts the simulated platform and targets within this process.
func (r *testDeployment) startStandins(t *testing.T) {
	t.Helper()
	s := &settings.Standin{}
	r.is.NoErr(r.StandinSettings(s))
	log := zerolog.Nop()
	standins, err := process.Start(s, &log)
	r.is.NoErr(err)
	r.standins = standins
	t.Cleanup(standins.Close)
}

// stopAndLog stops the processes and, if the test failed, logs their output.
func (r *testDeployment) stopAndLog(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := r.StopAll(ctx); err != nil {
		t.Logf("cannot stop all processes: %v", err)
	}
	if !t.Failed() {
		return
	}
	for _, host := range r.Hosts {
		for _, name := range []string{host + "-gateway", host + "-controller"} {
			content, _ := os.ReadFile(r.LogPath(name))
			t.Logf("log of %s:\n%s", name, content)
		}
	}
}

// url returns the URL of the gateway on the host with this index.
func (r *testDeployment) url(host int) string {
	url, err := r.URL(r.Hosts[host])
	r.is.NoErr(err)
	return url
}

// key issues an API key to an organisation.
func (r *testDeployment) key(organisation string) string {
	key, err := r.IssueKey(r.ctx, organisation)
	r.is.NoErr(err)
	return key
}

// chat sends a chat request through the gateway on a host.
func (r *testDeployment) chat(host int, key, model string, tokens int, stream bool) deploy.Response {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"a programme, please"}]}`, model, tokens, stream)
	answer, err := deploy.Call{Method: http.MethodPost, URL: r.url(host) + "/v1/chat/completions", Key: key, Body: body}.Send(r.ctx)
	r.is.NoErr(err)
	return answer
}

// deposit requests a deposit, an operation of the booking desk that must not be executed twice,
// through the gateway on a host. id identifies the deposit in the body of the request.
func (r *testDeployment) deposit(host int, key, idempotencyKey, id string) (deploy.Response, error) {
	return deploy.Call{
		Method: http.MethodPost, URL: r.url(host) + "/v1/services/booking-desk/deposits", Key: key,
		Body:   fmt.Sprintf(`{"id":%q}`, id),
		Header: map[string]string{"Idempotency-Key": idempotencyKey},
	}.Send(r.ctx)
}

// executions returns how often a deposit was executed, over all instances of the service.
func (r *testDeployment) executions(id string) int {
	total := 0
	for _, s := range r.standins.Services() {
		total += s.Runs()[id]
	}
	return total
}

// within polls a condition and returns whether it holds within waitTimeout.
func (r *testDeployment) within(condition func() bool) bool {
	return holdsWithin(waitTimeout, condition)
}

// holdsWithin polls a condition and returns whether it holds within a limit.
func holdsWithin(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// eventually fails the test unless a condition holds within waitTimeout.
func (r *testDeployment) eventually(what string, condition func() bool) {
	if !r.within(condition) {
		r.t.Fatalf("not within %v: %s", waitTimeout, what)
	}
}
