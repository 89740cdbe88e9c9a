package operator

import (
	"sync/atomic"
	"testing"

	"zinniapin/configuration"
	"zinniapin/internal/standin/objects"
)

// TestChangeReadsPartsOnce counts the reads of one change. Each part is read once, and the
// part that the change replaces once more by the garbage collection. The root is read when
// the proposal is built, when it is accepted and twice by the collection, which reads the
// list of unreferenced parts once.
func TestChangeReadsPartsOnce(t *testing.T) {
	cli := newTestCLI(t)
	const parts = 3 // the fleet, and the buckets of two organisations
	var roots, lists, others atomic.Int64
	cli.objects.SetFault(func(op objects.Operation, key string) objects.Verdict {
		switch {
		case op != objects.Get:
		case key == configuration.RootKey:
			roots.Add(1)
		case key == configuration.UnreferencedKey:
			lists.Add(1)
		default:
			others.Add(1)
		}
		return objects.Pass
	})
	cli.ok("contract", "set", "acme", "weight=2")
	cli.Equal(roots.Load(), int64(4))
	cli.Equal(lists.Load(), int64(1))
	cli.Equal(others.Load(), int64(parts+1))
}
