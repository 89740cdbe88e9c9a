// Package oncehttp sends HTTP requests at most once and tells truly whether a
// byte of a failed request can have left this host.
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

// idleTimeout is how long an idle connection is kept.
const idleTimeout = 90 * time.Second

// Client sends requests. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New returns a client that keeps up to idle connections to one address.
func New(dialTimeout time.Duration, idle int) *Client {
	return &Client{transport: &http.Transport{
		DialContext:         dialWatched(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// onceBody is a body that net/http cannot rewind, so that its Transport never
// sends a request a second time by itself.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// Do sends a request and returns the response, whose body the caller closes.
// With an error, sent is false only when no byte of the request left and none
// will. A GET without a body may be sent again by net/http.
func (c *Client) Do(ctx context.Context, method, address string, header http.Header, body []byte) (response *http.Response, sent bool, err error) {
	watch := &sendWatch{}
	ctx = httptrace.WithClientTrace(ctx, watch.trace())
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
		return nil, watch.end(), err
	}
	return response, true, nil
}
