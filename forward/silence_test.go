package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/dispatch"
	"zinniapin/internal/knownred"
	"zinniapin/internal/standin/prepared"
	"zinniapin/route"
)

// silenceOf is how long the targets of these tests fall silent. The handler looks for another target
// after a second.
const silenceOf = 1500 * time.Millisecond

// longWait are the headers of a caller that waits longer than by default.
var longWait = []string{withoutDefaultHeaders, "X-Request-Id: id-1", "X-Deadline-Ms: 4900", "X-Credential: key-1"}

// silentInStream starts targets of streams of six events, of which the first falls silent after its second
// event and then goes on. Requests go to that one, since the others are full of work.
func silentInStream(t *testing.T, others ...*prepared.Target) (*testHandler, *prepared.Target) {
	t.Helper()
	silent := engine("d-1", "decode")
	silent.Events, silent.EventPause = 6, 40*time.Millisecond
	for _, o := range others {
		o.Events = 6
	}
	return newTestHandler(t, "model", append([]*prepared.Target{silent}, others...)...), silent
}

// callUntilSilent makes calls until one goes to the target that then falls silent, and returns its result.
func callUntilSilent(t *testing.T, h *testHandler, silent *prepared.Target, before func()) callResult {
	t.Helper()
	for range 40 {
		before()
		runs := silent.Runs()
		ended := make(chan callResult, 1)
		go func() {
			ended <- h.call(http.MethodPost, "/draft/a", "p", append(longWait[:len(longWait):len(longWait)], engineHeaders...)...)
		}()
		for begun := time.Now(); time.Since(begun) < 90*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			if silent.Runs() > runs {
				time.Sleep(60 * time.Millisecond)
				silent.FallSilent(silenceOf)
				return <-ended
			}
		}
		<-ended
	}
	t.Fatal("no request went to the target that falls silent")
	return callResult{}
}

// A sound target falls silent in the middle of a stream and goes on. No other target takes the stream
// over. The caller gets all of it from the first one.
func TestStreamOfASilentTargetIsNotCut(t *testing.T) {
	for name, reject := range map[string]func(*testHandler, *prepared.Target){
		"the other one refuses":    func(_ *testHandler, o *prepared.Target) { o.SetFaults(prepared.RefuseNotRun, prepared.RefuseNotRun) },
		"the other one breaks off": func(_ *testHandler, o *prepared.Target) { o.SetFaults(prepared.RunAndReset, prepared.RunAndReset) },
		"the other one has gone":   func(_ *testHandler, o *prepared.Target) { o.Close() },
		"the other one hangs":      func(_ *testHandler, o *prepared.Target) { o.SetFaults(prepared.RunAndHang, prepared.RunAndHang) },
		"the key was withdrawn": func(h *testHandler, _ *prepared.Target) {
			time.AfterFunc(300*time.Millisecond, func() {
				c := configuration()
				c.Version, c.Organisations = 2, []route.Organisation{{Name: "parents", Keys: []string{"key-2"}}}
				h.setTable(c)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			other := engine("d-2", "decode")
			h, silent := silentInStream(t, other)
			a := callUntilSilent(t, h, silent, func() { other.SetFaults(); h.setTable(configuration()); reject(h, other) })
			if a.err != nil || a.status != http.StatusOK || a.body != expectedStream(6) {
				knownred.Fail(t, "../KNOWN-RED.txt", "silence-cut", "status %d, error %v, %d bytes of the stream", a.status, a.err, len(a.body))
			}
		})
	}
}

// Another target takes over a stream of a silent one, which goes on too late. No event comes twice.
func TestStreamOfASilentTargetGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	other := engine("d-2", "decode")
	h, silent := silentInStream(t, other)
	begun := time.Now()
	a := callUntilSilent(t, h, silent, func() { begun = time.Now() })
	is.NoErr(a.err)
	is.Equal(a.body, expectedStream(6))
	is.True(time.Since(begun) < silenceOf) // the caller did not have to wait for the silent target
	for silent.Abandoned() == 0 {          // the silent target learns that its answer is not wanted
		is.True(time.Since(begun) < silenceOf)
		time.Sleep(5 * time.Millisecond)
	}
}

