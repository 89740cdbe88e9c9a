package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/internal/standin/prepared"
	"zinniapin/node"
	"zinniapin/platform"
	"zinniapin/settings"
	"zinniapin/zone"
)

// rig is a deployment of stand-ins with nodes in this process.
type rig struct {
	t      *testing.T
	store  *prepared.Store
	duties *prepared.Duties
	target *prepared.Target
	seed   string
}

// running is a node that runs.
type running struct {
	settings settings.Node
	stop     context.CancelFunc
	ended    chan error
	node     *node.Node
	log      *lines
}

// lines keeps what a node logs.
type lines struct {
	gate sync.Mutex
	mu   sync.Mutex
	text strings.Builder
}

// hold lets writers wait until release.
func (l *lines) hold() { l.gate.Lock() }

// release lets writers go on.
func (l *lines) release() { l.gate.Unlock() }

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.gate.Lock()
	l.gate.Unlock() //nolint:staticcheck // only to wait
	l.mu.Lock()
	defer l.mu.Unlock()
	if os.Getenv("ZINNIA_NODE_LOG") != "" {
		_, _ = os.Stderr.Write(p) // for a person
	}
	return l.text.Write(p)
}

// have tells whether all of some texts were logged.
func (l *lines) have(texts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, text := range texts {
		if !strings.Contains(l.text.String(), text) {
			return false
		}
	}
	return true
}

// newRig starts stand-ins with a configuration and one target.
func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, store: prepared.NewStore(), duties: prepared.NewDuties(), target: prepared.NewTarget("i-1")}
	t.Cleanup(r.store.Close)
	t.Cleanup(r.duties.Close)
	t.Cleanup(r.target.Close)
	r.configure(1, "key-1")
	r.store.Write(platform.TargetsCollection, "i-1", r.target.Entry("desk", "a"))
	return r
}

// configure writes a configuration with a key.
func (r *rig) configure(version int, key string) {
	r.store.Write(platform.ConfigurationsCollection, platform.ConfigurationName, json.RawMessage(fmt.Sprintf(`{"Version":%d,
	"Routes":[{"Name":"read","Host":"shop.example","PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2},
	 {"Name":"take","Host":"shop.example","PathPrefix":"/take/","Kind":"non_idempotent","TimeoutMs":5000,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":1}],
	"Services":[{"Name":"desk","Scaling":{"Min":1,"Max":4,"BootS":1,"SpotPrice":0.2,"ZonePrices":{"a":1.0,"b":1.0}}}],
	"Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":100000,"HeaderTimeoutMs":1000,"IdleTimeoutMs":5000},
	"Tenants":[{"Name":"parents","ApiKeys":["%s"]}]}`, version, key)))
}

// address returns a free address, for TCP and UDP.
func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // only its port is wanted
	return l.Addr().String()
}

// start starts a node.
func (r *rig) start(host string) *running {
	r.t.Helper()
	n := &running{ended: make(chan error, 1), settings: settings.Node{
		Host: host, Zone: zone.Name("a"), Region: "north", Listen: address(r.t), Ready: address(r.t), Mesh: address(r.t),
		Objects: r.store.Address(), Orders: r.duties.Address(), MemoryMB: 200,
		Duties: settings.NodeDuties{Usage: true, Scaling: true},
		Bounds: settings.NodeBounds{GraceSeconds: 8, LeaseMillis: 1000, RetryRatio: 0.2, RetrySlack: 50, RetryWindowSeconds: 10, UsageWindowSeconds: 2, UsageLateSeconds: 10},
		Log:    settings.Log{Level: "info"},
	}}
	if r.seed == "" {
		r.seed = n.settings.Mesh
	}
	n.settings.Seeds = []string{r.seed}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.log = &lines{}
	output := node.NewOutput(n.log)
	log := zerolog.New(output).With().Timestamp().Str("host", host).Logger()
	s := n.settings
	n.node = node.New(s, node.Platform{
		Objects: platform.NewObjects(s.Objects), Duties: platform.NewDuties(s.Orders), Protocol: platform.Protocol{},
		TargetsCollection: platform.TargetsCollection, ConfigurationsCollection: platform.ConfigurationsCollection, ConfigurationName: platform.ConfigurationName,
		DecodeTarget: platform.DecodeTarget, DecodeConfiguration: platform.DecodeConfiguration,
	}, output, &log)
	go func() { n.ended <- n.node.Run(ctx) }()
	r.t.Cleanup(n.stop)
	return n
}

