package crowd_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"zinniapin/internal/crowd"
	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/settings"
)

// Limits of the processes, far below those of a host, so that a small crowd exceeds them.
const (
	nodeMemoryMB = 64
	descriptors  = 256
)

// Sizes of crowds. Together they send several times the memory of a process, or open more connections than it may.
const (
	bodyCrowd       = 60
	connectionCrowd = 400
	maxBodyBytes    = 4 << 20
	maxHeadBytes    = 16 << 10
)

// startNode starts a zinnia-node before a target that answers and one that never does.
func startNode(t *testing.T) *process {
	network := reserveNetwork(t)
	store, duties := prepared.NewStore(), prepared.NewDutyServer()
	t.Cleanup(store.Close)
	t.Cleanup(duties.Close)
	for _, service := range []string{"desk", "mute"} {
		target := prepared.NewTarget(service)
		t.Cleanup(target.Close)
		if service == "mute" {
			target.SetFaults(slices.Repeat([]prepared.Fault{prepared.RunAndHang}, 10*bodyCrowd)...)
		}
		store.Write(platform.TargetsCollection, target.ID, target.Entry(service, "z0"))
	}
	store.Write(platform.ConfigurationsCollection, platform.ConfigurationName, json.RawMessage(fmt.Sprintf(`{"Version":1,"Routes":[
	{"Name":"take","Host":"shop.example","PathPrefix":"/take/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2},
	{"Name":"mute","Host":"shop.example","PathPrefix":"/mute/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":150,"Service":"mute","MaxAttempts":2}],
	"Services":[{"Name":"desk"},{"Name":"mute"}],
	"Limits":{"MaxHeaderBytes":%d,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, maxHeadBytes, maxBodyBytes)))
	s := settings.Node{
		Host: "h0", Zone: "z0", Region: "north", Listen: network + "1:8080", Ready: network + "1:8081", Mesh: network + "1:8082",
		Seeds: []string{network + "1:8082"}, Objects: store.Address(), Orders: duties.Address(), MemoryMB: nodeMemoryMB, Descriptors: descriptors,
		Bounds: settings.NodeBounds{GraceSeconds: 8, LeaseMillis: 1500, RetryRatio: 0.2, RetrySlack: 50, RetryWindowSeconds: 10, UsageWindowSeconds: 2, UsageLateSeconds: 10},
		Log:    settings.Log{Level: "info"},
	}
	file := filepath.Join(t.TempDir(), "node.json")
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, "zinnia-node", file)
	p.bounds = crowd.Usage{MemoryBytes: nodeMemoryMB << 20, Descriptors: descriptors}
	p.callers, p.operators, p.links = s.Listen, s.Ready, s.Mesh
	p.ordinary = func() bool { return post(p.callers, "/take/a", "shop.example", "hello") == 200 }
	eventually(t, "the node serves", func() bool { return get(p.operators, "/ready") == 200 && p.ordinary() })
	return p
}

// nodeHead is the head of a request to a node, without the blank line after it.
func nodeHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 3000\r\n"
}

// TestCallersOfANode lets crowds of callers send too much, or stop before its end, at a node.
func TestCallersOfANode(t *testing.T) {
	for name, c := range bodies(nodeHead("/take/b"), nodeHead("/mute/b")) {
		t.Run(name, func(t *testing.T) {
			p := startNode(t)
			p.withstand(t, p.callers, c)
		})
	}
}

// TestOperatorsOfANode lets crowds come to the address of the readiness check and the metrics.
func TestOperatorsOfANode(t *testing.T) {
	for name, c := range operators("/metrics") {
		t.Run(name, func(t *testing.T) {
			p := startNode(t)
			p.ordinary = func() bool { return get(p.operators, "/ready") == 200 && get(p.operators, "/metrics") == 200 }
			p.withstand(t, p.operators, c)
		})
	}
}

// TestHostsOfANode lets crowds come to the address for links of other hosts.
func TestHostsOfANode(t *testing.T) {
	for name, c := range links() {
		t.Run(name, func(t *testing.T) {
			p := startNode(t)
			callers := p.ordinary
			p.ordinary = func() bool { return callers() && call(p.links) }
			p.withstand(t, p.links, c)
		})
	}
}

// TestLargestBody checks that a single request of the largest size is served.
func TestLargestBody(t *testing.T) {
	p := startNode(t)
	body := string(make([]byte, maxBodyBytes))
	eventually(t, "the request is served", func() bool { return post(p.callers, "/take/a", "shop.example", body) == 200 })
	time.Sleep(time.Second) // reported as held until then, if anything is
	eventually(t, "the request is served again", func() bool { return post(p.callers, "/take/a", "shop.example", body) == 200 })
}
