// Package socket sets options of sockets that net does not offer.
package socket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer that bounds how long
// written bytes may stay unacknowledged before the kernel gives a connection
// up.
func UserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}
