package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// outageStart is when the outage begins in these tests.
var outageStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// atSecond returns the time that many seconds after outageStart.
func atSecond(seconds float64) time.Time {
	return outageStart.Add(time.Duration(seconds * float64(time.Second)))
}

// outageWithPeerAnswers returns the outage that a host records when its calls fail
// for five seconds while the store answers a peer at the given times, in seconds
// after outageStart.
func outageWithPeerAnswers(answers ...float64) outage {
	health := &storeHealth{}
	health.recordSuccess(atSecond(-0.5))
	health.recordFailure(atSecond(0))
	for _, at := range answers {
		health.recordPeerAnswer(atSecond(at))
	}
	return health.recordSuccess(atSecond(5))
}

// The store was down for all hosts. A peer that reached it again slightly earlier
// than this host does not make the outage a local one, so entries may have lapsed
// and may reappear.
func TestOutageOfAllHostsIsNotLocal(t *testing.T) {
	is := is.New(t)
	for _, answers := range [][]float64{nil, {4.99}, {4.3}, {-0.4}, {-0.4, 0.05, 4.9}} {
		o := outageWithPeerAnswers(answers...)
		is.True(!o.local)
		is.True(o.mayHaveLapsedEntries())
		is.Equal(o.duration, 5500*time.Millisecond) // from the last answer
	}
}

// If the store went on answering a peer during the outage, the outage is local and
// no entry lapsed because of it.
func TestOutageWithAnsweredPeerIsLocal(t *testing.T) {
	is := is.New(t)
	for _, answers := range [][]float64{{0.5}, {2, 4.9}, {-0.4, 3.5}} {
		o := outageWithPeerAnswers(answers...)
		is.True(o.local)
		is.True(!o.mayHaveLapsedEntries())
	}
}

// An outage shorter than minLapseOutage makes no entries lapse, and each outage is
// judged without regard to earlier ones.
func TestOutagesAreJudgedOneByOne(t *testing.T) {
	is := is.New(t)
	health := &storeHealth{}
	is.Equal(health.recordSuccess(atSecond(0)), outage{})
	health.recordFailure(atSecond(0.1))
	health.recordPeerAnswer(atSecond(0.3))
	is.True(!health.recordSuccess(atSecond(0.5)).mayHaveLapsedEntries())
	health.recordFailure(atSecond(10))
	is.True(health.recordSuccess(atSecond(15)).mayHaveLapsedEntries())
	health.recordFailure(atSecond(20))
	health.recordStandby() // this host makes no more calls
	is.True(health.reachable())
	is.Equal(health.recordSuccess(atSecond(30)), outage{})
}
