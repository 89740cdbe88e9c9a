package world

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ServerOptions are the properties of a plain server.
type ServerOptions struct {
	// Slots is the number of requests that run at once, Queue that of those that may wait.
	Slots, Queue int
	// Work is the time that a request runs.
	Work time.Duration
	// ErrorShare is the share of idempotent requests that the server runs and answers with its own 500.
	ErrorShare float64
}

// Run is a request that a server ran.
type Run struct {
	Server, Host string
	Began, Ended time.Time
	Status       int
	// CallerLeft is set if the connection ended before the answer was written.
	CallerLeft bool
}

// Server is a plain server that follows the platform's pages.
type Server struct {
	ID      string
	options ServerOptions
	born    time.Time
	l       net.Listener
	slots   chan struct{}

	mu      sync.Mutex
	waiting int
	runs    map[string][]Run // by request id
}

// startServer starts a server on a free port.
func startServer(id string, o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, options: o, born: time.Now(), l: l, slots: make(chan struct{}, o.Slots), runs: make(map[string][]Run)}
	go func() { _ = http.Serve(l, s) }() // ends with the listener
	return s, nil
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.l.Addr().String() }

// Close ends the server.
func (s *Server) Close() { _ = s.l.Close() }

// Runs returns the runs by request id.
func (s *Server) Runs() map[string][]Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][]Run, len(s.runs))
	for id, runs := range s.runs {
		all[id] = append([]Run(nil), runs...)
	}
	return all
}

// ServeHTTP handles a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body) // an end of the connection shows below
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.ID)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	full := s.waiting >= s.options.Slots+s.options.Queue
	if !full {
		s.waiting++
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(s.slots), max(s.waiting-s.options.Slots, 0), s.options.Slots))
	s.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return // dropped from the queue
	}
	defer func() { <-s.slots }()
	run := Run{Server: s.ID, Host: strings.Split(r.RemoteAddr, ":")[0], Began: time.Now(), Status: http.StatusOK}
	if r.Method == http.MethodGet && rand.Float64() < s.options.ErrorShare {
		run.Status = http.StatusInternalServerError
	}
	time.Sleep(s.options.Work/2 + rand.N(s.options.Work))
	run.CallerLeft = r.Context().Err() != nil
	w.Header().Set("X-Response-Signature", s.ID+"."+id)
	w.Header().Set("Content-Length", "800")
	w.WriteHeader(run.Status)
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
	run.Ended = time.Now()
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], run)
	s.mu.Unlock()
}
