package main

import (
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/targetview"
	"zinniapin/wire"
	"zinniapin/zone"
)

// meshHost is the knowledge of one host's controller and gateway.
type meshHost struct {
	controller machine.Process
	members    *membership.Table
	targets    *targetview.Table
	gateway    membership.Member
	view       *targetview.Table
	nextBeat   time.Time
	polls      []int // targets that the controller polls
	sequence   uint64
	down       bool
	sources    map[machine.HostID]bool // whose records are taken; nil means all
}

// meshLink is one direction of a link: from asks to.
type meshLink struct {
	from, to         int
	gateway          bool // the asker is the gateway of the host from
	members, targets uint64
	phase            time.Duration
	due              time.Time
	beats            uint64
}

// mesh exchanges heartbeats between the real cores of many hosts, without
// sockets, and counts the encoded bytes.
type mesh struct {
	now    time.Time
	random *rand.Rand
	hosts  []*meshHost
	links  []*meshLink
	spent  meshBytes
}

// meshBytes are bytes of messages by what they tell.
type meshBytes struct {
	calls, members, targets, gateways, rest float64
	// highest is the highest sum that one host sent in one second.
	highest float64
}

// newMesh returns a mesh in which all know all.
func newMesh(hosts, targets int) *mesh {
	m := &mesh{now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(1, 2))}
	members := controllerMembers(hosts)
	for i := range hosts {
		m.hosts = append(m.hosts, m.newHost(i, 1, targets))
	}
	for i, h := range m.hosts {
		for j := range m.hosts {
			h.learn(m.now, m.hosts[j])
		}
		for _, p := range membership.Peers(members, h.controller, uint64(i), nil) {
			m.join(i, m.indexOf(p.Process.Host), false)
		}
		m.link(i, i, true)
		m.link(i, (i+zoneCount-1)%hosts, true)
	}
	m.assign(members, targets)
	m.choose(members)
	for _, l := range m.links {
		l.beats = m.random.Uint64N(fullEvery)
		to := m.hosts[l.to]
		_, l.members = to.members.Since(0, 0, 1<<30)
		l.targets = to.targets.Version()
	}
	return m
}

// newHost returns a host that knows itself and the list of targets.
func (m *mesh) newHost(i int, incarnation uint64, targets int) *meshHost {
	h := &meshHost{controller: controllerOf(i, incarnation), targets: targetview.New(), view: targetview.New(), sequence: incarnation}
	h.members = membership.New(membership.Member{Process: h.controller, Beat: 1, StoreReachable: true}, m.now)
	h.gateway = membership.Member{Process: gatewayOf(i, incarnation), Beat: 1, StoreReachable: true}
	h.gateway.Via = []string{h.controller.Address, controllerOf((i+zoneCount-1)%designNodes, 1).Address}
	local := func(name zone.Name) bool {
		z, _ := lookupZone(name)
		return z.Region == h.controller.Zone.Region
	}
	if incarnation == 1 {
		for _, t := range []*targetview.Table{h.targets, h.view} {
			t.Listed(m.now, hostsOf(targets), local)
			for j := range targets {
				first := reportOf(j, 1)
				first.Taken = m.now
				t.Reported(m.now, first)
			}
		}
	}
	return h
}

// learn introduces another host.
func (h *meshHost) learn(now time.Time, other *meshHost) {
	self := other.members.Self()
	h.members.Merge(now, 1, self.ToWire(false))
	h.members.Merge(now, 1, other.gateway.ToWire(false))
}

// indexOf returns the number of a host.
func (m *mesh) indexOf(host machine.HostID) int {
	return sort.Search(len(m.hosts), func(i int) bool { return m.hosts[i].controller.Host >= host })
}

// assign divides the polling of targets.
func (m *mesh) assign(members []membership.Member, targets int) {
	for _, h := range m.hosts {
		h.polls = nil
	}
	for t := range targets {
		z := zoneOf(t)
		for _, owner := range membership.Owners(membership.Controllers(members, z.Region), string(targetOf(t).ID), 2) {
			h := m.hosts[m.indexOf(owner.Process.Host)]
			h.polls = append(h.polls, t)
		}
	}
}

// join links two controllers, which ask each other.
func (m *mesh) join(a, b int, anew bool) {
	if a == b || !anew && m.joined(a, b) {
		return
	}
	m.link(a, b, false)
	m.link(b, a, false)
}

// choose lets each host choose the sources of its records.
func (m *mesh) choose(members []membership.Member) {
	linked := map[int]map[machine.HostID]bool{}
	for _, l := range m.links {
		if linked[l.from] == nil {
			linked[l.from] = map[machine.HostID]bool{}
		}
		if !l.gateway {
			linked[l.from][m.hosts[l.to].controller.Host] = true
		}
	}
	for i, h := range m.hosts {
		h.sources = membership.Sources(members, h.controller, uint64(i), linked[i])
	}
}

