package httpapi_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/platform"
	"zinniapin/provider"
	"zinniapin/provider/httpapi"
	"zinniapin/store"
	"zinniapin/target"
)

// timeout bounds the calls of these tests.
const timeout = 2 * time.Second

// unlimitedTargets is a stand-in provider that grants every order.
type unlimitedTargets struct{}

func (unlimitedTargets) Start(target.ID, provider.TargetOrder) (string, error) {
	return "127.0.0.1:1", nil
}
func (unlimitedTargets) ChecksFence() bool { return true }
func (unlimitedTargets) Stop(target.ID)    {}

// start starts a stand-in of the platform.
func start(t *testing.T) *platform.Server {
	t.Helper()
	p, err := platform.Start("127.0.0.1:0", platform.Options{Provider: unlimitedTargets{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// waitUntil polls until holds returns true, and fails the test after 10 s.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition never held")
		}
	}
}

func TestOrdersAreIdempotentAndReclaimable(t *testing.T) {
	is := is.New(t)
	p := start(t)
	targets, hosts := httpapi.NewTargets(p.URL(), timeout), httpapi.NewHosts(p.URL(), timeout)
	defer targets.Close()
	defer hosts.Close()
	o := provider.TargetOrder{ID: "o/1", Fence: 1, Zone: "z", Class: target.Reclaimable, Pool: "p", Count: 2}
	_, found, err := targets.Lookup(t.Context(), "o1")
	is.NoErr(err)
	is.True(!found)
	o.ID = "o1"
	p.SetFaults(platform.Faults{LoseAnswers: 1})
	_, err = targets.Order(t.Context(), o)
	is.True(errors.Is(err, store.ErrUnknown))
	result, found, err := targets.Lookup(t.Context(), "o1")
	is.NoErr(err)
	is.True(found)
	is.Equal(result.Accepted, 2)
	_, err = targets.Order(t.Context(), o)
	is.NoErr(err)
	waitUntil(t, func() bool { list, _ := hosts.List(t.Context()); return len(list) == 2 })
	is.Equal(p.Reclaim("z", 0), 2)
	waitUntil(t, func() bool {
		list, _ := hosts.List(t.Context())
		return len(list) == 2 && list[0].State == provider.Gone && list[1].State == provider.Gone
	})
	p.SetFaults(platform.Faults{Scarce: true})
	o.ID = "o2"
	result, err = targets.Order(t.Context(), o)
	is.NoErr(err)
	is.Equal(result.Accepted, 0)
	records := p.Records()
	is.Equal(len(records.Violations().Orders), 0)
}

// The platform accepts a repeated report. One that contradicts it is refused, and the
// stand-in of the platform records a violation.
func TestContradictingReportsAreRefusedAndRecorded(t *testing.T) {
	is := is.New(t)
	p := start(t)
	usage := httpapi.NewUsage(p.URL(), timeout)
	defer usage.Close()
	report := provider.UsageReport{Organisation: "x", Window: time.Unix(60, 0).UTC(), Length: time.Minute, Requests: 3}
	is.NoErr(usage.Report(t.Context(), "a", 1, []provider.UsageReport{report}))
	is.NoErr(usage.Report(t.Context(), "b", 2, []provider.UsageReport{report}))
	records := p.Records()
	is.Equal(len(records.Violations().Reports), 0)
	report.Requests = 4
	is.True(errors.Is(usage.Report(t.Context(), "b", 2, []provider.UsageReport{report}), store.ErrConflict))
	records = p.Records()
	is.Equal(len(records.Violations().Reports), 1)
	is.Equal(len(p.Usage()), 1)
	p.SetFaults(platform.Faults{Outage: true})
	is.True(errors.Is(usage.Report(t.Context(), "b", 2, nil), store.ErrUnavailable))
}

func TestStaleListHidesChanges(t *testing.T) {
	is := is.New(t)
	p := start(t)
	hosts := httpapi.NewHosts(p.URL(), timeout)
	defer hosts.Close()
	p.SetFaults(platform.Faults{StaleHosts: true})
	p.AddHost(provider.Host{ID: "h", State: provider.Live, Zone: "z"})
	list, err := hosts.List(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 0)
	p.SetFaults(platform.Faults{})
	list, err = hosts.List(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 1)
}

// One odd host made the list of hosts unreadable as a whole.
func TestOddHostCostsOnlyItself(t *testing.T) {
	is := is.New(t)
	answer := `[{"id":"a","state":"live","target":{"id":"t","address":"10.0.0.1:80"}},
	 {"id":"deep","state":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `},null,7,{"id":1},
	 {"id":"port","state":"live","target":{"id":"u","address":"10.0.0.2:99999"}},{"id":"z","state":"gone"}]`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
	defer s.Close()
	hosts := httpapi.NewHosts(s.URL, timeout)
	defer hosts.Close()
	all, err := hosts.List(t.Context())
	is.NoErr(err)
	is.Equal(len(all), 2)
	is.Equal(all[0].Target.ID, target.ID("t"))
	is.Equal(all[1].ID, "z")
	answer = `null`
	_, err = hosts.List(t.Context())
	is.True(err != nil) // no list is not an empty one
}
