package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
	"zinniapin/wire"
)

// newerConfiguration is the digest of a peer with a newer configuration that cannot be had from it.
func newerConfiguration() *wire.HostDigest {
	return &wire.HostDigest{Host: "h9", Address: "127.0.0.1:1", ConfigurationVersion: 99, TrueTimeMs: time.Now().UnixMilli()}
}

// newerConfigurationAfter starts a node, which admits requests that are sent again to a second target if the first one
// fails, and lets it hear of a newer configuration while they are at the first. It returns the node and their statuses.
func newerConfigurationAfter(t *testing.T, eras bool) (*testNode, []int) {
	t.Helper()
	cluster := newTestCluster(t)
	if eras {
		cluster.store.CountEras()
		cluster.store.TakeCopy()
		cluster.store.Restore()
	}
	second := prepared.NewTarget("i-2")
	t.Cleanup(second.Close)
	cluster.store.Write(platform.TargetsCollection, second.ID, second.Entry("desk", "a"))
	const requests = 6
	for _, target := range []*prepared.Target{cluster.target, second} {
		target.Change(func(s *prepared.TargetSwitches) { s.Delay = 150 * time.Millisecond })
		target.SetFaults(prepared.RunAndFail, prepared.RefuseNotRun, prepared.RunAndFail, prepared.RefuseNotRun, prepared.RunAndFail, prepared.RefuseNotRun)
	}
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	statuses := make(chan int, requests)
	for range requests {
		go func() { statuses <- n.get("/read/a", "key-1") }()
	}
	eventually(t, time.Second, "the requests at targets", func() bool { return len(cluster.target.Arrivals())+len(second.Arrivals()) >= requests })
	n.node.HandleDigest(newerConfiguration())
	var all []int
	for range requests {
		all = append(all, <-statuses)
	}
	return n, all
}

// Guards against a process that ends when it hears of a newer configuration while requests are to be sent again (LOST): they
// were admitted by a configuration that no longer counted, and the check of their keys found none.
func TestAdmittedRequestsAreAnsweredWhenANewerConfigurationIsHeardOf(t *testing.T) {
	for _, eras := range []bool{false, true} {
		is := is.New(t)
		n, statuses := newerConfigurationAfter(t, eras)
		for _, status := range statuses {
			is.True(status != 0) // each has an answer
		}
		select {
		case err := <-n.ended:
			t.Fatalf("the node has ended: %v", err)
		default:
		}
	}
}

// Guards against a readiness that is taken back: a host that serves by the configuration of a store which never came back
// from an older copy goes on with it until it has the newer one.
func TestReadyHostStaysReadyWhenANewerConfigurationIsHeardOf(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	n.node.HandleDigest(newerConfiguration())
	for range 10 {
		is.True(n.ready())
		is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
	}
}

// A key that the newest known configuration does not hold ends a request's further tries also while that configuration is
// not the newest of all.
func TestWithdrawnKeyIsNotTriedAgainWhileAConfigurationIsMissing(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	second := prepared.NewTarget("i-2")
	t.Cleanup(second.Close)
	for _, target := range []*prepared.Target{cluster.target, second} {
		target.Change(func(s *prepared.TargetSwitches) { s.Delay = 800 * time.Millisecond })
		target.SetFaults(prepared.RunAndFail)
	}
	cluster.store.Write(platform.TargetsCollection, second.ID, second.Entry("desk", "a"))
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	status := make(chan int, 1)
	go func() { status <- n.get("/read/a", "key-1") }()
	eventually(t, time.Second, "the request at a target", func() bool { return len(cluster.target.Arrivals())+len(second.Arrivals()) == 1 })
	cluster.writeConfiguration(2, "key-2")
	eventually(t, time.Second, "the new key", func() bool { return n.log.contains(`"name":"configuration_taken","configuration":2`) })
	n.node.HandleDigest(newerConfiguration())
	is.True(<-status != http.StatusOK)
	is.Equal(len(cluster.target.Arrivals())+len(second.Arrivals()), 1)
}
