package node_test

import (
	"cmp"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/duty"
	"zinniapin/internal/standin/prepared"
	"zinniapin/node"
	"zinniapin/platform"
	"zinniapin/roster"
	"zinniapin/settings"
	"zinniapin/store"
	"zinniapin/zone"
)

// testCluster runs nodes in the test process against stand-ins of the platform.
type testCluster struct {
	t      *testing.T
	store  *prepared.Store
	duties *prepared.DutyServer
	target *prepared.Target
	seed   string // mesh address of the first node
	// decodeTarget decodes entries of targets for the nodes that are started next; nil stands for platform.DecodeTarget.
	decodeTarget func(store.Member) (roster.Target, error)
	// objects is the address at which the nodes that are started next find the store; empty stands for its own.
	objects string
	// mesh is the mesh address of the node that is started next; empty stands for a free one.
	mesh string
	// graceSeconds is the grace period of the nodes that are started next; 0 stands for 8.
	graceSeconds float64
	// onNew is called with each node before it runs, if it is set.
	onNew func(*testNode)
}

// testNode is a started node.
type testNode struct {
	settings settings.Node
	stop     context.CancelFunc
	ended    chan error // receives the result of node.Run
	node     *node.Node
	log      *logBuffer
}

// logBuffer collects the log of a node. A test locks gate to make writes to it block.
type logBuffer struct {
	gate sync.Mutex
	mu   sync.Mutex
	text strings.Builder
}

// blockWrites makes writers wait until unblockWrites.
func (l *logBuffer) blockWrites() { l.gate.Lock() }

// unblockWrites ends the wait that blockWrites began.
func (l *logBuffer) unblockWrites() { l.gate.Unlock() }

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.gate.Lock()
	l.gate.Unlock() //nolint:staticcheck // only waits until writes are unblocked
	l.mu.Lock()
	defer l.mu.Unlock()
	if os.Getenv("ZINNIA_NODE_LOG") != "" {
		_, _ = os.Stderr.Write(p) // for debugging by hand
	}
	return l.text.Write(p)
}

// contains reports whether the log contains all of the texts.
func (l *logBuffer) contains(texts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, text := range texts {
		if !strings.Contains(l.text.String(), text) {
			return false
		}
	}
	return true
}

// newTestCluster starts stand-ins with a configuration and one target.
func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	r := &testCluster{t: t, store: prepared.NewStore(), duties: prepared.NewDutyServer(), target: prepared.NewTarget("i-1")}
	t.Cleanup(r.store.Close)
	t.Cleanup(r.duties.Close)
	t.Cleanup(r.target.Close)
	r.writeConfiguration(1, "key-1")
	r.store.Write(platform.TargetsCollection, "i-1", r.target.Entry("desk", "a"))
	return r
}

// writeConfiguration writes a configuration with one key to the store.
func (c *testCluster) writeConfiguration(version int, key string) {
	c.store.Write(platform.ConfigurationsCollection, platform.ConfigurationName, json.RawMessage(fmt.Sprintf(`{"Version":%d,
	"Routes":[{"Name":"read","Host":"shop.example","PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":2000,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2},
	 {"Name":"take","Host":"shop.example","PathPrefix":"/take/","Kind":"non_idempotent","TimeoutMs":5000,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":1},
	 {"Name":"draft","Host":"shop.example","PathPrefix":"/draft/","Kind":"stream","TimeoutMs":5000,"TargetLatencyMs":500,"TargetGapMs":300,"Service":"model","MaxAttempts":1,"Resumable":true},
	 {"Name":"essay","Host":"shop.example","PathPrefix":"/essay/","Kind":"stream","TimeoutMs":5000,"TargetLatencyMs":500,"TargetGapMs":300,"Service":"model","MaxAttempts":3,"Resumable":true}],
	"Services":[{"Name":"model","Engine":{"Slots":8,"KvCapacityTokens":1000000,"KvTokenBytes":1000,"LinkMbps":100000,"KvHoldS":5,"Stride":10}},{"Name":"desk","Scaling":{"Min":1,"Max":4,"BootS":1,"SpotPrice":0.2,"ZonePrices":{"a":1.0,"b":1.0}}}],
	"Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":100000,"HeaderTimeoutMs":1000,"IdleTimeoutMs":5000},
	"Tenants":[{"Name":"parents","ApiKeys":["%s"]}]}`, version, key)))
}

