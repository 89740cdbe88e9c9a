package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/store"
)

// After the returned wait a token must be available. With floating-point tokens the
// wait was too short by a rounding error at this rate and gap.
func TestTokenIsAvailableAfterWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLimiter(now, 500, 1)
	_, ok := l.Take(now, store.PurposeClaim)
	is.True(ok)
	now = now.Add(2)
	wait, ok := l.Take(now, store.PurposeClaim)
	is.True(!ok)
	_, ok = l.Take(now.Add(wait), store.PurposeClaim)
	is.True(ok)
}
