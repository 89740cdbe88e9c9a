package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/claim"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/internal/standin/engine"
	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/settings"
	"zinniapin/target"
	"zinniapin/zone"
)

const (
	testKey   = "zk_test-key-of-kalnins"
	otherKey  = "zk_test-key-of-sonar"
	testModel = "m"
)

var homeZone = zone.Zone{Name: "riga-a", Region: "baltic"}

// testGateway is a gateway with in-memory engines and a real HTTP listener for callers.
type testGateway struct {
	g       *Gateway
	engines *engine.Direct
	claims  *memoryClaims
	server  *httptest.Server
	view    []control.TargetState // view of the engines, for Observe
}

// testSettings returns settings with time limits suited to tests in real time.
func testSettings() settings.Gateway {
	return settings.Gateway{DrainDelayMillis: 50, ControllerLossMillis: 60_000, MaxConfirmationAgeMillis: 600_000, FirstTokenMillis: 10_000,
		FirstChunkMillis: 10_000, StallMillis: 5_000, QueueLength: 256, ResumeMillis: 60_000, FlushMillis: 1_000}
}

// newSnapshot returns a configuration with two organisations, modified by change.
func newSnapshot(revision contract.Revision, change func(kalnins, sonar *contract.Contract)) *contract.Snapshot {
	limits := contract.Limits{RequestsPerSecond: 10_000, Concurrency: 1_000}
	kalnins := &contract.Contract{Organisation: "kalnins", Keys: []contract.Key{{Fingerprint: contract.Fingerprint(testKey)}},
		Models: []string{testModel}, Services: []string{"desk"}, Limits: limits}
	sonar := &contract.Contract{Organisation: "sonar", Keys: []contract.Key{{Fingerprint: contract.Fingerprint(otherKey)}},
		Models: []string{testModel}, Services: []string{"desk"}, Limits: limits}
	if change != nil {
		change(kalnins, sonar)
	}
	fleet := contract.Fleet{
		Zones:  []zone.Zone{homeZone},
		Models: []contract.Model{{Name: testModel, Pool: "p"}, {Name: "secret", Pool: "p"}},
		Pools:  []contract.Pool{{Name: "p"}},
		Services: []contract.Service{{Name: "desk", Routes: []contract.Route{
			{Method: "POST", Path: "/deposits"},
			{Method: "POST", Path: "/drafts", Repeatable: true},
			{Method: "GET", Path: "/tickets/*"},
			{Method: "GET", Path: "/status/*", Repeatable: true, Open: true},
		}}},
	}
	return contract.NewSnapshot(revision, fleet, []*contract.Contract{kalnins, sonar})
}

// liveTarget returns the state of a live target.
func liveTarget(id string, kind target.Kind, pool, address string) control.TargetState {
	t := target.Target{ID: target.ID(id), Kind: kind, Class: target.Reserved, Pool: pool, Zone: homeZone.Name, Address: address}
	return control.TargetState{Target: t, State: provider.Live, Report: target.Report{
		Target: t.ID, Boot: 1, Sequence: 1, ReceivedAt: time.Now(), Role: target.Mixed, Models: []string{testModel}, Capacity: 16}}
}

// newTestGateway returns a gateway with one in-memory engine for each name. Requests go to
// these engines unless requests is set.
func newTestGateway(t testing.TB, requests target.Requests, engines ...string) *testGateway {
	tg := newBareGateway(t, requests, engines...)
	tg.server = httptest.NewServer(tg.g)
	t.Cleanup(tg.server.Close)
	return tg
}

