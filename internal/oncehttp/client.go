// Package oncehttp sends HTTP requests at most once, and reports for a failed request whether
// any byte of it may have been sent. It accepts valid, complete responses only, as package
// stricthttp tells them.
package oncehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"zinniapin/internal/stricthttp"
)

// idleTimeout is how long an idle connection is kept open.
const idleTimeout = 90 * time.Second

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// silentTime is the time without a response after which Options.OnSilent is called.
const silentTime = 400 * time.Millisecond

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Client.
type Options struct {
	// DialTimeout bounds the opening of a connection, unless Dial is set.
	DialTimeout time.Duration
	// Dial opens connections; nil stands for a plain one.
	Dial Dial
	// Idle is the number of idle connections to keep for each address.
	Idle int
	// OnSilent is called when no response has begun within 400 ms; nil if nobody is told.
	OnSilent func(address string)
	// Retires tells whether a connection carries no further request after a response with a status. It
	// is for refusals that do not tell to which request they belong: a copy of one that comes late
	// would pass for the response to the next request. Nil stands for none.
	Retires func(status int) bool
}

// Client sends HTTP requests. It is safe for concurrent use.
type Client struct {
	transport *stricthttp.Transport
	onSilent  func(address string)
}

// New returns a client.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return &Client{onSilent: o.OnSilent, transport: stricthttp.NewTransport(&http.Transport{
		DialContext:            dialCounting(o.Dial),
		MaxIdleConnsPerHost:    o.Idle,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}, o.Retires)}
}

// Close closes the idle connections. The client can still be used.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// onceBody hides that a body can be rewound, so that http.Transport never sends a request again
// by itself.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// Do sends a request and returns the response; the caller must close its body. With an error,
// sent is false only if no byte of the request has been sent and none will be. http.Transport
// may send a GET without a body again.
func (c *Client) Do(ctx context.Context, method, address string, header http.Header, body []byte) (response *http.Response, sent bool, err error) {
	for {
		response, sent, err = c.try(ctx, method, address, header, body)
		if err == nil || sent || !errors.Is(err, stricthttp.ErrRetired) {
			return response, sent, err
		}
	}
}

// try is Do over one connection, which may be retired.
func (c *Client) try(ctx context.Context, method, address string, header http.Header, body []byte) (response *http.Response, sent bool, err error) {
	tracker := &sendTracker{}
	ctx = httptrace.WithClientTrace(ctx, tracker.trace())
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, false, err
	}
	if body != nil {
		request.Body = onceBody{bytes.NewReader(body)}
		request.ContentLength = int64(len(body))
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.onSilent != nil {
		timer := time.AfterFunc(silentTime, func() { c.onSilent(request.URL.Host) })
		defer timer.Stop()
	}
	response, err = c.transport.RoundTrip(request)
	if err != nil {
		return nil, tracker.finish(), err
	}
	return response, true, nil
}
