package usage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/authority"
	_ "zinniapin/internal/fixedseed"
	"zinniapin/internal/standin/objects"
	"zinniapin/provider"
	"zinniapin/store"
	"zinniapin/target"
)

// fakeUsageAPI is a fake of the platform's interface for usage reports. It delays and
// loses answers, and checks that a repeated report has the same figures and that one
// process at a time reports a shard.
type fakeUsageAPI struct {
	mu       sync.Mutex
	rng      *rand.Rand
	received map[string]provider.UsageReport // by organisation and start of the window
	sending  [2]string                       // process that sends a report at present, by shard; empty if none
	problems []string                        // violations found
	late     uint64                          // late usage of all organisations, set by total
}

func newFakeUsageAPI(seed uint64) *fakeUsageAPI {
	return &fakeUsageAPI{rng: rand.New(rand.NewPCG(seed, 5)), received: map[string]provider.UsageReport{}}
}

func (f *fakeUsageAPI) Report(_ context.Context, author string, _ uint64, reports []provider.UsageReport) error {
	shard := ShardOf(reports[0].Organisation, len(f.sending))
	f.mu.Lock()
	if other := f.sending[shard]; other != "" && other != author {
		f.problems = append(f.problems, author+" sends while "+other+" does")
	}
	f.sending[shard] = author
	delay, fault := time.Duration(f.rng.IntN(20))*time.Second, f.rng.IntN(5)
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sending[shard] = ""
	if fault == 0 {
		return target.ErrNotSent
	}
	for _, r := range reports {
		key := fmt.Sprint(r.Organisation, r.Window.Unix())
		if old, known := f.received[key]; known && old != r {
			f.problems = append(f.problems, fmt.Sprintf("%v then %v", old, r))
		}
		f.received[key] = r
	}
	if fault == 1 {
		return target.ErrIncomplete
	}
	return nil
}

// total returns the usage reported for an organisation. It sets late to the late usage of
// all organisations.
func (f *fakeUsageAPI) total(organisation string) Amount {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum Amount
	f.late = 0
	for _, r := range f.received {
		f.late += r.Late
		if r.Organisation == organisation {
			sum = sum.Add(Amount{r.Requests, r.PromptTokens, r.OutputTokens, r.Calls})
		}
	}
	return sum
}

// fakeLiveness is a Liveness in which tests store the authors that have ended.
type fakeLiveness struct{ sync.Map }

func (e *fakeLiveness) AuthorEnded(author string) bool { _, ended := e.Load(author); return ended }
func (e *fakeLiveness) TargetGone(string) bool         { return false }

// testSystem is two controllers, which are killed at random, with one faulty object
// API.
type testSystem struct {
	seed      uint64
	api       *objects.Store
	usageAPI  *fakeUsageAPI
	liveness  fakeLiveness
	options   Options
	mu        sync.Mutex
	storeDown bool // the object API refuses all calls
	rng       *rand.Rand
}

func newTestSystem(seed uint64) *testSystem {
	s := &testSystem{
		seed:     seed,
		api:      objects.New(),
		usageAPI: newFakeUsageAPI(seed),
		options:  Options{Shards: 2, Grace: 10 * time.Second},
		rng:      rand.New(rand.NewPCG(seed, 3)),
	}
	s.api.SetFault(s.fault)
	return s
}

func (s *testSystem) fault(objects.Operation, string) objects.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		return objects.Refuse
	}
	if s.rng.IntN(6) > 0 {
		return objects.Pass
	}
	verdicts := []objects.Verdict{objects.Refuse, objects.LoseAnswer, objects.LoseRequest, objects.Late}
	return verdicts[s.rng.IntN(len(verdicts))]
}

func (s *testSystem) setStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
}

// controller runs a controller until the context ends. The controller is killed and
// replaced at random.
func (s *testSystem) controller(ctx context.Context, n int, current *Windows, replace func(*Windows)) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(n)+10))
	name := fmt.Sprint("controller", n)
	x := authority.NewExecutor(s.api, name, &s.liveness, authority.Options{})
	for k := 0; ctx.Err() == nil; k++ {
		for shard := range s.options.Shards {
			_, _ = current.FreezeDue(ctx, shard)
			reportCtx, cancel := context.WithTimeout(ctx, 3*time.Minute)
			_, _ = current.Report(reportCtx, shard, x, s.usageAPI)
			cancel()
		}
		s.api.DeliverLate()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
		if rng.IntN(30) == 0 {
			x.Close()
			s.liveness.Store(name, true)
			name = fmt.Sprint("controller", n, "-", k)
			x = authority.NewExecutor(s.api, name, &s.liveness, authority.Options{})
			current = NewWindows(s.api, s.options)
			replace(current)
		}
	}
	x.Close()
}

