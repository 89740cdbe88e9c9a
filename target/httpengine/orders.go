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
	"zinniapin/internal/stricthttp"
	"zinniapin/target"
)

// Send implements target.Orders. Each order uses its own connection, and at most one is open
// to an engine. The connection of an unanswered order is reset before Send returns, so that
// no part of it remains in this host's send buffer when the order is sent again.
func (c *Client) Send(ctx context.Context, t target.Target, o target.Order) error {
	body, err := json.Marshal(Order(o))
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	slot := c.orderSlot(t.Address)
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", target.ErrNotSent, ctx.Err())
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrNotSent, err)
	}
	return exchange(ctx, conn, t.Address, body)
}

// orderSlot returns the semaphore that allows one order at a time to an engine.
func (c *Client) orderSlot(address string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot, ok := c.orderSlots[address]
	if !ok {
		slot = make(chan struct{}, 1)
		c.orderSlots[address] = slot
	}
	return slot
}

// exchange sends an order on a new connection and reads the reply.
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
	countedConn := oncehttp.NewConn(conn)
	strict := stricthttp.NewConn(countedConn)
	strict.Expect(request.Method)
	err = request.Write(strict)
	strict.Written(err)
	if err != nil {
		if countedConn.Writes() == 0 {
			return fmt.Errorf("%w: %w", target.ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	return readReply(strict, request)
}

// closeReset closes a connection with a TCP reset, which discards unsent data. After a reply
// there is none, so the reset is harmless.
func closeReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// readReply reads the reply to an order.
func readReply(conn *stricthttp.Conn, request *http.Request) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrIncomplete, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorFromStatus(response.StatusCode, response.Body)
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
