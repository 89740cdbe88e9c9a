package dispatch

import (
	"math"
	"time"
)

const (
	// turnTime is how long a turn lasts. In a time t a target gets no more requests than turns overlap with it,
	// those of t and turnTime.
	turnTime = 2 * time.Second
	// turnShare is the share of the limit that turns allow while it isn't known what all hosts have sent.
	turnShare = 0.95
	// aimShare is the share of the limit that hosts aim at by what they hear of each other, within sentSpan.
	aimShare = 1.15
	sentSpan = 4 * time.Second
	// turnPhase spreads the beginnings of turns evenly, however many there are.
	turnPhase = 0.6180339887498949
	// maxMoreTurns is by how much the number of turns is multiplied at most.
	maxMoreTurns = 1.5
	// moreTurnsInterval is how often that changes.
	moreTurnsInterval = 100 * time.Millisecond
)

// turns are the requests that hosts may send to a target with a limit. In each turn one host may send one; so
// many turns run at a time that their number in a second is the limit. All hosts know whose turn it is by
// rendezvous hashing over the fleet and the time. Hosts tell each other how many requests they have sent: more
// turns run while these are few, since many hosts have none to send in their turns, and fewer while they are
// too many.
type turns struct {
	key     uint32  // of the target
	notice  *notice // of the target
	places  []place
	running float64     // number of places that count
	owed    int         // requests that were sent without a turn
	sentAt  []time.Time // within sentSpan
	begunAt time.Time   // when this host began to count what is sent
	more    float64     // as moreTurns returned
	moreAt  time.Time   // when
}

// place is one of the turns that run at a time, one after the other.
type place struct {
	turn int64   // the number of the present one
	mine bool    // it is this host's, and not used
	from float64 // it counts if so many turns run
}

// update finds out whose turns it is, with so many turns beginning in a second if all are used.
func (t *turns) update(now time.Time, f *fleet, perSecond float64) {
	usual := perSecond * turnTime.Seconds()
	if t.begunAt.IsZero() {
		t.begunAt = now
	}
	if t.more == 0 || now.Sub(t.moreAt) >= moreTurnsInterval {
		t.more, t.moreAt = t.moreTurns(now, f, usual), now
	}
	t.running = usual * t.more
	at := float64(now.Add(f.offset).UnixNano()) / float64(turnTime)
	for i := range int(math.Ceil(t.running)) {
		if i == len(t.places) {
			t.places = append(t.places, place{turn: math.MinInt64})
		}
		// A turn that this host had is not its own again if its clock is set back.
		if turn := int64(math.Floor(at + turnPhase*float64(i))); turn > t.places[i].turn {
			t.places[i] = t.placeOf(f, i, turn)
		}
	}
	for t.owed > 0 && t.take() {
		t.owed--
	}
}

// moreTurns returns by how much the usual number of running turns is multiplied, at most by 1 while it isn't
// known what all hosts have sent.
func (t *turns) moreTurns(now time.Time, f *fleet, usual float64) float64 {
	sent := t.sent(now)
	for _, l := range t.notice.peers {
		if now.Sub(l.at) <= peerLoadTTL {
			sent += l.Sent
		}
	}
	most := 1.0
	if f.heard(now) && now.Sub(t.begunAt) >= sentSpan {
		most = maxMoreTurns
	}
	aim := usual / turnShare * aimShare * float64(sentSpan) / float64(turnTime)
	return min((aim+1)/float64(sent+1), most)
}

// placeOf returns a place in a turn.
func (t *turns) placeOf(f *fleet, i int, turn int64) place {
	seed := mix(uint64(t.key)<<32|uint64(uint32(turn))) ^ mix(uint64(i)+1)
	p := place{turn: turn, mine: true, from: float64(i) + float64(mix(seed))/math.MaxUint64}
	if p.from > t.running {
		p.mine = false // also when more turns run before this one ends
		return p
	}
	own := mix(seed ^ f.self)
	for _, other := range f.others {
		if mix(seed^other) > own {
			p.mine = false
		}
	}
	return p
}

// counts tells whether a place is this host's turn.
func (t *turns) counts(p place) bool { return p.mine && p.from <= t.running }

// has tells whether this host has a turn.
func (t *turns) has() bool {
	for _, p := range t.places {
		if t.counts(p) {
			return true
		}
	}
	return false
}

// take uses up a turn of this host. It returns false if there is none.
func (t *turns) take() bool {
	for i := range t.places {
		if t.counts(t.places[i]) {
			t.places[i].mine = false
			return true
		}
	}
	return false
}

// use counts a request that is sent.
func (t *turns) use(now time.Time) {
	t.sentAt = append(t.sentAt, now)
	if !t.take() {
		t.owed++
	}
}

// sent returns the number of requests that this host has sent within sentSpan.
func (t *turns) sent(now time.Time) int {
	for len(t.sentAt) > 0 && now.Sub(t.sentAt[0]) >= sentSpan {
		t.sentAt = t.sentAt[1:]
	}
	return len(t.sentAt)
}
