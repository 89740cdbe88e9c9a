package controller

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
)

// chaosRun makes random faults in a fleet. At every step it checks that revisions
// only rise, and it records how much of the contract's limit is in use. Every revision
// has the same limit of 100 requests a second.
type chaosRun struct {
	*fleet
	random   *rand.Rand
	accepted contract.Revision // the newest one
	restarts uint64            // numbers the incarnations of restarted controllers
	maxInUse float64           // requests a second
}

// step makes one random fault, repair, restart or configuration change, or waits for
// the present faults to take effect, and then lets less than 6 s pass.
func (c *chaosRun) step() {
	a, b := c.random.IntN(7), c.random.IntN(7)
	switch c.random.IntN(8) {
	case 0:
		c.fabric.SetCut(hostOf(a), hostOf(b), a != b)
	case 1:
		c.fabric.SetLossy(hostOf(a), hostOf(b), a != b)
	case 2:
		c.stores[a].setDown(c.random.IntN(2) == 0)
	case 3:
		c.stops[a]()
		time.Sleep(100 * time.Millisecond)
		c.restarts++
		c.startController(a, 5000+c.restarts) // an incarnation above that of every earlier start
	case 4:
		c.accepted = c.accept(c.accepted, 100) // a new revision with the same limit
	case 5:
		c.heal()
	case 6:
		c.split(c.random.IntN(1 << 7))
	case 7:
		time.Sleep(20 * time.Second) // long enough for members to become suspected
	}
	for range c.random.IntN(60) {
		time.Sleep(100 * time.Millisecond)
		c.maxInUse = max(c.maxInUse, c.inUse())
	}
	c.checkRevisionsRise()
}

// split partitions the fleet: it cuts the links between the hosts in a set, given
// as a bit mask, and the others.
func (c *chaosRun) split(set int) {
	for i := range 7 {
		for j := range i {
			if set>>i&1 != set>>j&1 {
				c.fabric.SetCut(hostOf(i), hostOf(j), true)
			}
		}
	}
}

// heal removes every fault.
func (c *chaosRun) heal() {
	for i := range 7 {
		c.stores[i].setDown(false)
		for j := range i {
			c.fabric.SetCut(hostOf(i), hostOf(j), false)
			c.fabric.SetLossy(hostOf(i), hostOf(j), false)
		}
	}
}

// inUse returns the sum of the requests a second that the gateways may use: the
// grant of a gateway that has one in force, otherwise its guaranteed share by its
// own count of live gateways.
func (c *chaosRun) inUse() float64 {
	sum := 0.0
	for _, g := range c.gateways {
		g.mu.Lock()
		if held := g.grants["svetki"]; time.Now().Before(held.Expires) {
			sum += held.RequestsPerSecond
		} else {
			limits := contract.Limits{RequestsPerSecond: 100}
			sum += grant.GuaranteedShare(limits, g.connectivity.LiveGateways).RequestsPerSecond
		}
		g.mu.Unlock()
	}
	return sum
}

// membershipComplete reports whether every controller considers every process
// live.
func (f *fleet) membershipComplete() bool {
	for _, k := range f.running {
		if len(k.Members()) != 2*len(f.running) {
			return false
		}
	}
	return true
}

// TestConvergesAfterFaults makes random faults at seven hosts. Afterwards a newly
// accepted revision must be in force at every gateway within 14 s. At no time may
// more than twice the limit be in use.
func TestConvergesAfterFaults(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 7)
			c := &chaosRun{fleet: f, random: rand.New(rand.NewPCG(seed, 1))}
			c.accepted = c.accept(0, 100)
			f.within(14*time.Second, "configured", func() bool { return f.inForce(c.accepted, all7...) })
			for _, g := range f.gateways {
				g.mu.Lock()
				g.demands = []control.Demand{{Organisation: "svetki", RequestsPerSecond: c.random.Float64() * 100, Concurrency: 4}}
				g.mu.Unlock()
			}
			time.Sleep(15 * time.Second) // the wait of the first grantors is over
			for range 60 {
				c.step()
			}
			c.heal()
			c.accepted = c.accept(c.accepted, 100)
			f.within(14*time.Second, "the last revision everywhere", func() bool { return f.inForce(c.accepted, all7...) })
			f.within(30*time.Second, "all members live everywhere", f.membershipComplete)
			t.Logf("seed %d: at most %.1f of 100 in use", seed, c.maxInUse)
			if c.maxInUse > 2*100 {
				t.Errorf("%.1f of 100 in use, want twice the limit at most", c.maxInUse)
			}
		})
	}
}

// TestPartitionedFleetRejoins partitions the fleet for longer than members are kept. After the
// partition heals, both sides must find each other again, although the smaller one
// contains no seed address.
func TestPartitionedFleetRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		first := f.accept(0, 100)
		f.within(14*time.Second, "configured", func() bool { return f.inForce(first, all7...) })
		f.within(30*time.Second, "all members live everywhere at first", f.membershipComplete)
		c := &chaosRun{fleet: f}
		c.split(1<<3 | 1<<4) // neither host has a seed address
		time.Sleep(20 * time.Minute)
		c.heal()
		second := f.accept(first, 100)
		f.within(14*time.Second, "the revision everywhere", func() bool { return f.inForce(second, all7...) })
		f.within(30*time.Second, "all members live everywhere", f.membershipComplete)
	})
}
