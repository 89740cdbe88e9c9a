package controller

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/control"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/wire"
	"zinniapin/zone"
)

const (
	// defaultMeshHosts is the number of hosts of a run; the environment variable
	// ZINNIA_MESH_HOSTS sets another.
	defaultMeshHosts = 22
	// budgetBytes is the number of bytes that a host may send a second for control.
	budgetBytes = 16 << 10
	// callOverhead is the number of bytes that yamux and TLS add to a call, both
	// directions together. BenchmarkCallBytes in package yamuxlink measures it,
	// including that of short messages.
	callOverhead = 272
	// maxConfirmationAge is less than the age of the confirmation at which a
	// gateway stops serving.
	maxConfirmationAge = 10 * time.Second
	// maxTargetSpread is the time within which every gateway of a region must have
	// learned that a target leaves.
	maxTargetSpread = 6 * time.Second
)

// manyZones returns 11 zones in 3 regions.
func manyZones() []zone.Zone {
	var all []zone.Zone
	for i := range 11 {
		all = append(all, zone.Zone{Name: zone.Name(fmt.Sprint("zone-", i)), Region: zone.Region(fmt.Sprint("region-", i%3))})
	}
	return all
}

// processorTime returns the CPU time that this test process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costTerms adds up the bytes of messages by their content. It is safe for
// concurrent use.
type costTerms struct {
	calls, local             atomic.Int64 // number of messages, and bytes between processes of one host
	base, members, targets   atomic.Int64 // bytes of heartbeats by part
	fullMembers, fullTargets atomic.Int64 // bytes of records with all fields, included above
	other                    atomic.Int64 // bytes of other messages
}

