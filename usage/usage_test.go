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

// desk is a fake usage-report interface. It delays and loses answers, and
// checks that figures never change and that one process sends at a time.
type desk struct {
	mu       sync.Mutex
	rng      *rand.Rand
	taken    map[string]provider.UsageReport
	sending  [2]string // author by shard
	problems []string
	late     uint64
}

func newDesk(seed uint64) *desk {
	return &desk{rng: rand.New(rand.NewPCG(seed, 5)), taken: map[string]provider.UsageReport{}}
}

func (d *desk) Report(_ context.Context, author string, _ uint64, reports []provider.UsageReport) error {
	shard := ShardOf(reports[0].Organisation, len(d.sending))
	d.mu.Lock()
	if other := d.sending[shard]; other != "" && other != author {
		d.problems = append(d.problems, author+" sends while "+other+" does")
	}
	d.sending[shard] = author
	delay, fate := time.Duration(d.rng.IntN(20))*time.Second, d.rng.IntN(5)
	d.mu.Unlock()
	time.Sleep(delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sending[shard] = ""
	if fate == 0 {
		return target.ErrNotSent
	}
	for _, r := range reports {
		key := fmt.Sprint(r.Organisation, r.Window.Unix())
		if old, known := d.taken[key]; known && old != r {
			d.problems = append(d.problems, fmt.Sprintf("%v then %v", old, r))
		}
		d.taken[key] = r
	}
	if fate == 1 {
		return target.ErrBroken
	}
	return nil
}

// total returns what was reported of an organisation.
func (d *desk) total(organisation string) Amount {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum Amount
	d.late = 0
	for _, r := range d.taken {
		d.late += r.Late
		if r.Organisation == organisation {
			sum = sum.Add(Amount{r.Requests, r.PromptTokens, r.OutputTokens, r.Calls})
		}
	}
	return sum
}

// ends is a Liveness that tests fill in.
type ends struct{ sync.Map }

func (e *ends) AuthorEnded(author string) bool { _, ended := e.Load(author); return ended }
func (e *ends) TargetGone(string) bool         { return false }

// bench is two controllers over one faulty object API, killed now and then.
type bench struct {
	seed    uint64
	api     *objects.Store
	desk    *desk
	ends    ends
	options Options
	mu      sync.Mutex
	down    bool
	rng     *rand.Rand
}

func newBench(seed uint64) *bench {
	b := &bench{
		seed:    seed,
		api:     objects.New(),
		desk:    newDesk(seed),
		options: Options{Shards: 2, Grace: 10 * time.Second},
		rng:     rand.New(rand.NewPCG(seed, 3)),
	}
	b.api.SetFault(b.fault)
	return b
}

func (b *bench) fault(objects.Operation, string) objects.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return objects.Refuse
	}
	if b.rng.IntN(6) > 0 {
		return objects.Pass
	}
	verdicts := []objects.Verdict{objects.Refuse, objects.LoseAnswer, objects.LoseRequest, objects.Late}
	return verdicts[b.rng.IntN(len(verdicts))]
}

func (b *bench) setDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
}

// controller runs until the context ends; it is killed and replaced by chance.
func (b *bench) controller(ctx context.Context, n int, current *Windows, replace func(*Windows)) {
	rng := rand.New(rand.NewPCG(b.seed, uint64(n)+10))
	name := fmt.Sprint("controller", n)
	x := authority.NewExecutor(b.api, name, &b.ends, authority.Options{})
	for k := 0; ctx.Err() == nil; k++ {
		for shard := range b.options.Shards {
			_, _ = current.FreezeDue(ctx, shard)
			round, cancel := context.WithTimeout(ctx, 3*time.Minute)
			_, _ = current.Report(round, shard, x, b.desk)
			cancel()
		}
		b.api.DeliverLate()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
		if rng.IntN(30) == 0 {
			x.Close()
			b.ends.Store(name, true)
			name = fmt.Sprint("controller", n, "-", k)
			x = authority.NewExecutor(b.api, name, &b.ends, authority.Options{})
			current = NewWindows(b.api, b.options)
			replace(current)
		}
	}
	x.Close()
}

