package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExpiredTicketsAreNotCharged checks that tickets which leave the queue unserved do not
// count against their organisation: the next one of "late" is served in turn with those of the
// other organisation, not after as many of them as tickets of "late" have expired.
func TestExpiredTicketsAreNotCharged(t *testing.T) {
	is := is.New(t)
	s := New(1000)
	s.SetCapacity("p", 1)
	late, other := contractOf("late", 1), contractOf("other", 1)
	admit := func(name string) *Ticket {
		k := late
		if name == "other" {
			k = other
		}
		ticket, err := s.Admit(start, request(k, start, 1))
		is.NoErr(err)
		return ticket
	}
	var expired []*Ticket
	for range 20 {
		admit("other")
		expired = append(expired, admit("late"))
	}
	last := admit("late")
	for _, ticket := range expired {
		s.Done(start, ticket, 0)
	}
	served := 0
	for ; last.state == waiting; served++ {
		for _, ticket := range s.Dispatch(start, "p") {
			s.Done(start, ticket, 0)
		}
	}
	is.True(served <= 2)
}

// TestLightLoadIsNotRefused checks the wait estimate of a pool in which one ticket is queued
// now and then: five organisations that use it in turn are not a backlog, so a second ticket of
// the same organisation is expected to wait for one slot, not for a round of all five.
func TestLightLoadIsNotRefused(t *testing.T) {
	is := is.New(t)
	p := newWindowedPool(1, 66*time.Millisecond, 4*time.Second)
	for i := range 100 {
		is.NoErr(p.arrive(contractOf(fmt.Sprint(i%5), 1)))
		for range 165 { // load 0.4
			p.advance()
		}
	}
	k := contractOf("0", 1)
	is.NoErr(p.arrive(k))
	p.advance()
	is.NoErr(p.arrive(k))
	wait := p.scheduler.pool("p").expectedWait(p.now, "0", 1)
	is.True(wait <= 3*66*time.Millisecond)
}
