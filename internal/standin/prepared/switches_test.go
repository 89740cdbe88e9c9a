package prepared_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
)

// client is a connection to a target.
type client struct {
	c net.Conn
	r *bufio.Reader
}

// connect opens a connection to a target. A target that refuses it may reset it already here.
func connect(t *testing.T, s *prepared.Target) *client {
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		return &client{}
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

// get sends a request and returns the response, or nil if there is none.
func (c *client) get() *http.Response {
	if c.c == nil {
		return nil
	}
	if _, err := fmt.Fprint(c.c, "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n"); err != nil {
		return nil
	}
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

// newTarget starts a target with switches.
func newTarget(t *testing.T, change func(s *prepared.TargetSwitches)) *prepared.Target {
	s := prepared.NewTarget("t-1")
	t.Cleanup(s.Close)
	s.Change(change)
	return s
}

// TestTargetSwitches checks that each switch of a target does what it says.
func TestTargetSwitches(t *testing.T) {
	is := is.New(t)
	idle := connect(t, newTarget(t, func(s *prepared.TargetSwitches) { s.IdleTime = 50 * time.Millisecond }))
	is.True(idle.get() != nil)
	is.True(idle.get() != nil)
	time.Sleep(100 * time.Millisecond)
	is.True(idle.get() == nil) // it was dropped

	closing := connect(t, newTarget(t, func(s *prepared.TargetSwitches) { s.CloseShare = 1 }))
	is.True(closing.get().Close)

	limited := newTarget(t, func(s *prepared.TargetSwitches) { s.MaxConnections = 1 })
	is.True(connect(t, limited).get() != nil)
	is.True(connect(t, limited).get() == nil)

	shares := newTarget(t, func(s *prepared.TargetSwitches) {
		s.Faults = []prepared.Fault{prepared.NoFault}
		s.Shares = map[prepared.Fault]float64{prepared.RunAndFail: 0.5, prepared.Garbage: 0.5}
	})
	is.Equal(connect(t, shares).get().StatusCode, http.StatusOK) // Faults come first
	garbage := 0
	for range 100 {
		if r := connect(t, shares).get(); r == nil || r.StatusCode != http.StatusInternalServerError { // net/http parses some
			garbage++
		}
	}
	is.True(garbage > 25 && garbage < 75)

	slow := connect(t, newTarget(t, func(s *prepared.TargetSwitches) { s.AcceptDelay, s.Delay = 100*time.Millisecond, 50*time.Millisecond }))
	begun := time.Now()
	slow.get()
	is.True(time.Since(begun) >= 150*time.Millisecond)

	shared := connect(t, newTarget(t, func(s *prepared.TargetSwitches) {
		s.Delay, s.Shared = 40*time.Millisecond, prepared.SharedMachine{Every: time.Hour, Share: 1, Percent: 250}
	}))
	begun = time.Now()
	is.Equal(shared.get().Header.Get("X-Server-Load"), "1,0,8,250")
	is.True(time.Since(begun) >= 100*time.Millisecond)
}

// TestTargetsCrashAndFallSilent checks the switches that act at intervals, and that Change ends them.
func TestTargetsCrashAndFallSilent(t *testing.T) {
	is := is.New(t)
	crashing := newTarget(t, func(s *prepared.TargetSwitches) {
		s.CrashEvery, s.RestartAfter = 50*time.Millisecond, 10*time.Millisecond
	})
	time.Sleep(500 * time.Millisecond)
	crashing.Change(func(s *prepared.TargetSwitches) { s.CrashEvery = 0 })
	time.Sleep(100 * time.Millisecond)
	crashes := len(crashing.Crashes())
	is.True(crashes > 2)
	is.True(connect(t, crashing).get() != nil) // it has started again
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(crashing.Crashes()), crashes)

	silent := newTarget(t, func(s *prepared.TargetSwitches) {
		s.SilentEvery, s.SilentFor = 20*time.Millisecond, 300*time.Millisecond
	})
	c := connect(t, silent)
	time.Sleep(100 * time.Millisecond)
	silent.Change(func(s *prepared.TargetSwitches) { s.SilentEvery = 0 })
	begun := time.Now()
	is.True(c.get() != nil) // it goes on afterwards
	is.True(time.Since(begun) > 100*time.Millisecond)
}

// put writes an object and returns the status, or 0 if there is no answer in time.
func put(address, path, body string) int {
	c := http.Client{Timeout: 200 * time.Millisecond}
	response, err := c.Post("http://"+address+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestStoreSwitches checks writes that lose their answers or are carried out late.
func TestStoreSwitches(t *testing.T) {
	is := is.New(t)
	s := prepared.NewStore()
	defer s.Close()
	s.Change(func(s *prepared.StoreSwitches) { s.LoseShare = 1 })
	is.Equal(put(s.Address(), "/objects/kind", `{"Metadata":{"Name":"a"},"Spec":1}`), 0)
	is.Equal(string(s.Read("kind", "a")), "1")
	s.Change(func(s *prepared.StoreSwitches) {
		*s = prepared.StoreSwitches{LateShare: 1, LateBy: 400 * time.Millisecond}
	})
	is.Equal(put(s.Address(), "/objects/kind", `{"Metadata":{"Name":"b"},"Spec":2}`), 0)
	is.True(s.Read("kind", "b") == nil)
	time.Sleep(400 * time.Millisecond)
	is.Equal(string(s.Read("kind", "b")), "2")
	s.Change(func(s *prepared.StoreSwitches) { *s = prepared.StoreSwitches{} })
	is.Equal(put(s.Address(), "/objects/kind", `{"Metadata":{"Name":"b"},"Spec":3}`), http.StatusConflict)
}

// TestDutySwitches checks calls that lose their answers, are carried out late or are refused.
func TestDutySwitches(t *testing.T) {
	is := is.New(t)
	d := prepared.NewDutyServer()
	defer d.Close()
	d.Change(func(s *prepared.DutySwitches) { s.LoseShare = 1 })
	is.Equal(put(d.Address(), "/usage", `{}`), 0)
	is.Equal(len(d.Calls("/usage")), 1)
	d.Change(func(s *prepared.DutySwitches) {
		*s = prepared.DutySwitches{LateShare: 1, LateBy: 300 * time.Millisecond}
	})
	is.Equal(put(d.Address(), "/usage", `{}`), 0)
	is.Equal(len(d.Calls("/usage")), 1)
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(d.Calls("/usage")), 2)
	d.Change(func(s *prepared.DutySwitches) { *s = prepared.DutySwitches{RefuseShare: 1} })
	is.Equal(put(d.Address(), "/usage", `{}`), http.StatusTooManyRequests)
	d.Change(func(s *prepared.DutySwitches) { *s = prepared.DutySwitches{} })
	is.Equal(put(d.Address(), "/usage", `{}`), http.StatusConflict) // it carries no fence
	d.Change(func(s *prepared.DutySwitches) { s.IgnoreFence = true })
	is.Equal(put(d.Address(), "/usage", `{}`), http.StatusOK)
}
