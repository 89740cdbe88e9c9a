// Package httpapi speaks the HTTP form of the platform's target interface,
// usage-report interface and list of hosts. It is the only package that knows
// that form.
//
// Its errors are those of package store: store.ErrUnavailable when the call
// was refused or never sent, store.ErrConflict when the platform says that it
// contradicts an earlier one, and store.ErrUnknown when no answer came.
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
	"zinniapin/store"
)

// idleConns is the number of idle connections kept to each interface.
const idleConns = 4

// caller makes calls of one interface.
type caller struct {
	base    string
	timeout time.Duration
	http    *oncehttp.Client
}

// newCaller returns a caller of a base URL.
func newCaller(base string, timeout time.Duration) caller {
	return caller{strings.TrimSuffix(base, "/"), timeout, oncehttp.New(timeout, idleConns)}
}

// Close drops idle connections.
func (c *caller) Close() {
	c.http.Close()
}

// call sends a value, when not nil, and reads the answer into another.
func (c *caller) call(ctx context.Context, method, path string, value, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
		}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, sent, err := c.http.Do(ctx, method, c.base+path, header, body)
	if err != nil && !sent {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return nil
}

// refusal returns the error that a status other than 200 stands for.
func refusal(status int, data []byte) error {
	var said Refusal
	_ = json.Unmarshal(data, &said)
	switch {
	case status == http.StatusNotFound:
		return store.ErrNotFound
	case status == http.StatusConflict:
		return fmt.Errorf("%w: %s", store.ErrConflict, said.Message)
	case said.Refused || status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", store.ErrUnavailable, said.Message)
	default:
		return fmt.Errorf("%w: status %d", store.ErrUnknown, status)
	}
}

// Targets implements provider.Targets over HTTP.
type Targets struct {
	caller
}

var _ provider.Targets = (*Targets)(nil)

// NewTargets returns the target interface at a base URL. The timeout bounds
// one call.
func NewTargets(base string, timeout time.Duration) *Targets {
	return &Targets{newCaller(base, timeout)}
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
	caller
}

var _ provider.Usage = (*Usage)(nil)

// NewUsage returns the usage-report interface at a base URL. The timeout
// bounds one call.
func NewUsage(base string, timeout time.Duration) *Usage {
	return &Usage{newCaller(base, timeout)}
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
	caller
}

var _ provider.Hosts = (*Hosts)(nil)

// NewHosts returns the list of hosts at a base URL. The timeout bounds one
// call.
func NewHosts(base string, timeout time.Duration) *Hosts {
	return &Hosts{newCaller(base, timeout)}
}

// List implements provider.Hosts.
func (h *Hosts) List(ctx context.Context) ([]provider.Host, error) {
	var wire []Host
	if err := h.call(ctx, http.MethodGet, HostsPath, nil, &wire); err != nil {
		return nil, err
	}
	hosts := make([]provider.Host, len(wire))
	for i, host := range wire {
		hosts[i] = host.Host()
	}
	return hosts, nil
}
