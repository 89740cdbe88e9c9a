package detour_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/detour"
	"zinniapin/internal/standin/prepared"
	"zinniapin/reach"
)

// otherHost connects to the targets of ways.
type otherHost struct{ targets map[string]string }

// Hosts implements detour.Hosts.
func (otherHost) Hosts(string) ([]reach.Host, string, string) {
	return []reach.Host{{Address: "other", Zone: "a"}}, "a", "a"
}

// Open implements detour.Hosts.
func (o otherHost) Open(_ context.Context, _, address string) (net.Conn, detour.Outcome) {
	c, err := net.Dial("tcp", o.targets[address])
	if err != nil {
		return nil, detour.Refused
	}
	return c, detour.Connected
}

// Changes that come close to each other are told in their order, or a link would be taken for lost after it is back.
func TestLatestChangeIsToldLast(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close() //nolint:errcheck // a test
	way := prepared.NewWay(l.Addr().String())
	defer way.Close()
	way.Set(prepared.WayReset)
	var mu sync.Mutex
	told, first := -1, true
	d := detour.New(detour.Options{Hosts: otherHost{map[string]string{way.Address(): l.Addr().String()}}, OnChange: func(lost map[string]bool) {
		mu.Lock()
		slow := first
		first = false
		mu.Unlock()
		if slow {
			time.Sleep(300 * time.Millisecond)
		}
		mu.Lock()
		told = len(lost)
		mu.Unlock()
	}})
	d.SetTargets([]reach.Target{{Address: way.Address()}})
	lost := make(chan error, 1)
	go func() { _, err := d.Dial(t.Context(), way.Address()); lost <- err }()
	time.Sleep(100 * time.Millisecond)
	way.Set(prepared.WayOpen)
	for begun := time.Now(); d.IsLost(way.Address()) && time.Since(begun) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
		d.Probe(detour.Drop)
	}
	is.NoErr(<-lost)
	time.Sleep(400 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(told, 0)
}
