package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"zinniapin/target"
)

// Constants of calls to plain services.
const (
	// headerNotRun is a service's own word that it did not run a call.
	headerNotRun = "Zinnia-Not-Run"
	// headerTargetIdempotency carries the caller's idempotency key to a
	// service. It is not named Idempotency-Key, since net/http takes that as
	// leave to send a request again.
	headerTargetIdempotency = "Zinnia-Idempotency-Key"
	// maxAnswerBytes bounds the answer of a service.
	maxAnswerBytes     = 8 << 20
	serviceDialTimeout = 2 * time.Second
	serviceIdleConns   = 64 // for each target
)

// ServiceRequest is one attempt at a call of a plain service.
type ServiceRequest struct {
	Method string
	Path   string // below the service, decoded, with its leading '/'
	Query  string
	Header http.Header // on the allow-list only
	Body   []byte
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services calls plain services.
type Services interface {
	// Call makes one attempt, and never more than one. ErrNotSent and
	// ErrRefused of package target are true words: the call did not run. Any
	// other error leaves that open.
	Call(ctx context.Context, t target.Target, r ServiceRequest) (ServiceAnswer, error)
}

// HTTPServices calls plain services over HTTP.
type HTTPServices struct {
	transport *http.Transport
}

// NewHTTPServices returns a client without proxies and redirects.
func NewHTTPServices() *HTTPServices {
	dialer := &net.Dialer{Timeout: serviceDialTimeout}
	return &HTTPServices{&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    serviceIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
}

// onceBody is a body that cannot be rewound, so that net/http cannot send a
// request a second time by itself: its transport does so on a reused
// connection that dies early, for a request without a body or with one that
// can be had again.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// Call implements Services.
func (s *HTTPServices) Call(ctx context.Context, t target.Target, r ServiceRequest) (ServiceAnswer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newServiceRequest(httptrace.WithClientTrace(ctx, trace), t, r)
	if err != nil {
		return ServiceAnswer{}, fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return ServiceAnswer{}, fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	if err != nil {
		return ServiceAnswer{}, fmt.Errorf("%w: %w", target.ErrBroken, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read as far as it is wanted
	if response.Header.Get(headerNotRun) == "true" {
		return ServiceAnswer{}, fmt.Errorf("%w: status %d", target.ErrRefused, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return ServiceAnswer{}, fmt.Errorf("%w: %w", target.ErrBroken, err)
	}
	if len(body) > maxAnswerBytes {
		return ServiceAnswer{}, fmt.Errorf("%w: the answer exceeds %d bytes", target.ErrBroken, maxAnswerBytes)
	}
	return ServiceAnswer{response.StatusCode, response.Header, body}, nil
}

// newServiceRequest builds the HTTP request of an attempt.
func newServiceRequest(ctx context.Context, t target.Target, r ServiceRequest) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: t.Address, Path: r.Path, RawQuery: r.Query}
	request, err := http.NewRequestWithContext(ctx, r.Method, u.String(), onceBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	request.ContentLength = int64(len(r.Body))
	request.GetBody = nil
	return request, nil
}
