package dispatch

import (
	"cmp"
	"slices"
	"time"

	"zinniapin/roster"
	"zinniapin/target"
)

// A target that leaves cuts the streams that it has not finished. Engines can hand a running stream to another
// engine; PlanMoves decides which streams are handed on, and when.

const (
	// assumedTimeLeft is the time left of a target that says that it leaves, but not when.
	assumedTimeLeft = time.Second
	// endMargin is the time before its target leaves by which a stream must be forecast to end to be left alone.
	endMargin = 300 * time.Millisecond
	// moveLead is the time before the target leaves at which the last streams are moved. A stream must be moved
	// 500 ms before that time; 100 ms are for the calls that are under way.
	moveLead = 600 * time.Millisecond
	// moveTime is the assumed duration of the call that moves a stream, with maxMoves under way.
	moveTime = 150 * time.Millisecond
	// maxMoves bounds the calls that a host has under way at one source, since copies share its link.
	maxMoves = 4
	// copyAheadLead is how long before its move the memory of a stream is copied a first time, which leaves
	// less to copy while the stream stands still. Later than minCopyAheadLead it would delay the move.
	copyAheadLead    = 400 * time.Millisecond
	minCopyAheadLead = 250 * time.Millisecond
	// unknownOutput is the forecast of a stream whose largest length is not known.
	unknownOutput = time.Hour
)

// LeavingStream is a stream at a target that leaves.
type LeavingStream struct {
	// Remaining is the forecast time until the stream ends; see RemainingOutput.
	Remaining time.Duration
	// Calling is set while a call that copies or moves the stream is under way.
	Calling bool
	// Copied is set once its memory was copied ahead, or that has failed.
	Copied bool
	// Settled is set if the stream has to stay where it is.
	Settled bool
}

// MoveAction is what to do with a stream at a target that leaves.
type MoveAction string

// Actions. They hold for the moment at which they were decided.
const (
	MoveWait  MoveAction = "wait"       // the stream is moved later
	MoveCopy  MoveAction = "copy ahead" // copy its memory while it goes on
	MoveNow   MoveAction = "move"
	MoveLeave MoveAction = "leave" // the stream ends in time, or cannot be moved
)

// PlanMoves decides what to do with all streams that this host has at a target that leaves within the given
// time, one action for each. It is to be called again several times until the target has left. The streams
// with the longest remaining output are moved first; with more than maxMoves of them the first moves begin
// earlier, so that the last ones still have moveLead.
func PlanMoves(left time.Duration, all []LeavingStream) []MoveAction {
	actions := make([]MoveAction, len(all))
	var moving []int
	calls := 0
	for i, s := range all {
		actions[i] = MoveLeave
		switch {
		case s.Calling:
			calls++
			actions[i] = MoveWait
		case !s.Settled && left > 0 && s.Remaining+endMargin > left:
			moving = append(moving, i)
			actions[i] = MoveWait
		}
	}
	slices.SortStableFunc(moving, func(a, b int) int { return cmp.Compare(all[b].Remaining, all[a].Remaining) })
	untilMove := func(position int) time.Duration {
		later := (len(moving)-1)/maxMoves - position/maxMoves
		return left - moveLead - time.Duration(later)*moveTime
	}
	for position, i := range moving {
		if untilMove(position) <= 0 && calls < maxMoves {
			actions[i] = MoveNow
			calls++
		}
	}
	for position, i := range moving {
		until := untilMove(position)
		if until <= copyAheadLead && until >= minCopyAheadLead && !all[i].Copied && calls < maxMoves {
			actions[i] = MoveCopy
			calls++
		}
	}
	return actions
}

// OutputLength is how long the output of a stream may become, in tokens.
type OutputLength struct {
	// Expected is rarely exceeded, since a stream that is cut is lost and one that is moved needlessly is not.
	Expected int
	Max      int // 0 if not known
}