// The pace at which a controller asks its peers, and an uplink for the view of
// its second controller; both as package controller and package uplink have it.
const (
	maxInterval     = 3 * time.Second
	intervalScale   = 130 // processes for each second
	fullEvery       = 40  // heartbeats
	secondViewEvery = 8   // heartbeats
	smallFleet      = 64  // processes
)

// interval returns the time between two heartbeats of a link.
func (m *mesh) interval(l *meshLink) time.Duration {
	if l.gateway {
		return time.Second
	}
	scaled := time.Duration(m.hosts[l.from].members.Size()) * time.Second / intervalScale
	return min(maxInterval, max(time.Second, scaled))
}

// asks tells whether a heartbeat asks for records.
func (m *mesh) asks(l *meshLink) bool {
	from, to := m.hosts[l.from], m.hosts[l.to].controller.Host
	if l.gateway {
		return l.from == l.to || from.members.Size() <= smallFleet || l.beats%secondViewEvery == 1
	}
	return from.sources == nil || from.sources[to] || l.beats%fullEvery == 1
}

// joined tells whether two controllers are linked.
func (m *mesh) joined(a, b int) bool {
	for _, l := range m.links {
		if l.from == a && l.to == b && !l.gateway {
			return true
		}
	}
	return false
}

// link adds one direction.
func (m *mesh) link(from, to int, gateway bool) {
	m.links = append(m.links, &meshLink{from: from, to: to, gateway: gateway, phase: time.Duration(m.random.Int64N(int64(time.Second)))})
}

// run lets seconds pass and returns the bytes by host and second.
func (m *mesh) run(seconds int) meshBytes {
	m.spent = meshBytes{}
	for range seconds {
		m.second()
	}
	hosts := 0
	for _, h := range m.hosts {
		if !h.down {
			hosts++
		}
	}
	part := float64(hosts * seconds)
	s := m.spent
	return meshBytes{s.calls / part, s.members / part, s.targets / part, s.gateways / part, s.rest / part, s.highest}
}

// second lets one second pass.
func (m *mesh) second() {
	sort.SliceStable(m.links, func(i, j int) bool { return m.links[i].phase < m.links[j].phase })
	for _, h := range m.hosts {
		if !h.down {
			h.tick(m.now)
		}
	}
	sent := make([]float64, len(m.hosts))
	for _, l := range m.links {
		now := m.now.Add(l.phase)
		if m.hosts[l.from].down || m.hosts[l.to].down || now.Before(l.due) {
			continue
		}
		l.due = now.Add(m.interval(l))
		l.beats++
		m.ask(l, now, sent)
	}
	for _, bytes := range sent {
		m.spent.highest = max(m.spent.highest, bytes)
	}
	m.now = m.now.Add(time.Second)
}

// tick raises the beats and polls the targets of a host.
func (h *meshHost) tick(now time.Time) {
	h.members.Tick(now)
	if !now.Before(h.nextBeat) {
		h.gateway.Beat++
		h.nextBeat = now.Add(membership.BeatInterval(h.members.Size()))
	}
	h.sequence++
	for _, t := range h.polls {
		r := reportOf(t, 2*h.sequence+h.controller.Incarnation%2)
		r.Taken = now
		h.targets.Reported(now, r)
	}
	h.members.Merge(now, h.gateway.Process.Incarnation, h.gateway.ToWire(true))
}

// ask sends one heartbeat and merges the answer.
func (m *mesh) ask(l *meshLink, now time.Time, sent []float64) {
	from, to := m.hosts[l.from], m.hosts[l.to]
	question := heartbeatQuestion().GetHeartbeat()
	asks := m.asks(l)
	question.MembersVersion, question.TargetsVersion = l.members, l.targets
	answer := heartbeatQuestion().GetHeartbeat()
	reader := from.controller.Incarnation
	if l.gateway {
		reader = from.gateway.Process.Incarnation
		question.Members = []*wire.Member{from.gateway.ToWire(false)}
		to.members.Merge(now, reader, question.Members[0])
	} else if asks {
		answer.Members, l.members = to.members.Since(l.members, reader, replyBytes)
	}
	if asks && from.controller.Zone.Region == to.controller.Zone.Region {
		answer.Targets, l.targets = to.targets.Since(now, l.targets, reader, replyBytes)
	}
	m.merge(l, now, answer)
	m.count(l, question, answer, sent)
}

// merge takes an answer in.
func (m *mesh) merge(l *meshLink, now time.Time, answer *wire.Heartbeat) {
	from, source := m.hosts[l.from], m.hosts[l.to].controller.Incarnation
	for _, record := range answer.Members {
		if !from.members.Merge(now, source, record) {
			l.members = 0
		}
	}
	targets := from.targets
	if l.gateway {
		targets = from.view
	}
	for _, state := range answer.Targets {
		if !targets.Merge(now, source, state) {
			l.targets = 0
		}
	}
}

