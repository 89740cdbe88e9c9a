package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"zinniapin/target"
	"zinniapin/target/httpengine"
)

// readHeaderTimeout limits how long a client may take to send the header of a request.
const readHeaderTimeout = 10 * time.Second

// Server serves an engine over HTTP.
type Server struct {
	// Engine is the engine behind the HTTP interface.
	Engine *Engine

	address string
	mu      sync.Mutex
	server  *http.Server
	closed  bool
}

// Start creates an engine and serves it at an address, such as 127.0.0.1:0.
func Start(address string, o Options) (*Server, error) {
	s := &Server{Engine: New(o)}
	if err := s.listen(address); err != nil {
		return nil, err
	}
	s.Engine.mu.Lock()
	s.Engine.onCrash = s.handleCrash
	s.Engine.mu.Unlock()
	return s, nil
}

// listen opens a listener and serves requests in the background.
func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout}
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Address returns the IP:port of the engine.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close shuts down the engine and its HTTP server.
func (s *Server) Close() {
	s.Engine.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.server.Close()
}

// handleCrash closes the listener and all connections, and schedules a restart if restart
// is above 0.
func (s *Server) handleCrash(restart time.Duration) {
	s.mu.Lock()
	_ = s.server.Close()
	s.mu.Unlock()
	if restart > 0 {
		time.AfterFunc(restart, func() { _ = s.Restart() })
	}
}

// Restart starts a crashed engine again and serves it at the same address.
func (s *Server) Restart() error {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed || !s.Engine.Down() {
		return nil
	}
	s.Engine.Restart()
	return s.listen(s.Address())
}

// routes returns the engine's HTTP interface.
func (s *Server) routes() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc(httpengine.GeneratePath, s.generate).Methods(http.MethodPost)
	routes.HandleFunc(httpengine.GeneratePath+"/{attempt}", s.cancel).Methods(http.MethodDelete)
	routes.HandleFunc(httpengine.ReportPath, s.report).Methods(http.MethodGet)
	routes.HandleFunc(httpengine.OrdersPath, s.order).Methods(http.MethodPost)
	routes.HandleFunc(httpengine.CacheEventsPath, s.cacheEvents).Methods(http.MethodGet)
	routes.HandleFunc(httpengine.KVPath+"/{handle}", s.kv).Methods(http.MethodGet)
	routes.HandleFunc("/faults", s.faults).Methods(http.MethodPost)
	return routes
}

// readRequest records a request and decodes its body. If that fails it replies with the
// error and returns false.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpengine.MaxRequestBytes))
	s.Engine.recordHTTP(HTTPRecord{r.Method, r.URL.Path, r.Header.Clone(), body})
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, httpengine.Refusal{NotRun: true, Message: err.Error()})
		return false
	}
	return true
}

// generate answers POST GeneratePath.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var wire httpengine.Generate
	if !s.readRequest(w, r, &wire) {
		return
	}
	stream, err := s.Engine.Generate(r.Context(), target.GenerateRequest(wire))
	if err != nil {
		replyError(w, err)
		return
	}
	defer func() { _ = stream.Close() }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush(w)
	encoder := json.NewEncoder(w)
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil || encoder.Encode(httpengine.Chunk(chunk)) != nil {
			panic(http.ErrAbortHandler)
		}
		flush(w)
	}
}

// flush sends the buffered part of the response to the client.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}

// replyError writes the reply for an error of the engine. For an error other than a
// refusal it aborts the connection, as the outcome of the call may be uncertain.
func replyError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, target.ErrRefused):
		reply(w, http.StatusServiceUnavailable, httpengine.Refusal{NotRun: true, Message: err.Error()})
	case errors.Is(err, target.ErrStaleFence):
		reply(w, http.StatusConflict, httpengine.Refusal{StaleFence: true, Message: err.Error()})
	default:
		panic(http.ErrAbortHandler)
	}
}

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// cancel answers DELETE GeneratePath/{attempt}.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.Engine.Cancel(mux.Vars(r)["attempt"])
	w.WriteHeader(http.StatusNoContent)
}

// report answers GET ReportPath.
func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, httpengine.FromReport(s.Engine.Report()))
}

// order answers POST OrdersPath.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var wire httpengine.Order
	if !s.readRequest(w, r, &wire) {
		return
	}
	// The order is carried out even if its sender disconnects.
	err := s.Engine.Send(context.WithoutCancel(r.Context()), target.Order(wire))
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, httpengine.OrderReply{ID: wire.ID, Applied: true})
}

// cacheEvents answers GET CacheEventsPath.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	reply(w, http.StatusOK, s.Engine.CacheEvents(after))
}

// kv answers GET KVPath/{handle}.
func (s *Server) kv(w http.ResponseWriter, r *http.Request) {
	export, err := s.Engine.Export(mux.Vars(r)["handle"])
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, export)
}

// faults answers POST /faults.
func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, httpengine.MaxReplyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Engine.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
