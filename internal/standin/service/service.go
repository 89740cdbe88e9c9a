// Package service is a stand-in for a plain service: deposits and
// certificates, which must not be repeated, and an open status route.
package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
)

// NotRunHeader is set to "true" by a refusal that ran nothing.
const NotRunHeader = "Zinnia-Not-Run"

// Bounds of calls.
const (
	maxBodyBytes      = 1 << 20
	readHeaderTimeout = 10 * time.Second
	maxRecords        = 100_000
)

// Faults are what goes wrong at a service. Counts fall by one with each use.
type Faults struct {
	// DelayMillis delays every call before it runs, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of calls to run without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Refuse is the number of calls to refuse unrun.
	Refuse int `json:"refuse,omitempty"`
	// CrashBefore is the number of calls to end the service before they run.
	CrashBefore int `json:"crash_before,omitempty"`
	// CrashAfter is the number of calls to end the service after they ran.
	CrashAfter int `json:"crash_after,omitempty"`
	// RestartMillis is how long the service stays down after a crash; 0 means
	// until Restart.
	RestartMillis int `json:"restart_ms,omitempty"`
}

// Call is a call as the service received it.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// operation is the body of a deposit or a certificate.
type operation struct {
	ID string `json:"id"`
}

// answer is the answer to a deposit, a certificate or a status.
type answer struct {
	ID    string `json:"id"`
	Kind  string `json:"kind,omitempty"`
	State string `json:"state"`
	// Number counts what the service ran, over all ids.
	Number int `json:"number,omitempty"`
}

// Server is the stand-in. It is safe for concurrent use. What it ran outlives
// its crashes.
type Server struct {
	mu       sync.Mutex
	address  string
	server   *http.Server
	down     bool
	closed   bool
	faults   Faults
	runs     map[string]int // executions by id
	number   int
	received []Call
}

// Start serves a service at an address, such as 127.0.0.1:0.
func Start(address string) (*Server, error) {
	s := &Server{runs: map[string]int{}}
	if err := s.listen(address); err != nil {
		return nil, err
	}
	return s, nil
}

// listen opens the listener and serves.
func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/deposits", s.operate("deposit")).Methods(http.MethodPost)
	routes.HandleFunc("/certificates", s.operate("certificate")).Methods(http.MethodPost)
	routes.HandleFunc("/status/{id}", s.status).Methods(http.MethodGet)
	routes.HandleFunc("/faults", s.setFaults).Methods(http.MethodPost)
	server := &http.Server{Handler: routes, ReadHeaderTimeout: readHeaderTimeout}
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.server = server
	s.down = false
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Address returns the IP:port of the service.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close ends the service for good.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.server.Close()
}

// Crash closes the listener and every connection, until Restart.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	_ = s.server.Close()
	if s.faults.RestartMillis > 0 {
		after := time.Duration(s.faults.RestartMillis) * time.Millisecond
		time.AfterFunc(after, func() { _ = s.Restart() })
	}
}

// Restart serves again at the same address after a crash.
func (s *Server) Restart() error {
	s.mu.Lock()
	stay := s.closed || !s.down
	s.mu.Unlock()
	if stay {
		return nil
	}
	return s.listen(s.Address())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of executions by id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Calls returns the calls received so far.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.received...)
}

// take uses up one of a counted fault and tells whether there was one.
func (s *Server) take(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// record keeps a call and waits out the delay.
func (s *Server) record(r *http.Request, body []byte) {
	s.mu.Lock()
	if len(s.received) < maxRecords {
		s.received = append(s.received, Call{r.Method, r.URL.Path, r.Header.Clone(), body})
	}
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
}

// operate returns the handler of a kind of operation.
func (s *Server) operate(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		s.record(r, body)
		var o operation
		if err != nil || json.Unmarshal(body, &o) != nil || o.ID == "" {
			refuse(w, http.StatusBadRequest, "the body has no id")
			return
		}
		s.run(w, kind, o.ID)
	}
}

// run executes an operation, with the faults around it.
func (s *Server) run(w http.ResponseWriter, kind, id string) {
	if s.take(func(f *Faults) *int { return &f.Refuse }) {
		refuse(w, http.StatusServiceUnavailable, "refused by a fault")
		return
	}
	if s.take(func(f *Faults) *int { return &f.CrashBefore }) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.runs[id]++
	s.number++
	number := s.number
	s.mu.Unlock()
	if s.take(func(f *Faults) *int { return &f.CrashAfter }) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if s.take(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusCreated, answer{ID: id, Kind: kind, State: "done", Number: number})
}

// status answers GET /status/{id}.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.record(r, nil)
	if s.take(func(f *Faults) *int { return &f.Refuse }) {
		refuse(w, http.StatusServiceUnavailable, "refused by a fault")
		return
	}
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	known := s.runs[id] > 0
	s.mu.Unlock()
	if !known {
		reply(w, http.StatusNotFound, answer{ID: id, State: "unknown"})
		return
	}
	reply(w, http.StatusOK, answer{ID: id, State: "done"})
}

// setFaults answers POST /faults.
func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// refuse answers that nothing ran.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(NotRunHeader, "true")
	http.Error(w, message, status)
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, body answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
