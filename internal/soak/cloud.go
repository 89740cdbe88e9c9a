package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniapin/internal/standin/engine"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/usage"
	"zinniapin/zone"
)

// reportKey names the window of an organisation.
type reportKey struct {
	organisation string
	window       int64
}

// cloud is the platform besides the object API: the target interface, the
// usage-report interface and the list of hosts. It checks that no two authors
// order or report the same thing at once and that figures never change.
type cloud struct {
	engines *engine.Direct

	mu       sync.Mutex
	rng      *rand.Rand
	down     bool // refuses every call
	harsh    bool // loses, delays and refuses calls
	stale    []provider.Host
	hosts    []provider.Host         // of targets
	entries  []provider.Host         // entry hosts
	lost     map[zone.Name]bool      // zones without power
	returns  map[zone.Name][]func()  // what comes back with a zone
	noticed  map[target.ID]time.Time // when the list first showed a target as leaving or gone
	made     map[target.ID]*engine.Engine
	orders   map[string]provider.TargetOrderResult
	authors  map[string]uint64 // highest fencing number by unit
	sending  map[string]string // order or author under way, by unit
	reports  map[reportKey]provider.UsageReport
	fences   map[reportKey]uint64
	bought   int
	taken    int // orders that took effect
	reported int
	problems []string
}

// newCloud returns a platform without hosts.
func newCloud(seed uint64, engines *engine.Direct) *cloud {
	return &cloud{
		engines: engines,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		lost:    map[zone.Name]bool{},
		returns: map[zone.Name][]func(){},
		noticed: map[target.ID]time.Time{},
		made:    map[target.ID]*engine.Engine{},
		orders:  map[string]provider.TargetOrderResult{},
		authors: map[string]uint64{},
		sending: map[string]string{},
		reports: map[reportKey]provider.UsageReport{},
		fences:  map[reportKey]uint64{},
	}
}

// set changes the platform's faults.
func (c *cloud) set(change func(*cloud)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// problem notes a violation. The lock is held.
func (c *cloud) problem(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// startEngine makes an engine and lists its host. The lock is held.
func (c *cloud) startEngine(id target.ID, class target.Class, z zone.Name, fenced bool, seed uint64) {
	e := c.engines.Add(string(id), engine.Options{
		ID: id, Seed: seed, Models: []string{modelName}, ChecksFence: fenced,
		PrefillRate: 20_000, DecodeRate: 80, RoleChangeTime: 3 * time.Second,
	})
	c.made[id] = e
	x := target.Target{ID: id, Kind: target.Engine, Class: class, Pool: poolName, Zone: z, Address: string(id), ChecksFence: fenced}
	c.hosts = append(c.hosts, provider.Host{ID: "host-of-" + string(id), State: provider.Live, Zone: z, Target: &x})
}

// fate draws what happens to a call.
func (c *cloud) fate() (fate int, delay time.Duration, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.harsh {
		return fateRun, 5 * time.Millisecond, c.down
	}
	return c.rng.IntN(10), time.Duration(c.rng.IntN(3000)) * time.Millisecond, c.down
}

// enter notes that an author's call for a unit is under way.
func (c *cloud) enter(unit, author string, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.sending[unit]; other != "" && other != author {
		c.problem("%s: %s came while %s was under way", unit, author, other)
	}
	c.sending[unit] = author
	if fence < c.authors[unit] {
		c.problem("%s: %s came with fence %d after %d", unit, author, fence, c.authors[unit])
	}
	c.authors[unit] = max(c.authors[unit], fence)
}

// exit ends a call.
func (c *cloud) exit(unit string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sending, unit)
}

// exchange makes one call with the faults of calls.
func (c *cloud) exchange(ctx context.Context, unit, author string, fence uint64, apply func()) error {
	fate, delay, down := c.fate()
	if down || fate == fateRefused {
		return target.ErrNotSent
	}
	if fate == fateUnrunLost {
		return target.ErrIncomplete
	}
	c.enter(unit, author, fence)
	defer c.exit(unit)
	answered := wait(ctx, delay)
	c.mu.Lock()
	apply()
	c.mu.Unlock()
	if !answered || fate == fateLost {
		return target.ErrIncomplete
	}
	return nil
}

// Order implements provider.Targets.
func (c *cloud) Order(ctx context.Context, o provider.TargetOrder) (provider.TargetOrderResult, error) {
	var granted provider.TargetOrderResult
	unit := fmt.Sprintf("%s/%s", o.Pool, o.Zone)
	err := c.exchange(ctx, unit, o.ID, o.Fence, func() { granted = c.carryOut(o) })
	return granted, err
}

// carryOut carries out an order once. The lock is held.
func (c *cloud) carryOut(o provider.TargetOrder) provider.TargetOrderResult {
	if known, ok := c.orders[o.ID]; ok {
		return known
	}
	c.taken++
	granted := provider.TargetOrderResult{Accepted: 1}
	if o.Release != "" {
		c.leave(o.Release, 0)
	} else if c.lost[o.Zone] {
		granted = provider.TargetOrderResult{Reason: "the zone is lost"}
	} else {
		granted.Accepted = o.Count
		for range o.Count {
			c.bought++
			c.startEngine(target.ID(fmt.Sprintf("bought-%d", c.bought)), o.Class, o.Zone, c.bought%2 == 0, uint64(1000+c.bought))
		}
	}
	c.orders[o.ID] = granted
	return granted
}

// leave lets a target go after a notice. The lock is held.
func (c *cloud) leave(id target.ID, notice time.Duration) {
	for i := range c.hosts {
		h := &c.hosts[i]
		if h.Target == nil || h.Target.ID != id || h.State != provider.Live {
			continue
		}
		h.State = provider.Leaving
		h.LeavesAt = time.Now().Add(notice)
		time.AfterFunc(notice, func() { c.gone(id) })
	}
}

// returnAfter is the time after which a target that was taken comes back under
// another id.
const returnAfter = 15 * time.Second

// comeBack starts a cheap target in place of one that was taken.
func (c *cloud) comeBack(z zone.Name) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost[z] {
		c.returns[z] = append(c.returns[z], func() { c.startAgain(z, target.Reclaimable) })
		return
	}
	c.startAgain(z, target.Reclaimable)
}

