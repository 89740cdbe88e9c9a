package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"zinniapin/forward"
)

// A caller takes up a stream after its third event, and a target begins with the first one again. The answer has no
// event twice: the stream goes on at another target, or breaks off.
func TestTakenUpStreamRepeatsNoEvent(t *testing.T) {
	is := is.New(t)
	resume := append([]string{"Last-Event-Id: 3", "Resumes: first"}, engineHeaders...)
	odd, sound := versioned("d-1", "v1"), versioned("d-2", "v1")
	odd.FromStart = true
	h := newTestHandler(t, "model", odd, sound)
	h.origins.Began(t.Context(), "model", "first", forward.StreamOrigin{Version: "v1"}, 0)
	for range 20 { // until the odd target has been tried first
		a := h.call(http.MethodPost, "/draft/a", "p", resume...)
		is.NoErr(a.err)
		is.Equal(a.body, streamOf("v1", 4, 6))
		if odd.Runs() > 0 {
			break
		}
	}
	is.True(odd.Runs() > 0)

	alone := versioned("d-3", "v1")
	alone.FromStart = true
	h = newTestHandler(t, "model", alone)
	h.origins.Began(t.Context(), "model", "first", forward.StreamOrigin{Version: "v1"}, 0)
	a := h.call(http.MethodPost, "/draft/a", "p", resume...)
	is.True(a.err != nil || a.status != http.StatusOK)
}
