package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/invariant"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/target"
	"zinniapin/upstream"
)

const (
	// moveCheckInterval is how often it is checked which targets with streams leave. The time left is a second
	// if the target does not state it.
	moveCheckInterval = 20 * time.Millisecond
	// moveCallTimeout bounds the wait for the answer to a call. Callers disconnect after 2 s without an event.
	moveCallTimeout = time.Second
	// sourceEndTimeout is how long a stream may stay open after its run has stopped. The source sends all
	// events that it created before it closes the stream.
	sourceEndTimeout = 300 * time.Millisecond
	// maxMoveAnswerBytes bounds the answer to a call.
	maxMoveAnswerBytes = 16 << 10
	// maxUnsentMoves is the number of calls for a stream that may fail without being sent.
	maxUnsentMoves = 3
)

// moveRegistry holds the streams that can be moved, by the incarnation of the target that runs them.
type moveRegistry struct {
	mu       sync.Mutex
	streams  map[incarnation]map[*movable]struct{}
	watching bool // watchMoves runs
}

// incarnation is one run of a target's process.
type incarnation struct {
	id            target.ID
	startedMillis int64
}

// movable is a stream that can be handed to another engine. The goroutine of the request reads the stream; the
// goroutine of Handler.watchMoves decides when it is moved, and each call has a goroutine of its own.
type movable struct {
	h        *Handler
	request  string
	source   roster.Target
	engine   *route.Engine
	length   dispatch.OutputLength
	deadline time.Time
	// cutIfUnknown is set if the stream is to be cut when the outcome of the last call is unknown.
	cutIfUnknown bool
	watch        *silenceWatch
	interrupt    context.CancelCauseFunc // resets the connection to the source

	mu       sync.Mutex
	job      dispatch.Job
	excluded map[target.ID]bool // targets that must not get the stream
	events   int                // that the caller has
	// The stream had firstEvents at firstAt, when it became one that can be moved, and its events at eventsAt.
	firstEvents       int
	firstAt, eventsAt time.Time
	calling           bool
	copied            bool
	settled           bool // no further call is made
	unsent            int  // calls that could not be sent
	logged            bool // that no call can be made at present
	// to is the target to which memory was copied, and handle the name of that memory; both are empty if there
	// is none.
	to     roster.Target
	handle string
	last   chan struct{} // closed once the outcome of the last call is known; nil before that call
	result MoveResult    // of the last call
	// refusedBy is the engine that did not take the memory in the last call; empty if there is none.
	refusedBy target.ID
	closed    bool // the request reads the stream no longer
	taken     bool // the request has taken the result of the last call
}

// register adds a stream that can be moved.
func (h *Handler) registerMovable(m *movable) {
	key := incarnation{m.source.ID, m.source.StartedMillis}
	h.moves.mu.Lock()
	defer h.moves.mu.Unlock()
	if h.moves.streams == nil {
		h.moves.streams = make(map[incarnation]map[*movable]struct{})
	}
	if h.moves.streams[key] == nil {
		h.moves.streams[key] = make(map[*movable]struct{})
	}
	h.moves.streams[key][m] = struct{}{}
	if !h.moves.watching {
		h.moves.watching = true
		go h.watchMoves()
	}
}

// unregister removes a stream.
func (h *Handler) unregisterMovable(m *movable) {
	key := incarnation{m.source.ID, m.source.StartedMillis}
	h.moves.mu.Lock()
	defer h.moves.mu.Unlock()
	delete(h.moves.streams[key], m)
	if len(h.moves.streams[key]) == 0 {
		delete(h.moves.streams, key)
	}
}

// watchMoves moves streams off targets that leave, as long as there are streams that can be moved.
func (h *Handler) watchMoves() {
	for {
		time.Sleep(moveCheckInterval)
		h.moves.mu.Lock()
		var bySource [][]*movable
		for _, streams := range h.moves.streams {
			var all []*movable
			for m := range streams {
				all = append(all, m)
			}
			bySource = append(bySource, all)
		}
		if len(bySource) == 0 {
			h.moves.watching = false
			h.moves.mu.Unlock()
			return
		}
		h.moves.mu.Unlock()
		for _, all := range bySource {
			func() {
				defer invariant.Contain("moves of streams", nil)
				h.moveStreams(all)
			}()
		}
	}
}

