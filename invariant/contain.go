package invariant

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"testing"
)

// Contain keeps a panic within what serves one request, call or connection from ending the process, and with it all
// others in progress. It must be deferred by the outermost function of each goroutine that serves one, before what
// releases its resources. A panic is reported as a violation of the invariant no_panic, with its stack; in tests it
// therefore goes on. Then after is called, unless it is nil, to end what was being served.
func Contain(what string, after func()) {
	cause := recover()
	if cause == nil {
		return
	}
	reportViolation("no_panic", fmt.Sprintf("%s: %v\n%s", what, cause, debug.Stack()))
	if after != nil {
		after()
	}
}

// tolerated is the number of tests that provoke violations at present.
var tolerated atomic.Int32

// Tolerate makes violations be counted and logged only, as outside of tests, until a test ends that provokes them.
func Tolerate(t testing.TB) {
	tolerated.Add(1)
	t.Cleanup(func() { tolerated.Add(-1) })
}
