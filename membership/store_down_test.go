package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeReports has the settled table of one of seven controllers and can merge
// reports of the other six.
type storeReports struct {
	table  *Table
	others []Member
	now    time.Time
}

func newStoreReports(t *testing.T) *storeReports {
	is := is.New(t)
	s := &storeReports{now: time.Unix(1000, 0), others: make([]Member, 6)}
	s.table = New(controllerOn(0, 1), s.now)
	for i := range s.others {
		s.others[i] = controllerOn(i+1, uint64(i+2))
		is.True(s.table.Merge(s.now, 9, s.others[i].ToWire()))
	}
	for !s.table.Self().Settled {
		s.now = s.now.Add(time.Second)
		s.table.Tick(s.now)
	}
	return s
}

// reportStore merges a new beat of each of the others, which reports whether it
// reaches the object API and whether a call of it failed.
func (s *storeReports) reportStore(report func(i int) (reachable, failed bool)) {
	for i := range s.others {
		s.others[i].Beat++
		s.others[i].StoreReachable, s.others[i].StoreFailed = report(i)
		s.table.Merge(s.now, 9, s.others[i].ToWire())
	}
}

func (s *storeReports) storeDown() (time.Duration, bool) { return s.table.StoreDown(s.now, 1) }

// TestReportsOfStoreFailureAge guards against old reports that pass for new
// ones: five of seven controllers report that they cannot reach the object API,
// four of them after a failed call, then this process pauses for 40 s. The
// reports must age by the pause, and those of former incarnations must not count.
func TestReportsOfStoreFailureAge(t *testing.T) {
	is := is.New(t)
	s := newStoreReports(t)
	up := func(int) (bool, bool) { return true, false }
	fourFailed := func(i int) (bool, bool) { return i >= 4, i < 4 }
	s.reportStore(up)
	_, down := s.storeDown()
	is.True(!down)
	s.reportStore(fourFailed) // with this process, which has not reached it either, five of seven
	age, down := s.storeDown()
	is.True(down)
	is.Equal(age, StoreFailureTTL)
	s.now = s.now.Add(40 * time.Second) // a pause
	s.table.Tick(s.now)
	age, down = s.storeDown()
	is.True(!down || age > 39*time.Second)
	s.reportStore(fourFailed)
	age, down = s.storeDown()
	is.True(down)
	is.Equal(age, StoreFailureTTL)
	for i := range s.others {
		next := controllerOn(i+1, uint64(i+100)) // restarted
		next.StoreReachable = true
		s.table.Merge(s.now, 9, next.ToWire())
		next.Beat++
		s.table.Merge(s.now.Add(time.Second), 9, next.ToWire())
	}
	_, down = s.table.StoreDown(s.now.Add(2*time.Second), 1)
	is.True(!down) // reports of former incarnations do not count
}

// TestStoreIsDownOnlyAfterFailedCalls checks that the object API does not count as down
// on the reports of controllers that have not reached it, unless enough of them
// have a failed call.
func TestStoreIsDownOnlyAfterFailedCalls(t *testing.T) {
	is := is.New(t)
	s := newStoreReports(t)
	s.reportStore(func(i int) (bool, bool) { return false, i < 3 })
	_, down := s.storeDown()
	is.True(!down)
	is.True(s.table.StoreFailed(s.now))
	s.reportStore(func(i int) (bool, bool) { return false, i < 4 })
	_, down = s.storeDown()
	is.True(down)
}

// TestFewAreNoMajority checks that a controller that has just started, or that
// knows fewer controllers than its settings list, is no majority by itself.
func TestFewAreNoMajority(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := New(controllerOn(0, 1), now)
	table.Update(func(m *Member) { m.StoreFailed = true })
	_, down := table.StoreDown(now, 1)
	is.True(!down) // not settled: it may not know the others yet
	for !table.Self().Settled {
		now = now.Add(time.Second)
		table.Tick(now)
	}
	_, down = table.StoreDown(now, 1)
	is.True(down) // the only controller of the fleet
	_, down = table.StoreDown(now, 3)
	is.True(!down)
}