// moveStreams carries out what is to be done now with the streams at one target.
func (h *Handler) moveStreams(all []*movable) {
	now := time.Now()
	var left, perToken time.Duration
	var leaves bool
	h.withPlanner(func(p *dispatch.Planner) {
		left, leaves = p.TimeLeft(now, all[0].source)
		perToken = p.TokenTime(now, all[0].source)
	})
	if !leaves {
		return
	}
	states := make([]dispatch.LeavingStream, len(all))
	for i, m := range all {
		states[i] = m.state(perToken)
	}
	for i, action := range dispatch.PlanMoves(left, states) {
		switch action {
		case dispatch.MoveCopy:
			h.beginCall(all[i], false)
		case dispatch.MoveNow:
			h.beginCall(all[i], true)
		}
	}
}

// state returns what the decision is made from, with the time that an output token takes at its target. The stream's
// own pace counts if it is slower.
func (m *movable) state(perToken time.Duration) dispatch.LeavingStream {
	m.mu.Lock()
	defer m.mu.Unlock()
	if tokens := (m.events - m.firstEvents) * max(m.engine.EventTokens, 1); tokens > 0 {
		perToken = max(perToken, m.eventsAt.Sub(m.firstAt)/time.Duration(tokens))
	}
	return dispatch.LeavingStream{
		Remaining: dispatch.RemainingOutput(m.events*max(m.engine.EventTokens, 1), m.length, perToken),
		Calling:   m.calling, Copied: m.copied, Settled: m.settled || m.closed,
	}
}

// progress records the number of events that the caller has.
func (m *movable) progress(events int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	m.events, m.eventsAt = events, time.Now()
	m.mu.Unlock()
}

// beginCall makes a call in the background unless there is no other engine at present. The last call is not made
// while another target is being sought for the stream, which could run the request as well.
func (h *Handler) beginCall(m *movable, last bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.calling || m.settled {
		return
	}
	m.job.TimeLeft = time.Until(m.deadline)
	var mayCall, found bool
	var to roster.Target
	h.withPlanner(func(p *dispatch.Planner) {
		mayCall = p.MayCall(time.Now(), m.source.ID)
		to, found = p.MoveTarget(time.Now(), m.job, m.source, m.to.ID, m.excluded)
	})
	if last && !m.logged && (!found || !mayCall) {
		m.logged = true
		if found {
			m.notMoved("the engine wants no calls at present")
		} else {
			m.notMoved("no other engine takes requests")
		}
	}
	if !found || !mayCall || last && !m.watch.hold() {
		return
	}
	if m.handle != "" && to.ID != m.to.ID {
		h.freeHandle(m.to, m.handle)
		m.to, m.handle = roster.Target{}, ""
	}
	m.calling = true
	if last {
		m.last = make(chan struct{})
	}
	go func() {
		var result MoveResult
		reason := "the call has failed at this host"
		func() {
			defer invariant.Contain("move of a stream", nil)
			result, reason = h.callMove(m, to, last)
		}()
		if last {
			m.endLastCall(to, result, reason)
		} else {
			m.endCopy(to, result, reason)
		}
	}()
}

// callMove makes a call to the source of a stream. The reason says why the stream was not moved.
func (h *Handler) callMove(m *movable, to roster.Target, last bool) (result MoveResult, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), moveCallTimeout)
	defer cancel()
	method, path, header, body := h.Protocol.MoveRequest(MoveOrder{Request: m.request, Source: m.source.ID, To: to.Address, Last: last})
	response, err := h.Pool.Do(ctx, m.source.Address, &upstream.Request{
		Method: method, Target: path, Host: m.source.Address, Header: header, Body: body, HasBody: true,
		Fresh: true, // a kept connection that is closed as the call comes would leave the outcome unknown
	})
	if isNotSent(err) {
		return MoveResult{Outcome: moveNotSent}, "the call could not be sent: " + err.Error()
	}
	if err != nil {
		return MoveResult{}, "no answer to the call: " + err.Error()
	}
	defer response.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxMoveAnswerBytes))
	if err != nil {
		return MoveResult{}, "no whole answer to the call: " + err.Error()
	}
	info := h.parseResponse(response)
	if info.Misdirected {
		h.OnMisdirected(m.source.ID)
	}
	h.heedNotices(m.source, info)
	result = h.Protocol.ParseMove(response.Status, answer)
	if result.Outcome != MoveDone {
		reason = "status " + strconv.Itoa(response.Status)
	}
	return result, reason
}

