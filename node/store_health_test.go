package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// begun is when an outage begins in these tests.
var begun = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// after returns a time in seconds from the begin.
func after(seconds float64) time.Time {
	return begun.Add(time.Duration(seconds * float64(time.Second)))
}

// outageOf returns what a host makes of an outage of five seconds in which the
// store answered a peer at some times.
func outageOf(answers ...float64) outage {
	r := &reach{}
	r.succeeded(after(-0.5))
	r.failed(after(0))
	for _, at := range answers {
		r.peerAnswered(after(at))
	}
	return r.succeeded(after(5))
}

// The store was away for all hosts: a peer that reached it some milliseconds
// earlier does not make the outage this host's own, so entries that lapsed in
// it may come back.
func TestPeerThatIsBackEarlierWasNotSpared(t *testing.T) {
	is := is.New(t)
	for _, answers := range [][]float64{nil, {4.99}, {4.3}, {-0.4}, {-0.4, 0.05, 4.9}} {
		o := outageOf(answers...)
		is.True(!o.own)
		is.True(o.lapsing())
		is.Equal(o.lasted, 5500*time.Millisecond) // from the last answer
	}
}

// A peer that the store went on answering shows that no entry lapsed.
func TestPeerThatWasAnsweredMeanwhileWasSpared(t *testing.T) {
	is := is.New(t)
	for _, answers := range [][]float64{{0.5}, {2, 4.9}, {-0.4, 3.5}} {
		o := outageOf(answers...)
		is.True(o.own)
		is.True(!o.lapsing())
	}
}

// Short failures let no entry lapse, and a next outage begins anew.
func TestOutagesAreJudgedOneByOne(t *testing.T) {
	is := is.New(t)
	r := &reach{}
	is.Equal(r.succeeded(after(0)), outage{})
	r.failed(after(0.1))
	r.peerAnswered(after(0.3))
	is.True(!r.succeeded(after(0.5)).lapsing())
	r.failed(after(10))
	is.True(r.succeeded(after(15)).lapsing())
	r.failed(after(20))
	r.standby() // this host stops calling the store
	is.True(r.ok())
	is.Equal(r.succeeded(after(30)), outage{})
}