// loopbackHosts counts the loopback addresses that freeAddress has given out.
var loopbackHosts atomic.Uint32

// freeAddress returns an address with a free port on a loopback address of its own. At
// 127.0.0.1 an outgoing connection could take the port before the node listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := loopbackHosts.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+os.Getpid()%100, 1+n/250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // only the port number is needed
	return l.Addr().String()
}

// startNode starts a node in zone a. The first node is the seed of the others.
func (c *testCluster) startNode(host string) *testNode {
	c.t.Helper()
	return c.startNodeIn(host, "a")
}

// startNodeIn starts a node in a zone.
func (c *testCluster) startNodeIn(host string, z zone.Name) *testNode {
	c.t.Helper()
	n := &testNode{ended: make(chan error, 1), settings: settings.Node{
		Host: host, Zone: z, Region: "north", Listen: freeAddress(c.t), Ready: freeAddress(c.t), Mesh: freeAddress(c.t),
		Objects: c.store.Address(), Orders: c.duties.Address(), MemoryMB: 200,
		Duties: settings.NodeDuties{Usage: true, Scaling: true},
		Bounds: settings.NodeBounds{GraceSeconds: cmp.Or(c.graceSeconds, 8), LeaseMillis: 1000, RetryRatio: 0.2, RetrySlack: 50, RetryWindowSeconds: 10, UsageWindowSeconds: 2, UsageLateSeconds: 10},
		Log:    settings.Log{Level: "info"},
	}}
	if c.objects != "" {
		n.settings.Objects = c.objects
	}
	if c.mesh != "" {
		n.settings.Mesh = c.mesh
	}
	if c.seed == "" {
		c.seed = n.settings.Mesh
	}
	n.settings.Seeds = []string{c.seed}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.log = &logBuffer{}
	output := node.NewOutput(n.log)
	log := zerolog.New(output).With().Timestamp().Str("host", host).Logger()
	s := n.settings
	decodeTarget := platform.DecodeTarget
	if c.decodeTarget != nil {
		decodeTarget = c.decodeTarget
	}
	n.node = node.New(s, node.Platform{
		Objects: platform.NewObjects(s.Objects), Duties: platform.NewDuties(s.Orders), Protocol: platform.Protocol{},
		TargetsCollection: platform.TargetsCollection, ConfigurationsCollection: platform.ConfigurationsCollection, ConfigurationName: platform.ConfigurationName,
		DecodeTarget: decodeTarget, DecodeConfiguration: platform.DecodeConfiguration,
	}, output, &log)
	if c.onNew != nil {
		c.onNew(n)
	}
	go func() { n.ended <- n.node.Run(ctx) }()
	c.t.Cleanup(n.stop)
	return n
}

// get sends a GET request to a node and returns the status, 0 if there is none.
func (n *testNode) get(path, key string) int { return n.getWithID("id", path, key) }

// getWithID is get with a given request id.
func (n *testNode) getWithID(id, path, key string) int {
	return n.send(id, path, key, http.Header{})
}

// getWithTokens is get for a request with so many prompt tokens.
func (n *testNode) getWithTokens(path, key string, tokens int) int {
	return n.send("id", path, key, http.Header{"X-Token-Count": {fmt.Sprintf("%d,1", tokens)}})
}

// send sends a GET request with further headers and returns the status, 0 if there is none.
func (n *testNode) send(id, path, key string, header http.Header) int {
	return n.sendBody(http.MethodGet, id, path, key, "", header)
}

