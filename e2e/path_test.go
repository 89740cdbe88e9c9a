package e2e

import (
	"net/http"
	"strings"
	"testing"

	"zinniapin/internal/deploy"
)

// TestWholePath sends a plain chat, a streamed chat and a deposit, changes a contract and
// waits until usage is reported.
func TestWholePath(t *testing.T) {
	t.Parallel()
	r := start(t, 3)
	drafts := r.key("programme-drafts")
	portal := r.key("parents-portal")

	plain := r.chat(0, drafts, "assistant", 16, false)
	r.is.Equal(plain.Status, http.StatusOK)
	r.is.True(strings.Contains(plain.Body, `"completion_tokens":16`))

	streamed := r.chat(1, portal, "triage", 16, true)
	r.is.Equal(streamed.Status, http.StatusOK)
	r.is.True(strings.HasSuffix(strings.TrimSpace(streamed.Body), "data: [DONE]"))

	first, err := r.deposit(0, portal, "one", "booking-1")
	r.is.NoErr(err)
	r.is.Equal(first.Status, http.StatusCreated)
	again, err := r.deposit(2, portal, "one", "booking-1")
	r.is.NoErr(err)
	r.is.Equal(again.Status, http.StatusCreated)
	r.is.Equal(again.Header.Get("Idempotent-Replayed"), "true")
	r.is.Equal(again.Body, first.Body)
	r.is.Equal(r.executions("booking-1"), 1)

	r.checkRefusals(drafts)
	r.checkContractChange(drafts)
	r.eventually("usage of both organisations is reported", func() bool {
		return r.reported("programme-drafts") && r.reported("parents-portal")
	})
	r.checkNoKeyReachedTargets(drafts, portal)
}

// reported tells whether the platform has usage of an organisation.
func (r *testDeployment) reported(organisation string) bool {
	for _, report := range r.standins.Platform.Usage() {
		if report.Organisation == organisation && report.Requests+report.Calls > 0 {
			return true
		}
	}
	return false
}

// checkRefusals sends requests with bad keys or models and checks that they are refused
// without being executed.
func (r *testDeployment) checkRefusals(key string) {
	refusals := []struct {
		key, model, code string
		status           int
	}{
		{"", "assistant", "bad_key", http.StatusUnauthorized},
		{"zk_wrong", "assistant", "bad_key", http.StatusUnauthorized},
		{key, "none", "no_such_model", http.StatusNotFound},
		{key, "triage", "no_such_model", http.StatusNotFound},
	}
	for _, c := range refusals {
		answer := r.chat(0, c.key, c.model, 8, false)
		r.is.Equal(answer.Status, c.status)
		r.is.True(strings.Contains(answer.Body, `"code":"`+c.code+`"`))
		r.is.True(strings.Contains(answer.Body, `"execution":"not_run"`))
	}
}

// checkContractChange changes the models of a contract and checks that all gateways apply
// the change.
func (r *testDeployment) checkContractChange(key string) {
	_, err := r.RunOperatorCommand(r.ctx, "contract", "set", "programme-drafts", `models=["triage"]`, "--wait")
	r.is.NoErr(err)
	for host := range r.Hosts {
		r.is.Equal(r.chat(host, key, "assistant", 8, false).Status, http.StatusNotFound)
		r.is.Equal(r.chat(host, key, "triage", 8, false).Status, http.StatusOK)
	}
}

// checkNoKeyReachedTargets checks that no request that a target received contains one of
// the API keys.
func (r *testDeployment) checkNoKeyReachedTargets(keys ...string) {
	for _, s := range r.standins.Services() {
		for _, call := range s.Calls() {
			r.checkNoKey(call.Header, string(call.Body), keys)
		}
	}
	for _, e := range r.standins.Engines() {
		for _, call := range e.Records().HTTP {
			r.checkNoKey(call.Header, string(call.Body), keys)
		}
	}
}

// checkNoKey checks that one request contains none of the keys.
func (r *testDeployment) checkNoKey(header http.Header, body string, keys []string) {
	for _, key := range keys {
		r.is.True(!strings.Contains(body, key))
		for _, values := range header {
			r.is.True(!strings.Contains(strings.Join(values, " "), key))
		}
	}
}

// TestWithdrawnKeyStopsEverywhere withdraws a key that is in use. Every gateway must
// refuse it from then on.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	t.Parallel()
	r := start(t, 3)
	key := r.key("parents-portal")
	for host := range r.Hosts {
		r.is.Equal(r.chat(host, key, "triage", 4, false).Status, http.StatusOK)
	}
	fingerprint := deploy.Fingerprint(key)
	_, err := r.RunOperatorCommand(r.ctx, "key", "withdraw", fingerprint, "--wait")
	r.is.NoErr(err)
	for host := range r.Hosts {
		answer := r.chat(host, key, "triage", 4, false)
		r.is.Equal(answer.Status, http.StatusUnauthorized)
		r.is.True(strings.Contains(answer.Body, `"execution":"not_run"`))
	}
}
