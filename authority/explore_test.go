package authority

import (
	"fmt"
	"hash/maphash"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/store"
)

// Bounds of the model.
const (
	authors         = 2
	ordersPerAuthor = 2
	maxLate         = 4
	maxFlights      = 4
	maxReboots      = 1
)

var (
	start  = time.Unix(0, 0).UTC()
	settle = time.Minute
)

// world is one state of the model: the object, updates that may yet take
// effect, two authors' agents, and one unfenced engine with the orders on
// their way to it. It is comparable.
type world struct {
	object  Snapshot
	late    [maxLate]Snapshot // puts under way without an answer; Version is the condition plus 1
	authors [authors]author
	flights [maxFlights]Order
	boot    uint64
	last    string // the order that took effect last
	highest uint64 // the highest epoch that the engine has received
}

// labels name events in the path to a conflict, by kind and answer.
var labels = [...][4]string{
	Start:     {"starts"},
	Cancelled: {"is cancelled"},
	ReadDone:  {"read", "", "", "read down"},
	PutDone:   {"put confirmed", "put conflicts", "put doubtful", "put down"},
	SendDone:  {"send ends"},
	ProbeDone: {"probed"},
	PauseDone: {"paused"},
}

// author is one author and what its agent wants done.
type author struct {
	agent   Agent
	next    Action
	dead    bool
	waiting bool // for the answer of a send
	started int
}

// flaws are deliberate faults of the model's surroundings.
type flaws struct {
	lapsedLease bool // a live author may be reported as ended
	noCondition bool // updates ignore their version
	noSettle    bool // orders are believed to arrive at once
}

// trail tells how a state was first reached.
type trail struct {
	from uint64
	what string
}

// visit is a state with its key and how it was reached.
type visit struct {
	key   uint64
	world world
	trail trail
}

// explorer visits every state once, breadth first.
type explorer struct {
	flaws    flaws
	seen     map[uint64]trail
	here     uint64 // the state being expanded
	seed     maphash.Seed
	found    []visit
	frontier []visit
	conflict string
}

// add notes a state that was not seen before.
func (x *explorer) add(w world, what string) {
	x.normalise(&w)
	key := x.key(w)
	if _, seen := x.seen[key]; !seen {
		x.found = append(x.found, visit{key, w, trail{x.here, what}})
	}
}

// merge queues what a worker found.
func (x *explorer) merge(found []visit) {
	for _, v := range found {
		if _, seen := x.seen[v.key]; seen {
			continue
		}
		x.seen[v.key] = v.trail
		x.frontier = append(x.frontier, v)
	}
}

// key names a state. Among a million states a 64-bit hash collides with a
// probability below one in ten million.
func (x *explorer) key(w world) uint64 {
	return maphash.Comparable(x.seed, w)
}

// path returns the steps that led to the state being expanded.
func (x *explorer) path() string {
	path := ""
	for at := x.here; at != 0; at = x.seen[at].from {
		path = x.seen[at].what + "; " + path
	}
	return path
}

// explore returns the number of states, the depth, and a conflict if one was
// found.
func explore(f flaws) (states, depth int, conflict string) {
	policy := Policy{MaxTransit: settle}
	if f.noSettle {
		policy.MaxTransit = 0
	}
	x := &explorer{flaws: f, seen: map[uint64]trail{}, seed: maphash.MakeSeed()}
	var first world
	first.boot = 1
	for i := range first.authors {
		first.authors[i].agent = NewAgent(string(rune('a'+i)), 0, policy)
	}
	x.add(first, "start")
	x.merge(x.found)
	for len(x.frontier) > 0 && x.conflict == "" {
		level := x.frontier
		x.frontier = nil
		x.expandAll(level)
		depth++
	}
	return len(x.seen), depth, x.conflict
}

// expand adds every successor of a state.
func (x *explorer) expand(w world) {
	for i := range w.authors {
		if !w.authors[i].dead {
			x.die(w, i)
			x.act(w, i)
		}
	}
	for i, l := range w.late {
		if l.Version != 0 {
			x.deliverPut(w, i, l)
		}
	}
	for i, o := range w.flights {
		if o.ID != "" {
			x.deliver(w, i, o)
		}
	}
	if w.boot <= maxReboots {
		w.boot++
		w.last = ""
		w.flights = [maxFlights]Order{}
		x.add(w, "engine restarts")
	}
}

func (x *explorer) die(w world, i int) {
	w.authors[i].dead = true
	x.add(w, w.authors[i].agent.self+" dies")
}

// step gives an event to an agent and adds the state after it.
func (x *explorer) step(w world, i int, now time.Time, e Event) {
	a := &w.authors[i]
	a.next = a.agent.Step(now, e)
	x.add(w, a.agent.self+" "+labels[e.Kind][e.CallResult])
}

// act adds the states after everything that may happen to an author's action.
func (x *explorer) act(w world, i int) {
	a := &w.authors[i]
	if a.waiting {
		x.answerSend(w, i)
		return
	}
	if a.agent.phase == opening && a.agent.doubtful {
		x.step(w, i, start, Event{Kind: Cancelled})
	}
	switch a.next.Kind {
	case DoNothing:
		if a.started < ordersPerAuthor {
			a.started++
			x.step(w, i, start, Event{Kind: Start})
		}
	case DoRead:
		x.step(w, i, start, Event{Kind: ReadDone, Found: w.object})
		if a.agent.doubtful || a.agent.phase == rereading {
			x.step(w, i, start, Event{Kind: ReadDone, CallResult: CallFailed})
		} // otherwise the same as an update that is refused
	case DoPut:
		x.put(w, i, a.next.Put)
	case DoSend:
		x.send(w, i)
	case DoProbe:
		x.probe(w, i, a.next.Probe)
	case DoPause:
		x.step(w, i, start, Event{Kind: PauseDone})
	}
}