// sendBody is send with a method and a body.
func (n *testNode) sendBody(method, id, path, key, body string, header http.Header) int {
	request, err := http.NewRequest(method, "http://"+n.settings.Listen+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the test passed an invalid path
	}
	request.Host = "shop.example"
	request.Header = header
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", "2000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()               //nolint:errcheck // a test
	_, _ = io.Copy(io.Discard, response.Body) // the caller would leave in the middle of a stream otherwise
	return response.StatusCode
}

// ready reports whether the node's readiness check succeeds.
func (n *testNode) ready() bool {
	response, err := http.Get("http://" + n.settings.Ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close() //nolint:errcheck // a test
	return response.StatusCode == http.StatusOK
}

// eventually polls until holds returns true, and fails the test after the limit.
func eventually(t *testing.T, limit time.Duration, condition string, holds func() bool) {
	t.Helper()
	for started := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(started) > limit {
			t.Fatalf("not within %v: %s", limit, condition)
		}
	}
}

func TestNodeServesAndFollowsTheStore(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
	is.Equal(n.get("/none/a", "key-1"), http.StatusNotFound)
	cluster.writeConfiguration(5, "key-2")
	eventually(t, time.Second, "the new key", func() bool { return n.get("/read/a", "key-2") == http.StatusOK })
	is.Equal(n.get("/read/a", "key-1"), http.StatusUnauthorized)
	cluster.writeConfiguration(4, "key-1") // an older version has no effect
	time.Sleep(300 * time.Millisecond)
	is.Equal(n.get("/read/a", "key-1"), http.StatusUnauthorized)
	cluster.store.Write(platform.ConfigurationsCollection, platform.ConfigurationName, json.RawMessage(`{"Version":9,"Routes":[{"Host":"h","PathPrefix":"/","Service":"none"}]}`))
	time.Sleep(300 * time.Millisecond)
	is.Equal(n.get("/read/a", "key-2"), http.StatusOK) // the last valid configuration stays in force
}

func TestDrainingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	entry := cluster.target.Entry("desk", "a")
	entry["State"] = "draining"
	cluster.store.Write(platform.TargetsCollection, "i-1", entry)
	eventually(t, time.Second, "refused", func() bool { return n.get("/read/a", "key-1") == http.StatusServiceUnavailable })
	before := len(cluster.target.Arrivals())
	is.Equal(n.get("/read/a", "key-1"), http.StatusServiceUnavailable)
	is.Equal(len(cluster.target.Arrivals()), before)
}

// While the store refuses calls or does not answer, a node goes on serving with the
// last known configuration and targets. A refused list must not be taken for an
// empty one.
func TestNodeServesWhileTheStoreIsUnavailable(t *testing.T) {
	for name, setFault := range map[string]func(*prepared.Store, bool){"down": (*prepared.Store).SetDown, "silent": (*prepared.Store).SetSilent} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestCluster(t)
			n := r.startNode("h1")
			eventually(t, 3*time.Second, "ready", n.ready)
			setFault(r.store, true)
			time.Sleep(700 * time.Millisecond)
			is.True(n.ready())
			is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
			setFault(r.store, false)
			r.writeConfiguration(8, "key-8")
			eventually(t, 4*time.Second, "the new key", func() bool { return n.get("/read/a", "key-8") == http.StatusOK })
		})
	}
}

// When the store drops its change history, a watch that needs a dropped change fails.
// The node must then list the targets again, or it would go on using a target whose
// removal it did not see.
func TestTargetsAreListedAgainAfterCompaction(t *testing.T) {
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	cluster.store.Remove(platform.TargetsCollection, "i-1")
	cluster.store.Compact()
	eventually(t, 2*time.Second, "no target", func() bool { return n.get("/read/a", "key-1") == http.StatusServiceUnavailable })
}

