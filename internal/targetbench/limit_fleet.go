package targetbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zinniapin/dispatch"
	"zinniapin/roster"
)

const (
	// maxClockDifference is how far the clocks of hosts differ.
	maxClockDifference = 100 * time.Millisecond
	// viewInterval is how often a host looks which hosts are live, hostLiveness how long it takes one that has
	// fallen silent for live, and firstView how long one that has started knows no other.
	viewInterval = time.Second
	hostLiveness = 6 * time.Second
	firstView    = time.Second
	// crashInterval is how often a host crashes, and downTime how long until it has started again.
	crashInterval = 3 * time.Second
	downTime      = 2 * time.Second
	// loadGroups is the number of groups of hosts; other hosts learn the sum of the loads of each.
	loadGroups = 10
	// loadRounds is the number of exchanges after which a load is known.
	loadRounds = 3
)

// cut is a time in which the hosts of the first so many groups are cut off from the others.
type cut struct {
	from, to time.Duration
	groups   int
}

// cuts are those of a load with faults.
var cuts = []cut{{12 * time.Second, 27 * time.Second, 1}, {35 * time.Second, 50 * time.Second, loadGroups / 2}}

// turnsHost is the planner of a node. Its planner is nil while it is down.
type turnsHost struct {
	fleet   *turnsFleet
	index   int
	group   int
	name    string
	offset  time.Duration // of its clock
	planner *dispatch.Planner
	started time.Time
}

// turnsFleet is all hosts, and what they know of each other.
type turnsFleet struct {
	load   LimitLoad
	target roster.Target
	random *rand.Rand
	hosts  []*turnsHost
	// heardAt is when each host was last heard of by those that are cut off, and by the others.
	heardAt [2][]time.Time
	history [][loadGroups]dispatch.Load // by group, in the last exchanges, oldest first
	rounds  int
	cut     int // number of groups that are cut off
	groups  [loadGroups]string
}

// Turns is what nodes do.
func Turns(load LimitLoad) ([]Sender, func(time.Time)) {
	f := &turnsFleet{load: load, target: roster.Target{ID: "t-1", Service: "desk", Zone: "a", Slots: 4, StartedMillis: 1}, random: rand.New(rand.NewPCG(load.Seed, 1))}
	var all []Sender
	for i := range load.Hosts {
		h := &turnsHost{fleet: f, index: i, group: i % loadGroups, name: fmt.Sprint("h-", i), offset: time.Duration(f.random.Int64N(int64(maxClockDifference)))}
		f.hosts, all = append(f.hosts, h), append(all, h)
	}
	for g := range f.groups {
		f.groups[g] = fmt.Sprint("group ", g)
	}
	for side := range f.heardAt {
		f.heardAt[side] = make([]time.Time, load.Hosts)
		for i := range f.heardAt[side] {
			f.heardAt[side][i] = epoch
		}
	}
	for _, h := range f.hosts {
		h.start(epoch.Add(-firstView))
		h.look(epoch)
	}
	return all, f.exchange
}

// start starts the process of a host.
func (h *turnsHost) start(now time.Time) {
	h.planner, h.started = dispatch.New(dispatch.DefaultPolicy(), "a", uint64(h.index)), now
	h.planner.SetTargets(now, []roster.Target{h.fleet.target})
	h.look(now)
}

// look tells a host which hosts are live.
func (h *turnsHost) look(now time.Time) {
	var live []string
	for i, at := range h.fleet.heardAt[h.fleet.side(h)] {
		if now.Sub(at) < hostLiveness && now.Sub(h.started) >= firstView {
			live = append(live, h.fleet.hosts[i].name)
		}
	}
	h.planner.SetFleet(now, now.Add(h.offset), h.name, live)
}

// Send implements Sender.
func (h *turnsHost) Send(now time.Time) bool {
	if h.planner == nil {
		return false
	}
	job := dispatch.Job{Service: h.fleet.target.Service, Objective: 150 * time.Millisecond, TimeLeft: time.Second}
	d := h.planner.Plan(now, job, nil)
	if d.Refused() {
		return false
	}
	h.planner.End(h.planner.Begin(now, d.Target.ID, job, 0))
	h.planner.SetLimit(now, h.fleet.target, h.fleet.load.PerSecond, true)
	return true
}