// endCopy takes in the outcome of a call that has copied memory while the stream went on.
func (m *movable) endCopy(to roster.Target, result MoveResult, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calling, m.copied = false, true
	switch result.Outcome {
	case MoveDone:
		m.to, m.handle = to, result.Handle
		if m.closed {
			m.freeBoth()
		}
	case MoveKept:
		m.excluded[to.ID] = true
	case MoveRejected:
		m.settled = true
		m.notMoved(reason)
	}
}

// endLastCall takes in the outcome of the call that moves the stream.
func (m *movable) endLastCall(to roster.Target, result MoveResult, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calling, m.settled, m.result = false, true, result
	switch result.Outcome {
	case MoveDone:
		m.to, m.handle = to, result.Handle
		time.AfterFunc(sourceEndTimeout, func() { m.interrupt(errMoved) })
	case MoveKept:
		if m.handle != "" {
			m.h.freeHandle(m.to, m.handle)
		}
		m.to, m.handle, m.refusedBy = roster.Target{}, result.Handle, to.ID
		m.notMoved(reason)
		time.AfterFunc(sourceEndTimeout, func() { m.interrupt(errMoved) })
	case MoveRejected:
		m.notMoved(reason)
		m.watch.release()
	case moveNotSent:
		if m.unsent++; m.unsent < maxUnsentMoves {
			m.settled = false
		} else {
			m.notMoved(reason)
		}
		m.watch.release()
	default:
		m.notMoved(reason)
		if m.cutIfUnknown {
			m.interrupt(errMoveUnanswered)
		}
	}
	close(m.last)
	if result.Outcome == moveNotSent {
		m.last = nil
	}
	if m.closed && !m.taken {
		m.freeBoth()
	}
}

// awaitLast waits until no last call is under way, and returns the outcome of the one that was made. The outcome
// MoveRejected stands for none, since the stream goes on then, too.
func (m *movable) awaitLast(ctx context.Context) MoveOutcome {
	if m == nil {
		return MoveRejected
	}
	for {
		m.mu.Lock()
		last := m.last
		if last == nil {
			m.settled = true // no call may begin any more
			m.mu.Unlock()
			return MoveRejected
		}
		m.mu.Unlock()
		select {
		case <-last:
		case <-ctx.Done():
			return MoveRejected
		}
		m.mu.Lock()
		known, outcome := m.last == last, m.result.Outcome
		m.mu.Unlock()
		if known {
			return outcome
		}
	}
}

// take returns where the memory of a stopped run is, or which engine did not take it, and leaves it to the request
// to free it.
func (m *movable) take() (to roster.Target, refusedBy target.ID, result MoveResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taken = true
	return m.to, m.refusedBy, m.result
}

// close ends the calls for a stream that is read no longer, and frees the memory that no engine will use.
func (m *movable) close() {
	if m == nil {
		return
	}
	m.h.unregisterMovable(m)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	if !m.taken && !m.calling {
		m.freeBoth()
	}
}

// freeBoth frees the memory of a stopped or ended run at both ends. The caller holds mu.
func (m *movable) freeBoth() {
	handle := m.handle
	if handle == "" {
		return
	}
	m.handle = ""
	m.h.freeHandle(m.source, handle)
	if m.to.ID != "" {
		m.h.freeHandle(m.to, handle)
	}
}

// notMoved logs and counts a stream that could not be moved.
func (m *movable) notMoved(reason string) {
	event.StreamNotMoved.Log(m.h.Log).Str("request", m.request).Str("target", string(m.source.ID)).Str("reason", reason).Send()
	m.h.Metrics.moves.WithLabelValues(m.source.Service, "not moved").Inc()
}

// freeHandle asks a target in the background to free a KV cache. The target frees it itself when its handle
// expires.
func (h *Handler) freeHandle(t roster.Target, handle string) {
	method, path := h.Protocol.ReleaseRequest(handle)
	go func() {
		defer invariant.Contain("release of a KV cache", nil)
		if !h.mayCall(t.ID) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		response, err := h.Pool.Do(ctx, t.Address, &upstream.Request{Method: method, Target: path, Host: t.Address, Header: http.Header{}})
		if err == nil {
			h.parseResponse(response)
			drain(response)
		}
	}()
}
