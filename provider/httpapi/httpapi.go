// Package httpapi implements the interfaces of package provider over the platform's
// HTTP API. No other package depends on the form of that API.
//
// Its errors are those of package store: store.ErrUnavailable if the call was refused
// or never sent, store.ErrConflict if it contradicts an earlier call, and
// store.ErrUnknown if no usable answer came.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"zinniapin/internal/oncehttp"
	"zinniapin/provider"
	"zinniapin/rawjson"
	"zinniapin/store"
	"zinniapin/target"
)

// maxIdleConns is the number of idle connections kept to each interface.
const maxIdleConns = 4

// apiClient makes the calls of one interface.
type apiClient struct {
	baseURL string
	timeout time.Duration
	http    *oncehttp.Client
}

// newAPIClient returns a client of the interface at a base URL.
func newAPIClient(base string, timeout time.Duration) apiClient {
	return apiClient{strings.TrimSuffix(base, "/"), timeout, oncehttp.New(oncehttp.Options{DialTimeout: timeout, Idle: maxIdleConns})}
}

// Close closes idle connections.
func (c *apiClient) Close() {
	c.http.Close()
}

// call sends a request with a JSON value as its body, or without a body if the value
// is nil, and decodes the answer into out.
func (c *apiClient) call(ctx context.Context, method, path string, value, out any) error {
	data, err := c.fetch(ctx, method, path, value)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return nil
}

// fetch is call without decoding the answer, which it returns.
func (c *apiClient) fetch(ctx context.Context, method, path string, value any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
		}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, sent, err := c.http.Do(ctx, method, c.baseURL+path, header, body)
	if err != nil && !sent {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response.StatusCode, data)
	}
	return data, nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(status int, data []byte) error {
	var body Refusal
	_ = json.Unmarshal(data, &body)
	switch {
	case status == http.StatusNotFound:
		return store.ErrNotFound
	case status == http.StatusConflict:
		return fmt.Errorf("%w: %s", store.ErrConflict, body.Message)
	case body.Refused || status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", store.ErrUnavailable, body.Message)
	default:
		return fmt.Errorf("%w: status %d", store.ErrUnknown, status)
	}
}

// Targets implements provider.Targets over HTTP.
type Targets struct {
	apiClient
}

var _ provider.Targets = (*Targets)(nil)

// NewTargets returns a client of the interface for orders of targets at a base URL.
// The timeout bounds one call.
func NewTargets(base string, timeout time.Duration) *Targets {
	return &Targets{newAPIClient(base, timeout)}
}

// Order implements provider.Targets.
func (t *Targets) Order(ctx context.Context, o provider.TargetOrder) (provider.TargetOrderResult, error) {
	var wire TargetOrderResult
	err := t.call(ctx, http.MethodPost, OrdersPath, TargetOrder(o), &wire)
	return provider.TargetOrderResult(wire), err
}

// Lookup implements provider.Targets.
func (t *Targets) Lookup(ctx context.Context, orderID string) (provider.TargetOrderResult, bool, error) {
	var wire TargetOrderResult
	err := t.call(ctx, http.MethodGet, OrdersPath+"/"+url.PathEscape(orderID), nil, &wire)
	if errors.Is(err, store.ErrNotFound) {
		return provider.TargetOrderResult{}, false, nil
	}
	if err != nil {
		return provider.TargetOrderResult{}, false, err
	}
	return provider.TargetOrderResult(wire), true, nil
}

// Usage implements provider.Usage over HTTP.
type Usage struct {
	apiClient
}

var _ provider.Usage = (*Usage)(nil)

// NewUsage returns a client of the interface for usage reports at a base URL. The
// timeout bounds one call.
func NewUsage(base string, timeout time.Duration) *Usage {
	return &Usage{newAPIClient(base, timeout)}
}

// Report implements provider.Usage.
func (u *Usage) Report(ctx context.Context, author string, fence uint64, reports []provider.UsageReport) error {
	wire := UsageReports{Author: author, Fence: fence, Reports: make([]UsageReport, len(reports))}
	for i, r := range reports {
		wire.Reports[i] = FromUsageReport(r)
	}
	var done struct{}
	return u.call(ctx, http.MethodPost, ReportsPath, wire, &done)
}

// Hosts implements provider.Hosts over HTTP.
type Hosts struct {
	apiClient
}

var _ provider.Hosts = (*Hosts)(nil)

// NewHosts returns a client of the list of hosts at a base URL. The timeout bounds
// one call.
func NewHosts(base string, timeout time.Duration) *Hosts {
	return &Hosts{newAPIClient(base, timeout)}
}

// List implements provider.Hosts. It leaves out hosts that cannot be read, and those whose target has no
// address.
func (h *Hosts) List(ctx context.Context) ([]provider.Host, error) {
	data, err := h.fetch(ctx, http.MethodGet, HostsPath, nil)
	if err != nil {
		return nil, err
	}
	var hosts []provider.Host
	err = rawjson.Elements(data, func(raw []byte) {
		var wire Host
		if json.Unmarshal(raw, &wire) != nil || wire.ID == "" || wire.Target != nil && target.CheckAddress(wire.Target.Address) != nil {
			return
		}
		hosts = append(hosts, wire.Host())
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return hosts, nil
}