// RemainingOutput forecasts how long a stream goes on that has sent so many tokens, with the time that each
// takes. A stream that is longer than expected is assumed to end half-way to its largest length.
func RemainingOutput(sent int, length OutputLength, perToken time.Duration) time.Duration {
	if length.Max <= 0 {
		return unknownOutput
	}
	expected := length.Expected
	if sent >= expected {
		expected = sent + max(length.Max-sent, 0)/2
	}
	return time.Duration(expected-sent) * perToken
}

// TokenTime returns the time per output token at a target with the requests that run there now, or that of a
// typical target of its service if it is not listed any more.
func (p *Planner) TokenTime(now time.Time, t roster.Target) time.Duration {
	s := p.targets[t.ID]
	if s == nil {
		return milliseconds(p.outputModelOf(t.Service).tokenMillis(1))
	}
	return milliseconds(s.tokenMillis(s.runningAt(now)) * s.slowdown(now))
}

// noteLeaving records when a listed target will have left. A time left that is listed again, without a change,
// counts from when it was first listed.
func (s *state) noteLeaving(now time.Time, t roster.Target) {
	switch {
	case !t.Draining:
		s.leavesAt = time.Time{}
	case s.leavesAt.IsZero() || t.LeavesMillis != s.target.LeavesMillis:
		left := assumedTimeLeft
		if t.LeavesMillis > 0 {
			left = time.Duration(t.LeavesMillis) * time.Millisecond
		}
		s.leavesAt = now.Add(left)
	}
}

// departure is when an incarnation of a target that is no longer listed has left.
type departure struct {
	startedMillis int64
	leavesAt      time.Time
	stated        bool // by its last entry
}

// noteDepartures records when the targets have left that are listed no more. Their entries may go before they end.
func (p *Planner) noteDepartures(now time.Time, listed map[target.ID]*state) {
	for id, d := range p.departures {
		if listed[id] != nil || !now.Before(d.leavesAt) {
			delete(p.departures, id)
		}
	}
	for id, s := range p.targets {
		if listed[id] != nil {
			continue
		}
		d := departure{s.target.StartedMillis, s.leavesAt, s.target.LeavesMillis > 0}
		if d.leavesAt.IsZero() {
			d.leavesAt = now.Add(assumedTimeLeft)
		}
		if p.departures == nil {
			p.departures = make(map[target.ID]departure)
		}
		p.departures[id] = d
	}
}

// leave records that the target has said that it leaves.
func (n *notice) leave(now time.Time) {
	if !n.leaving {
		n.leavesAt = now.Add(assumedTimeLeft)
	}
	n.leaving, n.at = true, now
}

// TimeLeft returns the time until an incarnation of a target has left, and whether it leaves: its entry says so or has
// gone, or it has said so to this host or to a peer. The entry decides if it states a time.
func (p *Planner) TimeLeft(now time.Time, t roster.Target) (time.Duration, bool) {
	n := p.notices[t.ID]
	if n != nil && n.startedMillis != t.StartedMillis {
		n = nil
	}
	s, d := p.targets[t.ID], p.departures[t.ID]
	var leavesAt time.Time
	stated := false
	switch {
	case s != nil && s.target.StartedMillis == t.StartedMillis:
		leavesAt, stated = s.leavesAt, s.target.LeavesMillis > 0
	case s == nil && d.startedMillis == t.StartedMillis:
		leavesAt, stated = d.leavesAt, d.stated
	}
	if n.left() && (leavesAt.IsZero() || !stated && n.leavesAt.Before(leavesAt)) {
		leavesAt = n.leavesAt
	}
	return leavesAt.Sub(now), !leavesAt.IsZero()
}

// MoveTarget chooses the target at which a stream goes on that has begun at another one. It is the preferred
// target, to which memory was copied already, as long as that takes requests.
func (p *Planner) MoveTarget(now time.Time, j Job, from roster.Target, preferred target.ID, exclude map[target.ID]bool) (roster.Target, bool) {
	if s := p.targets[preferred]; s != nil && s.target.Service == j.Service && j.usable(now, s, exclude) {
		return s.target, true
	}
	return p.PlanDecode(now, j, from, exclude)
}
