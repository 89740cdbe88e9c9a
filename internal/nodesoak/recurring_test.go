package nodesoak

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
)

// recurring is a switch that acts now and then, on average once in a mean time.
type recurring struct {
	Name string
	mean time.Duration
	act  func(d *deployment)
}

// recurringSwitches returns the switches of a run that the stand-ins do not have.
func recurringSwitches() []recurring {
	return []recurring{
		{Name: "crashing parts of prompts", mean: 2 * time.Second, act: func(d *deployment) {
			d.crashPart.Store(crashParts[d.random.IntN(len(crashParts))])
		}},
		{Name: "named limits", mean: time.Second, act: func(d *deployment) {
			d.limitTarget(d.targets[d.random.IntN(len(d.targets))])
		}},
		{Name: "releases", mean: 2500 * time.Millisecond, act: (*deployment).release},
		{Name: "older copies", mean: 2 * time.Second, act: func(d *deployment) {
			d.rewind()
			d.store.TakeCopy()
			d.copiedAt = time.Now()
		}},
		{Name: "cut hosts", mean: 1500 * time.Millisecond, act: func(d *deployment) {
			node := d.nodes[d.random.IntN(len(d.nodes))]
			node.disturb()
			node.store.set(mode(1 + d.random.IntN(4))) // any mode but pass
			time.AfterFunc(d.faultTime(), func() { node.disturb(); node.store.set(pass) })
		}},
		{Name: "freezes", mean: 2 * time.Second, act: func(d *deployment) {
			node := d.nodes[d.random.IntN(len(d.nodes))]
			d.signal(node, syscall.SIGSTOP)
			time.AfterFunc(d.faultTime(), func() { _ = node.signal(syscall.SIGCONT) })
		}},
		{Name: "crashes of all hosts", mean: 4 * time.Second, act: func(d *deployment) {
			for _, node := range d.nodes {
				d.signal(node, syscall.SIGKILL)
				time.AfterFunc(d.faultTime()/3, func() { _ = node.start() })
			}
		}},
		{Name: "added hosts", mean: 3 * time.Second, act: func(d *deployment) {
			first := d.nodes[0]
			d.addNode(first.program, filepath.Dir(first.settingsFile), d.seed)
		}},
		{Name: "lapsed entries", mean: 3 * time.Second, act: (*deployment).lapse},
		{Name: "foreign entries", mean: time.Second, act: func(d *deployment) {
			entries := []any{nil, []int{1}, map[string]any{"Service": 7}, map[string]any{"Service": "model", "State": "odd", "Address": "127.0.0.1:1"}, map[string]any{"Service": "model", "Address": ""}}
			d.store.Write(platform.TargetsCollection, fmt.Sprint("foreign-", d.random.IntN(3)), entries[d.random.IntN(len(entries))])
		}},
		{Name: "odd entries", mean: 300 * time.Millisecond, act: (*deployment).writeOdd},
		{Name: "dark targets", mean: 3 * time.Second, act: func(d *deployment) {
			d.targets[d.random.IntN(len(d.targets))].FallSilent(2 * d.faultTime())
		}},
		{Name: "reused addresses", mean: 1500 * time.Millisecond, act: func(d *deployment) {
			s := d.targets[d.random.IntN(len(d.targets))]
			if _, leaves := d.leftAt[s.ID]; !leaves {
				s.SetFaults(prepared.WrongInstance)
				time.Sleep(200 * time.Millisecond)
				d.store.Write(platform.TargetsCollection, s.ID, s.Entry(serviceOf(s), "z0"))
			}
		}},
		{Name: "restarts of targets", mean: 2 * time.Second, act: func(d *deployment) {
			s := d.targets[d.random.IntN(len(d.targets))]
			s.Crash("")
			if _, leaves := d.leftAt[s.ID]; leaves {
				return
			}
			time.Sleep(200 * time.Millisecond)
			d.store.Write(platform.TargetsCollection, s.ID, s.Entry(serviceOf(s), "z0"))
		}},
		{Name: "unannounced departures", mean: 3 * time.Second, act: func(d *deployment) {
			d.startEngine(versions[d.random.IntN(len(versions))])
			old := d.engines[0]
			d.engines = d.engines[1:]
			d.leftAt[old.ID] = time.Now()
			d.store.Remove(platform.TargetsCollection, old.ID)
		}},
		{Name: "settings without a signal", mean: 2 * time.Second, act: func(d *deployment) {
			node := d.nodes[d.random.IntN(len(d.nodes))]
			changed := node.settings
			changed.Bounds.GraceSeconds = 7 + d.random.Float64()
			if err := node.writeSettings(changed); err != nil {
				d.t.Error(err)
			}
		}},
		{Name: "silent store", mean: 3 * time.Second, act: func(d *deployment) {
			d.history.disturbStore()
			d.store.SetSilent(true)
			time.AfterFunc(d.faultTime(), func() { d.history.disturbStore(); d.store.SetSilent(false) })
		}},
		{Name: "crashes after a change", mean: 4 * time.Second, act: func(d *deployment) {
			d.configure()
			for _, node := range d.nodes {
				d.signal(node, syscall.SIGKILL)
				time.AfterFunc(d.faultTime()/3, func() { _ = node.start() })
			}
		}},
		{Name: "half requests", mean: 200 * time.Millisecond, act: func(d *deployment) {
			d.rude.sendHalf(d.nodes[d.random.IntN(len(d.nodes))], d.key.Load().(string))
		}},
		{Name: "crashing requests", mean: 150 * time.Millisecond, act: func(d *deployment) {
			d.rude.sendFatal(d.nodes[d.random.IntN(len(d.nodes))], d.key.Load().(string), &d.attempts)
		}},
		{Name: "hidden requests", mean: 300 * time.Millisecond, act: func(d *deployment) {
			d.expectRefusal(d.rude.hidden(d.key.Load().(string)), http.StatusBadRequest)
		}},
		{Name: "unknown routes and keys", mean: 300 * time.Millisecond, act: func(d *deployment) {
			d.expectRefusal(d.rude.head("/none/a", d.key.Load().(string), "Content-Length: 0\r\n\r\n"), http.StatusNotFound)
			d.expectRefusal(d.rude.head("/take/a", "no-key", "Content-Length: 0\r\n\r\n"), http.StatusUnauthorized)
		}},
		{Name: "lost links", mean: 2 * time.Second, act: func(d *deployment) {
			mode := prepared.WayModes[d.random.IntN(len(prepared.WayModes))]
			for _, i := range d.random.Perm(len(d.nodes))[:1+d.random.IntN(len(d.nodes)-1)] {
				node := d.nodes[i]
				node.links.set(mode)
				time.AfterFunc(d.faultTime(), func() { node.links.set(prepared.WayOpen) })
			}
		}},
		{Name: "starts without the store", mean: 4 * time.Second, act: func(d *deployment) {
			node := d.nodes[d.random.IntN(len(d.nodes))]
			d.signal(node, syscall.SIGKILL)
			d.outage()
			time.AfterFunc(300*time.Millisecond, func() { _ = node.start() })
		}},
	}
}