// A node that cannot reach the store gets the configuration and the targets from a
// peer, both at its start and when they change: a withdrawn key is refused there
// as well.
func TestNodeLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	first := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", first.ready)
	firstStore := cluster.store
	cluster.store = prepared.NewStore() // the second node uses a store that is down
	cluster.store.SetDown(true)
	second := cluster.startNode("h2")
	eventually(t, 3*time.Second, "the second is ready", second.ready)
	is.Equal(second.get("/read/a", "key-1"), http.StatusOK)
	cluster.store.Close()
	cluster.store = firstStore
	cluster.writeConfiguration(3, "key-3")
	eventually(t, 2*time.Second, "the new key at the second", func() bool { return second.get("/read/a", "key-3") == http.StatusOK })
	is.Equal(second.get("/read/a", "key-1"), http.StatusUnauthorized)
	firstStore.Remove(platform.TargetsCollection, "i-1")
	eventually(t, 2*time.Second, "the target is gone at the second", func() bool {
		return second.get("/read/a", "key-3") == http.StatusServiceUnavailable
	})
}

// A node that has never reached the store or a peer has neither configuration nor
// targets. It answers requests with status 503 and is not ready.
func TestNodeWithoutConfigurationIsNotReady(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.store.SetDown(true)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "listens", func() bool { return n.get("/read/a", "key-1") != 0 })
	is.True(!n.ready())
	is.Equal(n.get("/read/a", "key-1"), http.StatusServiceUnavailable)
}

// A stopping node reports at once that it is not ready, but serves requests until
// the load balancer has noticed, and finishes all requests in progress.
func TestStopCutsNothing(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.target.Delay = 1500 * time.Millisecond
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	answers := make(chan int, 3)
	go func() { answers <- n.get("/read/a", "key-1") }()
	time.Sleep(100 * time.Millisecond)
	n.stop()
	eventually(t, time.Second, "not ready", func() bool { return !n.ready() })
	go func() { answers <- n.get("/take/a", "key-1") }() // sent before the load balancer reacts
	is.Equal(<-answers, http.StatusOK)
	is.Equal(<-answers, http.StatusOK)
	select {
	case err := <-n.ended:
		is.NoErr(err)
	case <-time.After(8 * time.Second):
		t.Fatal("the node does not end within its grace")
	}
}

// The usage of all hosts is reported exactly once per window, by one holder. When
// that holder stops, another host reports with a higher fence.
func TestUsageIsReportedOnce(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	nodes := []*testNode{cluster.startNode("h1"), cluster.startNode("h2"), cluster.startNode("h3")}
	for _, n := range nodes {
		eventually(t, 3*time.Second, "ready", n.ready)
	}
	for range 10 {
		for _, n := range nodes {
			is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
		}
	}
	reported := func() (sum float64) {
		for _, c := range cluster.duties.Calls("/usage") {
			if n, ok := c.Body["Counts"].(map[string]any)["parents"].(float64); ok && c.Status == http.StatusOK {
				sum += n
			}
		}
		return sum
	}
	eventually(t, 15*time.Second, "all requests are reported", func() bool { return reported() >= 30 })
	is.Equal(reported(), 30.0)
	calls := cluster.duties.Calls("/usage")
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
		last := cluster.duties.Calls("/usage")
		return last[len(last)-1].Holder != holder && last[len(last)-1].Fence > fence
	})
}

// The store applies updates of the duty record but their answers are lost. The
// holder must recognise its own record instead of acquiring the duties again with
// another fence.
func TestDutiesSurviveLostAnswers(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.store.LoseAnswers(3)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	eventually(t, 20*time.Second, "a window is reported", func() bool {
		n.get("/read/a", "key-1")
		return len(cluster.duties.Calls("/usage")) > 1
	})
	fences := make(map[uint64]bool)
	for _, c := range cluster.duties.Calls("/usage") {
		fences[c.Fence] = true
	}
	if len(fences) != 1 {
		t.Fatalf("usage reported with %d fences", len(fences))
	}
}

