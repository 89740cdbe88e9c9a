package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"zinniapin/control"
	"zinniapin/internal/standin/service"
	"zinniapin/target"
)

// newTestGatewayWithServices returns a test gateway whose targets are services at the addresses.
func newTestGatewayWithServices(t testing.TB, addresses ...string) *testGateway {
	tg := newTestGateway(t, nil)
	var view []control.TargetState
	for i, address := range addresses {
		view = append(view, liveTarget(fmt.Sprintf("desk%d", i), target.Service, "desk", address))
	}
	tg.g.Observe(view)
	return tg
}

// startService starts an in-process HTTP service for tests.
func startService(t testing.TB) *service.Server {
	s, err := service.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

const deposit = `{"id":"d1"}`

// TestDepositRunsOnce checks that a repeated non-repeatable call returns the stored answer,
// and that equal idempotency keys of two organisations are independent.
func TestDepositRunsOnce(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	tg := newTestGatewayWithServices(t, s.Address())
	response, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit)
	is.Equal(errorOf(body).Code, "needs_idempotency_key")
	is.Equal(response.StatusCode, 400)
	_, first := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k1")
	response, second := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k1")
	is.Equal(first, second)
	is.Equal(response.Header.Get(headerReplayed), "true")
	response, _ = tg.send("POST", "/v1/services/desk/deposits", otherKey, deposit, "Idempotency-Key", "k1")
	is.Equal(response.Header.Get(headerReplayed), "")
	is.Equal(s.Runs()["d1"], 2) // one run per organisation
}

// TestLostDepositStaysUnknown checks that a call whose response was lost is neither sent
// again nor reported as not run.
func TestLostDepositStaysUnknown(t *testing.T) {
	is := is.New(t)
	s, other := startService(t), startService(t)
	tg := newTestGatewayWithServices(t, s.Address(), other.Address())
	s.SetFaults(service.Faults{LoseAnswers: 1})
	other.SetFaults(service.Faults{LoseAnswers: 1})
	response, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k1")
	is.Equal(response.StatusCode, 502)
	is.Equal(errorOf(body).Execution, "unknown")
	_, body = tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k1")
	is.Equal(errorOf(body).Code, "claim_unknown")
	is.Equal(errorOf(body).Execution, "unknown")
	is.Equal(s.Runs()["d1"]+other.Runs()["d1"], 1)
}

// TestRefusedCallIsSentToAnotherTarget checks that a call is sent to another target if the first
// one reports that it did not run it.
func TestRefusedCallIsSentToAnotherTarget(t *testing.T) {
	is := is.New(t)
	s, other := startService(t), startService(t)
	tg := newTestGatewayWithServices(t, s.Address(), other.Address(), "127.0.0.1:1")
	s.SetFaults(service.Faults{Refuse: 1})
	other.SetFaults(service.Faults{Refuse: 1})
	_, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k1")
	is.Equal(errorOf(body).Code, "target_refused")
	is.Equal(errorOf(body).Execution, "not_run")
	response, _ := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k1")
	is.Equal(response.StatusCode, 201)
	is.Equal(s.Runs()["d1"]+other.Runs()["d1"], 1)
	tg.claims.unavailable = true
	_, body = tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k2")
	is.Equal(errorOf(body).Code, "store_unavailable")
	is.Equal(errorOf(body).Execution, "not_run")
	is.Equal(s.Runs()["d1"]+other.Runs()["d1"], 1)
}

// TestTransportSendsOnce checks that net/http does not resend a call on its own when a
// reused connection breaks early, with or without a body.
func TestTransportSendsOnce(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if calls.Add(1)%2 == 1 {
			return // keeps the connection for reuse
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	defer server.Close()
	tg := newTestGatewayWithServices(t, server.Listener.Addr().String())
	for i, c := range []struct{ method, path, body string }{
		{"POST", "/deposits", deposit}, {"POST", "/deposits", ""}, {"GET", "/tickets/1", ""},
	} {
		calls.Store(0)
		response, _ := tg.send(c.method, "/v1/services/desk"+c.path, testKey, c.body, "Idempotency-Key", fmt.Sprintf("warm%d", i))
		is.Equal(response.StatusCode, 200)
		_, answer := tg.send(c.method, "/v1/services/desk"+c.path, testKey, c.body, "Idempotency-Key", fmt.Sprintf("cold%d", i))
		is.Equal(errorOf(answer).Execution, "unknown")
		is.Equal(calls.Load(), int64(2))
	}
}

// TestKeyIsNotSentToServices checks that no part of a request to a service contains the key, and
// that a call with the key in its content is refused.
func TestKeyIsNotSentToServices(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	tg := newTestGatewayWithServices(t, s.Address())
	var log lockedBuffer
	tg.g.log = tg.g.log.Output(&log).Level(zerolog.DebugLevel)
	defer func() { is.True(!strings.Contains(log.String(), testKey)) }()
	tg.send("GET", "/v1/services/desk/status/1?a=b", testKey, "", "X-Api-Key", testKey, "User-Agent", testKey, "Cookie", testKey, "X-Other", testKey, "Accept", "x")
	received := s.Calls()
	is.Equal(len(received), 1)
	is.True(!strings.Contains(fmt.Sprint(received), testKey))
	is.Equal(received[0].Header.Get("Accept"), "x")
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/v1/services/desk/status/1?k=" + testKey, ""},
		{"GET", "/v1/services/desk/status/1?k=zk_test%2Dkey-of-kalnins", ""},
		{"GET", "/v1/services/desk/status/" + testKey, ""},
		{"GET", "/v1/services/desk/status/zk_test%2Dkey-of-kalnins", ""},
		{"POST", "/v1/services/desk/drafts", "my key is " + testKey},
		{"POST", "/v1/chat/completions", chatRequest("my key is "+testKey, false)},
	} {
		response, body := tg.send(c.method, c.path, testKey, c.body)
		is.Equal(errorOf(body).Code, "key_in_content")
		is.Equal(response.StatusCode, 400)
	}
	is.Equal(len(s.Calls()), 1)
	tg.send("GET", "/v1/"+testKey, testKey, "")
}

