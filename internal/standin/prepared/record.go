package prepared

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Record is what a target did for a request.
type Record struct {
	ID        string    // of the request as it arrived
	Ended     time.Time // when the target had finished with it; zero while it is at work
	Due       time.Time // when it would have finished if its caller had stayed
	Status    int       // of the answer; 0 if there is none
	Signature string
	Answer    string // the whole body; of a stream, from its first event on
	BrokeOff  bool   // the target broke off, or answered another request; a crash is not recorded here
	Leaving   bool   // the answer says that the target leaves
	Pause     time.Duration
}

// endless is how long a target would work on a request that it never answers.
const endless = time.Hour

// newRecord returns what the target will do for a request unless its caller leaves.
func (t *Target) newRecord(request *http.Request, f Fault, prefill bool) Record {
	now := time.Now()
	r := Record{ID: request.Header.Get("X-Request-Id"), Due: now, Status: http.StatusOK, Signature: "s", Answer: "answer of " + t.ID}
	if t.Echo {
		r.Answer = r.ID
	}
	stream := request.Header.Get("X-Token-Count") != ""
	if stream {
		r.Due, r.Signature, r.Answer = now.Add(time.Duration(t.Events)*t.slowed(t.switches().EventPause)), t.ID, ""
		for i := t.FirstID; i < t.FirstID+t.Events; i++ {
			r.Answer += Event(i, t.softwareVersion())
		}
		r.BrokeOff = t.breaksStream(request, f)
	}
	if prefill {
		r.Signature, r.Answer, r.BrokeOff = "", "", false
	}
	switch f {
	case RefuseNotRun, RefusePause, RefuseUnmarked:
		r.Status, r.Signature, r.Answer = http.StatusServiceUnavailable, "", ""
	case WrongInstance:
		r.Status, r.Signature, r.Answer = http.StatusMisdirectedRequest, "", ""
	case RunAndFail:
		r.Status, r.Signature, r.Answer = http.StatusInternalServerError, "s", "failed"
	case RunAndHang:
		r.Status, r.Due = 0, now.Add(endless)
	case RunAndReset:
		r.Status, r.BrokeOff = 0, true
	case WrongRequestID, Truncated, Garbage:
		r.Answer, r.BrokeOff = "", true
	}
	if f == RefusePause {
		r.Pause = time.Second
	}
	r.Leaving = r.Status != 0 && f != Truncated && f != Garbage && strings.Contains(t.extraHeader(), "Server-Leaving")
	return r
}

// breaksStream tells whether the target breaks off before a stream's end.
func (t *Target) breaksStream(request *http.Request, f Fault) bool {
	after, left := t.switches().BreakAfter, t.Events
	if f == BrokenStream {
		after = 2
	}
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		left = t.FirstID + t.Events - 1 - last
	}
	return after > 0 && after < left
}

// addArrival adds an arrival and returns its number. One that was read while a crash closed its connection
// gets no answer.
func (t *Target) addArrival(a Arrival) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.BrokeOff = a.BrokeOff || t.listener == nil
	t.arrivals = append(t.arrivals, a)
	return len(t.arrivals) - 1
}

// recordEnd records that the target has finished with an arrival.
func (t *Target) recordEnd(number int) {
	t.mu.Lock()
	t.arrivals[number].Ended = time.Now()
	t.mu.Unlock()
}

// Silence is a time in which a target sent nothing.
type Silence struct{ From, To time.Time }

// Silences returns the times of FallSilent.
func (t *Target) Silences() []Silence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Silence(nil), t.silences...)
}
