// Package socket sets socket options that package net has no functions for.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer that sets TCP_USER_TIMEOUT:
// the kernel closes a connection whose written bytes stay unacknowledged for longer
// than limit.
func UserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}
}

// Reset closes a connection and drops what was written and not sent yet. The other end of a TCP connection sees a
// reset.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Close()
}

// HasInput tells whether bytes that were not read, or the end of the connection, have arrived at a socket. It does not
// block, and returns false for a connection that is no socket.
func HasInput(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // the connection is closed
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err != nil || !errors.Is(peekErr, unix.EAGAIN)
}

// WasReset tells whether a TCP connection was reset by the other end, or closed at this one. It is to be asked at the
// end of what was read: a read may return io.EOF after a reset, since the kernel reports the reset to one call only,
// which may be a concurrent write. It looks beneath wrappers with a method NetConn, and returns false for other
// connections than TCP.
func WasReset(c net.Conn) bool {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err != nil || info != nil && info.State == unix.BPF_TCP_CLOSE
}