// get calls a node; status is 0 when there is no answer.
func (n *running) get(path, key string) int { return n.getAs("id", path, key) }

// getAs calls a node with a request's id.
func (n *running) getAs(id, path, key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.settings.Listen+path, nil)
	if err != nil {
		panic(err) // a mistake of the test
	}
	request.Host = "shop.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", "2000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close() //nolint:errcheck // a test
	return response.StatusCode
}

// ready returns whether a node says that it is ready.
func (n *running) ready() bool {
	response, err := http.Get("http://" + n.settings.Ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close() //nolint:errcheck // a test
	return response.StatusCode == http.StatusOK
}

// eventually waits for a condition.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func TestNodeServesAndFollowsTheStore(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
	is.Equal(n.get("/none/a", "key-1"), http.StatusNotFound)
	r.configure(5, "key-2")
	eventually(t, time.Second, "the new key", func() bool { return n.get("/read/a", "key-2") == http.StatusOK })
	is.Equal(n.get("/read/a", "key-1"), http.StatusUnauthorized)
	r.configure(4, "key-1") // an older version has no effect
	time.Sleep(300 * time.Millisecond)
	is.Equal(n.get("/read/a", "key-1"), http.StatusUnauthorized)
	r.store.Write(platform.ConfigurationsCollection, platform.ConfigurationName, json.RawMessage(`{"Version":9,"Routes":[{"Host":"h","PathPrefix":"/","Service":"none"}]}`))
	time.Sleep(300 * time.Millisecond)
	is.Equal(n.get("/read/a", "key-2"), http.StatusOK) // the last good one stays
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	entry := r.target.Entry("desk", "a")
	entry["State"] = "draining"
	r.store.Write(platform.TargetsCollection, "i-1", entry)
	eventually(t, time.Second, "refused", func() bool { return n.get("/read/a", "key-1") == http.StatusServiceUnavailable })
	before := len(r.target.Arrivals())
	is.Equal(n.get("/read/a", "key-1"), http.StatusServiceUnavailable)
	is.Equal(len(r.target.Arrivals()), before)
}

// Nothing that was known is lost when the store goes away, and a refusal is no
// empty list.
func TestNodeServesWhileTheStoreIsAway(t *testing.T) {
	for name, away := range map[string]func(*prepared.Store, bool){"down": (*prepared.Store).SetDown, "silent": (*prepared.Store).SetSilent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			n := r.start("h1")
			eventually(t, 3*time.Second, "ready", n.ready)
			away(r.store, true)
			time.Sleep(700 * time.Millisecond)
			is.True(n.ready())
			is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
			away(r.store, false)
			r.configure(8, "key-8")
			eventually(t, 4*time.Second, "the new key", func() bool { return n.get("/read/a", "key-8") == http.StatusOK })
		})
	}
}

func TestHistoryThatIsForgottenIsListedAgain(t *testing.T) {
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	r.store.Remove(platform.TargetsCollection, "i-1")
	r.store.Compact()
	eventually(t, 2*time.Second, "no target", func() bool { return n.get("/read/a", "key-1") == http.StatusServiceUnavailable })
}

