package authority

import (
	"sync"

	"zinniapin/store"
)

// normalise clears what no later step reads, so that states that differ only in
// that count as one.
func (x *explorer) normalise(s *modelState) {
	s.object.Record = protocolFields(s.object.Record)
	for i := range s.authors {
		s.authors[i].normalise()
	}
	late := s.latePuts
	s.latePuts = [maxLatePuts]Snapshot{}
	for _, put := range late {
		ruledOut := put.Version-1 < s.object.Version && !x.faults.noCondition
		if put.Version != 0 && !ruledOut {
			s.queuePut(Snapshot{Version: put.Version - 1, Record: protocolFields(put.Record)})
		}
	}
	s.rebaseVersions()
	s.normaliseIDs()
}

// currentVersion replaces the record's version in normalised states.
const currentVersion = 8

// rebaseVersions makes versions relative to the record's current one. All older
// versions become equal, as an update that requires one always conflicts.
func (s *modelState) rebaseVersions() {
	current := s.object.Version
	relative := func(v, offset store.Version) store.Version {
		if v < current+offset {
			return currentVersion - 1 + offset
		}
		return v - current + currentVersion
	}
	for i := range s.latePuts {
		if s.latePuts[i].Version != 0 {
			s.latePuts[i].Version = relative(s.latePuts[i].Version, 1)
		}
	}
	for i := range s.authors {
		a := &s.authors[i]
		if a.agent.base != (Snapshot{}) {
			a.agent.base.Version = relative(a.agent.base.Version, 0)
		}
		if a.nextAction.Kind == DoPut {
			a.nextAction.Put.Version = relative(a.nextAction.Put.Version, 0)
		}
	}
	s.object.Version = currentVersion
}

// normaliseIDs replaces epochs by their ranks, as only their relation matters, and
// order ids by author and rank, as an author opens at most one order per epoch.
func (s *modelState) normaliseIDs() {
	s.authors[0].agent.sequence, s.authors[1].agent.sequence = 0, 0
	epochs, orders := s.epochsAndOrders()
	var used [64]bool
	for _, e := range epochs {
		used[*e] = true
	}
	var ranks [64]uint64
	next := uint64(0)
	for e := range used {
		if used[e] && e > 0 {
			next++
			ranks[e] = next
		}
	}
	ids := make(map[string]string, 8)
	for _, e := range epochs {
		*e = ranks[*e]
	}
	for _, o := range orders {
		if o.ID != "" {
			id := o.Author + string(rune('0'+o.Epoch))
			ids[o.ID] = id
			o.ID = id
		}
	}
	s.lastApplied = ids[s.lastApplied]
	for i := range s.authors {
		a := &s.authors[i].agent
		if a.watch.id = ids[a.watch.id]; !s.watchNeeded(a) {
			a.watch = watch{}
		}
	}
}

// watchNeeded reports whether an agent's watch can still matter: the watched order
// is its own with unknown outcome, or it is or may become the open order.
func (s *modelState) watchNeeded(a *Agent) bool {
	id := a.watch.id
	if a.phase == probing || a.phase == markingEnded {
		return true
	}
	if id == "" || id[:1] == a.self {
		return false
	}
	for i := range s.latePuts {
		if s.latePuts[i].Record.Open.ID == id {
			return true
		}
	}
	for i := range s.authors {
		if s.authors[i].nextAction.Put.Record.Open.ID == id {
			return true
		}
	}
	return s.object.Record.Open.ID == id
}

// epochsAndOrders returns pointers to all epochs and all orders of a state.
func (s *modelState) epochsAndOrders() (epochs []*uint64, orders []*Order) {
	records := []*Record{&s.object.Record}
	for i := range s.latePuts {
		records = append(records, &s.latePuts[i].Record)
	}
	for i := range s.inTransit {
		orders = append(orders, &s.inTransit[i])
	}
	for i := range s.authors {
		a := &s.authors[i]
		records = append(records, &a.agent.base.Record, &a.agent.put, &a.nextAction.Put.Record)
		orders = append(orders, &a.agent.own, &a.nextAction.Send, &a.nextAction.Probe)
	}
	epochs = append(epochs, &s.maxEpoch)
	for _, r := range records {
		epochs = append(epochs, &r.Epoch)
		orders = append(orders, &r.Open)
	}
	for _, o := range orders {
		epochs = append(epochs, &o.Epoch)
	}
	return epochs, orders
}

// protocolFields returns the record without the fields that only operators read.
func protocolFields(r Record) Record {
	return Record{Epoch: r.Epoch, Open: r.Open}
}

func (a *modelAuthor) normalise() {
	g := &a.agent
	if g.Idle() || a.crashed {
		a.agent = Agent{self: g.self, policy: g.policy, sequence: g.sequence, watch: g.watch}
		a.nextAction = Action{}
	}
	if a.crashed {
		a.awaitingSend, a.ordersStarted, g.sequence, g.watch = false, 0, 0, watch{}
	}
	g.outcome, g.watch.outcome = "", ""
	if g.phase == reading && !g.openUnknown {
		g.base, g.own = Snapshot{}, Order{}
	}
	if g.phase != opening && g.phase != markingEnded && g.phase != closing {
		g.put = Record{}
	}
	if g.phase >= sending && g.phase != blocked {
		g.wasBlocked = false
	}
	if g.phase == rereading {
		g.base = Snapshot{}
	}
	if g.phase == sending || g.phase == closing || g.phase == rereading {
		g.watch = watch{}
	}
	g.base.Record = protocolFields(g.base.Record)
	g.put = protocolFields(g.put)
	a.nextAction.Put.Record = protocolFields(a.nextAction.Put.Record)
	if a.awaitingSend {
		a.nextAction = Action{Kind: DoSend}
	}
}

// Limits of parallel expansion.
const (
	workers   = 4
	batchSize = 256 // states per worker
)

// expandAll expands states in parallel and merges the states found, in order.
func (x *explorer) expandAll(states []exploredState) {
	for len(states) > 0 && x.conflict == "" {
		var explorers [workers]explorer
		var wg sync.WaitGroup
		for i := range explorers {
			n := min(batchSize, len(states))
			batch := states[:n]
			states = states[n:]
			explorers[i] = explorer{faults: x.faults, seen: x.seen, seed: x.seed}
			wg.Go(func() { explorers[i].expandBatch(batch) })
		}
		wg.Wait()
		for i := range explorers {
			x.merge(explorers[i].found)
			if x.conflict == "" && explorers[i].conflict != "" {
				x.conflict = explorers[i].conflict
			}
		}
	}
}

// expandBatch expands states until a conflict is found.
func (x *explorer) expandBatch(batch []exploredState) {
	for _, s := range batch {
		x.current = s.key
		x.expand(s.state)
		if x.conflict != "" {
			x.conflict += ": " + x.path()
			return
		}
	}
}