// count adds the bytes of a call to those of their senders.
func (m *mesh) count(l *meshLink, question, answer *wire.Heartbeat, sent []float64) {
	asked := float64(proto.Size(question) + envelopeBytes)
	told := float64(proto.Size(answer) + envelopeBytes)
	members := float64(proto.Size(&wire.Heartbeat{Members: answer.Members}))
	targets := float64(proto.Size(&wire.Heartbeat{Targets: answer.Targets}))
	sent[l.from] += asked
	sent[l.to] += told
	m.spent.calls++
	if l.gateway {
		m.spent.gateways += asked + told
		return
	}
	m.spent.members += members
	m.spent.targets += targets
	m.spent.rest += asked + told - members - targets
}

// envelopeBytes is what the envelope and its length add to a message.
const envelopeBytes = 7

const (
	// beatSpan is the longest time between two beats, in seconds.
	beatSpan = 20
	// faultSpan is how long the effects of a fault are counted, in seconds.
	faultSpan = 8
)

// measureMesh measures the bytes of heartbeats in steady state, after the
// restart of a host and when a rack of hosts and targets goes.
func measureMesh(r *report) error {
	var calls, bytes []point
	for _, hosts := range coreSizes {
		m := newMesh(hosts, max(targetSizes[0], designTargets*hosts/designNodes))
		m.run(4)
		s := m.run(beatSpan)
		sum := s.members + s.targets + s.gateways + s.rest
		r.printf("%d hosts, steady: %.1f calls a second; sent %.2f kB/s a host: processes %.2f, targets %.2f, gateways %.2f, rest %.2f\n",
			hosts, s.calls, sum/1e3, s.members/1e3, s.targets/1e3, s.gateways/1e3, s.rest/1e3)
		mean, highest := m.ages()
		r.printf("%d hosts: reports seen by gateways are %.1f s old on average, %.1f s at most\n", hosts, mean, highest)
		calls = append(calls, point{float64(hosts), s.calls})
		bytes = append(bytes, point{float64(hosts), sum / 1e3})
		m.restart(hosts / 2)
		s = m.run(faultSpan)
		r.printf("%d hosts, %d s from a restart: %.2f kB/s a host, most in one second %.1f kB\n", hosts, faultSpan, (s.members+s.targets+s.gateways+s.rest)/1e3, s.highest/1e3)
		m.lose(max(1, hosts/13))
		s = m.run(faultSpan)
		r.printf("%d hosts, %d s from losing %d: %.2f kB/s a host, most in one second %.1f kB\n", hosts, faultSpan, max(1, hosts/13), (s.members+s.targets+s.gateways+s.rest)/1e3, s.highest/1e3)
	}
	r.slope("heartbeat calls a host makes", "calls/s", "host", calls)
	r.slope("bytes of heartbeats a host sends", "kB/s", "host", bytes)
	return nil
}

// ages returns the mean and the highest age in seconds of the reports that
// gateways see of the live targets of their region.
func (m *mesh) ages() (mean, highest float64) {
	n := 0.0
	for _, h := range m.hosts {
		if h.down {
			continue
		}
		for _, s := range h.view.States() {
			age := m.now.Sub(s.Report.Taken).Seconds()
			mean += age
			highest = max(highest, age)
			n++
		}
	}
	return mean / n, highest
}

// restart replaces a host: it knows nobody, and its links begin anew.
func (m *mesh) restart(i int) {
	old := m.hosts[i]
	h := m.newHost(i, 2, 0)
	h.polls = old.polls
	m.hosts[i] = h
	for _, l := range m.links {
		if l.from != i && l.to != i {
			continue
		}
		l.members, l.targets, l.beats, l.due = 0, 0, 0, m.now
	}
	for _, l := range m.links {
		if l.from == i && !l.gateway {
			m.hosts[l.to].members.Doubt(m.now, old.controller.Incarnation)
		}
	}
}

// lose takes the last hosts away; those that were linked to them doubt them
// and link to others.
func (m *mesh) lose(n int) {
	first := len(m.hosts) - n
	var live []membership.Member
	for i, h := range m.hosts {
		h.down = i >= first
		if !h.down {
			live = append(live, h.members.Self())
		}
	}
	linked := make([]map[machine.HostID]bool, len(m.hosts))
	for i := range linked {
		linked[i] = map[machine.HostID]bool{}
	}
	kept := m.links[:0]
	for _, l := range m.links {
		if !m.hosts[l.from].down && !m.hosts[l.to].down {
			kept = append(kept, l)
			linked[l.from][m.hosts[l.to].controller.Host] = !l.gateway
		} else if !m.hosts[l.from].down && !l.gateway {
			m.hosts[l.from].members.Doubt(m.now, m.hosts[l.to].controller.Incarnation)
		}
	}
	m.links = kept
	for i := range first {
		for _, p := range membership.Peers(live, m.hosts[i].controller, uint64(i), linked[i]) {
			m.join(i, m.indexOf(p.Process.Host), false)
		}
	}
	m.choose(live)
	m.assign(live, max(targetSizes[0], designTargets*len(live)/designNodes))
}
