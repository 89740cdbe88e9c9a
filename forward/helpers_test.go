package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/detour"
	"zinniapin/dispatch"
	"zinniapin/forward"
	"zinniapin/ingress"
	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/retrybudget"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/target"
	"zinniapin/upstream"
)

// testHandler runs a handler behind an ingress server on loopback, with stand-in targets.
type testHandler struct {
	t       testing.TB
	handler *forward.Handler
	address string
	mu      sync.Mutex
	table   *route.Table    // configuration in use
	started map[string]int  // requests started, by organisation
	targets []roster.Target // targets of the planner
	server  *ingress.Server
	metrics *prometheus.Registry
	origins origins
	maxBody atomic.Int64 // bytes of a request's body
}

// origins records the origins of streams in place of a node. An unrecorded stream may have begun at
// any version.
type origins struct {
	mu  sync.Mutex
	all map[string]forward.StreamOrigin // by request
}

// Began implements forward.StreamVersions.
func (o *origins) Began(_ context.Context, _, request string, at forward.StreamOrigin, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[string]forward.StreamOrigin)
	}
	o.all[request] = at
}

// Origin implements forward.StreamVersions.
func (o *origins) Origin(_ context.Context, _, request string, _ time.Duration) (forward.StreamOrigin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.all[request]
	return at, ok
}

// Ended implements forward.StreamVersions.
func (o *origins) Ended(string) {}

// Stands implements forward.StreamVersions.
func (o *origins) Stands(string) bool { return true }

// configuration returns the configuration of a testHandler: one route for each kind of request.
func configuration() *route.Configuration {
	plain := func(name, prefix string, kind route.Kind, attempts int) route.Route {
		return route.Route{Name: name, Host: "shop.example", Prefix: prefix, Kind: kind, TimeoutMillis: 2000, ObjectiveMillis: 150,
			Attempts: attempts, Backends: []route.Backend{{Service: "desk", Weight: 1}}}
	}
	stream := func(name, prefix string, resumable bool, attempts int) route.Route {
		return route.Route{Name: name, Host: "shop.example", Prefix: prefix, Kind: route.Stream, TimeoutMillis: 5000, ObjectiveMillis: 500, GapMillis: 300,
			Attempts: attempts, Resumable: resumable, Backends: []route.Backend{{Service: "model", Weight: 1}}}
	}
	return &route.Configuration{
		Version: 1,
		Routes: []route.Route{
			plain("read", "/read/", route.Idempotent, 2), plain("take", "/take/", route.NonIdempotent, 2),
			stream("draft", "/draft/", true, 2), stream("reply", "/reply/", false, 1),
		},
		Services: []route.Service{
			{Name: "desk"},
			{Name: "model", Engine: &route.Engine{Slots: 8, CapacityTokens: 1 << 20, TokenBytes: 1000, LinkMbps: 1e5, EventTokens: 10}},
		},
		Organisations: []route.Organisation{{Name: "parents", Keys: []string{"key-1"}}},
		Limits:        route.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeoutMillis: 1000, IdleTimeoutMillis: 5000},
	}
}

// newTestHandler starts a handler that forwards to the given targets of a service.
func newTestHandler(t testing.TB, service string, all ...*prepared.Target) *testHandler {
	t.Helper()
	h := &testHandler{t: t, started: make(map[string]int), metrics: prometheus.NewRegistry()}
	h.maxBody.Store(1 << 20)
	h.setTable(configuration())
	log := zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)
	h.handler = forward.New(&forward.Handler{
		Protocol: platform.Protocol{}, Pool: upstream.NewPool(detour.New(detour.Options{})), Versions: &h.origins,
		View: func() forward.View {
			h.mu.Lock()
			defer h.mu.Unlock()
			return forward.View{Table: h.table, Hosts: 1}
		},
		RetryBounds: retrybudget.Bounds{Ratio: 5, Slack: 10, Window: 10 * time.Second},
		OnRequestStarted: func(organisation string) {
			h.mu.Lock()
			h.started[organisation]++
			h.mu.Unlock()
		},
		OnMisdirected: func(target.ID) {}, Metrics: forward.NewMetrics(h.metrics), Log: &log,
		Planner: dispatch.New(dispatch.DefaultPolicy(), "here", 1),
	})
	for _, s := range all {
		h.targets = append(h.targets, roster.Target{ID: target.ID(s.ID), Service: service, Address: s.Address(), Zone: "here", Slots: 8, Role: target.Role(s.Stage), Version: s.Version})
		t.Cleanup(s.Close)
	}
	h.handler.Planner.SetTargets(time.Now(), h.targets)
	h.handler.Planner.SetServices(configuration().Services)
	h.server = &ingress.Server{Handler: h.handler, Limits: func() ingress.Limits {
		return ingress.Limits{HeadBytes: 8 << 10, BodyBytes: int(h.maxBody.Load()), HeadTimeout: time.Second, IdleTimeout: 5 * time.Second}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = h.server.Serve(l) }()
	h.address = l.Addr().String()
	return h
}

// counter returns the sum of a counter over its labels.
func (h *testHandler) counter(name string) float64 {
	h.t.Helper()
	families, err := h.metrics.Gather()
	if err != nil {
		h.t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() == name {
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// setTable replaces the configuration of the handler.
func (h *testHandler) setTable(c *route.Configuration) {
	table, err := route.NewTable(c)
	if err != nil {
		h.t.Fatal(err)
	}
	h.mu.Lock()
	h.table = table
	h.mu.Unlock()
}

// callResult is the response that a caller got.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error // set when the response is missing or incomplete
}

// withoutDefaultHeaders, as the first header of a call, leaves out the request id, deadline and key
// that a call has by default. Only the headers that follow it are sent.
const withoutDefaultHeaders = "-"

// call sends one request on a new connection, with the default headers and then the given ones.
func (h *testHandler) call(method, path, body string, headers ...string) callResult {
	h.t.Helper()
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close() //nolint:errcheck // a test
	return exchange(c, bufio.NewReader(c), method, path, body, headers...)
}

// exchange sends one request on a connection and reads the response.
func exchange(c net.Conn, reader *bufio.Reader, method, path, body string, headers ...string) callResult {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\n", method, path)
	if len(headers) == 0 || headers[0] != withoutDefaultHeaders {
		b.WriteString("X-Request-Id: id-1\r\nX-Deadline-Ms: 2000\r\nX-Credential: key-1\r\n")
	}
	for _, h := range headers {
		if h != withoutDefaultHeaders {
			b.WriteString(h + "\r\n")
		}
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return callResult{err: err}
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return callResult{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(data), err}
}

// engineHeaders are the headers of a request to a model engine.
var engineHeaders = []string{"X-Model: m", "X-Token-Count: 100,20", "X-Prompt-Prefix: aa:50,bb:50"}
