package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/dispatch"
)

// A peer tells of prompts with the same shared part again and again, each twice. The part counts as cached as
// long as that goes on, and ceases to some time after.
func TestRepeatedMarksKeepAPartCached(t *testing.T) {
	is := is.New(t)
	all := engines(0, 1, "a")
	p := planner(all, 1)
	const every, told = 100 * time.Millisecond, 30 * time.Second
	uncached := func(at time.Duration) int { return p.Plan(start.Add(at), job(400, 100, 7), nil).UncachedTokens }
	for at := time.Duration(0); at < told; at += every {
		p.MarkCached(start.Add(at), dispatch.KeyOf(all[0].ID), []uint32{7})
		p.MarkCached(start.Add(at+every/2), dispatch.KeyOf(all[0].ID), []uint32{7})
		is.Equal(uncached(at), 100)
	}
	is.Equal(uncached(told+dispatch.DefaultPolicy().CacheTTL-time.Second), 100)
	is.Equal(uncached(told+dispatch.DefaultPolicy().CacheTTL+time.Second), 500)
	p.MarkCached(start.Add(2*told), dispatch.KeyOf(all[0].ID), nil) // says nothing
}
