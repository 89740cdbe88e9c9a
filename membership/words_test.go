package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWordThatTheStoreIsDownAges lets five of seven controllers say that the
// store is down and then fall silent, with this process paused in between.
func TestWordThatTheStoreIsDownAges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := New(controllerOn(0, 1), now)
	others := make([]Member, 6)
	for i := range others {
		others[i] = controllerOn(i+1, uint64(i+2))
		is.True(table.Merge(now, 9, others[i].ToWire()))
	}
	speak := func(reachable bool) {
		for i := range others {
			others[i].Beat++
			others[i].StoreReachable = reachable || i >= 4
			table.Merge(now, 9, others[i].ToWire())
		}
	}
	speak(true)
	_, down := table.StoreDown(now)
	is.True(!down)
	speak(false) // with this process, five of seven
	age, down := table.StoreDown(now)
	is.True(down)
	is.Equal(age, time.Duration(0))
	now = now.Add(40 * time.Second) // a pause
	table.Tick(now)
	age, down = table.StoreDown(now)
	is.True(!down || age > 39*time.Second)
	speak(false)
	age, down = table.StoreDown(now)
	is.True(down)
	is.Equal(age, time.Duration(0))
	for i := range others {
		next := controllerOn(i+1, uint64(i+100)) // restarted
		next.StoreReachable = true
		table.Merge(now, 9, next.ToWire())
		next.Beat++
		table.Merge(now.Add(time.Second), 9, next.ToWire())
	}
	_, down = table.StoreDown(now.Add(2 * time.Second))
	is.True(!down) // what former incarnations said does not count
	_, down = New(controllerOn(0, 1), now).StoreDown(now)
	is.True(down) // alone in the fleet
}
