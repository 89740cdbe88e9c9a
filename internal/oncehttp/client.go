// Package oncehttp sends HTTP requests at most once, and reports for a failed request whether
// any byte of it may have been sent.
package oncehttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// idleTimeout is how long an idle connection is kept open.
const idleTimeout = 90 * time.Second

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// Client sends HTTP requests. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New returns a client that keeps up to idle connections open to each address.
func New(dialTimeout time.Duration, idle int) *Client {
	return &Client{transport: &http.Transport{
		DialContext:            dialCounting(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Close closes the idle connections.
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
	response, err = c.transport.RoundTrip(request)
	if err != nil {
		return nil, tracker.finish(), err
	}
	return response, true, nil
}
