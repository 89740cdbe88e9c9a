package main

import (
	"context"
	"net"
	"sync/atomic"

	"zinniapin/link"
	"zinniapin/link/yamuxlink"
)

// counting passes connections on to an address and counts their bytes.
type counting struct {
	listener net.Listener
	to       string
	bytes    atomic.Int64
}

// startCounting listens on loopback.
func startCounting(to string) (*counting, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counting{listener: listener, to: to}
	go c.accept()
	return c, nil
}

// accept takes connections until the listener closes.
func (c *counting) accept() {
	for {
		near, err := c.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		go c.copy(far, near)
		go c.copy(near, far)
	}
}

// copy passes one direction on.
func (c *counting) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.bytes.Add(int64(n))
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// close ends the listener.
func (c *counting) close() {
	_ = c.listener.Close()
}

// bytesOfCall returns the bytes above TCP that one heartbeat moves both ways,
// the frames of the session and of TLS included.
func (c *counting) bytesOfCall(network *yamuxlink.Network, handler link.Handler) (float64, error) {
	l, err := network.Dial(context.Background(), c.listener.Addr().String(), handler)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	if _, err := l.Call(context.Background(), heartbeatQuestion()); err != nil {
		return 0, err
	}
	before := c.bytes.Load()
	for range callsPerLink {
		if _, err := l.Call(context.Background(), heartbeatQuestion()); err != nil {
			return 0, err
		}
	}
	return float64(c.bytes.Load()-before) / callsPerLink, nil
}
