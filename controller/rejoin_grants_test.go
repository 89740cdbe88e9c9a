package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRejoinedPartsShareTheLimit splits a mesh into parts, each with a grantor of its own, and
// joins all of them at once. Until they agree on one grantor, the grants of all together must stay
// within the limit.
func TestRejoinedPartsShareTheLimit(t *testing.T) {
	for _, alone := range [][]int{{0}, {1, 5}, {2, 4, 6}, {0, 1, 3, 5}, all7} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 7)
			c := &chaosRun{fleet: f}
			r := f.accept(0, 100)
			f.within(14*time.Second, "configured", func() bool { return f.inForce(r, all7...) })
			for i := range all7 {
				f.demand(i, 100)
			}
			time.Sleep(15 * time.Second)
			for _, i := range alone {
				c.split(1 << i)
			}
			time.Sleep(40 * time.Second)
			c.heal()
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				c.maxInUse = max(c.maxInUse, c.inUse())
			}
			t.Logf("%v alone: at most %.1f of 100 in use", alone, c.maxInUse)
			is.True(c.maxInUse < 100.0001)
		})
	}
}
