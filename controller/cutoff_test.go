package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/provider"
	"zinniapin/target"
)

// TestCutOffGatewayHoldsUpChanges cuts a host off from all others for 20 s. Its gateway serves on, so
// no controller may plan a change meanwhile, nor take a cordon for acknowledged, though it does
// not count as live: neither one that knew the gateway nor one that has started since.
func TestCutOffGatewayHoldsUpChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7)
		r := f.accept(0, 10)
		f.hosts.mu.Lock()
		f.hosts.list = append(f.hosts.list, provider.Host{ID: "engine-1", State: provider.Live, Zone: zones[0].Name,
			Target: &target.Target{ID: "engine-1", Kind: target.Engine, Zone: zones[0].Name, Pool: "assistant"}})
		f.hosts.mu.Unlock()
		f.within(14*time.Second, "configured", func() bool { return f.inForce(r, all7...) })
		f.within(30*time.Second, "all members live everywhere", f.membershipComplete)
		c := &chaosRun{fleet: f}
		c.split(1 << 6)
		time.Sleep(10 * time.Second)
		f.stops[2]()
		time.Sleep(100 * time.Millisecond)
		f.startController(2, 5000)
		time.Sleep(10 * time.Second)
		for i, k := range f.running[:6] {
			is.Equal(len(k.regionGateways()), 6) // it does not count as live
			is.True(!planFleet{k}.AllGatewaysReachable())
			_, missing, err := k.CordonEverywhere(f.ctx, "engine-1", uint64(i+1), false)
			is.NoErr(err)
			is.Equal(missing, []string{"host-6/gateway/00000000000003ee"})
		}
	})
}
