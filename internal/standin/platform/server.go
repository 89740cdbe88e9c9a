// Package platform simulates the platform's services over HTTP: the object API, orders for
// targets, usage reports, the list of hosts and the weight store. Tests inject faults.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"zinniapin/internal/standin/objects"
	"zinniapin/provider"
	"zinniapin/provider/httpapi"
	"zinniapin/store"
	"zinniapin/store/httpstore"
	"zinniapin/target"
)

// readHeaderTimeout limits how long a client may take to send the header of a request.
const readHeaderTimeout = 10 * time.Second

// Provider starts and stops the targets that the platform sells.
type Provider interface {
	// Start starts a target for an order and returns its address.
	Start(id target.ID, o provider.TargetOrder) (address string, err error)
	// ChecksFence tells whether the targets refuse orders with an old fencing number.
	ChecksFence() bool
	// Stop stops a target.
	Stop(id target.ID)
}

// Options describe a platform. Fields with a default take it when they are zero.
type Options struct {
	// Hosts is the initial list of hosts.
	Hosts []provider.Host
	// HostLag is the age of the list of hosts that callers see. Default 0.
	HostLag time.Duration
	// Provider starts the targets that are bought. Without one, the platform sells none.
	Provider Provider
	// ProvisionDelay is the time from an order until its targets start. Default 0.
	ProvisionDelay time.Duration
	// WeightReads is the number of reads per second that the weight store allows. Default
	// 2.
	WeightReads float64
}

// defaultWeightReads is the default of Options.WeightReads.
const defaultWeightReads = 2

// Server is the simulated platform. It is safe for concurrent use.
type Server struct {
	// Objects holds the objects. Faults of its own affect single calls of the object API.
	Objects *objects.Store

	options     Options
	server      *http.Server
	address     string
	weightReads *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	hosts   hostList
	orders  map[string]provider.TargetOrderResult // by order id
	bought  int                                   // targets bought so far; numbers their ids
	timers  []*time.Timer
	usage   map[usageKey]provider.UsageReport
	records Records
}

// Start serves a platform at an address, such as 127.0.0.1:0.
func Start(address string, o Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if o.WeightReads == 0 {
		o.WeightReads = defaultWeightReads
	}
	s := &Server{
		Objects:     objects.New(),
		options:     o,
		address:     listener.Addr().String(),
		weightReads: rate.NewLimiter(rate.Limit(o.WeightReads), 1),
		orders:      map[string]provider.TargetOrderResult{},
		usage:       map[usageKey]provider.UsageReport{},
	}
	s.hosts.lag = o.HostLag
	s.hosts.set(time.Now(), o.Hosts)
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the IP:port of the platform.
func (s *Server) Address() string {
	return s.address
}

// URL returns the base URL of all interfaces.
func (s *Server) URL() string {
	return "http://" + s.address
}

// Close stops the platform. It does not stop targets that were bought; their provider
// does.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.timers {
		t.Stop()
	}
	_ = s.server.Close()
}

// routes returns the handler of the platform's interfaces and of the test interfaces.
// Faults do not affect the test interfaces.
func (s *Server) routes() http.Handler {
	routes := mux.NewRouter()
	faulty := routes.NewRoute().Subrouter()
	faulty.Use(s.injectFaults)
	faulty.HandleFunc(httpstore.Path, s.getObject).Methods(http.MethodGet)
	faulty.HandleFunc(httpstore.Path, s.putObject).Methods(http.MethodPut)
	faulty.HandleFunc(httpstore.Path, s.deleteObject).Methods(http.MethodDelete)
	faulty.HandleFunc(httpapi.OrdersPath, s.postOrder).Methods(http.MethodPost)
	faulty.HandleFunc(httpapi.OrdersPath+"/{id}", s.getOrder).Methods(http.MethodGet)
	faulty.HandleFunc(httpapi.ReportsPath, s.postReports).Methods(http.MethodPost)
	faulty.HandleFunc(httpapi.HostsPath, s.listHosts).Methods(http.MethodGet)
	faulty.HandleFunc("/weights/{model}", s.getWeights).Methods(http.MethodGet)
	routes.HandleFunc("/faults", s.postFaults).Methods(http.MethodPost)
	routes.HandleFunc("/reclaim", s.postReclaim).Methods(http.MethodPost)
	routes.HandleFunc("/reports", s.showReports).Methods(http.MethodGet)
	routes.HandleFunc("/orders", s.showOrders).Methods(http.MethodGet)
	return routes
}

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readBody decodes a JSON body. If that fails it replies with the error and returns false.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, httpapi.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		reply(w, http.StatusBadRequest, httpapi.Refusal{Refused: true, Message: err.Error()})
		return false
	}
	return true
}

// weightBytes is the size of the data that the simulated weight store returns for a model.
const weightBytes = 1 << 10

// getWeights answers GET /weights/{model}.
func (s *Server) getWeights(w http.ResponseWriter, _ *http.Request) {
	if !s.weightReads.Allow() {
		reply(w, http.StatusTooManyRequests, httpapi.Refusal{Refused: true, Message: "too many reads"})
		return
	}
	_, _ = w.Write(make([]byte, weightBytes))
}

// maxObjectBytes limits how much of the value of an object is read: one byte above the
// allowed size, so that too large a value is noticed.
const maxObjectBytes = store.MaxValueBytes + 1
