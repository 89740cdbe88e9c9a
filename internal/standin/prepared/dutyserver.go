package prepared

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// DutyCall is a call that the server received.
type DutyCall struct {
	At     time.Time
	Path   string
	Holder string // who carries out the duty, from the request header
	Fence  uint64 // fencing token; 0 if it is missing or invalid
	Body   map[string]any
	Status int // of the response: 200, or 409 for a refused fencing token
}

// DutyServer simulates the server of the platform that accepts usage reports and target
// orders. It answers 409 to a call whose fencing token is 0 or below the highest one
// received.
type DutyServer struct {
	server *httptest.Server

	mu    sync.Mutex
	calls []DutyCall
	fence uint64 // highest fencing token received
}

// NewDutyServer starts a server on loopback and returns it.
func NewDutyServer() *DutyServer {
	d := &DutyServer{}
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

// serve records one call and checks its fencing token.
func (d *DutyServer) serve(w http.ResponseWriter, r *http.Request) {
	c := DutyCall{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("X-Duty-Holder"), Status: http.StatusOK}
	c.Fence, _ = strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64) // an invalid token is 0, which is refused
	if err := json.NewDecoder(r.Body).Decode(&c.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Fence < d.fence || c.Fence == 0 {
		c.Status = http.StatusConflict
	}
	d.fence = max(d.fence, c.Fence)
	d.calls = append(d.calls, c)
	w.WriteHeader(c.Status)
}
