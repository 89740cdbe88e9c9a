package socketinfo_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/detour"
	"zinniapin/internal/socketinfo"
	"zinniapin/socket"
)

// accepting listens and keeps what it accepts open.
func accepting(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	return l.Addr().String()
}

// A user timeout decides when probes give up, whatever their count.
func TestUserTimeoutDecidesWhenProbesGiveUp(t *testing.T) {
	address := accepting(t)
	for _, c := range []struct {
		userTimeout, want time.Duration
	}{
		{0, 4 * time.Second}, {1500 * time.Millisecond, 2 * time.Second}, {2500 * time.Millisecond, 3 * time.Second}, {30 * time.Second, 30 * time.Second},
	} {
		is := is.New(t)
		d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}}
		if c.userTimeout > 0 {
			d.Control = socket.UserTimeout(c.userTimeout)
		}
		conn, err := d.DialContext(context.Background(), "tcp", address)
		is.NoErr(err)
		got, err := socketinfo.GiveUpTime(conn)
		is.NoErr(err)
		is.Equal(got, c.want)
		is.NoErr(conn.Close())
	}
}

// A connection to a target whose link was lost without a sign is given up by the kernel within the time of the longest
// request.
func TestSilentConnectionsToTargetsAreGivenUp(t *testing.T) {
	is := is.New(t)
	conn, err := detour.New(detour.Options{}).Dial(t.Context(), accepting(t))
	is.NoErr(err)
	given, err := socketinfo.GiveUpTime(conn.Conn)
	is.NoErr(err)
	is.True(given > 0 && given <= 30*time.Second)
	is.NoErr(conn.Close())
}
