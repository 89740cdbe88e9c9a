// Package httpengine implements the interface to engines over HTTP. No other
// package depends on the HTTP form.
package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"zinniapin/internal/oncehttp"
	"zinniapin/target"
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// DialTimeout limits the time to open a connection. Default 1 s.
	DialTimeout time.Duration
	// Dial opens the connections for requests and reports in place of a plain
	// dialer. Orders always use a plain one.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnSilent is called with the address of an engine that does not begin to
	// answer within 400 ms; nil if nobody is told.
	OnSilent func(address string)
	// CallTimeout limits reading from an engine and cancelling an attempt.
	// Default 2 s.
	CallTimeout time.Duration
	// IdleConns is the largest number of idle connections kept per engine.
	// Default 64.
	IdleConns int
	// Now returns the time of receipt of reports. Default time.Now.
	Now func() time.Time
}

// Defaults of Options.
const (
	defaultDialTimeout = time.Second
	defaultCallTimeout = 2 * time.Second
	defaultIdleConns   = 64
)

// Client implements target.Requests and target.Orders over HTTP. It is safe
// for concurrent use.
type Client struct {
	options Options
	dialer  *net.Dialer
	http    *oncehttp.Client
	cancels sync.WaitGroup

	mu         sync.Mutex
	orderSlots map[string]chan struct{} // by address; allow one order at a time
}

var (
	_ target.Requests = (*Client)(nil)
	_ target.Orders   = (*Client)(nil)
)

// New returns a client.
func New(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.IdleConns == 0 {
		o.IdleConns = defaultIdleConns
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Client{
		options:    o,
		dialer:     &net.Dialer{Timeout: o.DialTimeout},
		http:       oncehttp.New(oncehttp.Options{DialTimeout: o.DialTimeout, Dial: o.Dial, Idle: o.IdleConns, OnSilent: o.OnSilent, Retires: isRefusal}),
		orderSlots: map[string]chan struct{}{},
	}
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.http.Close() }

// Close waits for cancellations in progress and closes idle connections. Streams must have
// been closed.
func (c *Client) Close() {
	c.cancels.Wait()
	c.http.Close()
}

// Generate implements target.Requests.
func (c *Client) Generate(ctx context.Context, t target.Target, r target.GenerateRequest) (target.Stream, error) {
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetEscapeHTML(false) // escaped, a prompt of such characters takes six times its size
	if err := encoder.Encode(Generate(r)); err != nil {
		return nil, fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	body := encoded.Bytes()
	if len(body) > MaxRequestBytes {
		return nil, fmt.Errorf("%w: request of %d bytes is too large", target.ErrNotSent, len(body))
	}
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.post(ctx, "http://"+t.Address+GeneratePath, body)
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(c, t, r.Attempt, response.Body, cancel), nil
}

// post sends a request exactly once. Its errors wrap those of package target.
func (c *Client) post(ctx context.Context, address string, body []byte) (*http.Response, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	response, sent, err := c.http.Do(ctx, http.MethodPost, address, header, body)
	if err != nil && !sent {
		return nil, fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	if response.StatusCode != http.StatusOK {
		defer closeBody(response.Body)
		return nil, errorFromStatus(response.StatusCode, response.Body)
	}
	return response, nil
}

// isRefusal tells whether a response with a status may be a refusal. It names no attempt.
func isRefusal(status int) bool { return status != http.StatusOK }

// errorFromStatus returns the error for a status other than 200. It is ErrRefused only if
// the engine explicitly reports that it did not run the request.
func errorFromStatus(status int, body io.Reader) error {
	var refusal Refusal
	data, err := io.ReadAll(io.LimitReader(body, MaxReplyBytes))
	if err != nil {
		return fmt.Errorf("%w: status %d: %w", target.ErrIncomplete, status, err)
	}
	if err := json.Unmarshal(data, &refusal); err != nil {
		return fmt.Errorf("%w: status %d without a JSON body", target.ErrIncomplete, status)
	}
	switch {
	case refusal.StaleFence && status == http.StatusConflict:
		return fmt.Errorf("%w: %s", target.ErrStaleFence, refusal.Message)
	case refusal.NotRun:
		return fmt.Errorf("%w: %s", target.ErrRefused, refusal.Message)
	default:
		return fmt.Errorf("%w: status %d: %s", target.ErrIncomplete, status, refusal.Message)
	}
}

// closeBody reads the rest of a short body and closes it, so that the connection can be
// reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, MaxReplyBytes)
	_ = body.Close()
}

// Report implements target.Orders.
func (c *Client) Report(ctx context.Context, t target.Target) (target.Report, error) {
	var wire Report
	if err := c.get(ctx, "http://"+t.Address+ReportPath, &wire); err != nil {
		return target.Report{}, err
	}
	report := wire.report()
	report.ReceivedAt = c.options.Now()
	return report, nil
}

// CacheEvents returns the engine's cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, t target.Target, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	address := fmt.Sprintf("http://%s%s?after=%d", t.Address, CacheEventsPath, after)
	err := c.get(ctx, address, &events)
	return events, err
}

// FetchKV reads the description of an exported KV cache.
func (c *Client) FetchKV(ctx context.Context, source, handle string) (KVExport, error) {
	var export KVExport
	err := c.get(ctx, "http://"+source+KVPath+"/"+url.PathEscape(handle), &export)
	return export, err
}

// get reads a JSON value from an engine.
func (c *Client) get(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, sent, err := c.http.Do(ctx, http.MethodGet, address, nil, nil)
	if err != nil && !sent {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK {
		return errorFromStatus(response.StatusCode, response.Body)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, MaxReplyBytes))
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	return nil
}

// cancelAttempt asks the engine to cancel an attempt, in the background. Errors are ignored:
// the engine would only do unneeded work.
func (c *Client) cancelAttempt(t target.Target, attempt string) {
	c.cancels.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.options.CallTimeout)
		defer cancel()
		address := "http://" + t.Address + GeneratePath + "/" + url.PathEscape(attempt)
		response, _, err := c.http.Do(ctx, http.MethodDelete, address, nil, nil)
		if err != nil {
			return
		}
		closeBody(response.Body)
	})
}

// errLineTooLong means that a chunk exceeds MaxLineBytes.
var errLineTooLong = errors.New("httpengine: chunk too long")
