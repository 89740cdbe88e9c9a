package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"zinniapin/event"
	"zinniapin/result"
)

// Bounds on what callers send.
const (
	maxHeaderBytes    = 32 << 10
	maxBodyBytes      = 4 << 20
	maxBodiesBytes    = 256 << 20 // of all requests in progress together
	maxInFlight       = 8192
	headerReadTimeout = 10 * time.Second
	bodyReadTimeout   = 30 * time.Second
	writeTimeout      = 30 * time.Second // of one write
	idleTimeout       = 90 * time.Second
)

// Spans of the gateway's own doings.
const (
	maintainInterval = 250 * time.Millisecond
	retryElsewhere   = time.Second
)

// Headers of answers.
const (
	headerRequestID  = "Zinnia-Request-Id"
	headerRetryAfter = "Retry-After"
)

// call is what is known of a caller's request from its headers.
type call struct {
	id         string
	kind       string // metric label
	arrived    time.Time
	credential *credential
}

// handlerFunc serves a call; the error it returns is answered.
type handlerFunc func(w http.ResponseWriter, r *http.Request, c *call) error

// routes returns the handler for callers.
func (g *Gateway) routes() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.Handle("/v1/chat/completions", g.serve("chat", g.chat)).Methods(http.MethodPost)
	m.Handle("/v1/models", g.serve("models", g.models)).Methods(http.MethodGet)
	m.PathPrefix("/v1/services/").Handler(g.serve("service", g.service))
	m.NotFoundHandler = g.serve("none", noRoute)
	m.MethodNotAllowedHandler = g.serve("none", noRoute)
	return m
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.handler.ServeHTTP(w, r)
}

// noRoute answers a call that matches nothing.
func noRoute(_ http.ResponseWriter, r *http.Request, _ *call) error {
	return result.New(result.NoSuchRoute, "no such path, or not with the method %.16q", r.Method)
}

// serve wraps a handler with what every call needs: its id, the key taken
// out of the headers, the count of requests in progress and the answer to an
// error.
func (g *Gateway) serve(kind string, h handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running := g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		c := &call{id: requestID(), kind: kind, arrived: time.Now()}
		w.Header().Set(headerRequestID, c.id)
		// net/http keeps a connection's write deadline over requests; that of
		// an earlier answer must not cut this one.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // not every writer has one
		if g.draining.Load() {
			// An idle connection closed at the end may have a request on its
			// way; connections are given back while the balancer still sends.
			w.Header().Set("Connection", "close")
		}
		credential, err := takeCredential(r.Header)
		c.credential = credential
		if err == nil {
			err = g.accepting(running)
		}
		if err == nil {
			err = h(w, r, c)
		}
		g.ended(w, r, c, err)
	})
}

// accepting returns why no request is taken now, or nil.
func (g *Gateway) accepting(running int64) error {
	if running > maxInFlight {
		return result.New(result.QueueFull, "%d requests are in progress", maxInFlight).Retry(retryElsewhere)
	}
	return g.serving()
}

// ended counts a call and answers its error.
func (g *Gateway) ended(w http.ResponseWriter, r *http.Request, c *call, err error) {
	if err == nil {
		g.metrics.requests.WithLabelValues(c.kind, "ok").Inc()
		g.history.add(decision{At: time.Now(), Request: c.id, Decision: "finished"})
		return
	}
	e := result.Of(err)
	if e == nil {
		e = result.Wrap(err, result.Internal, "an unexpected error")
	}
	g.metrics.requests.WithLabelValues(c.kind, e.Code.String()).Inc()
	event.RequestRefused.Log(&g.log).Str("request", c.id).Str("path", routeOf(c, r)).Int("code", int(e.Code)).
		Str("result", e.Code.String()).Str("execution", e.Execution.String()).Err(e.Err).Msg(e.Message)
	g.history.add(decision{At: time.Now(), Request: c.id, Decision: "refused", Reason: e.Error(), Execution: e.Execution.String()})
	var told *toldError
	if !errors.As(err, &told) {
		writeError(w, c.id, e)
	}
}

// toldError is an error that the caller has been told of within the answer.
type toldError struct {
	err error
}

// Error implements error.
func (e *toldError) Error() string { return e.err.Error() }

// Unwrap returns the error itself.
func (e *toldError) Unwrap() error { return e.err }

// routeOf returns the path for the log, without what may hold a key.
func routeOf(c *call, r *http.Request) string {
	if c.credential.within(r.URL.Path) {
		return "(holds the key)"
	}
	return r.URL.Path
}

// readBody reads a body within its bounds. The caller gives its bytes back
// to the budget with free.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) (body []byte, free func(), err error) {
	if coding := r.Header.Get("Content-Encoding"); coding != "" && coding != "identity" {
		return nil, nil, result.New(result.UnsupportedParameter, "bodies are taken uncompressed only").At("header Content-Encoding")
	}
	size := r.ContentLength
	if size > maxBodyBytes {
		return nil, nil, result.New(result.TooLarge, "the body exceeds %d bytes", maxBodyBytes).At("body")
	}
	if size < 0 {
		size = maxBodyBytes
	}
	if !g.bodies.take(size) {
		return nil, nil, result.New(result.QueueFull, "too many large bodies are in progress").Retry(retryElsewhere)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		used := int64(len(body))
		g.bodies.give(size - used)
		return body, func() { g.bodies.give(used) }, nil
	}
	g.bodies.give(size)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, nil, result.New(result.TooLarge, "the body exceeds %d bytes", maxBodyBytes).At("body")
	}
	return nil, nil, result.Wrap(err, result.BadRequest, "the body could not be read").At("body")
}

// bodyBudget bounds the bytes of all bodies in progress.
type bodyBudget struct {
	left atomic.Int64
}

// newBodyBudget returns a budget of n bytes.
func newBodyBudget(n int64) *bodyBudget {
	b := &bodyBudget{}
	b.left.Store(n)
	return b
}

// take takes n bytes, or returns false when they are not left.
func (b *bodyBudget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// give gives n bytes back.
func (b *bodyBudget) give(n int64) {
	b.left.Add(n)
}

// canceled returns the error of a request whose caller went away.
func canceled(ctx context.Context) error {
	return result.Wrap(ctx.Err(), result.AnswerIncomplete, "the caller went away")
}