// run lets three gateways count usage in 200 steps, waits for the reports, and returns
// the usage counted, the usage that was lost because it was only in the memory of killed
// gateways, and the usage reported.
func (s *testSystem) run(killGateways bool, outage time.Duration) (counted, unstored, reported Amount) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var controllers [2]*Windows
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range controllers {
		controllers[n] = NewWindows(s.api, s.options)
		wg.Go(func() {
			mu.Lock()
			current := controllers[n]
			mu.Unlock()
			s.controller(ctx, n, current, func(w *Windows) {
				mu.Lock()
				defer mu.Unlock()
				controllers[n] = w
			})
		})
	}
	push := func(rng *rand.Rand, l *Ledger) {
		mu.Lock()
		w := controllers[rng.IntN(2)]
		mu.Unlock()
		pushCtx, stop := context.WithTimeout(ctx, 4*time.Second)
		defer stop()
		stored, _ := w.Push(pushCtx, l.Unstored())
		l.MarkStored(time.Now(), stored)
	}
	var gateways sync.WaitGroup
	for g := range 3 {
		gateways.Go(func() {
			rng := rand.New(rand.NewPCG(s.seed, uint64(g)+100))
			l := NewLedger(fmt.Sprint("gateway", g))
			partitionedUntil := 0 // step until which the gateway cannot reach the controllers
			for k := range 200 {
				if !killGateways && rng.IntN(60) == 0 {
					partitionedUntil = k + 90
				}
				a := Amount{Requests: 1, PromptTokens: uint64(rng.IntN(900)), OutputTokens: 7}
				l.Add(time.Now(), fmt.Sprint("org", rng.IntN(4)), a)
				mu.Lock()
				counted = counted.Add(a)
				mu.Unlock()
				time.Sleep(time.Second)
				if k%2 == 0 && k > partitionedUntil {
					push(rng, l)
				}
				if k == 60 && outage > 0 && g == 0 {
					s.setStoreDown(true)
					time.AfterFunc(outage, func() { s.setStoreDown(false) })
				}
				if killGateways && rng.IntN(100) == 0 {
					mu.Lock()
					for _, c := range l.Unstored() {
						unstored = unstored.Add(c.Amount.subtract(l.counters[counterIDOf(c)].stored))
					}
					mu.Unlock()
					l = NewLedger(fmt.Sprint("gateway", g, "-", k))
				}
			}
			for len(l.Unstored()) > 0 {
				push(rng, l)
				time.Sleep(time.Second)
			}
		})
	}
	gateways.Wait()
	time.Sleep(3 * time.Hour) // windows are frozen and reported
	cancel()
	wg.Wait()
	for n := range 4 {
		reported = reported.Add(s.usageAPI.total(fmt.Sprint("org", n)))
	}
	return counted, unstored, reported
}

// TestUsageIsReportedExactly checks that exactly the usage counted is reported, and that
// reports do not change, while controllers are killed and the object API has faults.
func TestUsageIsReportedExactly(t *testing.T) {
	late := uint64(0)
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSystem(seed)
			counted, _, reported := s.run(false, 0)
			is.Equal(len(s.usageAPI.problems), 0)
			is.Equal(reported, counted)
			late += s.usageAPI.late
		})
	}
	t.Logf("%d requests were reported late", late)
	is.New(t).True(late > 0)
}

// TestUsageOutlastsOutage checks that exactly the usage counted is reported after the
// object API was unavailable for half an hour.
func TestUsageOutlastsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSystem(1)
		counted, _, reported := s.run(false, 30*time.Minute)
		is.Equal(len(s.usageAPI.problems), 0)
		is.Equal(reported, counted)
		t.Logf("%d of %d requests were reported late", s.usageAPI.late, counted.Requests)
	})
}

// TestUsageLossOfKilledGateways checks that, when gateways are killed, no more usage is
// reported than was counted, and that at most the usage is missing that was only in the
// memory of killed gateways. It logs the amounts.
func TestUsageLossOfKilledGateways(t *testing.T) {
	var counted, unstored, reported Amount
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSystem(seed)
			c, u, r := s.run(true, 0)
			is.Equal(len(s.usageAPI.problems), 0)
			is.Equal(c.Max(r), c)             // no more is reported than was counted
			is.Equal(r.Max(c.subtract(u)), r) // at most what was only in memory is missing
			counted, unstored, reported = counted.Add(c), unstored.Add(u), reported.Add(r)
		})
	}
	t.Logf("requests: %d counted, %d reported, %d in memory when killed",
		counted.Requests, reported.Requests, unstored.Requests)
}

