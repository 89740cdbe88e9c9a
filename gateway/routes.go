package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"zinniapin/event"
	"zinniapin/intake"
	"zinniapin/invariant"
	"zinniapin/result"
)

// Limits on callers' requests and connections.
const (
	maxHeaderBytes    = 32 << 10
	maxBodyBytes      = 4 << 20
	maxInFlight       = 8192
	headerReadTimeout = 10 * time.Second
	bodyReadTimeout   = 30 * time.Second
	writeTimeout      = 30 * time.Second // for one write
	idleTimeout       = 90 * time.Second
)

// Intervals of maintenance, and the retry delay for callers that should use
// another gateway or target.
const (
	maintainInterval  = 250 * time.Millisecond
	defaultRetryAfter = time.Second
)

// Response headers.
const (
	headerRequestID  = "Zinnia-Request-Id"
	headerRetryAfter = "Retry-After"
)

// call holds the gateway's data on one HTTP request from a caller.
type call struct {
	id         string
	kind       string // metric label
	arrived    time.Time
	credential *credential
}

// handlerFunc serves a call; a returned error is sent as the response.
type handlerFunc func(w http.ResponseWriter, r *http.Request, c *call) error

// routes returns the HTTP handler for callers.
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

// noRoute answers a call whose path or method has no handler.
func noRoute(_ http.ResponseWriter, r *http.Request, _ *call) error {
	return result.New(result.NoSuchRoute, "no such path, or it does not allow the method %.16q", r.Method)
}

// serve wraps a handler with the common steps of all calls: assigning an id, removing the
// key from the headers, counting requests in progress and sending errors.
func (g *Gateway) serve(kind string, h handlerFunc) http.Handler {
	return http.HandlerFunc(func(plain http.ResponseWriter, r *http.Request) {
		w := &startedWriter{ResponseWriter: plain}
		running := g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		c := &call{id: requestID(), kind: kind, arrived: time.Now()}
		w.Header().Set(headerRequestID, c.id)
		// net/http keeps a connection's write deadline across requests; the
		// deadline of an earlier response must not cut off this one.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // some writers support no deadline
		if g.draining.Load() {
			// Closing an idle connection at shutdown may lose a request that is
			// being sent on it; so connections are closed after a response
			// while the load balancer still sends requests.
			w.Header().Set("Connection", "close")
		}
		credential, err := takeCredential(r.Header)
		c.credential = credential
		if err == nil {
			err = g.checkAccepting(running)
		}
		if err == nil {
			err = serveContained(h, w, r, c)
		}
		cut := errors.Is(err, errPanicked) && w.started
		g.finishCall(w, r, c, err)
		if cut {
			panic(http.ErrAbortHandler) // net/http closes the connection, so that the response shows as incomplete
		}
	})
}

// errPanicked means that the handling of a call has panicked.
var errPanicked = errors.New("gateway: the handling of the call has failed")

// serveContained serves a call. A panic ends the call with an error that does not tell whether it ran.
func serveContained(h handlerFunc, w *startedWriter, r *http.Request, c *call) (err error) {
	defer invariant.Contain("call", func() {
		failure := result.Wrap(errPanicked, result.Internal, "request %s", c.id)
		failure.Execution = result.Unknown
		if err = failure; w.started {
			err = &streamedError{failure}
		}
	})
	return h(w, r, c)
}

// startedWriter notes whether a response has been started.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// checkAccepting returns why a new request is refused, or nil.
func (g *Gateway) checkAccepting(running int64) error {
	if running > maxInFlight {
		return result.New(result.QueueFull, "%d requests are in progress", maxInFlight).Retry(defaultRetryAfter)
	}
	return g.checkServing()
}

// finishCall records the result of a call and sends its error, unless it was sent within a
// stream.
func (g *Gateway) finishCall(w http.ResponseWriter, r *http.Request, c *call, err error) {
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
	if !errors.Is(err, intake.ErrFull) && !errors.Is(err, intake.ErrEvicted) { // the budget counts and logs these within a bound
		event.RequestRefused.Log(&g.log).Str("request", c.id).Str("path", loggedPath(c, r)).Int("code", int(e.Code)).
			Str("result", e.Code.String()).Str("execution", e.Execution.String()).Err(e.Err).Msg(e.Message)
	}
	g.history.add(decision{At: time.Now(), Request: c.id, Decision: "refused", Reason: e.Error(), Execution: e.Execution.String()})
	var streamed *streamedError
	if !errors.As(err, &streamed) {
		writeError(w, c.id, e)
	}
}

// streamedError is an error that has been sent to the caller within a stream.
type streamedError struct {
	err error
}

// Error implements error.
func (e *streamedError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *streamedError) Unwrap() error { return e.err }

// loggedPath returns the path to log, or a placeholder if the path contains the key.
func loggedPath(c *call, r *http.Request) string {
	if c.credential.appearsIn(r.URL.Path) {
		return "(holds the key)"
	}
	return r.URL.Path
}

// How often the bytes of a body are held until its call has ended, the body itself included.
const (
	// chatCopies are the body, the messages, the prompt while it is rendered, and the request to an engine, in which some
	// characters are escaped.
	chatCopies = 6
	// serviceCopies are the body, what is searched for the key, and the buffers of the request to the service.
	serviceCopies = 3
)

// readBody reads a request body within the limits on size and time, and of what the process may hold. copies is how often
// its bytes are held until the call has ended.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, copies int64) ([]byte, error) {
	if coding := r.Header.Get("Content-Encoding"); coding != "" && coding != "identity" {
		return nil, result.New(result.UnsupportedParameter, "compressed bodies are not supported").At("header Content-Encoding")
	}
	held := intake.FromContext(r.Context())
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	held.Yield()
	body, err := intake.ReadBody(held, r.Body, r.ContentLength, maxBodyBytes)
	if err == nil {
		err = held.Reserve((copies - 1) * int64(len(body)))
	}
	if err == nil {
		err = held.Keep()
	}
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, intake.ErrTooLarge):
		return nil, result.New(result.TooLarge, "the body exceeds %d bytes", maxBodyBytes).At("body")
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrEvicted):
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, result.Wrap(err, result.QueueFull, "too many large bodies are in progress").Retry(defaultRetryAfter)
	default:
		return nil, result.Wrap(err, result.BadRequest, "the body could not be read").At("body")
	}
}

// canceled returns the error of a request whose caller disconnected.
func canceled(ctx context.Context) error {
	return result.Wrap(ctx.Err(), result.AnswerIncomplete, "the caller disconnected")
}
