package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeWords is a table of seven settled controllers in which the others
// speak at will.
type storeWords struct {
	table  *Table
	others []Member
	now    time.Time
}

func newStoreWords(t *testing.T) *storeWords {
	is := is.New(t)
	w := &storeWords{now: time.Unix(1000, 0), others: make([]Member, 6)}
	w.table = New(controllerOn(0, 1), w.now)
	for i := range w.others {
		w.others[i] = controllerOn(i+1, uint64(i+2))
		is.True(w.table.Merge(w.now, 9, w.others[i].ToWire()))
	}
	for !w.table.Self().Settled {
		w.now = w.now.Add(time.Second)
		w.table.Tick(w.now)
	}
	return w
}

// speak lets each of the others say whether it reaches the store, and whether
// it tried in vain.
func (w *storeWords) speak(say func(i int) (reachable, failed bool)) {
	for i := range w.others {
		w.others[i].Beat++
		w.others[i].StoreReachable, w.others[i].StoreFailed = say(i)
		w.table.Merge(w.now, 9, w.others[i].ToWire())
	}
}

func (w *storeWords) down() (time.Duration, bool) { return w.table.StoreDown(w.now, 1) }

// TestWordThatTheStoreIsDownAges lets five of seven controllers say that the
// store is down and then fall silent, with this process paused in between.
func TestWordThatTheStoreIsDownAges(t *testing.T) {
	is := is.New(t)
	w := newStoreWords(t)
	up := func(int) (bool, bool) { return true, false }
	four := func(i int) (bool, bool) { return i >= 4, i < 4 }
	w.speak(up)
	_, down := w.down()
	is.True(!down)
	w.speak(four) // with this process, five of seven
	age, down := w.down()
	is.True(down)
	is.Equal(age, StoreFailureTTL)
	w.now = w.now.Add(40 * time.Second) // a pause
	w.table.Tick(w.now)
	age, down = w.down()
	is.True(!down || age > 39*time.Second)
	w.speak(four)
	age, down = w.down()
	is.True(down)
	is.Equal(age, StoreFailureTTL)
	for i := range w.others {
		next := controllerOn(i+1, uint64(i+100)) // restarted
		next.StoreReachable = true
		w.table.Merge(w.now, 9, next.ToWire())
		next.Beat++
		w.table.Merge(w.now.Add(time.Second), 9, next.ToWire())
	}
	_, down = w.table.StoreDown(w.now.Add(2*time.Second), 1)
	is.True(!down) // what former incarnations said does not count
}

// TestStoreIsDownOnlyByTrying checks that controllers which have not reached
// the store for long, and do not try, make no majority.
func TestStoreIsDownOnlyByTrying(t *testing.T) {
	is := is.New(t)
	w := newStoreWords(t)
	w.speak(func(i int) (bool, bool) { return false, i < 3 })
	_, down := w.down()
	is.True(!down)
	is.True(w.table.StoreFailed(w.now))
	w.speak(func(i int) (bool, bool) { return false, i < 4 })
	_, down = w.down()
	is.True(down)
}

// TestFewAreNoMajority checks that a controller that has just started, or that
// knows fewer others than its settings name, is not most of them.
func TestFewAreNoMajority(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := New(controllerOn(0, 1), now)
	table.Update(func(m *Member) { m.StoreFailed = true })
	_, down := table.StoreDown(now, 1)
	is.True(!down) // it may not know the others yet
	for !table.Self().Settled {
		now = now.Add(time.Second)
		table.Tick(now)
	}
	_, down = table.StoreDown(now, 1)
	is.True(down) // alone in the fleet
	_, down = table.StoreDown(now, 3)
	is.True(!down)
}