// run lets gateways count use for some minutes. A gateway that is killed loses
// what only its memory held. It returns the use counted, the use that killed
// gateways had not yet stored, and what was reported.
func (b *bench) run(kills bool, outage time.Duration) (counted, unstored, reported Amount) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var controllers [2]*Windows
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range controllers {
		controllers[n] = NewWindows(b.api, b.options)
		wg.Go(func() {
			mu.Lock()
			current := controllers[n]
			mu.Unlock()
			b.controller(ctx, n, current, func(w *Windows) {
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
		round, stop := context.WithTimeout(ctx, 4*time.Second)
		defer stop()
		stored, _ := w.Push(round, l.Unstored())
		l.MarkStored(time.Now(), stored)
	}
	var gateways sync.WaitGroup
	for g := range 3 {
		gateways.Go(func() {
			rng := rand.New(rand.NewPCG(b.seed, uint64(g)+100))
			l := NewLedger(fmt.Sprint("gateway", g))
			cutUntil := 0 // cut off from the controllers
			for k := range 200 {
				if !kills && rng.IntN(60) == 0 {
					cutUntil = k + 90
				}
				a := Amount{Requests: 1, PromptTokens: uint64(rng.IntN(900)), OutputTokens: 7}
				l.Add(time.Now(), fmt.Sprint("org", rng.IntN(4)), a)
				mu.Lock()
				counted = counted.Add(a)
				mu.Unlock()
				time.Sleep(time.Second)
				if k%2 == 0 && k > cutUntil {
					push(rng, l)
				}
				if k == 60 && outage > 0 && g == 0 {
					b.setDown(true)
					time.AfterFunc(outage, func() { b.setDown(false) })
				}
				if kills && rng.IntN(100) == 0 {
					mu.Lock()
					for _, c := range l.Unstored() {
						unstored = unstored.Add(c.Amount.minus(l.counters[idOf(c)].stored))
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
	time.Sleep(3 * time.Hour) // windows close and are reported
	cancel()
	wg.Wait()
	for n := range 4 {
		reported = reported.Add(b.desk.total(fmt.Sprint("org", n)))
	}
	return counted, unstored, reported
}

// TestUsageIsReportedTruly checks that what is counted is reported, once and
// unchanged, while controllers are killed and the object API has faults.
func TestUsageIsReportedTruly(t *testing.T) {
	late := uint64(0)
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBench(seed)
			counted, _, reported := b.run(false, 0)
			is.Equal(len(b.desk.problems), 0)
			is.Equal(reported, counted)
			late += b.desk.late
		})
	}
	t.Logf("%d requests were reported late", late)
	is.New(t).True(late > 0)
}

// TestUsageOutlastsOutage checks that use during half an hour without the
// object API is reported truly afterwards.
func TestUsageOutlastsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(1)
		counted, _, reported := b.run(false, 30*time.Minute)
		is.Equal(len(b.desk.problems), 0)
		is.Equal(reported, counted)
		t.Logf("%d of %d requests were reported late", b.desk.late, counted.Requests)
	})
}

// TestUsageLossOfKilledGateways measures what kills of gateways lose, with the
// counters that gateways run with: never
// too much is reported, and too little only by what was in their memory.
func TestUsageLossOfKilledGateways(t *testing.T) {
	var counted, unstored, reported Amount
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBench(seed)
			c, u, r := b.run(true, 0)
			is.Equal(len(b.desk.problems), 0)
			is.Equal(c.Max(r), c)          // no figure is over
			is.Equal(r.Max(c.minus(u)), r) // none is under by more than was in memory
			counted, unstored, reported = counted.Add(c), unstored.Add(u), reported.Add(r)
		})
	}
	t.Logf("requests: %d counted, %d reported, %d in memory when killed",
		counted.Requests, reported.Requests, unstored.Requests)
}

// TestLateUseGoesOn checks that use after the freeze goes into the next open
// window, once, whichever controllers take it.
func TestLateUseGoesOn(t *testing.T) {
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
	first, err := a.fetch(ctx, 0, start.Unix())
	is.NoErr(err)
	second, err := a.fetch(ctx, 0, start.Unix()+60)
	is.NoErr(err)
	is.Equal(first.window.figures(time.Minute)[0].Requests, uint64(5))
	is.Equal(second.window.figures(time.Minute)[0].Requests, uint64(3))
	is.Equal(second.window.figures(time.Minute)[0].Late, uint64(3))
}

// TestPendingIsBounded checks that memory stays bounded without the store.
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

// TestWindowEncoding checks that a window survives its stored form.
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

// TestWindowSizes prints the size of a shard's window at the size to design
// for, and for every organisation active at every gateway.
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
	// 7,300 requests a second for a minute over 64 shards, each its own counter.
	typical := 7300 * 60 / DefaultShards
	dense := 390 * 250
	t.Logf("%d counters: %d bytes; %d counters: %d bytes", typical, size(typical), dense, size(dense))
	is.True(size(typical) < store.MaxValueBytes/8)
	is.True(size(dense) < store.MaxValueBytes)
}