// A node that starts while the store is away learns everything from a peer,
// and hears of a withdrawn key from one that reaches the store.
func TestNodeLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	first := r.start("h1")
	eventually(t, 3*time.Second, "ready", first.ready)
	own := r.store
	r.store = prepared.NewStore() // the second node's way to the store leads nowhere
	r.store.SetDown(true)
	second := r.start("h2")
	eventually(t, 3*time.Second, "the second is ready", second.ready)
	is.Equal(second.get("/read/a", "key-1"), http.StatusOK)
	r.store.Close()
	r.store = own
	r.configure(3, "key-3")
	eventually(t, 2*time.Second, "the new key at the second", func() bool { return second.get("/read/a", "key-3") == http.StatusOK })
	is.Equal(second.get("/read/a", "key-1"), http.StatusUnauthorized)
	own.Remove(platform.TargetsCollection, "i-1")
	eventually(t, 2*time.Second, "the target is gone at the second", func() bool {
		return second.get("/read/a", "key-3") == http.StatusServiceUnavailable
	})
}

func TestNodeWithoutKnowledgeIsNotReady(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.store.SetDown(true)
	n := r.start("h1")
	eventually(t, 3*time.Second, "listens", func() bool { return n.get("/read/a", "key-1") != 0 })
	is.True(!n.ready())
	is.Equal(n.get("/read/a", "key-1"), http.StatusServiceUnavailable)
}

// A stop is seen by the balancer, takes requests meanwhile, and cuts none.
func TestStopCutsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.target.Delay = 1500 * time.Millisecond
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	answers := make(chan int, 3)
	go func() { answers <- n.get("/read/a", "key-1") }()
	time.Sleep(100 * time.Millisecond)
	n.stop()
	eventually(t, time.Second, "not ready", func() bool { return !n.ready() })
	go func() { answers <- n.get("/take/a", "key-1") }() // before the balancer has seen it
	is.Equal(<-answers, http.StatusOK)
	is.Equal(<-answers, http.StatusOK)
	select {
	case err := <-n.ended:
		is.NoErr(err)
	case <-time.After(8 * time.Second):
		t.Fatal("the node does not end within its grace")
	}
}

// Usage of all hosts is reported once a window, with one fence, and the next
// holder goes on with a higher one.
func TestUsageIsReportedOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	nodes := []*running{r.start("h1"), r.start("h2"), r.start("h3")}
	for _, n := range nodes {
		eventually(t, 3*time.Second, "ready", n.ready)
	}
	for range 10 {
		for _, n := range nodes {
			is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
		}
	}
	reported := func() (sum float64) {
		for _, c := range r.duties.Calls("/usage") {
			if n, ok := c.Body["Counts"].(map[string]any)["parents"].(float64); ok && c.Status == http.StatusOK {
				sum += n
			}
		}
		return sum
	}
	eventually(t, 15*time.Second, "all requests are reported", func() bool { return reported() >= 30 })
	is.Equal(reported(), 30.0)
	calls := r.duties.Calls("/usage")
	holder, fence := calls[0].Holder, calls[0].Fence
	windows := make(map[float64]bool)
	for _, c := range calls {
		window, ok := c.Body["WindowId"].(float64)
		is.True(ok)
		is.True(!windows[window]) // none twice
		windows[window] = true
		is.Equal(c.Holder, holder)
	}
	for _, n := range nodes {
		if n.settings.Host == holder {
			n.stop()
		}
	}
	go func() {
		for range 40 {
			for _, n := range nodes {
				n.get("/read/a", "key-1")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	eventually(t, 20*time.Second, "another holder reports", func() bool {
		last := r.duties.Calls("/usage")
		return last[len(last)-1].Holder != holder && last[len(last)-1].Fence > fence
	})
}

// The record of the duties survives lost answers: the holder knows its own.
func TestDutiesSurviveLostAnswers(t *testing.T) {
	r := newRig(t)
	r.store.LoseAnswers(3)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	eventually(t, 20*time.Second, "a window is reported", func() bool {
		n.get("/read/a", "key-1")
		return len(r.duties.Calls("/usage")) > 1
	})
	fences := make(map[uint64]bool)
	for _, c := range r.duties.Calls("/usage") {
		fences[c.Fence] = true
	}
	if len(fences) != 1 {
		t.Fatalf("orders with %d fences", len(fences))
	}
}

// In a calm minute nothing is written on a timer.
func TestCalmNodeWritesNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	time.Sleep(6 * time.Second)
	before := r.store.Calls("PUT", "zinnia-duties") + r.store.Calls("POST", "zinnia-duties") + r.store.Calls("POST", "zinnia-hosts") + r.store.Calls("PUT", "zinnia-hosts")
	time.Sleep(3 * time.Second)
	after := r.store.Calls("PUT", "zinnia-duties") + r.store.Calls("POST", "zinnia-duties") + r.store.Calls("POST", "zinnia-hosts") + r.store.Calls("PUT", "zinnia-hosts")
	is.Equal(before, after)
}

// Metrics name what on-call looks for.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
	for _, name := range []string{"zinnia_requests_total", "zinnia_request_seconds_bucket", "zinnia_first_event_seconds_bucket"} {
		// A request is counted once its answer is out, which its caller may see first.
		eventually(t, time.Second, name, func() bool {
			response, err := http.Get("http://" + n.settings.Ready + "/metrics")
			is.NoErr(err)
			defer response.Body.Close() //nolint:errcheck // a test
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			return strings.Contains(string(body), name)
		})
	}
}