// observe adds the bytes of a message that one process sent to another.
func (c *costTerms) observe(from, to machine.Process, e *wire.Envelope, bytes int) {
	c.calls.Add(1) // counts the request and the reply of a call separately
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

// snapshot returns the current sums in this order: messages, base, members, full
// members, targets, full targets, other messages, within a host.
func (c *costTerms) snapshot() [8]int64 {
	return [8]int64{c.calls.Load(), c.base.Load(), c.members.Load(), c.fullMembers.Load(),
		c.targets.Load(), c.fullTargets.Load(), c.other.Load(), c.local.Load()}
}

// since describes the sums since an earlier snapshot, per host and second.
func (c *costTerms) since(before [8]int64, hosts int, d time.Duration) string {
	after := c.snapshot()
	for i := range after {
		after[i] = int64(float64(after[i]-before[i]) / float64(hosts) / d.Seconds())
	}
	return fmt.Sprintf("messages %d, base %d, members %d (in full %d), targets %d (in full %d), other %d, within the host %d",
		after[0], after[1], after[2], after[3], after[4], after[5], after[6], after[7])
}

// listTargets adds targets to the list of hosts: 720 for every 390 hosts.
func (f *fleet) listTargets(hosts int) {
	f.hosts.mu.Lock()
	defer f.hosts.mu.Unlock()
	for i := range hosts * 720 / 390 {
		id := target.ID(fmt.Sprintf("engine-%03d", i))
		z := f.zones[i%len(f.zones)].Name
		f.hosts.list = append(f.hosts.list, provider.Host{ID: string(id), State: provider.Live, Zone: z,
			Target: &target.Target{ID: id, Kind: target.Engine, Zone: z, Pool: "assistant", Address: "10.9.9.9:8000"}})
	}
}

// oldestConfirmation returns the greatest age of the confirmation at any gateway.
func (f *fleet) oldestConfirmation() time.Duration {
	oldest := time.Duration(0)
	for _, g := range f.gateways {
		g.mu.Lock()
		oldest = max(oldest, time.Since(g.connectivity.ConfirmedAt))
		g.mu.Unlock()
	}
	return oldest
}

// seenLeaving reports whether every gateway of the target's region has it in the
// state leaving.
func (f *fleet) seenLeaving(h provider.Host) bool {
	region := f.regionOf(h.Zone)
	for i, g := range f.gateways {
		if f.zones[i%len(f.zones)].Region != region {
			continue
		}
		g.mu.Lock()
		seen := slices.ContainsFunc(g.view, func(s control.TargetState) bool {
			return s.Target.ID == h.Target.ID && s.State == provider.Leaving
		})
		g.mu.Unlock()
		if !seen {
			return false
		}
	}
	return true
}

// regionOf returns the region of a zone.
func (f *fleet) regionOf(name zone.Name) zone.Region {
	for _, z := range f.zones {
		if z.Name == name {
			return z.Region
		}
	}
	return ""
}

// isolate cuts the links between a host and all others.
func (f *fleet) isolate(host int) {
	for i := range f.running {
		if i != host {
			f.fabric.SetCut(hostOf(i), hostOf(host), true)
		}
	}
}

// removedEverywhere reports whether the controllers of all other hosts consider a
// host's two processes, its controller and its gateway, failed.
func (f *fleet) removedEverywhere(host int) bool {
	for i, k := range f.running {
		if i != host && len(k.Members()) != 2*len(f.running)-2 {
			return false
		}
	}
	return true
}

// TestCostOfTheMesh measures the bytes that an idle host with a controller and a
// gateway sends and receives, and its CPU time without sockets. It then checks how
// fast three changes spread: a leaving target, a new revision and the loss of a
// host.
func TestCostOfTheMesh(t *testing.T) {
	hosts := defaultMeshHosts
	if n, err := strconv.Atoi(os.Getenv("ZINNIA_MESH_HOSTS")); err == nil {
		hosts = n
	}
	synctest.Test(t, func(t *testing.T) {
		const first, settle, measured = 30 * time.Second, 60 * time.Second, 60 * time.Second
		terms := &costTerms{}
		f := newFleetIn(t, hosts, manyZones())
		f.fabric.Observe(terms.observe)
		revision := f.accept(0, 100)
		f.listTargets(hosts)
		time.Sleep(first)
		t.Logf("first %v, a host and second: %s", first, terms.since([8]int64{}, hosts, first))
		time.Sleep(settle)
		bytes, processor, before := f.fabric.Bytes(), processorTime(), terms.snapshot()
		oldest := time.Duration(0)
		for range measured / time.Second {
			time.Sleep(time.Second)
			oldest = max(oldest, f.oldestConfirmation())
		}
		perHost := float64(f.fabric.Bytes()-bytes) / measured.Seconds() / float64(hosts)
		core := (processorTime() - processor).Seconds() / measured.Seconds() / float64(hosts)
		t.Logf("later, a host and second: %s", terms.since(before, hosts, measured))
		framing := float64(terms.calls.Load()-before[0]) / 2 / measured.Seconds() / float64(hosts) * callOverhead
		t.Logf("%d hosts: each sends %.0f B/s and %.0f B/s of framing, and receives as much; %.3f%% of a core", hosts, perHost, framing, 100*core)
		if perHost+framing > budgetBytes {
			t.Errorf("%.0f B/s, want %d at most", perHost+framing, budgetBytes)
		}
		t.Logf("the oldest confirmation is %v old", oldest)
		if oldest > maxConfirmationAge {
			t.Errorf("a confirmation is %v old, want %v at most", oldest, maxConfirmationAge)
		}
		f.within(60*time.Second, "all members live everywhere", f.membershipComplete)
		f.hosts.mu.Lock()
		f.hosts.list[0].State = provider.Leaving
		leaving := f.hosts.list[0]
		f.hosts.mu.Unlock()
		f.within(maxTargetSpread, "a leaving target", func() bool { return f.seenLeaving(leaving) })
		everyGateway := make([]int, hosts)
		for i := range everyGateway {
			everyGateway[i] = i
		}
		revision = f.accept(revision, 100)
		f.within(14*time.Second, "a new revision everywhere", func() bool { return f.inForce(revision, everyGateway...) })
		f.isolate(hosts - 1)
		f.within(membership.FailureTimeout(2*hosts)+10*time.Second, "the loss of a host", func() bool { return f.removedEverywhere(hosts - 1) })
	})
}
