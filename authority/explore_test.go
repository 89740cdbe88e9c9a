package authority

import (
	"fmt"
	"hash/maphash"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/store"
)

// Bounds of the model that is explored exhaustively.
const (
	authors         = 2 // processes that give orders to the engine
	ordersPerAuthor = 2
	maxLatePuts     = 4 // unanswered updates of the record that may still take effect
	maxInTransit    = 4 // orders on their way to the engine
	maxReboots      = 1 // of the engine
)

var (
	modelStart      = time.Unix(0, 0).UTC()
	modelMaxTransit = time.Minute
)

// modelState is one state of the model: the record, updates that may still take
// effect, two authors' agents, and one unfenced engine with the orders in transit
// to it. It is comparable.
type modelState struct {
	object      Snapshot
	latePuts    [maxLatePuts]Snapshot // updates that got no answer; Version is the required version plus 1
	authors     [authors]modelAuthor
	inTransit   [maxInTransit]Order
	boot        uint64
	lastApplied string // ID of the order that took effect last
	maxEpoch    uint64 // highest epoch that the engine has received
}

// eventLabels describes events in the path to a conflict, by kind and call result.
var eventLabels = [...][4]string{
	Start:     {"starts"},
	Cancelled: {"is cancelled"},
	ReadDone:  {"read", "", "", "read failed"},
	PutDone:   {"put confirmed", "put conflicts", "put had no answer", "put failed"},
	SendDone:  {"send ends"},
	ProbeDone: {"probed"},
	PauseDone: {"paused"},
}

// modelAuthor is one author with its agent and the agent's next action.
type modelAuthor struct {
	agent         Agent
	nextAction    Action
	crashed       bool
	awaitingSend  bool // an order was sent and not answered yet
	ordersStarted int
}

// faults are deliberate violations of what the protocol requires of its environment
// and settings. Each must lead to a conflict.
type faults struct {
	lapsedLease    bool // a live author may be reported as ended
	noCondition    bool // updates ignore their version
	zeroMaxTransit bool // MaxTransit is 0, as if orders could not arrive late
}

// origin is how a state was first reached: the previous state's key and the event.
type origin struct {
	from  uint64
	event string
}

// exploredState is a state with its key and its origin.
type exploredState struct {
	key    uint64
	state  modelState
	origin origin
}

// explorer visits every state of the model once, breadth first.
type explorer struct {
	faults   faults
	seen     map[uint64]origin // of all visited states, by key
	current  uint64            // key of the state that is being expanded
	seed     maphash.Seed
	found    []exploredState // new states, not yet merged into frontier
	frontier []exploredState // states to expand next
	conflict string          // description of the first conflict, empty if there is none
}

// add records a state as found if it was not seen before.
func (x *explorer) add(s modelState, event string) {
	x.normalise(&s)
	key := x.stateKey(s)
	if _, seen := x.seen[key]; !seen {
		x.found = append(x.found, exploredState{key, s, origin{x.current, event}})
	}
}

// merge adds the states that a worker found to the frontier.
func (x *explorer) merge(found []exploredState) {
	for _, s := range found {
		if _, seen := x.seen[s.key]; seen {
			continue
		}
		x.seen[s.key] = s.origin
		x.frontier = append(x.frontier, s)
	}
}

// stateKey returns the hash that identifies a state. Among a million states the
// probability of a collision of 64-bit hashes is below one in ten million.
func (x *explorer) stateKey(s modelState) uint64 {
	return maphash.Comparable(x.seed, s)
}

// path returns the events that led to the state that is being expanded.
func (x *explorer) path() string {
	path := ""
	for at := x.current; at != 0; at = x.seen[at].from {
		path = x.seen[at].event + "; " + path
	}
	return path
}