// A target of a plain service falls silent under a request and answers after that, while the other one brings no
// answer. The caller gets that of the first.
func TestPlainAnswerOfASilentTargetIsNotLost(t *testing.T) {
	for name, fault := range map[string]prepared.Fault{"refuses": prepared.RefuseNotRun, "breaks off": prepared.RunAndReset, "hangs": prepared.RunAndHang, "fails": prepared.RunAndFail} {
		t.Run("the other one "+name, func(t *testing.T) {
			is := is.New(t)
			one, other := prepared.NewTarget("t-1"), prepared.NewTarget("t-2")
			h := newTestHandler(t, "desk", one, other)
			one.FallSilent(1200 * time.Millisecond)
			other.FallSilent(1200 * time.Millisecond) // whichever is tried first
			time.AfterFunc(300*time.Millisecond, func() {
				for _, s := range []*prepared.Target{one, other} {
					if s.Runs() == 0 {
						s.FallSilent(0)
						s.SetFaults(fault)
					}
				}
			})
			a := h.call(http.MethodGet, "/read/a", "")
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusOK)
		})
	}
}

// A target falls silent while it processes a prompt, and the other one refuses. The first one's result is used.
func TestPrefillOfASilentTargetIsNotLost(t *testing.T) {
	is := is.New(t)
	one, other, decode := engine("p-1", "prefill"), engine("p-2", "prefill"), engine("d-1", "decode")
	h := newTestHandler(t, "model", one, other, decode)
	one.FallSilent(1900 * time.Millisecond)
	other.FallSilent(1900 * time.Millisecond)
	time.AfterFunc(700*time.Millisecond, func() {
		for _, s := range []*prepared.Target{one, other} {
			if len(s.Arrivals()) == 0 {
				s.FallSilent(0)
				s.SetFaults(prepared.RefuseNotRun, prepared.RefuseNotRun)
			}
		}
	})
	a := h.call(http.MethodPost, "/draft/a", "p", append(longWait[:len(longWait):len(longWait)], longPrompt...)...)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, expectedStream(3))
}

// The silent target goes on at about the moment at which the other one sends its first event. Whichever is taken, the
// stream is whole.
func TestStreamIsWholeWhenBothTargetsSpeakAtOnce(t *testing.T) {
	const first = 260 * time.Millisecond // from the search, 1.2 s after the last event, to the other one's first event
	var streams sync.WaitGroup
	for i := range 60 {
		streams.Go(func() {
			other := engine("d-2", "decode")
			other.Delay = first
			h, silent := silentInStream(t, other)
			h.call(http.MethodPost, "/draft/a", "p", engineHeaders...) // opens connections
			for range 20 {
				runs, ended := silent.Runs(), make(chan callResult, 1)
				go func() {
					ended <- h.call(http.MethodPost, "/draft/a", "p", append(longWait[:len(longWait):len(longWait)], engineHeaders...)...)
				}()
				time.Sleep(60 * time.Millisecond)
				if silent.Runs() > runs {
					silent.FallSilent(1200*time.Millisecond + first - 60*time.Millisecond + time.Duration(2*i)*time.Millisecond)
				}
				a := <-ended
				if a.err != nil || a.body != expectedStream(6) {
					t.Errorf("stream %d: error %v, %d bytes", i, a.err, len(a.body))
				}
				if silent.Runs() > runs {
					return
				}
			}
		})
	}
	streams.Wait()
}

// A target that was silent sends the head of its answer and no event, or an error. The search goes on until one of the
// two has something for the caller.
func TestOnlyAnAnswerEndsASearch(t *testing.T) {
	t.Run("head without an event", func(t *testing.T) {
		is := is.New(t)
		silent, other := engine("d-1", "decode"), engine("d-2", "decode")
		silent.Delay, silent.EventPause = 1700*time.Millisecond, 2500*time.Millisecond // the search begins after 1.5 s
		other.Delay = 600 * time.Millisecond
		h := newTestHandler(t, "model", silent, other)
		for len(silent.Arrivals()) == 0 {
			a := h.call(http.MethodPost, "/draft/a", "p", append(longWait[:len(longWait):len(longWait)], engineHeaders...)...)
			is.NoErr(a.err)
			is.Equal(a.body, expectedStream(3))
		}
	})
	t.Run("error", func(t *testing.T) {
		is := is.New(t)
		silent, other := prepared.NewTarget("t-1"), prepared.NewTarget("t-2")
		silent.Delay, other.Delay = 600*time.Millisecond, 300*time.Millisecond // the search begins after 450 ms
		silent.SetFaults(prepared.RunAndFail)
		h := newTestHandler(t, "desk", silent, other)
		for len(silent.Arrivals()) == 0 {
			is.Equal(h.call(http.MethodGet, "/read/a", "").status, http.StatusOK)
		}
	})
}

