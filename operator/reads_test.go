package operator

import (
	"sync/atomic"
	"testing"

	"zinniapin/configuration"
	"zinniapin/internal/standin/objects"
)

// TestChangeReadsPartsOnce counts the reads of one change: each part once and
// the one left behind once more, and the root for the edit, for the acceptance
// and twice for the collection, which reads its list once.
func TestChangeReadsPartsOnce(t *testing.T) {
	r := newRig(t)
	const parts = 3 // the fleet and a bucket of each organisation
	var roots, lists, others atomic.Int64
	r.objects.SetFault(func(op objects.Operation, key string) objects.Verdict {
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
	r.ok("contract", "set", "acme", "weight=2")
	r.Equal(roots.Load(), int64(4))
	r.Equal(lists.Load(), int64(1))
	r.Equal(others.Load(), int64(parts+1))
}
