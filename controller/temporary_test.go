package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/membership"
)

// unlinkedPair returns a controller and a live one that it is not linked to, or
// nil when there is no such pair.
func (f *fleet) unlinkedPair() (*Controller, membership.Member) {
	for _, k := range f.running {
		linked := k.links.linkedHosts()
		for _, m := range membership.Controllers(k.Members(), "") {
			if !linked[m.Process.Host] && m.Process.Host != k.config.Self.Host {
				return k, m
			}
		}
	}
	return nil, membership.Member{}
}

// TestTemporaryLinkIsNoPeer opens a temporary link between two controllers of
// a fleet in which not all are linked. The other side must send no heartbeats over
// it, and must not suspect this process when the link closes.
func TestTemporaryLinkIsNoPeer(t *testing.T) {
	const hosts = 22
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, hosts)
		r := f.accept(0, 100)
		all := make([]int, hosts)
		for i := range all {
			all[i] = i
		}
		f.within(14*time.Second, "configured", func() bool { return f.inForce(r, all...) })
		time.Sleep(2 * time.Minute) // until the choice of peers is stable
		var self *Controller
		var other membership.Member
		f.within(time.Minute, "two are not linked", func() bool {
			self, other = f.unlinkedPair()
			return self != nil
		})
		l, err := self.linkTo(f.ctx, other.Process)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		for _, k := range f.running {
			if k != nil && k.config.Self.Host == other.Process.Host {
				is.True(!k.links.linkedHosts()[self.config.Self.Host])
			}
		}
		refutations := self.members.Refutations()
		is.NoErr(l.Close())
		time.Sleep(5 * time.Second)
		is.Equal(self.members.Refutations(), refutations) // no member suspected it
	})
}
