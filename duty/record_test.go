package duty_test

import (
	"testing"

	"github.com/matryer/is"

	"zinniapin/duty"
)

// A fence that another writer had set to the highest number made the next one 0.
func TestSpoiledRecordNamesNoHolder(t *testing.T) {
	is := is.New(t)
	r, err := duty.Decode([]byte(`{"holder":"a","incarnation":1,"fence":7}`), 8)
	is.NoErr(err)
	is.True(!r.Outdated(8))
	for _, text := range []string{"", "null", "[]", `"a"`, "{}", `{"fence":18446744073709551615}`, `{"fence":1e400}`, `{"fence":9}`, `{"fence":-1}`, `{"fence":7,"windows":{"1":{"a":-1}}}`} {
		r, err := duty.Decode([]byte(text), 8)
		is.True(err != nil)
		is.True(r.Outdated(8))
		next := r.Claim("b", 2, 8, 7, 40)
		is.Equal(next.Fence, uint64(9))
		is.Equal(next.DueFrom, uint64(40)) // earlier windows may have been reported
	}
}
