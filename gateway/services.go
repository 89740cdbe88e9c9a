package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"zinniapin/intake"
	"zinniapin/internal/oncehttp"
	"zinniapin/target"
	"zinniapin/targetlink"
)

// Headers and limits of calls to plain services.
const (
	// headerNotRun is the response header by which a service reports that it did
	// not run a call.
	headerNotRun = "Zinnia-Not-Run"
	// headerTargetIdempotency carries the caller's idempotency key to a
	// service. It is not named Idempotency-Key, since net/http may resend
	// requests that have that header.
	headerTargetIdempotency = "Zinnia-Idempotency-Key"
	// maxAnswerBytes limits the size of a service's response.
	maxAnswerBytes     = 8 << 20
	serviceDialTimeout = 2 * time.Second
	serviceIdleConns   = 64 // per target
)

// ServiceRequest is one attempt at a call of a plain service.
type ServiceRequest struct {
	Method string
	Path   string // after the service's name, decoded, with its leading '/'
	Query  string
	Header http.Header // only headers on the allow-list
	Body   []byte
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services calls plain services.
type Services interface {
	// Call makes exactly one attempt. The errors ErrNotSent and ErrRefused of
	// package target guarantee that the call did not run. After any other error
	// it may have run.
	Call(ctx context.Context, t target.Target, r ServiceRequest) (ServiceResponse, error)
}

// HTTPServices calls plain services over HTTP.
type HTTPServices struct {
	client *oncehttp.Client
}

// NewHTTPServices returns a client that uses no proxy and follows no redirects. It connects over links; nil stands for
// those of a host that has no others.
func NewHTTPServices(links *targetlink.Links) *HTTPServices {
	o := oncehttp.Options{DialTimeout: serviceDialTimeout, Idle: serviceIdleConns, Retires: mayRefuse}
	if links != nil {
		o.Dial, o.OnSilent = links.DialContext, links.CheckSilent
	}
	return &HTTPServices{oncehttp.New(o)}
}

// mayRefuse tells whether a response with a status may be a refusal, by headerNotRun.
func mayRefuse(status int) bool { return status >= http.StatusBadRequest }

// CloseIdle closes idle connections.
func (s *HTTPServices) CloseIdle() { s.client.Close() }

// Call implements Services. It passes a non-nil body even if the body is empty, so that
// net/http cannot rewind it: net/http would resend a request without a body if a reused
// connection breaks early.
func (s *HTTPServices) Call(ctx context.Context, t target.Target, r ServiceRequest) (ServiceResponse, error) {
	u := &url.URL{Scheme: "http", Host: t.Address, Path: r.Path, RawQuery: r.Query}
	body := r.Body
	if body == nil {
		body = []byte{}
	}
	response, sent, err := s.client.Do(ctx, r.Method, u.String(), r.Header, body)
	if err != nil && !sent {
		return ServiceResponse{}, fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	defer func() { _ = response.Body.Close() }() // the needed part of the body has been read
	if response.Header.Get(headerNotRun) == "true" && mayRefuse(response.StatusCode) {
		return ServiceResponse{}, fmt.Errorf("%w: status %d", target.ErrRefused, response.StatusCode)
	}
	responseBody, err := intake.ReadBody(intake.FromContext(ctx), response.Body, response.ContentLength, maxAnswerBytes)
	if errors.Is(err, intake.ErrTooLarge) {
		return ServiceResponse{}, fmt.Errorf("%w: the answer exceeds %d bytes", target.ErrIncomplete, maxAnswerBytes)
	}
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	return ServiceResponse{response.StatusCode, response.Header, responseBody}, nil
}
