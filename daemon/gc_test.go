package daemon

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

func TestEnvironmentOverridesGCPercent(t *testing.T) {
	is := is.New(t)
	before := debug.SetGCPercent(100)
	defer debug.SetGCPercent(before)
	t.Setenv("GOGC", "100")
	SetGCPercent(50)
	is.Equal(debug.SetGCPercent(100), 100)
	t.Setenv("GOGC", "")
	SetGCPercent(50)
	is.Equal(debug.SetGCPercent(100), 50)
}