// cutGroups returns the number of groups that are cut off at a time.
func (f *turnsFleet) cutGroups(now time.Time) int {
	for _, c := range cuts {
		if at := now.Sub(epoch); f.load.Faults && at >= c.from && at < c.to {
			return c.groups
		}
	}
	return 0
}

// side returns 1 for a host that is cut off, else 0.
func (f *turnsFleet) side(h *turnsHost) int {
	if h.group < f.cut {
		return 1
	}
	return 0
}

// exchange lets hosts tell each other of their loads and of the limit.
func (f *turnsFleet) exchange(now time.Time) {
	f.rounds++
	f.cut = f.cutGroups(now)
	if f.load.Faults {
		f.crash(now)
	}
	f.hear(now)
	loads := make([]dispatch.Load, len(f.hosts))
	var sums [loadGroups]dispatch.Load
	for i, h := range f.hosts {
		if h.planner != nil {
			loads[i] = h.planner.Loads(now)[dispatch.KeyOf(f.target.ID)]
		}
		sums[h.group] = add(sums[h.group], loads[i], 1)
	}
	f.history = append(f.history, sums)
	if len(f.history) > loadRounds {
		f.history = f.history[1:]
	}
	for i, h := range f.hosts {
		if h.planner == nil {
			continue
		}
		f.tell(now, h, loads[i])
		if (f.rounds+h.index)%int(viewInterval/(gossipSteps*limitStep)) == 0 {
			h.look(now)
		}
	}
	f.tellLimit(now)
}

// tell brings a host the loads of the others that it can hear.
func (f *turnsFleet) tell(now time.Time, h *turnsHost, own dispatch.Load) {
	for g := range loadGroups {
		if (g < f.cut) != (f.side(h) == 1) {
			continue
		}
		sum := f.history[0][g]
		if g == h.group {
			sum = add(sum, own, -1)
		}
		loads := map[uint32]dispatch.Load{}
		if sum != (dispatch.Load{}) {
			loads[dispatch.KeyOf(f.target.ID)] = sum
		}
		h.planner.SetPeerLoads(now.Add(-loadRounds*gossipSteps*limitStep), f.groups[g], loads)
	}
}

// tellLimit brings the limit that one host knows to all that can hear it.
func (f *turnsFleet) tellLimit(now time.Time) {
	teller := f.hosts[f.random.IntN(len(f.hosts))]
	if teller.planner == nil {
		return
	}
	for _, news := range teller.planner.LimitNews(now, 1, time.Hour) {
		for _, h := range f.hosts {
			if h.planner != nil && f.side(h) == f.side(teller) {
				h.planner.ApplyLimit(now, news)
			}
		}
	}
}

// hear notes which hosts are heard of.
func (f *turnsFleet) hear(now time.Time) {
	for i, h := range f.hosts {
		if h.planner == nil {
			continue
		}
		f.heardAt[f.side(h)][i] = now
		if f.cut == 0 {
			f.heardAt[1][i] = now
		}
	}
}

// crash lets a host crash now and then, and starts those that have been down long enough.
func (f *turnsFleet) crash(now time.Time) {
	for _, h := range f.hosts {
		if h.planner == nil && now.Sub(h.started) >= downTime {
			h.start(now)
		}
	}
	if f.rounds%int(crashInterval/(gossipSteps*limitStep)) == 0 {
		h := f.hosts[f.random.IntN(len(f.hosts))]
		h.planner, h.started = nil, now
	}
}

// add adds so many times a load to another one.
func add(sum, l dispatch.Load, times int) dispatch.Load {
	return dispatch.Load{PendingTokens: max(sum.PendingTokens+times*l.PendingTokens, 0), Active: max(sum.Active+times*l.Active, 0), Sent: max(sum.Sent+times*l.Sent, 0)}
}