// Where the platform does not check fences, a holder that cannot read the record does
// not call it: a newer holder may have done so already. Here the demand rises while the
// store is silent, which would make a holder order targets.
func TestHolderWithoutStoreDoesNotActOnUncheckedFences(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	eventually(t, 20*time.Second, "targets are ordered", func() bool { return len(cluster.duties.Calls("/scale")) > 0 })
	cluster.store.SetSilent(true)
	time.Sleep(duty.HoldTime + duty.CallTime)
	before := len(cluster.duties.Calls("/scale"))
	for range 40 {
		n.getWithTokens("/read/a", "key-1", 400_000)
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(len(cluster.duties.Calls("/scale")), before)
	cluster.store.SetSilent(false)
	eventually(t, 10*time.Second, "targets are ordered again", func() bool { return len(cluster.duties.Calls("/scale")) > before })
}

// While nothing changes, a node writes nothing to the store; it must not write on
// a timer.
func TestNothingIsWrittenWithoutChanges(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	time.Sleep(6 * time.Second)
	before := cluster.store.Calls("PUT", "zinnia-duties") + cluster.store.Calls("POST", "zinnia-duties") + cluster.store.Calls("POST", "zinnia-hosts") + cluster.store.Calls("PUT", "zinnia-hosts")
	time.Sleep(3 * time.Second)
	after := cluster.store.Calls("PUT", "zinnia-duties") + cluster.store.Calls("POST", "zinnia-duties") + cluster.store.Calls("POST", "zinnia-hosts") + cluster.store.Calls("PUT", "zinnia-hosts")
	is.Equal(before, after)
}

// The metrics that on-call engineers look for exist under their names.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
	for _, name := range []string{"zinnia_requests_total", "zinnia_request_seconds_bucket", "zinnia_first_event_seconds_bucket"} {
		// The metric is updated after the answer is sent, so the caller may be earlier.
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

// When the whole deployment starts, targets write their entries one after the
// other. An order placed before all are listed would be too small and would give
// back targets that serve but are not listed yet.
func TestTargetsThatAreNotYetListedAreNotGivenBack(t *testing.T) {
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	time.Sleep(3500 * time.Millisecond)
	for _, id := range []string{"i-2", "i-3"} {
		s := prepared.NewTarget(id)
		t.Cleanup(s.Close)
		cluster.store.Write(platform.TargetsCollection, id, s.Entry("desk", "b"))
	}
	eventually(t, 10*time.Second, "targets are ordered", func() bool { return len(cluster.duties.Calls("/scale")) > 0 })
	time.Sleep(time.Second)
	for _, c := range cluster.duties.Calls("/scale") {
		if wanted, ok := c.Body["Desired"].(float64); ok && c.Body["Zone"] == "b" && c.Body["Spot"] == nil && wanted < 2 {
			t.Errorf("%v targets are ordered where 2 serve", wanted)
		}
	}
}

// A node stops within its grace period even if calls of the duties to the platform
// are in progress and never answered.
func TestStopDoesNotWaitForThePlatform(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	eventually(t, 15*time.Second, "the duties are held", func() bool { return cluster.store.Read("zinnia-duties", "holder") != nil })
	cluster.store.SetSilent(true)
	n.get("/read/a", "key-1")
	time.Sleep(5 * time.Second) // the holder then has a call to the store in progress
	stopped := time.Now()
	n.stop()
	select {
	case err := <-n.ended:
		is.NoErr(err)
	case <-time.After(9 * time.Second):
		t.Fatal("the node does not end")
	}
	is.True(time.Since(stopped) < 7500*time.Millisecond) // within its grace of 8 s
}

// Changed settings are applied while the node runs, with or without a signal. An
// invalid file changes nothing, and settings that need a restart keep their values.
func TestChangedSettingsAreTaken(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	first := cluster.startNode("a-1")
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
		return first.log.contains(`"changed":["bounds.grace_seconds"],"at_next_start":["listen"]`)
	})
	is.NoErr(os.WriteFile(file, []byte(`{"host": 3}`), 0o600))
	eventually(t, 5*time.Second, "a mistake", func() bool { return first.log.contains(`"settings_reread","changed":false,"error"`) })
	s.MemoryMB = 150
	write(s)
	eventually(t, 5*time.Second, "taken without a signal", func() bool { return first.log.contains(`"changed":["memory_mb"]`) })
	is.Equal(first.get("/read/a", "key-1"), 200)
}