// lostLinks is the switch that cuts the links of some nodes to all targets.
const lostLinks = "lost links" // as in recurringSwitches

// expectRefusal sends a request that no target may get to a node, which may be down, stop or have no
// configuration yet.
func (d *deployment) expectRefusal(request string, want int) {
	node := d.nodes[d.random.IntN(len(d.nodes))]
	if status := statusOf(node, request); status != 0 && status != want && status != http.StatusServiceUnavailable {
		d.t.Errorf("%s answered %d instead of %d to %q", node.name, status, want, request)
	}
}

// checkRude verifies that no target got a request that it may not get.
func (d *deployment) checkRude() {
	for _, s := range d.targets {
		for _, a := range s.Arrivals() {
			if strings.HasPrefix(a.Header.Get("X-Request-Id"), rudeID) {
				d.t.Errorf("target %s got %s of %d requests that no target may get", s.ID, a.Header.Get("X-Request-Id"), d.rude.sent)
			}
		}
	}
}

// faultTime draws the length of a fault; see contactTime.
func (d *deployment) faultTime() time.Duration {
	return time.Duration(300+d.random.IntN(2500)) * time.Millisecond
}

// signal signals a node.
func (d *deployment) signal(p *process, s syscall.Signal) {
	if err := p.signal(s); err != nil {
		d.t.Errorf("cannot signal %s: %v", p.name, err)
	}
}

// outage takes the store down for a while.
func (d *deployment) outage() {
	d.history.disturbStore()
	d.store.SetDown(true)
	time.AfterFunc(d.faultTime(), func() { d.history.disturbStore(); d.store.SetDown(false) })
}

// lapse lets the entries of some targets lapse in a short outage of the store. They are written again soon
// after it.
func (d *deployment) lapse() {
	d.history.disturbStore()
	d.store.SetDown(true)
	var lapsed []*prepared.Target
	for _, s := range d.targets {
		if _, leaves := d.leftAt[s.ID]; !leaves && d.random.IntN(2) == 0 {
			lapsed = append(lapsed, s)
			d.store.Remove(platform.TargetsCollection, s.ID)
		}
	}
	time.Sleep(time.Duration(d.random.IntN(500)) * time.Millisecond)
	d.store.SetDown(false)
	d.history.disturbStore()
	time.Sleep(time.Duration(d.random.IntN(1500)) * time.Millisecond)
	for _, s := range lapsed {
		d.store.Write(platform.TargetsCollection, s.ID, s.Entry(serviceOf(s), "z0"))
	}
}
