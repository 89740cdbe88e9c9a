package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
)

// In a planned stop, requests that may not be repeated are answered before the process ends: one in progress since before
// the stop, and one whose body ends late in the grace period, which is refused before it reaches a target.
func TestPlannedStopLeavesNoRequestUnanswered(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.graceSeconds = 4
	cluster.target.Change(func(s *prepared.TargetSwitches) { s.Delay = 20 * time.Second })
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)

	answers := make(chan string, 2)
	call := func(id string) (finish func()) {
		c, err := net.Dial("tcp", n.settings.Listen)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = fmt.Fprintf(c, "POST /take/%s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 30000\r\nX-Credential: key-1\r\nContent-Length: 4\r\n\r\nab", id, id)
		return func() {
			_, _ = io.WriteString(c, "cd")
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				answers <- id + " unanswered"
				return
			}
			answers <- fmt.Sprint(id, " ", response.StatusCode)
		}
	}
	finishLate, finishEarly := call("late"), call("early")
	go finishEarly()
	eventually(t, time.Second, "the target has the request", func() bool { return len(cluster.target.Arrivals()) == 1 })
	n.stop()
	time.Sleep(2200 * time.Millisecond)
	go finishLate()
	is.Equal(<-answers, "late 503")
	select {
	case answer := <-answers:
		is.Equal(answer, "early 502")
	case <-n.ended:
		select {
		case answer := <-answers: // was on its way
			is.Equal(answer, "early 502")
		case <-time.After(500 * time.Millisecond):
			t.Error("the process would end with a request in progress")
		}
	}
	is.Equal(len(cluster.target.Arrivals()), 1)
}

// A host that passes requests on through another one goes on through a third as that one stops: each of its callers gets
// an answer, and nothing runs twice.
func TestRequestsThroughAHostThatStops(t *testing.T) {
	is := is.New(t)
	c := newCutCluster(t)
	c.ways.set(prepared.WayReset)
	c.load(c.cut, time.Second) // the links are found lost
	c.healthy[0].stop()
	served, sent := c.load(c.cut, 8*time.Second)
	t.Logf("%d of %d requests served", served, sent)
	is.Equal(served, sent)
	is.Equal(len(c.runsTwice()), 0)
}
