package nodesoak

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
)

var pairsFlag = flag.Int("nodesoak.pairs", 1, "runs of TestPairs and TestHostsWithoutLinks, from -nodesoak.seed on")

// ciPairs are the seeds of pairs that CI runs. A seed that has failed is added here together with the cause.
var ciPairs = []uint64{
	1129, // a request crashed one target after the other
	1133, // targets crashed under one part of prompts
	1313, // hosts together sent a target more than the limit that it named
}

// maxProcessorTime is what a run of a pair with 4 nodes may cost, stand-ins and callers included.
const maxProcessorTime = 20 * time.Second

// TestPairs runs node processes before stand-ins with one or two switches on, beside a change of the
// configuration, SIGHUP, SIGTERM, a crash and an outage of the store:
//
//	go test ./internal/nodesoak -run TestPairs -nodesoak.seed 1101 -nodesoak.pairs 20 -v
func TestPairs(t *testing.T) {
	runSeeds(t, ciPairs, runPair)
}

// runSeeds runs the seeds of CI, or those from -nodesoak.seed on, each as a test of its own.
func runSeeds(t *testing.T, seeds []uint64, run func(t *testing.T, program string, seed uint64)) {
	program := nodeProgram(t)
	if *seedFlag != 0 {
		seeds = nil
		for i := range *pairsFlag {
			seeds = append(seeds, *seedFlag+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, program, seed) })
	}
}

// neighbour does what each run of a pair does beside its switches.
func (d *deployment) neighbour(name string) {
	node := d.nodes[d.random.IntN(len(d.nodes))]
	switch name {
	case "configuration":
		d.configure()
	case "SIGHUP":
		if err := node.reload(d.random.IntN(2) == 0, 7+d.random.Float64()); err != nil {
			d.t.Error(err)
		}
	case "SIGTERM":
		d.signal(node, syscall.SIGTERM)
		go func() {
			if node.waitEnded(9 * time.Second) {
				_ = node.start()
			}
		}()
	case "crash":
		d.signal(node, syscall.SIGKILL)
		time.AfterFunc(d.faultTime()/3, func() { _ = node.start() })
	case "outage":
		d.outage()
	}
}

// switchOn turns on the switches of a plan at a target, and keeps what makes it the target that it is.
func switchOn(t *prepared.Target, index int, p *pairPlan) {
	t.Change(func(s *prepared.TargetSwitches) {
		all := prepared.Switches{Target: *s}
		p.intoTarget(index, &all)
		*s = all.Target
	})
}

// runPair runs the pair of a seed.
func runPair(t *testing.T, program string, seed uint64) {
	begun := processorTime(t)
	folder := t.TempDir()
	t.Cleanup(func() { keepLogs(t, folder, seed) })
	t.Cleanup(func() { // after the node processes have ended
		if used := processorTime(t) - begun; used > maxProcessorTime && *nodesFlag <= 4 {
			t.Errorf("the run took %v of processor time", used)
		} else {
			t.Logf("the run took %v of processor time", used)
		}
	})
	acts, means := make(map[string]func(*deployment)), make(map[string]time.Duration)
	for _, s := range recurringSwitches() {
		acts[s.Name], means[s.Name] = s.act, s.mean
	}
	plan := newPairPlan(seed, means)
	t.Log(plan.String())
	d := startDeployment(t, program, folder, seed, slices.ContainsFunc(plan.switches, func(s drawn) bool { return s.name == lostLinks }))
	d.crashPart.Store("")
	d.seed = seed
	d.rude = &rudeCaller{random: d.random}
	calm := make(map[*prepared.Target]prepared.TargetSwitches)
	d.onStart = func(s *prepared.Target) {
		index := len(calm)
		s.Change(func(c *prepared.TargetSwitches) {
			c.CrashBodies = []string{fatalBody}
			if c.RestartAfter == 0 {
				c.RestartAfter = fatalRestart
			}
			calm[s] = *c
		})
		switchOn(s, index, &plan)
	}
	for _, s := range d.targets {
		d.onStart(s)
	}
	d.store.Change(func(s *prepared.StoreSwitches) {
		all := prepared.Switches{}
		plan.into(&all)
		*s = all.Store
	})
	d.duties.Change(func(s *prepared.DutySwitches) {
		all := prepared.Switches{}
		plan.into(&all)
		*s = all.Duties
	})
	d.store.TakeCopy()
	d.copiedAt = time.Now()
	endCallers := d.startCallers(seed)
	d.follow(&plan, acts)
	for s, c := range calm {
		s.Change(func(s *prepared.TargetSwitches) {
			header := s.Header // of targets that leave
			*s = c
			s.Header = header
		})
	}
	for _, p := range d.nodes {
		p.links.set(prepared.WayOpen)
	}
	d.store.Change(func(s *prepared.StoreSwitches) { *s = prepared.StoreSwitches{Down: s.Down} })
	d.duties.Change(func(s *prepared.DutySwitches) { *s = prepared.DutySwitches{} })
	d.endFaults()
	d.quietFrom = time.Now()
	time.Sleep(2 * time.Second)
	endCallers()
	time.Sleep(time.Second) // wait for requests that targets execute late
	d.check()
	d.checkRude()
}

// follow takes the steps of a plan at their times. A step may come late, after one that takes long.
func (d *deployment) follow(p *pairPlan, acts map[string]func(*deployment)) {
	begun := time.Now()
	var all prepared.Switches
	p.into(&all)
	disturbs := all.Store != (prepared.StoreSwitches{})
	for i := 0; time.Since(begun) < pairTime; time.Sleep(20 * time.Millisecond) {
		if disturbs {
			d.history.disturbStore()
		}
		for ; i < len(p.steps) && time.Since(begun) >= p.steps[i].at; i++ {
			if act := acts[p.steps[i].name]; act != nil {
				act(d)
			} else {
				d.neighbour(p.steps[i].name)
			}
		}
	}
}

// processorTime returns the processor time of this process and its ended children.
func processorTime(t *testing.T) time.Duration {
	sum := time.Duration(0)
	for _, who := range []int{syscall.RUSAGE_SELF, syscall.RUSAGE_CHILDREN} {
		var u syscall.Rusage
		if err := syscall.Getrusage(who, &u); err != nil {
			t.Fatal(err)
		}
		sum += time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	return sum
}

// TestPairsDependOnTheirSeedAlone checks that a seed gives the same plan again, that all neighbours are in
// it, and that 2,000 seeds draw every switch alone and beside another.
func TestPairsDependOnTheirSeedAlone(t *testing.T) {
	is := is.New(t)
	means := make(map[string]time.Duration)
	for _, s := range recurringSwitches() {
		means[s.Name] = s.mean
	}
	alone, paired := make(map[string]bool), make(map[string]bool)
	for seed := range uint64(2000) {
		p, again := newPairPlan(seed, means), newPairPlan(seed, means)
		is.Equal(p.String(), again.String())
		var first, second prepared.Switches
		p.into(&first)
		again.into(&second)
		is.Equal(first, second)
		for _, name := range neighbours {
			is.True(slices.ContainsFunc(p.steps, func(s step) bool { return s.name == name && s.at < pairTime }))
		}
		for _, s := range p.switches {
			if len(p.switches) == 1 {
				alone[s.name] = true
			} else {
				paired[s.name] = true
			}
		}
	}
	is.Equal(len(alone), len(prepared.Draws())+len(means))
	p, more := newPairPlan(7, means), maps.Clone(means)
	more["a switch that seed 7 does not draw"] = time.Second
	again := newPairPlan(7, more)
	is.Equal(p.String(), again.String())
	is.True(maps.Equal(alone, paired))
}
