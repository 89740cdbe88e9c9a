package wire

import (
	"testing"

	"github.com/matryer/is"

	"zinniapin/control"
)

// TestColumnsRoundTrip encodes demands and grants in columns and decodes them.
// Each row must keep its organisation's values, and an organisation without a
// grant must get none. Granted rates are rounded down to float32, so that the
// grants together never exceed the limits. A column that is too short counts as
// 0, and a term without an organisation is ignored.
func TestColumnsRoundTrip(t *testing.T) {
	is := is.New(t)
	demands := []control.Demand{{Organisation: "a", RequestsPerSecond: 0.5, Concurrency: 2, TokensPerMinute: 100}, {Organisation: "b"}, {Organisation: "c", RequestsPerSecond: 3}}
	columns := FromDemands(demands)
	for i, d := range columns.ToDemands() {
		is.Equal(d.ToDemand(), demands[i])
	}
	is.Equal(len(ColumnsOf(columns.ToDemands()).ToDemands()), 3)
	grants := []*Grant{{Organisation: "c", ConfigRevision: 7, RequestsPerSecond: 0.1, Concurrency: 3, TokensPerMinute: 1e6 / 3.0, TermMs: 60_000},
		{Organisation: "a", ConfigRevision: 7, RequestsPerSecond: 0.3, TermMs: 3_000}}
	got := FromGrants(columns.Organisations, grants).ToGrants(columns.Organisations)
	is.Equal(len(got), 2) // none for b
	is.Equal(got[0].Organisation, "a")
	is.Equal(got[0].TermMs, int64(3_000))
	is.Equal(got[1].ConfigRevision, uint64(7))
	is.Equal(got[1].Concurrency, int32(3))
	is.True(got[1].RequestsPerSecond <= 0.1 && got[1].RequestsPerSecond > 0.0999999)
	is.True(got[1].TokensPerMinute <= 1e6/3.0)
	short := &DemandColumns{Organisations: []string{"a", "b"}, RequestsPerSecond: []float32{1}}
	is.Equal(short.ToDemands()[1].RequestsPerSecond, 0.0)
	is.Equal(len((&GrantColumns{TermS: []uint32{3, 3}}).ToGrants([]string{"a"})), 1)
}
