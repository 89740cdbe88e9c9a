package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"zinniapin/internal/oncehttp"
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

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services calls plain services.
type Services interface {
	// Call makes one attempt, and never more than one. ErrNotSent and
	// ErrRefused of package target are true words: the call did not run. Any
	// other error leaves that open.
	Call(ctx context.Context, t target.Target, r ServiceRequest) (ServiceResponse, error)
}

// HTTPServices calls plain services over HTTP.
type HTTPServices struct {
	client *oncehttp.Client
}

// NewHTTPServices returns a client without proxies and redirects.
func NewHTTPServices() *HTTPServices {
	return &HTTPServices{oncehttp.New(serviceDialTimeout, serviceIdleConns)}
}

// Call implements Services. The body is never nil, so that the transport
// cannot rewind it: it would send a request without a body again by itself
// when a reused connection dies early.
func (s *HTTPServices) Call(ctx context.Context, t target.Target, r ServiceRequest) (ServiceResponse, error) {
	u := &url.URL{Scheme: "http", Host: t.Address, Path: r.Path, RawQuery: r.Query}
	body := append([]byte{}, r.Body...)
	response, sent, err := s.client.Do(ctx, r.Method, u.String(), r.Header, body)
	if err != nil && !sent {
		return ServiceResponse{}, fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read as far as it is wanted
	if response.Header.Get(headerNotRun) == "true" {
		return ServiceResponse{}, fmt.Errorf("%w: status %d", target.ErrRefused, response.StatusCode)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	if len(answer) > maxAnswerBytes {
		return ServiceResponse{}, fmt.Errorf("%w: the answer exceeds %d bytes", target.ErrIncomplete, maxAnswerBytes)
	}
	return ServiceResponse{response.StatusCode, response.Header, answer}, nil
}