// TestRoutes checks which routes each caller may use.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	tg := newTestGatewayWithServices(t, s.Address())
	tg.send("POST", "/v1/services/desk/deposits", testKey, `{"id":"1"}`, "Idempotency-Key", "k")
	for _, c := range []struct {
		method, path, key string
		status            int
	}{
		{"GET", "/v1/services/desk/status/1", "", 200},
		{"POST", "/v1/services/desk/deposits", "", 401},
		{"POST", "/v1/services/desk/deposits", "zk_wrong", 401},
		{"DELETE", "/v1/services/desk/deposits", testKey, 404},
		{"GET", "/v1/services/desk/status/../deposits", testKey, 400},
		{"GET", "/v1/services/desk/status/%2e%2e/deposits", testKey, 400},
		{"GET", "/v1/services/none/x", testKey, 404},
		{"GET", "/v1/other", testKey, 404},
		{"PUT", "/v1/models", testKey, 404},
		{"GET", "/v1/models", "", 401},
	} {
		response, body := tg.send(c.method, c.path, c.key, "")
		if response.StatusCode != c.status {
			t.Fatalf("%s %s: %d %s", c.method, c.path, response.StatusCode, body)
		}
		is.True(response.Header.Get(headerRequestID) != "")
	}
}

// scriptedServices implements Services with attempts whose outcomes follow a script: not_sent,
// refused, lost (the call was sent, but the response is incomplete) or whole (status 200).
type scriptedServices struct {
	kinds []string // outcomes of the attempts; the last one repeats
	sent  []string // outcomes of the attempts made so far
}

func (s *scriptedServices) Call(context.Context, target.Target, ServiceRequest) (ServiceResponse, error) {
	kind := s.kinds[min(len(s.sent), len(s.kinds)-1)]
	s.sent = append(s.sent, kind)
	switch kind {
	case "not_sent":
		return ServiceResponse{}, target.ErrNotSent
	case "refused":
		return ServiceResponse{}, target.ErrRefused
	case "lost":
		return ServiceResponse{}, target.ErrIncomplete
	default:
		return ServiceResponse{Status: 200, Header: http.Header{}}, nil
	}
}

// TestAtMostOnce checks, with random attempt outcomes and repeated calls under one key, that
// at most one attempt can have run and that "not run" is never reported after one that can
// have run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"not_sent", "refused", "lost", "whole"}), 12, 12).Draw(rt, "attempts")
		s := &scriptedServices{kinds: kinds}
		tg := newTestGatewayWithServices(t, "a", "b", "c", "d")
		defer tg.server.Close()
		tg.g.options.Services = s
		for range 4 {
			response, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k")
			mayHaveRun := strings.Contains(strings.Join(s.sent, " "), "lost") || strings.Contains(strings.Join(s.sent, " "), "whole")
			if response.StatusCode != 200 && errorOf(body).Execution == "not_run" && mayHaveRun {
				rt.Fatalf("not run after %v", s.sent)
			}
		}
		ran := strings.Count(strings.Join(s.sent, " "), "lost") + strings.Count(strings.Join(s.sent, " "), "whole")
		if ran > 1 {
			rt.Fatalf("sent %v", s.sent)
		}
	})
}

// deadAddress returns an address on which nothing listens.
func deadAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestUnreachedTargetIsNotRun checks that a call that reached no target is reported as not
// run, and that its idempotency key may be used again.
func TestUnreachedTargetIsNotRun(t *testing.T) {
	is := is.New(t)
	tg := newTestGatewayWithServices(t, deadAddress(t))
	for range 2 {
		response, body := tg.send("POST", "/v1/services/desk/deposits", testKey, deposit, "Idempotency-Key", "k1")
		is.Equal(response.StatusCode, 503)
		is.Equal(errorOf(body).Execution, "not_run")
	}
}
