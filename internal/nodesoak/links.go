package nodesoak

import (
	"bytes"
	"fmt"
	"net"
	"sync"

	"zinniapin/internal/standin/prepared"
)

// links are the ways of one node to targets. The node learns their addresses in place of the targets' own: those
// differ in the last number of the IP address alone, so that answers of the store keep their length.
type links struct {
	host int // number of the node

	mu   sync.Mutex
	ways map[string]*prepared.Way // by the address of the target
	mode prepared.WayMode         // of all ways
}

// newLinks returns the links of a node without any target.
func newLinks(host int) *links { return &links{host: host, ways: make(map[string]*prepared.Way)} }

// targetIP is the address at which all targets listen, maxLinkedHosts the number of nodes that can have links.
const (
	targetIP       = "127.0.0.1"
	maxLinkedHosts = 8
)

// add adds the way to a target.
func (l *links) add(target string) {
	_, port, err := net.SplitHostPort(target)
	if err != nil || l.host >= maxLinkedHosts {
		panic(fmt.Sprint("no way to ", target, " for node ", l.host))
	}
	way, err := prepared.NewWayAt(fmt.Sprintf("127.0.0.%d:%s", 2+l.host, port), target)
	if err != nil {
		panic(err) // nothing else listens there
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	way.Set(l.mode)
	l.ways[target] = way
}

// set changes the mode of all ways.
func (l *links) set(mode prepared.WayMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	var changes sync.WaitGroup
	for _, way := range l.ways {
		changes.Go(func() { way.Set(mode) })
	}
	changes.Wait()
}

// close ends all ways.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, way := range l.ways {
		way.Close()
	}
}

// rewrite replaces addresses of targets by those of the ways to them.
func (l *links) rewrite(answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target, way := range l.ways {
		for rest := answer; ; {
			at := bytes.Index(rest, []byte(target))
			if at < 0 {
				break
			}
			copy(rest[at:], way.Address())
			rest = rest[at+len(target):]
		}
	}
}