// A decode target refuses a prompt that was processed elsewhere, or the silent target for which it was to stand in goes
// on first. The KV cache is freed.
func TestCacheOfAnAttemptThatDoesNotRunIsFreed(t *testing.T) {
	for name, fault := range map[string]prepared.Fault{"refused": prepared.RefuseNotRun, "superseded": prepared.RunAndHang} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, one, two := engine("p-1", "prefill"), engine("d-1", "decode"), engine("d-2", "decode")
			one.Events, one.EventPause, two.Events, two.EventPause = 6, 40*time.Millisecond, 6, 40*time.Millisecond
			h := newTestHandler(t, "model", p, one, two)
			ended := make(chan callResult, 1)
			go func() {
				ended <- h.call(http.MethodPost, "/draft/a", "p", append(longWait[:len(longWait):len(longWait)], longPrompt...)...)
			}()
			for one.Runs()+two.Runs() == 0 {
				time.Sleep(2 * time.Millisecond)
			}
			silent, other := one, two
			if two.Runs() > 0 {
				silent, other = two, one
			}
			time.Sleep(60 * time.Millisecond)
			silent.FallSilent(1800 * time.Millisecond)
			other.SetFaults(fault)
			a := <-ended
			is.NoErr(a.err)
			is.Equal(a.body, expectedStream(6))
			is.Equal(len(p.Arrivals()), 2)
			for begun := time.Now(); len(p.FreedHandles()) == 0; time.Sleep(10 * time.Millisecond) {
				is.True(time.Since(begun) < time.Second)
			}
		})
	}
}

// Callers leave while another target than the silent one has their requests. That target is not left out for it.
func TestTargetOfAnAbandonedSearchStaysInUse(t *testing.T) {
	silent, other := engine("d-1", "decode"), engine("d-2", "decode")
	silent.Events, silent.EventPause = 6, 40*time.Millisecond
	other.Events, other.EventPause = 6, 2*time.Second
	h := newTestHandler(t, "model", silent, other)
	for left := 0; left < 3; {
		runs, arrived, gone := silent.Runs(), len(other.Arrivals()), silent.Abandoned()+other.Abandoned()
		c, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		go exchange(c, bufio.NewReader(c), http.MethodPost, "/draft/a", "p", append(longWait[:len(longWait):len(longWait)], engineHeaders...)...)
		time.Sleep(70 * time.Millisecond)
		if silent.Runs() > runs {
			silent.FallSilent(3 * time.Second)
			for begun := time.Now(); len(other.Arrivals()) == arrived && time.Since(begun) < 2*time.Second; {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			left++
		}
		_ = c.Close()
		time.Sleep(400 * time.Millisecond)
		if told := silent.Abandoned() + other.Abandoned() - gone; told == 0 || silent.Runs() > runs && told != 2 {
			t.Errorf("%d targets were told that the caller has left", told)
		}
		silent.FallSilent(0)
	}
	h.handler.PlannerMu.Lock()
	defer h.handler.PlannerMu.Unlock()
	for _, report := range h.handler.Planner.TakeReports() {
		if report.Unreachable > 0 && report.Target == dispatch.KeyOf("d-2") {
			t.Errorf("the other target counts as unreachable: %+v", report)
		}
	}
}

// A target falls silent while it processes the prompt of a request that may run only once, and goes on while
// another one is at the prompt, or has it. The request runs once.
func TestRequestWithASilentPrefillRunsOnce(t *testing.T) {
	for _, silence := range []time.Duration{1600, 1700, 1800, 2600} {
		t.Run(fmt.Sprint(silence), func(t *testing.T) {
			is := is.New(t)
			one, other := engine("p-1", "prefill"), engine("p-2", "prefill")
			decodes := []*prepared.Target{engine("d-1", "decode"), engine("d-2", "decode")}
			for _, d := range decodes {
				d.Change(func(s *prepared.TargetSwitches) { s.EventPause = 200 * time.Millisecond })
			}
			h := newTestHandler(t, "model", append(decodes, one, other)...)
			one.FallSilent(silence * time.Millisecond)
			other.FallSilent(silence * time.Millisecond)
			time.AfterFunc(700*time.Millisecond, func() {
				for _, s := range []*prepared.Target{one, other} {
					if len(s.Arrivals()) == 0 {
						s.FallSilent(0) // the one that is tried second answers at once
					}
				}
			})
			a := h.call(http.MethodPost, "/reply/a", "p", append(longWait[:len(longWait):len(longWait)], longPrompt...)...)
			is.NoErr(a.err)
			is.Equal(a.body, expectedStream(3))
			is.Equal(decodes[0].Runs()+decodes[1].Runs(), 1)
		})
	}
}
