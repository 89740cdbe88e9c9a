package authority

import (
	"sync"

	"zinniapin/store"
)

// normalise drops what no later step reads, so that states which differ only
// there count once.
func (x *explorer) normalise(w *world) {
	w.object.Record = decisive(w.object.Record)
	for i := range w.authors {
		w.authors[i].normalise()
	}
	late := w.late
	w.late = [maxLate]Snapshot{}
	for _, l := range late {
		ruledOut := l.Version-1 < w.object.Version && !x.flaws.noCondition
		if l.Version != 0 && !ruledOut {
			w.queue(Snapshot{Version: l.Version - 1, Record: decisive(l.Record)})
		}
	}
	w.rebase()
	w.rename()
}

// currentVersion stands for the present version of the object.
const currentVersion = 8

// rebase makes versions relative to the present one. All older versions are
// alike: an update under one conflicts for good.
func (w *world) rebase() {
	current := w.object.Version
	relative := func(v, offset store.Version) store.Version {
		if v < current+offset {
			return currentVersion - 1 + offset
		}
		return v - current + currentVersion
	}
	for i := range w.late {
		if w.late[i].Version != 0 {
			w.late[i].Version = relative(w.late[i].Version, 1)
		}
	}
	for i := range w.authors {
		a := &w.authors[i]
		if a.agent.base != (Snapshot{}) {
			a.agent.base.Version = relative(a.agent.base.Version, 0)
		}
		if a.next.Kind == DoPut {
			a.next.Put.Version = relative(a.next.Put.Version, 0)
		}
	}
	w.object.Version = currentVersion
}

// rename replaces epochs by their ranks and order ids by author and rank:
// only the order of epochs matters, and an author opens one order an epoch.
func (w *world) rename() {
	w.authors[0].agent.sequence, w.authors[1].agent.sequence = 0, 0
	epochs, orders := w.names()
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
	w.last = ids[w.last]
	for i := range w.authors {
		a := &w.authors[i].agent
		if a.watch.id = ids[a.watch.id]; !w.watched(a) {
			a.watch = watch{}
		}
	}
}

// watched tells whether what an agent learnt about an order can matter again:
// the order is its own and unsettled, or it is or may yet be the open one.
func (w *world) watched(a *Agent) bool {
	id := a.watch.id
	if a.phase == settling || a.phase == marking {
		return true
	}
	if id == "" || id[:1] == a.self {
		return false
	}
	for i := range w.late {
		if w.late[i].Record.Open.ID == id {
			return true
		}
	}
	for i := range w.authors {
		if w.authors[i].next.Put.Record.Open.ID == id {
			return true
		}
	}
	return w.object.Record.Open.ID == id
}

// names returns every epoch and every order of a state.
func (w *world) names() (epochs []*uint64, orders []*Order) {
	records := []*Record{&w.object.Record}
	for i := range w.late {
		records = append(records, &w.late[i].Record)
	}
	for i := range w.flights {
		orders = append(orders, &w.flights[i])
	}
	for i := range w.authors {
		a := &w.authors[i]
		records = append(records, &a.agent.base.Record, &a.agent.put, &a.next.Put.Record)
		orders = append(orders, &a.agent.mine, &a.next.Send, &a.next.Probe)
	}
	epochs = append(epochs, &w.highest)
	for _, r := range records {
		epochs = append(epochs, &r.Epoch)
		orders = append(orders, &r.Open)
	}
	for _, o := range orders {
		epochs = append(epochs, &o.Epoch)
	}
	return epochs, orders
}

// decisive returns the record without what is kept for operators only.
func decisive(r Record) Record {
	return Record{Epoch: r.Epoch, Open: r.Open}
}

func (a *author) normalise() {
	g := &a.agent
	if g.Idle() || a.dead {
		a.agent = Agent{self: g.self, policy: g.policy, sequence: g.sequence, watch: g.watch}
		a.next = Action{}
	}
	if a.dead {
		a.waiting, a.started, g.sequence, g.watch = false, 0, 0, watch{}
	}
	g.outcome, g.watch.outcome = "", ""
	if g.phase == reading && !g.doubtful {
		g.base, g.mine = Snapshot{}, Order{}
	}
	if g.phase != opening && g.phase != marking && g.phase != closing {
		g.put = Record{}
	}
	if g.phase >= sending && g.phase != blocked {
		g.waited = false
	}
	if g.phase == rereading {
		g.base = Snapshot{}
	}
	if g.phase == sending || g.phase == closing || g.phase == rereading {
		g.watch = watch{}
	}
	g.base.Record = decisive(g.base.Record)
	g.put = decisive(g.put)
	a.next.Put.Record = decisive(a.next.Put.Record)
	if a.waiting {
		a.next = Action{Kind: DoSend}
	}
}

// Bounds of parallel work.
const (
	workers   = 4
	batchSize = 256 // states a worker
)

// expandAll expands states in parallel and merges what was found, in order.
func (x *explorer) expandAll(level []visit) {
	for len(level) > 0 && x.conflict == "" {
		var team [workers]explorer
		var wg sync.WaitGroup
		for i := range team {
			n := min(batchSize, len(level))
			batch := level[:n]
			level = level[n:]
			team[i] = explorer{flaws: x.flaws, seen: x.seen, seed: x.seed}
			wg.Go(func() { team[i].expandBatch(batch) })
		}
		wg.Wait()
		for i := range team {
			x.merge(team[i].found)
			if x.conflict == "" && team[i].conflict != "" {
				x.conflict = team[i].conflict
			}
		}
	}
}

// expandBatch expands states until a conflict is found.
func (x *explorer) expandBatch(batch []visit) {
	for _, v := range batch {
		x.here = v.key
		x.expand(v.world)
		if x.conflict != "" {
			x.conflict += ": " + x.path()
			return
		}
	}
}
