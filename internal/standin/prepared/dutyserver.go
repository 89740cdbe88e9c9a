package prepared

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// DutyCall is a call that the server received.
type DutyCall struct {
	Path   string
	Holder string // who carries out the duty, from the request header
	Fence  uint64 // fencing token; 0 if it is missing or invalid
	Body   map[string]any
	At     time.Time // when it was carried out
	Status int       // of the response: 200, or 409 for a refused fencing token
}

// DutyServer simulates the server of the platform that accepts usage reports and target
// orders. It answers 409 to a call whose fencing token is 0 or below the highest one
// received.
type DutyServer struct {
	server *httptest.Server

	mu    sync.Mutex
	calls []DutyCall
	fence uint64 // highest fencing token received

	switches DutySwitches
	random   *rand.Rand
}

// NewDutyServer starts a server on loopback and returns it.
func NewDutyServer() *DutyServer {
	d := &DutyServer{random: newRandom("duties")}
	d.server = httptest.NewServer(http.HandlerFunc(d.serve))
	return d
}

// Address returns the IP:port of the server.
func (d *DutyServer) Address() string { return d.server.Listener.Addr().String() }

// Close stops the server.
func (d *DutyServer) Close() { d.server.Close() }

// Calls returns the calls that were received on a path, also refused ones.
func (d *DutyServer) Calls(path string) []DutyCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	var calls []DutyCall
	for _, c := range d.calls {
		if c.Path == path {
			calls = append(calls, c)
		}
	}
	return calls
}

// Change changes the switches at any time.
func (d *DutyServer) Change(change func(s *DutySwitches)) {
	d.mu.Lock()
	change(&d.switches)
	d.mu.Unlock()
}

// serve handles one call.
func (d *DutyServer) serve(w http.ResponseWriter, r *http.Request) {
	c := DutyCall{Path: r.URL.Path, Holder: r.Header.Get("X-Duty-Holder")}
	c.Fence, _ = strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64) // an invalid token is 0, which is refused
	if err := json.NewDecoder(r.Body).Decode(&c.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	s := d.switches
	refused, late, lost := d.random.Float64() < s.RefuseShare, d.random.Float64() < s.LateShare, d.random.Float64() < s.LoseShare
	d.mu.Unlock()
	switch {
	case s.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case refused:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case late:
		time.AfterFunc(s.LateBy, func() { d.carryOut(c) })
		<-r.Context().Done()
		return
	}
	time.Sleep(s.Delay)
	status := d.carryOut(c)
	if lost {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(status)
}

// carryOut records one call and checks its fencing token. It returns the status of the answer.
func (d *DutyServer) carryOut(c DutyCall) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Status, c.At = http.StatusOK, time.Now()
	if (c.Fence < d.fence || c.Fence == 0) && !d.switches.IgnoreFence {
		c.Status = http.StatusConflict
	}
	d.fence = max(d.fence, c.Fence)
	d.calls = append(d.calls, c)
	return c.Status
}
