package route

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against weights whose sum ends the process with the first request of their route (LOST): it was divided by as a
// 32-bit number, and overflowed.
func TestEveryWeightSelectsAService(t *testing.T) {
	is := is.New(t)
	for _, weights := range [][]int{{1 << 32, 0}, {1 << 31, 1 << 31}, {math.MaxInt, math.MaxInt}, {math.MaxInt, 1}, {math.MinInt, 1}, {-1, -1}, {0, 0}, {1, 3}} {
		c := &Configuration{Services: []Service{{Name: "a"}, {Name: "b"}}, Routes: []Route{{Prefix: "/", Backends: []Backend{{Service: "a", Weight: weights[0]}, {Service: "b", Weight: weights[1]}}}}}
		table, err := NewTable(c)
		is.NoErr(err)
		picked := map[string]int{}
		for i := range 1000 {
			s := table.SelectService(&c.Routes[0], fmt.Sprint(i))
			is.True(s != nil)
			picked[s.Name]++
		}
		if weights[0] == weights[1] && weights[0] > 0 {
			is.True(picked["a"] > 400 && picked["b"] > 400)
		}
		if weights[0] == 1 {
			is.True(picked["a"] > 200 && picked["a"] < 300)
		}
	}
}
