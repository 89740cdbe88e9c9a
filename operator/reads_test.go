package operator

import (
	"sync/atomic"
	"testing"

	"zinniapin/configuration"
	"zinniapin/internal/standin/objects"
)

// TestChangeReadsPartsOnce counts the reads of one change: each part once,
// and the root for the edit and for the acceptance.
func TestChangeReadsPartsOnce(t *testing.T) {
	r := newRig(t)
	const parts = 3 // the fleet and a bucket of each organisation
	var roots, others atomic.Int64
	r.objects.SetFault(func(op objects.Operation, key string) objects.Verdict {
		switch {
		case op != objects.Get:
		case key == configuration.RootKey:
			roots.Add(1)
		default:
			others.Add(1)
		}
		return objects.Pass
	})
	r.ok("contract", "set", "acme", "weight=2")
	r.Equal(roots.Load(), int64(2))
	r.Equal(others.Load(), int64(parts))
}
