package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"zinniapin/admission"
	"zinniapin/contract"
	"zinniapin/poison"
	"zinniapin/result"
	"zinniapin/routing"
	"zinniapin/settings"
	"zinniapin/usage"
)

// Headers and limits of calls of plain services.
const (
	servicesPrefix       = "/v1/services/"
	headerIdempotency    = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"
	maxIdempotencyBytes  = 255
	defaultRouteTimeout  = 30 * time.Second
	openRouteRate        = 200.0 // requests per second for all callers together
	openRouteConcurrency = 256
)

// forwardedHeaders are the only request headers that are forwarded to a service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "User-Agent"}

// returnedHeaders are the only response headers of a service that are returned to the
// caller.
var returnedHeaders = []string{"Cache-Control", "Content-Disposition", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location", "Retry-After"}

// serviceCall is a call of a plain service in progress.
type serviceCall struct {
	gateway        *Gateway
	call           *call
	contract       *contract.Contract // nil on an open route
	service        *contract.Service
	route          *contract.Route
	request        ServiceRequest
	part           requestPart
	query          routing.Request
	execution      execution
	claimExecution result.Execution // of an earlier call under the same key, as its claim records
	attempts       int
}

// organisation returns the organisation that the call belongs to, or "" on an open route.
func (s *serviceCall) organisation() string {
	if s.contract == nil {
		return ""
	}
	return s.contract.Organisation
}

// service serves /v1/services/{service}/{rest}.
func (g *Gateway) service(w http.ResponseWriter, r *http.Request, c *call) error {
	s, err := g.matchService(r, c)
	if err != nil {
		return err
	}
	body, err := g.readBody(w, r, serviceCopies)
	if err != nil {
		return err
	}
	if err := c.credential.refuseKeyIn(r.URL, body); err != nil {
		return err
	}
	s.request.Body = body
	s.part = newRequestPart(len(body), func() poison.Part {
		return poison.PartOfRequest(s.organisation(), s.request.Method, s.service.Name+s.request.Path+"?"+canonicalQuery(s.request.Query), body)
	})
	s.request.Header = s.targetHeaders(r.Header)
	if s.route.Repeatable || s.contract == nil {
		response, err := s.runAdmitted(r.Context(), s.runRepeatable)
		return s.writeResponse(w, response, err)
	}
	key, err := idempotencyKey(r.Header, c.credential)
	if err != nil {
		return err
	}
	return s.serveNonRepeatable(r.Context(), w, key)
}

// matchService finds the service and route of a call and checks that the caller may use
// them.
func (g *Gateway) matchService(r *http.Request, c *call) (*serviceCall, error) {
	snapshot := g.snapshot.Load()
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	path := "/" + rest
	notFound := result.New(result.NoSuchRoute, "no route %s of this service", r.Method)
	if isUncleanPath(path) {
		return nil, result.New(result.BadRequest, "the path has empty, '.' or '..' segments").At("path")
	}
	service := snapshot.Service(name)
	if service == nil {
		return nil, notFound
	}
	route := matchRoute(service, r.Method, path)
	if route == nil {
		return nil, notFound
	}
	s := &serviceCall{gateway: g, call: c, service: service, route: route}
	if !route.Open {
		callerContract, err := authenticate(snapshot, c.credential)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(callerContract.Services, name) {
			return nil, notFound
		}
		s.contract = callerContract
	}
	s.request = ServiceRequest{Method: r.Method, Path: path, Query: r.URL.RawQuery}
	s.query = routing.Request{Pool: name, StableOnly: !route.Repeatable}
	if s.contract != nil {
		s.query.Priority = s.contract.Priority
		s.query.StableOnly = s.query.StableOnly || s.contract.StableOnly
	}
	return s, nil
}

// isUncleanPath tells whether a service could interpret a path differently from the matching
// of routes.
func isUncleanPath(path string) bool {
	for i, segment := range strings.Split(path[1:], "/") {
		last := i == strings.Count(path[1:], "/")
		if segment == "." || segment == ".." || segment == "" && !last {
			return true
		}
	}
	return strings.ContainsAny(path, "\\\x00")
}

// matchRoute returns the first route that matches, or nil.
func matchRoute(s *contract.Service, method, path string) *contract.Route {
	for i := range s.Routes {
		route := &s.Routes[i]
		if route.Method != method {
			continue
		}
		prefix, open := strings.CutSuffix(route.Path, "*")
		if path == route.Path || open && strings.HasPrefix(path, prefix) {
			return route
		}
	}
	return nil
}

// targetHeaders returns the headers for the target: the allow-listed headers of the caller,
// without any that contains the key, and the request id and the organisation.
func (s *serviceCall) targetHeaders(from http.Header) http.Header {
	h := http.Header{}
	for _, name := range forwardedHeaders {
		if values := from.Values(name); len(values) > 0 && !s.call.credential.appearsIn(values...) {
			h[name] = slices.Clone(values)
		}
	}
	h.Set(headerRequestID, s.call.id)
	if s.contract != nil {
		h.Set("Zinnia-Organisation", s.contract.Organisation)
	}
	return h
}

// idempotencyKey returns the idempotency key, which a non-repeatable call must have.
func idempotencyKey(h http.Header, c *credential) (string, error) {
	key := h.Get(headerIdempotency)
	if key == "" {
		return "", result.New(result.NeedsIdempotencyKey, "the header is missing").At("header " + headerIdempotency)
	}
	if len(key) > maxIdempotencyBytes {
		return "", result.New(result.TooLarge, "more than %d bytes", maxIdempotencyBytes).At("header " + headerIdempotency)
	}
	if c.appearsIn(key) {
		return "", result.New(result.KeyInContent, "the header contains the API key").At("header " + headerIdempotency)
	}
	return key, nil
}

// openContract limits the callers of open routes, who belong to no organisation.
var openContract = &contract.Contract{Limits: contract.Limits{RequestsPerSecond: openRouteRate, Concurrency: openRouteConcurrency}}

// runAdmitted takes a call through admission, runs it within the route's timeout and records
// its usage.
func (s *serviceCall) runAdmitted(ctx context.Context, run func(context.Context) (ServiceResponse, error)) (ServiceResponse, error) {
	if err := s.checkBlocked(); err != nil {
		return ServiceResponse{}, err
	}
	callerContract := s.contract
	if callerContract == nil {
		callerContract = openContract
	}
	ticket, err := s.gateway.admit(ctx, admission.Request{
		Organisation: callerContract.Organisation,
		Contract:     callerContract,
		Pool:         s.service.Name,
		Cost:         1,
		Deadline:     s.call.arrived.Add(min(s.timeout(), settings.Millis(s.gateway.options.Settings.FirstTokenMillis))),
	})
	if err != nil {
		return ServiceResponse{}, err
	}
	defer s.gateway.release(ticket, s.service.Name, 0)
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	response, err := run(ctx)
	if s.execution.state == result.Ran {
		s.gateway.ledger.Add(time.Now(), s.organisation(), usage.Amount{Calls: 1})
	}
	return response, err
}

// timeout returns the time limit of the call.
func (s *serviceCall) timeout() time.Duration {
	if s.route.TimeoutMillis == 0 {
		return defaultRouteTimeout
	}
	return settings.Millis(s.route.TimeoutMillis)
}

// writeResponse sends the service's response, or returns the error with the execution state.
func (s *serviceCall) writeResponse(w http.ResponseWriter, a ServiceResponse, err error) error {
	if err != nil {
		return s.execution.attachTo(err)
	}
	for _, name := range returnedHeaders {
		if values := a.Header.Values(name); len(values) > 0 {
			w.Header()[name] = values
		}
	}
	setWriteDeadline(w)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the caller may have disconnected
	return nil
}

// requestDigest returns a digest by which two different calls under one idempotency key are
// distinguished.
func (s *serviceCall) requestDigest() [32]byte {
	h := sha256.New()
	var length [8]byte
	parts := []string{s.service.Name, s.request.Method, s.request.Path, canonicalQuery(s.request.Query), s.request.Header.Get("Content-Type"), string(s.request.Body)}
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return [32]byte(h.Sum(nil))
}

// canonicalQuery sorts the parameters of a query, since some clients send them in varying
// order.
func canonicalQuery(raw string) string {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return raw
	}
	return values.Encode()
}
