package controller

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/machine"
	"zinniapin/platform"
	"zinniapin/target"
	"zinniapin/wire"
	"zinniapin/zone"
)

const (
	// defaultMeshHosts is the size of the run that CI makes; ZINNIA_MESH_HOSTS
	// sets another.
	defaultMeshHosts = 22
	// budgetBytes is what a node may spend on control in a second.
	budgetBytes = 16 << 10
)

// manyZones returns 11 zones in 3 regions.
func manyZones() []zone.Zone {
	var all []zone.Zone
	for i := range 11 {
		all = append(all, zone.Zone{Name: zone.Name(fmt.Sprint("zone-", i)), Region: zone.Region(fmt.Sprint("region-", i%3))})
	}
	return all
}

// processorTime returns the processor time of this test process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costTerms adds up what messages spend their bytes on. It is safe for
// concurrent use.
type costTerms struct {
	calls, local             atomic.Int64 // calls, and bytes between processes of one host
	base, members, targets   atomic.Int64 // bytes by part of heartbeats
	fullMembers, fullTargets atomic.Int64 // of these in records with all fields
	other                    atomic.Int64 // bytes of other messages
}

// observe adds a message.
func (c *costTerms) observe(from, to machine.Process, e *wire.Envelope, bytes int) {
	c.calls.Add(1) // a request and a reply each
	if from.Host == to.Host {
		c.local.Add(int64(bytes))
	}
	h := e.GetHeartbeat()
	if h == nil {
		c.other.Add(int64(bytes))
		return
	}
	members := proto.Size(&wire.Heartbeat{Members: h.Members, Beats: h.Beats})
	targets := proto.Size(&wire.Heartbeat{Targets: h.Targets, Loads: h.Loads})
	c.members.Add(int64(members))
	c.targets.Add(int64(targets))
	c.base.Add(int64(bytes - members - targets))
	for _, m := range h.Members {
		if m.Host != "" && from.Role == machine.Controller {
			c.fullMembers.Add(int64(proto.Size(m)))
		}
	}
	for _, t := range h.Targets {
		if t.State != "" {
			c.fullTargets.Add(int64(proto.Size(t)))
		}
	}
}

// snapshot returns the terms so far: messages, base, members, full members,
// targets, full targets, others, local.
func (c *costTerms) snapshot() [8]int64 {
	return [8]int64{c.calls.Load(), c.base.Load(), c.members.Load(), c.fullMembers.Load(),
		c.targets.Load(), c.fullTargets.Load(), c.other.Load(), c.local.Load()}
}

// TestCostOfTheMesh measures what a host with a controller and a gateway sends
// and receives in quiet times, and the processor time without sockets, with
// targets in the proportion of 720 to 390.
func TestCostOfTheMesh(t *testing.T) {
	hosts := defaultMeshHosts
	if n, err := strconv.Atoi(os.Getenv("ZINNIA_MESH_HOSTS")); err == nil {
		hosts = n
	}
	synctest.Test(t, func(t *testing.T) {
		const settle, measured = 40 * time.Second, 120 * time.Second
		terms := &costTerms{}
		f := newFleetIn(t, hosts, manyZones())
		f.fabric.Observe(terms.observe)
		first := f.accept(0, 100)
		f.hosts.mu.Lock()
		for i := range hosts * 720 / 390 {
			id := target.ID(fmt.Sprintf("engine-%03d", i))
			z := f.zones[i%len(f.zones)].Name
			f.hosts.list = append(f.hosts.list, platform.Host{ID: string(id), State: platform.Live, Zone: z,
				Target: &target.Target{ID: id, Kind: target.Engine, Zone: z, Pool: "assistant", Address: "10.9.9.9:8000"}})
		}
		f.hosts.mu.Unlock()
		time.Sleep(settle)
		bytes, processor, before := f.fabric.Bytes(), processorTime(), terms.snapshot()
		for range 6 {
			time.Sleep(measured / 6)
			after := terms.snapshot()
			for i := range after {
				before[i] = (after[i] - before[i]) / int64(hosts) / int64(measured/6/time.Second)
			}
			t.Logf("a host and second: messages %d, base %d, members %d (full %d), targets %d (full %d), other %d, local %d", before[0], before[1], before[2], before[3], before[4], before[5], before[6], before[7])
			before = after
		}
		perHost := float64(f.fabric.Bytes()-bytes) / measured.Seconds() / float64(hosts)
		core := (processorTime() - processor).Seconds() / measured.Seconds() / float64(hosts)
		t.Logf("%d hosts: each sends %.0f B/s and receives as much; %.3f%% of a core", hosts, perHost, 100*core)
		if perHost > budgetBytes {
			t.Errorf("%.0f B/s, want %d at most", perHost, budgetBytes)
		}
		f.within(60*time.Second, "all see all", f.allSeeAll)
		everyGateway := make([]int, hosts)
		for i := range everyGateway {
			everyGateway[i] = i
		}
		second := f.accept(first, 100)
		f.within(14*time.Second, "a new revision everywhere", func() bool { return f.everywhere(second, everyGateway...) })
	})
}
