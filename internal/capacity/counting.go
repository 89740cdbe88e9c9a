package main

import (
	"context"
	"net"
	"sync/atomic"

	"zinniapin/link"
	"zinniapin/link/yamuxlink"
)

// countingProxy is a TCP proxy that counts the bytes of both directions.
type countingProxy struct {
	listener net.Listener
	address  string
	bytes    atomic.Int64
}

// startCountingProxy starts a proxy on loopback that forwards to an address.
func startCountingProxy(address string) (*countingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &countingProxy{listener: listener, address: address}
	go c.accept()
	return c, nil
}

// accept forwards connections until the listener is closed.
func (c *countingProxy) accept() {
	for {
		client, err := c.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", c.address)
		if err != nil {
			_ = client.Close()
			continue
		}
		go c.copy(server, client)
		go c.copy(client, server)
	}
}

// copy forwards one direction of a connection until it fails or ends.
func (c *countingProxy) copy(to, from net.Conn) {
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

// close closes the listener. Open connections stay.
func (c *countingProxy) close() {
	_ = c.listener.Close()
}

// bytesOfCall returns the bytes of TCP payload that one heartbeat takes in both
// directions, the framing of the session and of TLS included.
func (c *countingProxy) bytesOfCall(network *yamuxlink.Network, handler link.Handler) (float64, error) {
	l, err := network.Dial(context.Background(), c.listener.Addr().String(), handler)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	if _, err := l.Call(context.Background(), heartbeatRequest()); err != nil {
		return 0, err
	}
	before := c.bytes.Load()
	for range callsPerLink {
		if _, err := l.Call(context.Background(), heartbeatRequest()); err != nil {
			return 0, err
		}
	}
	return float64(c.bytes.Load()-before) / callsPerLink, nil
}