// newBareGateway is newTestGateway without a listener, for tests in virtual time.
func newBareGateway(t testing.TB, requests target.Requests, engines ...string) *testGateway {
	tg := &testGateway{engines: engine.NewDirect(), claims: newMemoryClaims()}
	for i, name := range engines {
		tg.engines.Add(name, engine.Options{ID: target.ID(name), Seed: uint64(i + 1), Models: []string{testModel}, AnyRole: true, DecodeRate: 1e6, PrefillRate: 1e7})
		tg.view = append(tg.view, liveTarget(name, target.Engine, "p", name))
	}
	var refuses func(context.Context, target.Target) bool
	if requests == nil {
		requests, refuses = tg.engines, tg.engines.Refuses
	}
	g, err := New(Options{
		Process:   machine.Process{Host: "h", Role: machine.Gateway, Incarnation: 7, Zone: homeZone},
		Settings:  testSettings(),
		ResumeKey: bytes.Repeat([]byte("k"), MinResumeKeyBytes),
		Engines:   requests,
		Claims:    tg.claims,
		Refuses:   refuses,
		Log:       zerolog.Nop(),
		Seed:      1,
	})
	if err != nil {
		t.Fatal(err)
	}
	tg.configure(g)
	g.Observe(tg.view)
	return tg
}

// configure makes a gateway that of the test and gives it a configuration.
func (tg *testGateway) configure(g *Gateway) {
	tg.g = g
	g.Configure(newSnapshot(1, nil))
	g.SetConnectivity(control.Connectivity{Controllers: 1, LiveGateways: 1, ConfirmedAt: time.Now()})
}

// use makes a gateway that of the test, with a listener.
func (tg *testGateway) use(t testing.TB, g *Gateway) {
	tg.configure(g)
	tg.server = httptest.NewServer(g)
	t.Cleanup(tg.server.Close)
}

// send sends an HTTP request and returns the response and its body.
func (tg *testGateway) send(method, path, key, body string, headers ...string) (*http.Response, string) {
	request, err := http.NewRequest(method, tg.server.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := tg.server.Client().Do(request)
	if err != nil {
		return &http.Response{}, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response, string(data)
}

// chat sends a chat request with the test key.
func (tg *testGateway) chat(prompt string, stream bool) (*http.Response, string) {
	return tg.send("POST", "/v1/chat/completions", testKey, chatRequest(prompt, stream))
}

// chatRequest returns the body of a chat request.
func chatRequest(prompt string, stream bool) string {
	return resumeRequest(prompt, stream, nil)
}

// resumeRequest returns the body of a chat request that resumes a stream after the delivered
// text, or of a new request if it is nil.
func resumeRequest(prompt string, stream bool, delivered *string) string {
	body := struct {
		Model     string            `json:"model"`
		Messages  []json.RawMessage `json:"messages"`
		Stream    bool              `json:"stream"`
		Options   any               `json:"stream_options,omitempty"`
		MaxTokens int               `json:"max_tokens"`
		Delivered *string           `json:"zinnia_delivered,omitempty"`
	}{Model: testModel, Stream: stream, MaxTokens: 64, Delivered: delivered}
	content, _ := json.Marshal(prompt)
	body.Messages = []json.RawMessage{json.RawMessage(`{"role":"user","content":` + string(content) + `}`)}
	if stream {
		body.Options = map[string]bool{"include_usage": true}
	}
	encoded, _ := json.Marshal(body)
	return string(encoded)
}

// engineText returns the text that the in-memory engines generate for a prompt, and its
// number of tokens.
func engineText(prompt string) (string, int) {
	b := chatBody{Messages: []chatMessage{{Role: "user", Content: chatContent(prompt)}}}
	n, _ := engine.Length(testModel, b.prompt(), 64)
	return engine.Text(testModel, b.prompt(), 0, n), n
}

// streamEvent is a server-sent event.
type streamEvent struct {
	id, name, data string
}

// parseEvents splits the body of a stream into its events.
func parseEvents(body string) []streamEvent {
	var all []streamEvent
	for block := range strings.SplitSeq(strings.TrimSpace(body), "\n\n") {
		var e streamEvent
		for line := range strings.SplitSeq(block, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			switch name {
			case "id":
				e.id = value
			case "event":
				e.name = value
			case "data":
				e.data = value
			}
		}
		all = append(all, e)
	}
	return all
}

// streamText concatenates the text of events.
func streamText(all []streamEvent) string {
	var b strings.Builder
	for _, e := range all {
		var c chatCompletion
		if json.Unmarshal([]byte(e.data), &c) != nil || len(c.Choices) == 0 || c.Choices[0].Delta == nil || c.Choices[0].Delta.Content == nil {
			continue
		}
		b.WriteString(*c.Choices[0].Delta.Content)
	}
	return b.String()
}

// errorOf decodes the body of an error response.
func errorOf(body string) errorDetail {
	var e errorBody
	_ = json.Unmarshal([]byte(body), &e)
	return e.Error
}

// eventually polls until ok returns true, and fails the test after 10 s.
func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met within 10 s")
}

// memoryClaims is a claim registry in memory.
type memoryClaims struct {
	mu          sync.Mutex
	states      map[claim.ID]claim.Outcome // latest outcome of each claim
	digest      map[claim.ID][32]byte      // of the claimed requests
	unavailable bool                       // Begin and Lookup fail
}

func newMemoryClaims() *memoryClaims {
	return &memoryClaims{states: map[claim.ID]claim.Outcome{}, digest: map[claim.ID][32]byte{}}
}

func (m *memoryClaims) Begin(_ context.Context, id claim.ID, digest [32]byte) (claim.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return claim.Outcome{}, errors.New("down")
	}
	found, ok := m.states[id]
	if ok && found.State != claim.NotRun {
		return found, nil
	}
	m.states[id] = claim.Outcome{State: claim.Claimed}
	m.digest[id] = digest
	return claim.Outcome{Ticket: &claim.Ticket{ID: id, Attempt: "a"}}, nil
}

