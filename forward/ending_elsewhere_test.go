package forward_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
)

// A prefill target may frame and end its answer in each way too. Its KV cache is used if the answer is
// complete; otherwise the decode target processes the prompt. The caller gets the whole stream either way.
func TestEveryEndingOfAPrefillIsToldApart(t *testing.T) {
	for _, e := range endingsOf(`{"KvHandle":"h-1",`, `"Tokens":10,"Version":1}`) {
		t.Run(e.name, func(t *testing.T) {
			is := is.New(t)
			decode := engine("d-1", "decode")
			h := newTestHandler(t, "model", engine("p-1", "prefill"), decode)
			h.startScripted(&e.target)
			begun := time.Now()
			a := h.call(http.MethodPost, "/draft/a", "prompt", longPrompt...)
			is.NoErr(a.err)
			is.Equal(a.body, expectedStream(3))
			is.Equal(len(decode.Arrivals()), 1)
			is.Equal(decode.Arrivals()[0].Header.Get("X-Kv-Source") != "", e.complete)
			is.True(time.Since(begun) < time.Second)
		})
	}
}

// A resumable stream ends in each way at one target and goes on at another one. No event is missing and
// none comes twice.
func TestEveryBrokenStreamGoesOnElsewhere(t *testing.T) {
	for _, kind := range []struct{ name, one, two string }{
		{"whole events", prepared.Event(1, ""), prepared.Event(2, "") + prepared.Event(3, "")},
		{"inside an event", "id: 1\ndata: to", "ken 1\n\n" + prepared.Event(2, "") + prepared.Event(3, "")},
	} {
		for _, e := range endingsOf(kind.one, kind.two) {
			t.Run(kind.name+", "+e.name, func(t *testing.T) {
				is := is.New(t)
				var asked atomic.Int32
				e.target.asked = &asked
				sound := engine("t-2", "decode")
				h := newTestHandler(t, "model", engine("t-1", "decode"), sound)
				h.startScripted(&e.target)
				for asked.Load() == 0 {
					a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...)
					is.NoErr(a.err)
					is.Equal(a.status, http.StatusOK)
					is.Equal(a.body, expectedStream(3))
				}
			})
		}
	}
}

// A target that sends bytes without end is left alone like any that fails.
func TestTargetThatNeverEndsIsLeftAlone(t *testing.T) {
	for i, script := range endlessScripts() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			var asked atomic.Int32
			script.asked = &asked
			h := newTestHandler(t, "model", engine("t-1", "decode"), engine("t-2", "decode"))
			h.startScripted(script)
			for asked.Load() < 2 {
				is.Equal(h.call(http.MethodPost, "/draft/a", "p", engineHeaders...).body, expectedStream(3))
			}
			for range 10 {
				is.Equal(h.call(http.MethodPost, "/draft/a", "p", engineHeaders...).body, expectedStream(3))
			}
			is.Equal(asked.Load(), int32(2))
		})
	}
}
