// Package daemon contains what the daemons share: the logger, the HTTP server for
// operators with health, readiness and metrics, and the handling of the signals
// that start a shutdown.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"zinniapin/event"
	"zinniapin/intake"
	"zinniapin/invariant"
	"zinniapin/result"
)

// Limits of requests of operators.
const (
	operatorsTimeout      = 5 * time.Second   // to read a request
	operatorsWriteTimeout = 10 * time.Second  // from the head of a request to the end of its response
	operatorsIdleTimeout  = 100 * time.Second // above the usual intervals of monitoring
	operatorsHeadBytes    = 8 << 10
	maxScrapes            = 4 // concurrent requests for metrics
)

// init sets the format of times in logs, which zerolog keeps in a global variable.
func init() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

// NewLogger returns a logger that writes JSON lines to w, each with the names of
// the process and its host. An invalid level counts as info.
func NewLogger(w io.Writer, level, process, host string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("process", process).Str("host", host).Logger()
}

// SetGCPercent sets the garbage collector's target unless the environment
// variable GOGC sets it.
func SetGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}

// memoryLimitShare is the share of a process's memory that is set as the soft limit
// of the Go runtime; the program, sockets and what the limit is exceeded by need the rest.
const memoryLimitShare = 0.6

// LimitMemory sets the soft memory limit of the Go runtime unless the environment
// variable GOMEMLIMIT sets it.
func LimitMemory(memoryMB int) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memoryMB) * memoryLimitShare * (1 << 20)))
	}
}

// NewRegistry returns a metrics registry with the collectors that are the same in
// every process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		invariant.Violations,
	)
	return r
}

// OperatorsServer is the HTTP server for operators. It serves /healthz, /readyz and
// /metrics.
type OperatorsServer struct {
	server   *http.Server
	listener net.Listener
}

// NewOperatorsServer listens at address, with TLS unless secured is nil. The
// function ready returns why the process is not ready, or nil.
func NewOperatorsServer(address string, tlsConfig *tls.Config, b *intake.Budget, r *prometheus.Registry, log *zerolog.Logger, ready func() error) (*OperatorsServer, error) {
	listener, err := ListenTLS("operators", address, tlsConfig, b, intake.Operators)
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
	routes.Handle("/metrics", MetricsHandler(r))
	return &OperatorsServer{server: NewServer(routes, log), listener: listener}, nil
}

// MetricsHandler serves the metrics of a registry.
func MetricsHandler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// NewServer returns a server for requests without a body, as operators and load balancers send them, that heeds the bounds
// of its listener.
func NewServer(h http.Handler, log *zerolog.Logger) *http.Server {
	s := &http.Server{
		Handler: h, MaxHeaderBytes: operatorsHeadBytes, ReadHeaderTimeout: operatorsTimeout, ReadTimeout: operatorsTimeout,
		WriteTimeout: operatorsWriteTimeout, IdleTimeout: operatorsIdleTimeout, ErrorLog: ServerErrors(log),
	}
	intake.Bound(s)
	return s
}

// serverErrorsPerSecond bounds the log lines of a server of package net/http.
const serverErrorsPerSecond = 10

// ServerErrors returns a logger for the errors that a server of package net/http reports, such as failed TLS handshakes
// and panics.
func ServerErrors(l *zerolog.Logger) *log.Logger {
	bounded := l.Sample(&zerolog.BurstSampler{Burst: serverErrorsPerSecond, Period: time.Second})
	return log.New(serverErrorWriter{&bounded}, "", 0)
}

// serverErrorWriter logs each message of package net/http as an event.
type serverErrorWriter struct{ log *zerolog.Logger }

// Write implements io.Writer.
func (w serverErrorWriter) Write(message []byte) (int, error) {
	event.ServerError.Log(w.log).Str("message", strings.TrimSpace(string(message))).Send()
	return len(message), nil
}

// Address returns the address at which the server listens.
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

// Close closes the server and its connections.
func (o *OperatorsServer) Close() error {
	return trace.Wrap(o.server.Close())
}

// Listen listens at a TCP address from a field of the settings. The connections are
// accepted within the budget, unless that is nil. The error names the field.
func Listen(field, address string, b *intake.Budget, k intake.Kind) (net.Listener, error) {
	config := net.ListenConfig{Control: k.Control}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, result.New(result.AddressInUse, "%s is in use", address).At(field)
	}
	if err != nil {
		return nil, result.Wrap(err, result.BadSettings, "cannot listen at %s", address).At(field)
	}
	return b.Listen(listener, k), nil
}

// Signals returns two contexts. The first is cancelled by the first SIGTERM or
// SIGINT, for a graceful shutdown, and the second by the next signal, for an
// immediate end. Both are cancelled with parent and by stop. The caller must call
// stop, which restores the default handling of the signals.
func Signals(parent context.Context) (graceful, immediate context.Context, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	graceful, endGraceful := context.WithCancel(parent)
	immediate, endImmediate := context.WithCancel(parent)
	go func() {
		for _, end := range []context.CancelFunc{endGraceful, endImmediate} {
			select {
			case <-signals:
				end()
			case <-immediate.Done():
				return
			}
		}
	}()
	stop = func() {
		signal.Stop(signals)
		endGraceful()
		endImmediate()
	}
	return graceful, immediate, stop
}

// Exit prints an error to standard error and returns the exit code for it; nil
// prints nothing and gives 0.
func Exit(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	return result.CodeOf(err).Definition().Exit
}
