// Package platform is a stand-in for the platform's services over HTTP: the
// object API, the target interface, the usage-report interface, the list of
// hosts and the weight store, with faults.
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

// readHeaderTimeout bounds the reading of a request's header.
const readHeaderTimeout = 10 * time.Second

// Provider makes and ends the targets that are bought.
type Provider interface {
	// Start makes a target for an order and returns its address.
	Start(id target.ID, o provider.TargetOrder) (address string, err error)
	// ChecksFence tells whether the targets refuse an old fencing number.
	ChecksFence() bool
	// Stop ends a target.
	Stop(id target.ID)
}

// Options describe a platform. Zero values take the defaults.
type Options struct {
	// Hosts is the list of hosts at start.
	Hosts []provider.Host
	// HostLag is the age of the list that is shown. Default 0.
	HostLag time.Duration
	// Provider makes bought targets. Without one, none can be had.
	Provider Provider
	// ProvisionDelay is the time from an order to its targets. Default 0.
	ProvisionDelay time.Duration
	// WeightReads is the number of reads a second that the weight store
	// allows. Default 2.
	WeightReads float64
}

// defaultWeightReads is the default of Options.WeightReads.
const defaultWeightReads = 2

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	// Objects holds the objects, and takes faults of single calls.
	Objects *objects.Store

	options Options
	server  *http.Server
	address string
	weights *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	hosts   hostList
	orders  map[string]provider.TargetOrderResult // by order id
	bought  int
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
		Objects: objects.New(),
		options: o,
		address: listener.Addr().String(),
		weights: rate.NewLimiter(rate.Limit(o.WeightReads), 1),
		orders:  map[string]provider.TargetOrderResult{},
		usage:   map[usageKey]provider.UsageReport{},
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

// URL returns the base URL of every interface.
func (s *Server) URL() string {
	return "http://" + s.address
}

// Close ends the platform. Targets that were bought stay with the provider.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.timers {
		t.Stop()
	}
	_ = s.server.Close()
}

// routes returns the platform's HTTP interfaces.
func (s *Server) routes() http.Handler {
	routes := mux.NewRouter()
	faulty := routes.NewRoute().Subrouter()
	faulty.Use(s.disturb)
	faulty.HandleFunc(httpstore.Path, s.getObject).Methods(http.MethodGet)
	faulty.HandleFunc(httpstore.Path, s.putObject).Methods(http.MethodPut)
	faulty.HandleFunc(httpstore.Path, s.deleteObject).Methods(http.MethodDelete)
	faulty.HandleFunc(httpapi.OrdersPath, s.order).Methods(http.MethodPost)
	faulty.HandleFunc(httpapi.OrdersPath+"/{id}", s.lookup).Methods(http.MethodGet)
	faulty.HandleFunc(httpapi.ReportsPath, s.report).Methods(http.MethodPost)
	faulty.HandleFunc(httpapi.HostsPath, s.listHosts).Methods(http.MethodGet)
	faulty.HandleFunc("/weights/{model}", s.weight).Methods(http.MethodGet)
	routes.HandleFunc("/faults", s.postFaults).Methods(http.MethodPost)
	routes.HandleFunc("/reclaim", s.postReclaim).Methods(http.MethodPost)
	routes.HandleFunc("/reports", s.showReports).Methods(http.MethodGet)
	routes.HandleFunc("/orders", s.showOrders).Methods(http.MethodGet)
	return routes
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// read decodes a JSON body, or answers that it cannot.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, httpapi.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		reply(w, http.StatusBadRequest, httpapi.Refusal{Refused: true, Message: err.Error()})
		return false
	}
	return true
}

// weightBytes is the size of the stand-in for a model's weights, in bytes.
const weightBytes = 1 << 10

// weight answers GET /weights/{model}.
func (s *Server) weight(w http.ResponseWriter, _ *http.Request) {
	if !s.weights.Allow() {
		reply(w, http.StatusTooManyRequests, httpapi.Refusal{Refused: true, Message: "too many reads"})
		return
	}
	_, _ = w.Write(make([]byte, weightBytes))
}

// maxBody bounds the value of an object, one byte above what is allowed.
const maxBody = store.MaxValueBytes + 1
