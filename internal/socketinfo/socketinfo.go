// Package socketinfo tells tests how the kernel treats a connection.
package socketinfo

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// GiveUpTime returns how long a connection on which nothing is written may be silent until the kernel gives it up, as
// Linux does: after the last keep-alive probe, or at the first one past TCP_USER_TIMEOUT if that is set, whatever
// the number of probes. It returns 0 if no probes are sent.
func GiveUpTime(c net.Conn) (time.Duration, error) {
	t, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EINVAL
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, err
	}
	options := [5]int{}
	var failed error
	err = raw.Control(func(fd uintptr) {
		for i, o := range [][2]int{{unix.SOL_SOCKET, unix.SO_KEEPALIVE}, {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE}, {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL}, {unix.IPPROTO_TCP, unix.TCP_KEEPCNT}, {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT}} {
			if options[i], failed = unix.GetsockoptInt(int(fd), o[0], o[1]); failed != nil {
				return
			}
		}
	})
	if err != nil || failed != nil {
		return 0, errors.Join(err, failed)
	}
	on, idle, interval, count, userTimeout := options[0] != 0, seconds(options[1]), seconds(options[2]), options[3], time.Duration(options[4])*time.Millisecond
	if !on {
		return 0, nil
	}
	if userTimeout == 0 {
		return idle + time.Duration(count)*interval, nil
	}
	given := idle + interval // the first probe is out, and the next is due
	for given < userTimeout {
		given += interval
	}
	return given, nil
}

// seconds returns a number of seconds as a duration.
func seconds(n int) time.Duration { return time.Duration(n) * time.Second }
