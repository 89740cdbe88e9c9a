package usage

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/authority"
	"zinniapin/internal/standin/objects"
	"zinniapin/store"
)

// TestOldWindowsAreDeleted checks, over three days of windows, that the number of
// stored windows stays bounded, that usage is reported once, and that later usage of a
// deleted window does not create that window again.
func TestOldWindowsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, platform := objects.New(), newFakeUsageAPI(1)
		w := NewWindows(api, Options{Shards: 1})
		x := authority.NewExecutor(api, "self", &fakeLiveness{}, authority.Options{})
		defer x.Close()
		first := time.Now().UTC().Truncate(time.Minute)
		c := Counter{Gateway: "gateway", Organisation: "org", Window: first, Amount: Amount{Requests: 1}}
		_, err := w.Push(t.Context(), []Counter{c})
		is.NoErr(err)
		time.Sleep(72 * time.Hour)
		_, err = w.FreezeDue(t.Context(), 0)
		is.NoErr(err)
		_, err = w.Report(t.Context(), 0, x, platform)
		is.NoErr(err)
		is.Equal(platform.total("org").Requests, uint64(1))
		kept, err := api.List(t.Context(), store.PurposeStatus, Prefix)
		is.NoErr(err)
		is.True(len(kept) <= retainedWindows+2)
		c.Amount.Requests = 2
		_, err = w.Push(t.Context(), []Counter{c})
		is.NoErr(err)
		after, err := api.List(t.Context(), store.PurposeStatus, Prefix)
		is.NoErr(err)
		is.Equal(len(after), len(kept))
		for _, object := range after {
			is.True(!strings.HasSuffix(object.Key, windowKey(0, first)))
		}
	})
}
