package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWindowFollowsFirstTokens(t *testing.T) {
	is := is.New(t)
	w := NewWindow(time.Second)
	for w.Open() {
		w.Sent(4000)
	}
	is.Equal(w.starts, 6)
	now := start
	for range 6 {
		now = now.Add(windowRest)
		w.First(now, 4000, 2*time.Second)
	}
	shrunk := w.size
	is.True(shrunk < windowFirst/2)
	for range 100 {
		w.Sent(4000)
		w.First(now, 4000, 100*time.Millisecond)
	}
	is.True(w.size > shrunk)
	is.True(w.Open())
	is.Equal(w.under, 0.0)
}
