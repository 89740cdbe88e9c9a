// Package daemon holds what the daemons share: the logger, the operators'
// endpoint with health, readiness and metrics, and the signals of a graceful
// shutdown.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"zinniapin/invariant"
	"zinniapin/result"
)

// operatorsTimeout bounds the reading of a request at the operators'
// endpoint.
const operatorsTimeout = 5 * time.Second

// init sets the format of times in logs, which is one for the whole process.
func init() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

// NewLogger returns a logger that writes JSON lines to w. The level must have
// been checked.
func NewLogger(w io.Writer, level, process, host string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("process", process).Str("host", host).Logger()
}

// SetGCPercent sets the garbage collector's target unless the environment
// variable GOGC does.
func SetGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}

// NewRegistry returns a metrics registry with the collectors that every
// process has.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		invariant.Violations,
	)
	return r
}

// OperatorsServer is the endpoint for operators: /healthz, /readyz and /metrics.
type OperatorsServer struct {
	server   *http.Server
	listener net.Listener
}

// NewOperatorsServer listens at address, with TLS unless secured is nil. The
// function ready returns why the process is not ready, or nil.
func NewOperatorsServer(address string, secured *tls.Config, r *prometheus.Registry, ready func() error) (*OperatorsServer, error) {
	listener, err := ListenTLS("operators", address, secured)
	if err != nil {
		return nil, err
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	routes.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	routes.Handle("/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: routes, ReadHeaderTimeout: operatorsTimeout}
	return &OperatorsServer{server: server, listener: listener}, nil
}

// Address returns the address that the endpoint listens at.
func (o *OperatorsServer) Address() string {
	return o.listener.Addr().String()
}

// Serve serves until Close.
func (o *OperatorsServer) Serve() error {
	err := o.server.Serve(o.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Close ends the endpoint.
func (o *OperatorsServer) Close() error {
	return trace.Wrap(o.server.Close())
}

// Listen listens at a TCP address. The error names the settings field.
func Listen(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, result.New(result.AddressInUse, "%s is in use", address).At(field)
	}
	if err != nil {
		return nil, result.Wrap(err, result.BadSettings, "cannot listen at %s", address).At(field)
	}
	return listener, nil
}

// Signals returns two contexts: the first ends with the first SIGTERM or
// SIGINT, which asks for a graceful shutdown; the second ends with the next
// one, which asks to end at once. Both end with parent and with stop, which
// must be called to give the signals back.
func Signals(parent context.Context) (graceful, immediate context.Context, stop func()) {
	caught := make(chan os.Signal, 2)
	signal.Notify(caught, syscall.SIGTERM, syscall.SIGINT)
	graceful, endGraceful := context.WithCancel(parent)
	immediate, endImmediate := context.WithCancel(parent)
	go func() {
		for _, end := range []context.CancelFunc{endGraceful, endImmediate} {
			select {
			case <-caught:
				end()
			case <-immediate.Done():
				return
			}
		}
	}()
	stop = func() {
		signal.Stop(caught)
		endGraceful()
		endImmediate()
	}
	return graceful, immediate, stop
}

// Exit prints an error for a person and returns the exit code to end with.
func Exit(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	return result.CodeOf(err).Definition().Exit
}
