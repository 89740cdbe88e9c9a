// Package service simulates a plain service: deposits and certificates, which must not be
// executed twice, and drafts and a status route, which may be called at will.
package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
)

// NotRunHeader is the header that is "true" in a refusal of a call that was not executed.
const NotRunHeader = "Zinnia-Not-Run"

// Limits of calls.
const (
	maxBodyBytes      = 1 << 20
	readHeaderTimeout = 10 * time.Second
	maxRecords        = 100_000
)

// Faults are the faults to inject. A count falls by one each time its fault is injected.
type Faults struct {
	// DelayMillis delays every call before it is executed, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of calls that are executed but get no answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Refuse is the number of calls to refuse without executing them.
	Refuse int `json:"refuse,omitempty"`
	// CrashBefore is the number of calls that crash the service before they are executed.
	CrashBefore int `json:"crash_before,omitempty"`
	// CrashAfter is the number of calls that crash the service after they were executed.
	CrashAfter int `json:"crash_after,omitempty"`
	// CrashOn crashes the service before it executes a call whose body contains this text;
	// empty means never.
	CrashOn string `json:"crash_on,omitempty"`
	// RestartMillis is how long the service stays down after a crash; 0 means until
	// Restart is called.
	RestartMillis int `json:"restart_ms,omitempty"`
}

// Call is a call that the service received.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// operation is the body of a request for a deposit or a certificate.
type operation struct {
	ID string `json:"id"`
}

// answer is the body of the response to a deposit, a certificate or a status request.
type answer struct {
	ID    string `json:"id"`
	Kind  string `json:"kind,omitempty"`
	State string `json:"state"`
	// Number is the number of operations that the service has executed, over all ids.
	Number int `json:"number,omitempty"`
}

// Server is the simulated service. It is safe for concurrent use. It remembers what it
// executed when it crashes.
type Server struct {
	mu         sync.Mutex
	address    string
	server     *http.Server
	down       bool
	closed     bool
	faults     Faults
	runsByID   map[string]int // number of executions by id
	executions int
	received   []Call
}

// Start serves a service at an address, such as 127.0.0.1:0.
func Start(address string) (*Server, error) {
	s := &Server{runsByID: map[string]int{}}
	if err := s.listen(address); err != nil {
		return nil, err
	}
	return s, nil
}

// listen opens a listener and serves requests in the background.
func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/deposits", s.handleOperation("deposit")).Methods(http.MethodPost)
	routes.HandleFunc("/certificates", s.handleOperation("certificate")).Methods(http.MethodPost)
	routes.HandleFunc("/drafts", s.handleOperation("draft")).Methods(http.MethodPost)
	routes.HandleFunc("/status/{id}", s.getStatus).Methods(http.MethodGet)
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

// Close stops the service; Restart does not start it again.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.server.Close()
}

// Crash closes the listener and all connections until Restart is called.
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
	running := s.closed || !s.down
	s.mu.Unlock()
	if running {
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

// Runs returns how often each id was executed.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runsByID))
	for id, n := range s.runsByID {
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

// consumeFault decrements a count of faults and returns true, or returns false if it is
// zero.
func (s *Server) consumeFault(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// recordCall records a call and waits for the injected delay.
func (s *Server) recordCall(r *http.Request, body []byte) {
	s.mu.Lock()
	if len(s.received) < maxRecords {
		s.received = append(s.received, Call{r.Method, r.URL.Path, r.Header.Clone(), body})
	}
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
}

// handleOperation returns the handler for one kind of operation.
func (s *Server) handleOperation(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		s.recordCall(r, body)
		var o operation
		if err != nil || json.Unmarshal(body, &o) != nil || o.ID == "" {
			replyNotRun(w, http.StatusBadRequest, "the body has no id")
			return
		}
		if s.crashesOn(body) {
			s.Crash()
			panic(http.ErrAbortHandler)
		}
		s.execute(w, kind, o.ID)
	}
}

// crashesOn tells whether a body contains the text of CrashOn.
func (s *Server) crashesOn(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.CrashOn != "" && strings.Contains(string(body), s.faults.CrashOn)
}

// execute executes an operation, applies the faults and answers.
func (s *Server) execute(w http.ResponseWriter, kind, id string) {
	if s.consumeFault(func(f *Faults) *int { return &f.Refuse }) {
		replyNotRun(w, http.StatusServiceUnavailable, "refused by a fault")
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.CrashBefore }) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.runsByID[id]++
	s.executions++
	executions := s.executions
	s.mu.Unlock()
	if s.consumeFault(func(f *Faults) *int { return &f.CrashAfter }) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if s.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusCreated, answer{ID: id, Kind: kind, State: "done", Number: executions})
}

// getStatus answers GET /status/{id}.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	s.recordCall(r, nil)
	if s.consumeFault(func(f *Faults) *int { return &f.Refuse }) {
		replyNotRun(w, http.StatusServiceUnavailable, "refused by a fault")
		return
	}
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	executed := s.runsByID[id] > 0
	s.mu.Unlock()
	if !executed {
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

// replyNotRun answers that the call was not executed.
func replyNotRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set(NotRunHeader, "true")
	http.Error(w, message, status)
}

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, status int, body answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