func (m *memoryClaims) Lookup(_ context.Context, id claim.ID, _ [32]byte) (claim.Outcome, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found, ok := m.states[id]
	if m.unavailable {
		return claim.Outcome{}, false, errors.New("down")
	}
	return found, ok && found.State != claim.NotRun, nil
}

func (m *memoryClaims) set(t claim.Ticket, o claim.Outcome) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states[t.ID] = o
	return nil
}

func (m *memoryClaims) Finish(_ context.Context, t claim.Ticket, a claim.Answer) error {
	return m.set(t, claim.Outcome{State: claim.Done, Answer: &a})
}

func (m *memoryClaims) Release(_ context.Context, t claim.Ticket) error {
	return m.set(t, claim.Outcome{State: claim.NotRun})
}

func (m *memoryClaims) Abandon(_ context.Context, t claim.Ticket) error {
	return m.set(t, claim.Outcome{State: claim.Unknown})
}

// TestChatForm checks the form of a JSON response and of a stream, the list of models and
// the usage counted.
func TestChatForm(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(t, nil, "e1")
	want, n := engineText("hello")
	response, body := tg.chat("hello", false)
	is.Equal(response.StatusCode, 200)
	is.True(response.Header.Get(headerRequestID) != "")
	var c chatCompletion
	is.NoErr(json.Unmarshal([]byte(body), &c))
	is.Equal(*c.Choices[0].Message.Content, want)
	is.Equal(c.Usage.CompletionTokens, n)
	response, body = tg.chat("hello", true)
	is.Equal(response.Header.Get("Content-Type"), "text/event-stream")
	all := parseEvents(body)
	is.Equal(streamText(all), want)
	is.Equal(all[len(all)-1].data, "[DONE]")
	is.True(strings.Contains(all[len(all)-2].data, `"usage"`))
	id := response.Header.Get(headerRequestID)
	eventually(t, func() bool { return strings.Contains(string(tg.g.Explain(id)), `"finished"`) })
	is.True(strings.Contains(string(tg.g.Explain(id)), `"routed","target":"e1"`))
	response, body = tg.send("GET", "/v1/models", testKey, "")
	is.Equal(response.StatusCode, 200)
	is.True(strings.Contains(body, `"m"`) && !strings.Contains(body, "secret"))
	usage := tg.g.Usage()
	is.Equal(len(usage), 1)
	is.Equal(usage[0].Amount.Requests, uint64(2))
	is.Equal(usage[0].Amount.OutputTokens, uint64(2*n))
	tg.g.UsageStored(usage)
	is.Equal(len(tg.g.Usage()), 0)
}