// TestLateUsageIsStoredOnce checks that usage of a frozen window is stored in the next
// open window, once, even if several controllers store it.
func TestLateUsageIsStoredOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	api := objects.New()
	now := time.Unix(1_800_000_000, 0).UTC()
	start := now.Truncate(time.Minute)
	options := Options{Shards: 1, CommitEvery: 1, Now: func() time.Time { return now }}
	a, b := NewWindows(api, options), NewWindows(api, options)
	c := Counter{Gateway: "g", Organisation: "o", Window: start, Amount: Amount{Requests: 5}}
	_, err := a.Push(ctx, []Counter{c})
	is.NoErr(err)
	now = now.Add(2 * time.Minute)
	frozen, err := b.FreezeDue(ctx, 0)
	is.NoErr(err)
	is.Equal(frozen, 1)
	c.Amount.Requests = 8
	for _, w := range []*Windows{a, b, a, NewWindows(api, options)} {
		stored, err := w.Push(ctx, []Counter{c})
		is.NoErr(err)
		is.Equal(len(stored), 1)
	}
	now = now.Add(time.Minute)
	_, err = a.FreezeDue(ctx, 0)
	is.NoErr(err)
	first, err := a.readWindow(ctx, 0, start.Unix())
	is.NoErr(err)
	second, err := a.readWindow(ctx, 0, start.Unix()+60)
	is.NoErr(err)
	is.Equal(first.window.usageReports(time.Minute)[0].Requests, uint64(5))
	is.Equal(second.window.usageReports(time.Minute)[0].Requests, uint64(3))
	is.Equal(second.window.usageReports(time.Minute)[0].Late, uint64(3))
}

// TestPendingIsBounded checks that the number of counters in memory is bounded while
// the object API is unavailable.
func TestPendingIsBounded(t *testing.T) {
	is := is.New(t)
	api := objects.New()
	api.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
	w := NewWindows(api, Options{Shards: 1, MaxPending: 3, CommitEvery: 1})
	for n := range 9 {
		c := Counter{Gateway: "g", Organisation: fmt.Sprint(n % 5), Window: time.Unix(60, 0)}
		stored, err := w.Push(context.Background(), []Counter{c})
		is.Equal(len(stored), 0)
		is.True(errors.Is(err, store.ErrUnavailable))
	}
	is.Equal(w.Pending(), 3)
}

// TestWindowEncoding checks that a window is the same after it is encoded and decoded,
// and that truncated values do not make the decoder panic.
func TestWindowEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWindow(rapid.Int64Range(0, 1<<33).Draw(t, "start"))
		w.frozen = rapid.Bool().Draw(t, "frozen")
		for range rapid.IntRange(0, 20).Draw(t, "entries") {
			id := counterID{
				gateway:      rapid.SampledFrom([]string{"g1", "g2", "g3"}).Draw(t, "gateway"),
				organisation: rapid.StringN(0, 5, 9).Draw(t, "organisation"),
				origin:       w.start - 60*rapid.Int64Range(0, 2).Draw(t, "late"),
			}
			base := Amount{}
			if id.origin != w.start {
				base.Calls = rapid.Uint64().Draw(t, "base")
			}
			w.merge(id, Amount{Requests: rapid.Uint64().Draw(t, "requests")}, base)
		}
		value := w.encode()
		got, err := decodeWindow(value)
		if err != nil || fmt.Sprint(*got) != fmt.Sprint(*w) {
			t.Fatalf("%v: %v, want %v", err, got, w)
		}
		_, _ = decodeWindow(value[:rapid.IntRange(0, len(value)).Draw(t, "cut")]) // must not panic
	})
}

// TestWindowSizes checks the encoded size of a shard's window at the design load, and
// with 250 organisations each active at all of 390 gateways.
func TestWindowSizes(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	size := func(counters int) int {
		w := newWindow(1_800_000_000)
		for n := range counters {
			id := counterID{fmt.Sprintf("host-%03d/gateway/%016x", n%390, uint64(n%390)*0x9E3779B97F4A7C15), fmt.Sprintf("organisation-%05d", n/390), w.start}
			w.merge(id, Amount{Requests: 1 + rng.Uint64N(9), PromptTokens: rng.Uint64N(20000), OutputTokens: rng.Uint64N(4000)}, Amount{})
		}
		return len(w.encode())
	}
	// 7,300 requests per second for a minute over 64 shards, with a counter each.
	typical := 7300 * 60 / DefaultShards
	dense := 390 * 250
	t.Logf("%d counters: %d bytes; %d counters: %d bytes", typical, size(typical), dense, size(dense))
	is.True(size(typical) < store.MaxValueBytes/8)
	is.True(size(dense) < store.MaxValueBytes)
}