// Targets write their entries one after the other when everything starts. What
// is ordered before all are listed would give back targets that only have not
// been heard of.
func TestTargetsThatAreNotYetListedAreNotGivenBack(t *testing.T) {
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	time.Sleep(3500 * time.Millisecond)
	for _, id := range []string{"i-2", "i-3"} {
		s := prepared.NewTarget(id)
		t.Cleanup(s.Close)
		r.store.Write(platform.TargetsCollection, id, s.Entry("desk", "b"))
	}
	eventually(t, 10*time.Second, "targets are ordered", func() bool { return len(r.duties.Calls("/scale")) > 0 })
	time.Sleep(time.Second)
	for _, c := range r.duties.Calls("/scale") {
		if wanted, ok := c.Body["Desired"].(float64); ok && c.Body["Zone"] == "b" && c.Body["Spot"] == nil && wanted < 2 {
			t.Errorf("%v targets are ordered where 2 serve", wanted)
		}
	}
}

// A stop does not wait for the platform: the duties may have calls under way
// that nobody answers.
func TestStopDoesNotWaitForThePlatform(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	eventually(t, 15*time.Second, "the duties are held", func() bool { return r.store.Read("zinnia-duties", "holder") != nil })
	r.store.SetSilent(true)
	n.get("/read/a", "key-1")
	time.Sleep(5 * time.Second) // the holder waits for the store
	begun := time.Now()
	n.stop()
	select {
	case err := <-n.ended:
		is.NoErr(err)
	case <-time.After(9 * time.Second):
		t.Fatal("the node does not end")
	}
	is.True(time.Since(begun) < 7500*time.Millisecond) // within its grace of 8 s
}

// Changed settings are taken while the node runs, by a signal or without one; a
// file with a mistake changes nothing, and what needs a restart keeps its value.
func TestChangedSettingsAreTaken(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	first := r.start("a-1")
	eventually(t, 3*time.Second, "ready", first.ready)
	file := filepath.Join(t.TempDir(), "node.json")
	write := func(s settings.Node) {
		data, err := json.Marshal(s)
		is.NoErr(err)
		is.NoErr(os.WriteFile(file, data, 0o600))
	}
	s := first.settings
	write(s)
	signals := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go first.node.FollowSettings(ctx, file, signals)
	s.Bounds.GraceSeconds, s.Listen = 3, "127.0.0.1:1"
	write(s)
	signals <- syscall.SIGHUP
	eventually(t, time.Second, "taken by a signal", func() bool {
		return first.log.have(`"changed":["bounds.grace_seconds"],"at_next_start":["listen"]`)
	})
	is.NoErr(os.WriteFile(file, []byte(`{"host": 3}`), 0o600))
	eventually(t, 5*time.Second, "a mistake", func() bool { return first.log.have(`"settings_reread","changed":false,"error"`) })
	s.MemoryMB = 150
	write(s)
	eventually(t, 5*time.Second, "taken without a signal", func() bool { return first.log.have(`"changed":["memory_mb"]`) })
	is.Equal(first.get("/read/a", "key-1"), 200)
}
