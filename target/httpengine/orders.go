package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"zinniapin/internal/oncehttp"
	"zinniapin/target"
)

// Send implements target.Orders. Each order has a connection of its own and
// at most one is open to an engine. An unanswered order's connection is reset
// before Send returns, so that no byte of it still waits in this host's
// buffers when the order is sent again.
func (c *Client) Send(ctx context.Context, t target.Target, o target.Order) error {
	body, err := json.Marshal(Order(o))
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	lane := c.lane(t.Address)
	select {
	case lane <- struct{}{}:
		defer func() { <-lane }()
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", target.ErrNotSent, ctx.Err())
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	return exchange(ctx, conn, t.Address, body)
}

// lane returns the engine's slot for orders.
func (c *Client) lane(address string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	lane, ok := c.lanes[address]
	if !ok {
		lane = make(chan struct{}, 1)
		c.lanes[address] = lane
	}
	return lane
}

// exchange writes an order and reads its answer on a fresh connection.
func exchange(ctx context.Context, conn net.Conn, address string, body []byte) error {
	defer closeReset(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	watched := oncehttp.Watch(conn)
	if err := request.Write(watched); err != nil {
		if watched.Writes() == 0 {
			return fmt.Errorf("%w: %w", target.ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	return readReply(conn, request)
}

// closeReset closes a connection at once and drops what it still holds. After
// an answer nothing is held, so the reset does no harm.
func closeReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// readReply reads the answer to an order.
func readReply(conn net.Conn, request *http.Request) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, response.Body)
	}
	var reply OrderReply
	decoder := json.NewDecoder(io.LimitReader(response.Body, MaxReplyBytes))
	if err := decoder.Decode(&reply); err != nil {
		return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	if !reply.Applied {
		return fmt.Errorf("%w: the order was not applied", target.ErrIncomplete)
	}
	return nil
}