// explore visits all states of the model until a conflict is found. It returns the
// number of states, the depth, and the conflict, if any.
func explore(f faults) (states, depth int, conflict string) {
	policy := Policy{MaxTransit: modelMaxTransit}
	if f.zeroMaxTransit {
		policy.MaxTransit = 0
	}
	x := &explorer{faults: f, seen: map[uint64]origin{}, seed: maphash.MakeSeed()}
	var first modelState
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

// expand adds all successors of a state.
func (x *explorer) expand(s modelState) {
	for i := range s.authors {
		if !s.authors[i].crashed {
			x.crashAuthor(s, i)
			x.stepAuthor(s, i)
		}
	}
	for i, put := range s.latePuts {
		if put.Version != 0 {
			x.deliverLatePut(s, i, put)
		}
	}
	for i, o := range s.inTransit {
		if o.ID != "" {
			x.deliverOrder(s, i, o)
		}
	}
	if s.boot <= maxReboots {
		s.boot++
		s.lastApplied = ""
		s.inTransit = [maxInTransit]Order{}
		x.add(s, "engine restarts")
	}
}

func (x *explorer) crashAuthor(s modelState, i int) {
	s.authors[i].crashed = true
	x.add(s, s.authors[i].agent.self+" crashes")
}

// step passes an event to an agent and adds the resulting state.
func (x *explorer) step(s modelState, i int, now time.Time, e Event) {
	a := &s.authors[i]
	a.nextAction = a.agent.Step(now, e)
	x.add(s, a.agent.self+" "+eventLabels[e.Kind][e.CallResult])
}

// stepAuthor adds the states after every possible result of an author's action.
func (x *explorer) stepAuthor(s modelState, i int) {
	a := &s.authors[i]
	if a.awaitingSend {
		x.answerSend(s, i)
		return
	}
	if a.agent.phase == opening && a.agent.openUnknown {
		x.step(s, i, modelStart, Event{Kind: Cancelled})
	}
	switch a.nextAction.Kind {
	case DoNothing:
		if a.ordersStarted < ordersPerAuthor {
			a.ordersStarted++
			x.step(s, i, modelStart, Event{Kind: Start})
		}
	case DoRead:
		x.step(s, i, modelStart, Event{Kind: ReadDone, Found: s.object})
		if a.agent.openUnknown || a.agent.phase == rereading {
			x.step(s, i, modelStart, Event{Kind: ReadDone, CallResult: CallFailed})
		} // otherwise a failed read has the same result as a failed update
	case DoPut:
		x.put(s, i, a.nextAction.Put)
	case DoSend:
		x.send(s, i)
	case DoProbe:
		x.probe(s, i, a.nextAction.Probe)
	case DoPause:
		x.step(s, i, modelStart, Event{Kind: PauseDone})
	}
}

// apply updates the record if it still has the required version.
func (x *explorer) apply(s *modelState, version store.Version, r Record) bool {
	if s.object.Version != version && !x.faults.noCondition {
		return false
	}
	s.object = Snapshot{Version: s.object.Version + 1, Record: r}
	return true
}

// put adds the states after an update fails, is delayed, conflicts or takes effect,
// with and without an answer.
func (x *explorer) put(s modelState, i int, p Snapshot) {
	x.step(s, i, modelStart, Event{Kind: PutDone, CallResult: CallFailed})
	late := s
	if late.queuePut(p) {
		x.step(late, i, modelStart, Event{Kind: PutDone, CallResult: CallUnknown})
	}
	if !x.apply(&s, p.Version, p.Record) {
		x.step(s, i, modelStart, Event{Kind: PutDone, CallResult: CallConflict})
		return
	}
	x.step(s, i, modelStart, Event{Kind: PutDone, CallResult: CallConfirmed, Version: s.object.Version})
	x.step(s, i, modelStart, Event{Kind: PutDone, CallResult: CallUnknown})
}

// queuePut adds an update that may still take effect, unless it is already queued.
// It returns false if the queue is full.
func (s *modelState) queuePut(p Snapshot) bool {
	p.Version++
	for i, queued := range s.latePuts {
		if queued == p {
			return true
		}
		if queued.Version == 0 {
			s.latePuts[i] = p
			return true
		}
	}
	return false
}

func (x *explorer) deliverLatePut(s modelState, i int, put Snapshot) {
	copy(s.latePuts[i:], s.latePuts[i+1:])
	s.latePuts[maxLatePuts-1] = Snapshot{}
	x.apply(&s, put.Version-1, put.Record)
	x.add(s, "a late update arrives")
}

// send adds the states after an order is not delivered and after it is in transit.
func (x *explorer) send(s modelState, i int) {
	x.step(s, i, modelStart, Event{Kind: SendDone, SendResult: SendUndelivered})
	a := &s.authors[i]
	for j, o := range s.inTransit {
		if o.ID == "" {
			s.inTransit[j] = a.nextAction.Send
			a.awaitingSend = true
			x.add(s, a.agent.self+" sends")
			return
		}
	}
}

// answerSend adds the states after a send ends with and without an answer.
func (x *explorer) answerSend(s modelState, i int) {
	a := &s.authors[i]
	a.awaitingSend = false
	if s.lastApplied == a.agent.own.ID {
		x.step(s, i, modelStart, Event{Kind: SendDone, SendResult: SendApplied})
	}
	x.step(s, i, modelStart, Event{Kind: SendDone, SendResult: SendUnanswered})
}

// probe returns true findings, except that with lapsedLease a live author may be
// reported as ended. MaxTransit passes only once the order is not in transit, which
// is what the setting assumes.
func (x *explorer) probe(s modelState, i int, o Order) {
	r := ProbeResult{Answered: true, Boot: s.boot, Applied: s.lastApplied == o.ID}
	for _, ended := range []bool{false, true} {
		if ended && !x.mayReportEnded(s, o.Author) {
			continue
		}
		r.AuthorEnded = ended
		x.step(s, i, modelStart, Event{Kind: ProbeDone, ProbeResult: r})
		if !s.orderInTransit(o) {
			x.step(s, i, modelStart.Add(modelMaxTransit), Event{Kind: ProbeDone, ProbeResult: r})
		}
	}
}

// mayReportEnded reports whether a probe may show that an author has ended.
func (x *explorer) mayReportEnded(s modelState, self string) bool {
	for i := range s.authors {
		if s.authors[i].agent.self == self {
			return s.authors[i].crashed || x.faults.lapsedLease
		}
	}
	return false
}

func (s *modelState) orderInTransit(o Order) bool {
	for _, other := range s.inTransit {
		if other.ID == o.ID {
			return true
		}
	}
	return false
}

// deliverOrder adds the states after an order is lost and after it arrives.
func (x *explorer) deliverOrder(s modelState, i int, o Order) {
	copy(s.inTransit[i:], s.inTransit[i+1:])
	s.inTransit[maxInTransit-1] = Order{}
	x.add(s, "order lost")
	x.checkConflict(s, o)
	s.lastApplied = o.ID
	s.maxEpoch = max(s.maxEpoch, o.Epoch)
	x.add(s, o.ID+" arrives")
}

// checkConflict records a conflict if an order arrives after one with a higher
// epoch, or while another author's order is in transit or about to be sent.
func (x *explorer) checkConflict(s modelState, o Order) {
	if o.Epoch < s.maxEpoch {
		x.conflict = fmt.Sprintf("order %s arrives after epoch %d", o.ID, s.maxEpoch)
	}
	for _, other := range s.inTransit {
		if other.ID != "" && other.Author != o.Author {
			x.conflict = fmt.Sprintf("order %s arrives while %s is in transit", o.ID, other.ID)
		}
	}
	for _, a := range s.authors {
		if !a.crashed && !a.awaitingSend && a.nextAction.Kind == DoSend && a.nextAction.Send.Author != o.Author {
			x.conflict = fmt.Sprintf("order %s arrives while %s may be sent", o.ID, a.nextAction.Send.ID)
		}
	}
}

// TestExploreUnfencedEngine checks that no state of the model, which runs the real
// Agent, has conflicting orders.
func TestExploreUnfencedEngine(t *testing.T) {
	is := is.New(t)
	states, depth, conflict := explore(faults{})
	t.Logf("%d states, depth %d", states, depth)
	is.Equal(conflict, "")
}

// TestExploreFindsLapsedLease checks that the model finds the conflict that occurs
// when a lapsed lease is taken as proof that an author has ended.
func TestExploreFindsLapsedLease(t *testing.T) {
	expectConflict(t, faults{lapsedLease: true})
}

// TestExploreFindsMissingSettleTime checks that the model finds the conflict that
// occurs when an unanswered order is closed while it may still be in transit.
func TestExploreFindsMissingSettleTime(t *testing.T) {
	expectConflict(t, faults{zeroMaxTransit: true})
}

// TestExploreFindsIgnoredCondition checks that the model finds the conflict that
// occurs when the object API ignores the required version of updates.
func TestExploreFindsIgnoredCondition(t *testing.T) {
	expectConflict(t, faults{noCondition: true})
}

func expectConflict(t *testing.T, f faults) {
	t.Helper()
	is := is.New(t)
	states, depth, conflict := explore(f)
	t.Logf("after %d states, depth %d: %s", states, depth, conflict)
	is.True(conflict != "")
}
