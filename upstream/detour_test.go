package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/detour"
	"zinniapin/internal/standin/prepared"
	"zinniapin/reach"
	"zinniapin/upstream"
)

// otherHost stands in for another host with its own links.
type otherHost struct {
	outcome detour.Outcome // unless it is Connected
	targets map[string]string
	asked   atomic.Int32
}

// Hosts implements detour.Hosts.
func (o *otherHost) Hosts(string) ([]reach.Host, string, string) {
	return []reach.Host{{Address: "other", Zone: "a"}}, "a", "a"
}

// Open implements detour.Hosts.
func (o *otherHost) Open(_ context.Context, _, address string) (net.Conn, detour.Outcome) {
	o.asked.Add(1)
	if o.outcome != detour.Connected {
		return nil, o.outcome
	}
	c, err := net.Dial("tcp", o.targets[address])
	if err != nil {
		return nil, detour.Refused
	}
	return c, detour.Connected
}

// answering starts a target that answers each request, at once or after the channel is closed.
func answering(t *testing.T, after <-chan struct{}) string {
	t.Helper()
	return listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if after != nil {
				<-after
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
}

// newDetour returns a pool with another host, and two ways to targets.
func newDetour(t *testing.T) (d *detour.Dialer, p *upstream.Pool, o *otherHost, first, second *prepared.Way, lost *atomic.Int32) {
	t.Helper()
	first, second = prepared.NewWay(answering(t, nil)), prepared.NewWay(answering(t, nil))
	t.Cleanup(first.Close)
	t.Cleanup(second.Close)
	o = &otherHost{targets: map[string]string{first.Address(): answering(t, nil), second.Address(): answering(t, nil)}}
	lost = &atomic.Int32{}
	d = detour.New(detour.Options{Hosts: o, OnChange: func(all map[string]bool) {
		p.CloseOutdated(all)
		lost.Store(int32(len(all)))
	}})
	p = upstream.NewPool(d)
	d.SetTargets([]reach.Target{{Address: first.Address()}, {Address: second.Address()}})
	return d, p, o, first, second, lost
}

// A request goes through another host once a connection is refused or not answered, and then at once.
func TestLostLinkIsBypassed(t *testing.T) {
	for _, mode := range prepared.WayModes {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			_, p, o, first, _, lost := newDetour(t)
			first.Set(mode)
			body, err := get(p, first.Address())
			is.NoErr(err)
			is.Equal(body, "ok")
			is.Equal(lost.Load(), int32(1))
			is.Equal(o.asked.Load(), int32(1))
			begun := time.Now()
			for range 5 {
				_, err := get(p, first.Address())
				is.NoErr(err)
			}
			is.True(time.Since(begun) < 100*time.Millisecond)
			first.Set(prepared.WayOpen)
			for begun := time.Now(); lost.Load() > 0 && time.Since(begun) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
				p.ProbeLinks()
			}
			is.Equal(lost.Load(), int32(0))
			direct := first.Accepted()
			_, err = get(p, first.Address())
			is.NoErr(err)
			is.True(direct > 0)
			is.Equal(o.asked.Load(), int32(1)) // the tunnel was dropped, and no other asked for
		})
	}
}

// A kept connection whose link has fallen silent is found out by the request that meets it, and the next ones go through
// another host.
func TestSilentKeptConnectionIsFoundOut(t *testing.T) {
	is := is.New(t)
	_, p, _, first, _, lost := newDetour(t)
	for range 3 {
		_, err := get(p, first.Address())
		is.NoErr(err)
	}
	first.Set(prepared.WaySilent)
	met := make(chan error, 1)
	go func() { _, err := get(p, first.Address()); met <- err }()
	for begun := time.Now(); lost.Load() == 0 && time.Since(begun) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
	}
	is.Equal(lost.Load(), int32(1))
	_, err := get(p, first.Address())
	is.NoErr(err)
	is.True(errors.Is(<-met, upstream.ErrNoResponse)) // it may have run
}