// apply updates the object if the condition holds.
func (x *explorer) apply(w *world, version store.Version, r Record) bool {
	if w.object.Version != version && !x.flaws.noCondition {
		return false
	}
	w.object = Snapshot{Version: w.object.Version + 1, Record: r}
	return true
}

func (x *explorer) put(w world, i int, p Snapshot) {
	x.step(w, i, start, Event{Kind: PutDone, CallResult: CallFailed})
	late := w
	if late.queue(p) {
		x.step(late, i, start, Event{Kind: PutDone, CallResult: CallUnknown})
	}
	if !x.apply(&w, p.Version, p.Record) {
		x.step(w, i, start, Event{Kind: PutDone, CallResult: CallConflict})
		return
	}
	x.step(w, i, start, Event{Kind: PutDone, CallResult: CallConfirmed, Version: w.object.Version})
	x.step(w, i, start, Event{Kind: PutDone, CallResult: CallUnknown})
}

// queue adds an update that may yet take effect, once.
func (w *world) queue(p Snapshot) bool {
	p.Version++
	for i, l := range w.late {
		if l == p {
			return true
		}
		if l.Version == 0 {
			w.late[i] = p
			return true
		}
	}
	return false
}

func (x *explorer) deliverPut(w world, i int, l Snapshot) {
	copy(w.late[i:], w.late[i+1:])
	w.late[maxLate-1] = Snapshot{}
	x.apply(&w, l.Version-1, l.Record)
	x.add(w, "a late update arrives")
}

func (x *explorer) send(w world, i int) {
	x.step(w, i, start, Event{Kind: SendDone, SendResult: SendUndelivered})
	a := &w.authors[i]
	for j, o := range w.flights {
		if o.ID == "" {
			w.flights[j] = a.next.Send
			a.waiting = true
			x.add(w, a.agent.self+" sends")
			return
		}
	}
}

func (x *explorer) answerSend(w world, i int) {
	a := &w.authors[i]
	a.waiting = false
	if w.last == a.agent.mine.ID {
		x.step(w, i, start, Event{Kind: SendDone, SendResult: SendApplied})
	}
	x.step(w, i, start, Event{Kind: SendDone, SendResult: SendUnanswered})
}

// probe tells the truth, except for a lease that lapsed while its holder
// lives. Time passes the settle time only once the order can't be on its way,
// which is the assumption behind the setting.
func (x *explorer) probe(w world, i int, o Order) {
	e := ProbeResult{Answered: true, Boot: w.boot, Applied: w.last == o.ID}
	for _, ended := range []bool{false, true} {
		if ended && !x.endReported(w, o.Author) {
			continue
		}
		e.AuthorEnded = ended
		x.step(w, i, start, Event{Kind: ProbeDone, ProbeResult: e})
		if !w.inFlight(o) {
			x.step(w, i, start.Add(settle), Event{Kind: ProbeDone, ProbeResult: e})
		}
	}
}

func (x *explorer) endReported(w world, self string) bool {
	for i := range w.authors {
		if w.authors[i].agent.self == self {
			return w.authors[i].dead || x.flaws.lapsedLease
		}
	}
	return false
}

func (w *world) inFlight(o Order) bool {
	for _, f := range w.flights {
		if f.ID == o.ID {
			return true
		}
	}
	return false
}

// deliver lets an order reach the engine, or get lost.
func (x *explorer) deliver(w world, i int, o Order) {
	copy(w.flights[i:], w.flights[i+1:])
	w.flights[maxFlights-1] = Order{}
	x.add(w, "order lost")
	x.check(w, o)
	w.last = o.ID
	w.highest = max(w.highest, o.Epoch)
	x.add(w, o.ID+" arrives")
}

// check looks for a conflict between an order that arrives and others.
func (x *explorer) check(w world, o Order) {
	if o.Epoch < w.highest {
		x.conflict = fmt.Sprintf("order %s arrives after epoch %d", o.ID, w.highest)
	}
	for _, f := range w.flights {
		if f.ID != "" && f.Author != o.Author {
			x.conflict = fmt.Sprintf("order %s arrives while %s is on its way", o.ID, f.ID)
		}
	}
	for _, a := range w.authors {
		if !a.dead && !a.waiting && a.next.Kind == DoSend && a.next.Send.Author != o.Author {
			x.conflict = fmt.Sprintf("order %s arrives while %s may be sent", o.ID, a.next.Send.ID)
		}
	}
}

// TestExploreUnfencedEngine visits every state of the model over the real
// agent and finds no conflicting orders.
func TestExploreUnfencedEngine(t *testing.T) {
	is := is.New(t)
	states, depth, conflict := explore(flaws{})
	t.Logf("%d states, depth %d", states, depth)
	is.Equal(conflict, "")
}

// TestExploreFindsLapsedLease expects the conflict that takeover on a lapsed
// lease brings.
func TestExploreFindsLapsedLease(t *testing.T) {
	expectConflict(t, flaws{lapsedLease: true})
}

// TestExploreFindsMissingSettleTime expects the conflict that closing an
// unanswered order at once brings.
func TestExploreFindsMissingSettleTime(t *testing.T) {
	expectConflict(t, flaws{noSettle: true})
}

// TestExploreFindsIgnoredCondition expects the conflict that an object API
// without conditional updates brings.
func TestExploreFindsIgnoredCondition(t *testing.T) {
	expectConflict(t, flaws{noCondition: true})
}

func expectConflict(t *testing.T, f flaws) {
	t.Helper()
	is := is.New(t)
	states, depth, conflict := explore(f)
	t.Logf("after %d states, depth %d: %s", states, depth, conflict)
	is.True(conflict != "")
}