// startAgain starts an engine in place of one that is gone. The lock is held.
func (c *cloud) startAgain(z zone.Name, class target.Class) {
	c.bought++
	c.startEngine(target.ID(fmt.Sprintf("back-%d", c.bought)), class, z, c.bought%2 == 0, uint64(2000+c.bought))
}

// gone ends a target.
func (c *cloud) gone(id target.ID) {
	c.engines.Remove(string(id))
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.hosts {
		if h := &c.hosts[i]; h.Target != nil && h.Target.ID == id {
			h.State = provider.Gone
		}
	}
}

// reclaim takes the reclaimable targets of a zone away at a notice and
// returns their number.
func (c *cloud) reclaim(z zone.Name, notice time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range slices.Clone(c.hosts) {
		if h.Zone == z && h.State == provider.Live && h.Target.Class == target.Reclaimable {
			c.leave(h.Target.ID, notice)
			time.AfterFunc(notice+returnAfter, func() { c.comeBack(z) })
			n++
		}
	}
	return n
}

// Lookup implements provider.Targets.
func (c *cloud) Lookup(_ context.Context, id string) (provider.TargetOrderResult, bool, error) {
	fate, _, down := c.fate()
	if down || fate == fateRefused {
		return provider.TargetOrderResult{}, false, target.ErrNotSent
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	granted, ok := c.orders[id]
	return granted, ok, nil
}

// Report implements provider.Usage. Reports of one organisation's window must
// not come from two authors at once, nor fall back to an older author.
func (c *cloud) Report(ctx context.Context, author string, fence uint64, reports []provider.UsageReport) error {
	unit := "usage/" + reports[0].Organisation
	return c.exchange(ctx, unit, author, fence, func() {
		for _, r := range reports {
			c.take(author, fence, r)
		}
	})
}

// take takes one report. The lock is held.
func (c *cloud) take(author string, fence uint64, r provider.UsageReport) {
	key := reportKey{r.Organisation, r.Window.Unix()}
	if old, known := c.reports[key]; known && old != r {
		c.problem("%s reported %v after %v", author, r, old)
	}
	if fence < c.fences[key] {
		c.problem("%s reported %v with fence %d after %d", author, key, fence, c.fences[key])
	}
	c.fences[key] = max(c.fences[key], fence)
	c.reports[key] = r
	c.reported++
}

// List implements provider.Hosts.
func (c *cloud) List(context.Context) ([]provider.Host, error) {
	fate, _, down := c.fate()
	if down || fate == fateRefused {
		return nil, target.ErrNotSent
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stale != nil {
		return c.stale, nil
	}
	shown := slices.Clone(c.entries)
	for _, h := range c.hosts {
		x := *h.Target
		h.Target = &x
		shown = append(shown, h)
		if _, known := c.noticed[x.ID]; h.State != provider.Live && !known {
			c.noticed[x.ID] = time.Now()
		}
	}
	return shown, nil
}

// freeze shows the list of now for some time, or ends that.
func (c *cloud) freeze(frozen bool) {
	list := c.listed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = nil
	if frozen {
		c.stale = append(list, c.entries...)
	}
}

// listed returns a copy of the list without faults.
func (c *cloud) listed() []provider.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// total returns what was reported of an organisation.
func (c *cloud) total(organisation string) usage.Amount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum usage.Amount
	for key, r := range c.reports {
		if key.organisation == organisation {
			sum = sum.Add(usage.Amount{Requests: r.Requests, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Calls: r.Calls})
		}
	}
	return sum
}

// all returns the engines ever made.
func (c *cloud) all() map[target.ID]*engine.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := make(map[target.ID]*engine.Engine, len(c.made))
	for id, e := range c.made {
		made[id] = e
	}
	return made
}

// listService lists an instance of the plain service. The lock is held.
func (c *cloud) listService(x target.Target) {
	c.hosts = append(c.hosts, provider.Host{ID: "host-of-" + string(x.ID), State: provider.Live, Zone: x.Zone, Target: &x})
}