// A slow target is no lost link: the check finds that connections to it are established.
func TestSlowTargetIsNoLostLink(t *testing.T) {
	is := is.New(t)
	slow := make(chan struct{})
	address := answering(t, slow)
	o := &otherHost{targets: map[string]string{address: address}}
	d := detour.New(detour.Options{Hosts: o, OnChange: func(map[string]bool) { t.Error("a link was taken for lost") }})
	p := upstream.NewPool(d)
	d.SetTargets([]reach.Target{{Address: address}, {Address: "127.0.0.1:1"}})
	time.AfterFunc(700*time.Millisecond, func() { close(slow) })
	_, err := get(p, address)
	is.NoErr(err)
	is.Equal(o.asked.Load(), int32(0))
}

// When other hosts say that a target is down, it is; when they do not reach it either, nothing is known of it.
func TestWordOfOtherHostsTellsWhoIsAtFault(t *testing.T) {
	for outcome, noWay := range map[detour.Outcome]bool{detour.Refused: false, detour.Unanswered: false, detour.NoWay: true, detour.NoAnswer: true} {
		is := is.New(t)
		_, p, o, first, second, _ := newDetour(t)
		o.outcome = outcome
		first.Set(prepared.WayReset)
		second.Set(prepared.WayReset)
		_, err := get(p, first.Address())
		is.True(errors.Is(err, upstream.ErrNotSent))
		_, err = get(p, second.Address())
		is.True(errors.Is(err, upstream.ErrNotSent))
		is.Equal(errors.Is(err, detour.ErrNoWay), noWay)
	}
}

// A host connects for another one over its own links only, and puts a failure down to the target only while it reaches
// others.
func TestHostConnectsForAnotherOne(t *testing.T) {
	is := is.New(t)
	d, _, o, first, second, _ := newDetour(t)
	c, outcome := d.ConnectFor(t.Context(), first.Address())
	is.Equal(outcome, detour.Connected)
	is.NoErr(c.Close())
	first.Set(prepared.WayReset)
	_, outcome = d.ConnectFor(t.Context(), first.Address())
	is.Equal(outcome, detour.Refused) // the second can be reached
	second.Set(prepared.WayReset)     // what it could connect to before proves nothing
	_, outcome = d.ConnectFor(t.Context(), first.Address())
	is.Equal(outcome, detour.NoWay)
	is.Equal(o.asked.Load(), int32(0))
}

// A target that answers other requests meanwhile needs no check of its link, however long one takes.
func TestTargetThatIsHeardIsNotChecked(t *testing.T) {
	is := is.New(t)
	address := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if n == 0 {
				time.Sleep(900 * time.Millisecond)
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	d := detour.New(detour.Options{Hosts: &otherHost{targets: map[string]string{address: address}}})
	p := upstream.NewPool(d)
	d.SetTargets([]reach.Target{{Address: address}, {Address: "127.0.0.1:1"}})
	slow := make(chan error, 1)
	go func() { _, err := get(p, address); slow <- err }()
	time.Sleep(50 * time.Millisecond)
	for range 12 {
		_, err := get(p, address)
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
	}
	is.NoErr(<-slow)
	is.Equal(d.Opened.Load(), int64(2))
}

// lyingConn passes bytes on and then fails to write, as a stream of a link does that ends while it waits.
type lyingConn struct{ net.Conn }

// Write implements net.Conn.
func (c lyingConn) Write(p []byte) (int, error) {
	_, _ = c.Conn.Write(p)
	return 0, io.ErrClosedPipe
}

// lyingHost connects by such connections.
type lyingHost struct{ otherHost }

// Open implements detour.Hosts.
func (o *lyingHost) Open(_ context.Context, _, address string) (net.Conn, detour.Outcome) {
	c, err := net.Dial("tcp", o.targets[address])
	if err != nil {
		return nil, detour.Refused
	}
	return lyingConn{c}, detour.Connected
}

// A write to a tunnel that fails without a count may have passed the request on.
func TestFailedWriteToATunnelMayHaveSentTheRequest(t *testing.T) {
	is := is.New(t)
	way := prepared.NewWay(answering(t, nil))
	t.Cleanup(way.Close)
	way.Set(prepared.WayReset)
	d := detour.New(detour.Options{Hosts: &lyingHost{otherHost{targets: map[string]string{way.Address(): answering(t, nil)}}}})
	d.SetTargets([]reach.Target{{Address: way.Address()}})
	_, err := get(upstream.NewPool(d), way.Address())
	is.True(errors.Is(err, upstream.ErrNoResponse))
	is.True(!errors.Is(err, upstream.ErrNotSent))
}
