package controller

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"zinniapin/platform"
	"zinniapin/target"
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

// TestCostOfTheMesh measures what a host with a controller and a gateway sends
// and receives in quiet times, and the processor time without sockets, with
// targets in the proportion of 720 to 390.
func TestCostOfTheMesh(t *testing.T) {
	hosts := defaultMeshHosts
	if n, err := strconv.Atoi(os.Getenv("ZINNIA_MESH_HOSTS")); err == nil {
		hosts = n
	}
	synctest.Test(t, func(t *testing.T) {
		const settle, measured = 40 * time.Second, 30 * time.Second
		f := newFleetIn(t, hosts, manyZones())
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
		bytes, processor := f.fabric.Bytes(), processorTime()
		time.Sleep(measured)
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
