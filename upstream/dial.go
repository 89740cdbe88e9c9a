package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"zinniapin/reach"
	"zinniapin/socket"
)

// ErrNoWay is joined to ErrNotSent if this host does not reach the target over its own links and no other host does,
// or none could be asked. It says nothing of the target.
var ErrNoWay = errors.New("upstream: no way to the target over this host's links or another host")

// Word is what another host says of a target to which it was asked to connect.
type Word int

// Words of other hosts.
const (
	Connected  Word = iota
	NoWay           // the host does not reach the target either
	Refused         // the target refuses connections
	Unanswered      // the target does not answer
	NoAnswer        // the host did not answer, or has no room
)

// Detours connects to targets through other hosts.
type Detours interface {
	// Hosts returns the other hosts, the availability zone of this one and that of the target at an address.
	Hosts(address string) (all []reach.Host, ownZone, targetZone string)
	// Open asks a host to connect to the target at an address. The connection is nil unless the word is Connected.
	Open(ctx context.Context, host, address string) (net.Conn, Word)
}

const (
	// hedgeDelay is the time without a connection after which another host is asked as well. Targets are a few
	// milliseconds away.
	hedgeDelay = 120 * time.Millisecond
	// askTimeout bounds the time in which another host answers, which may have to connect to a silent target.
	askTimeout = 200 * time.Millisecond
	// checkAfter is the time without a byte of a response after which the link to its target is checked.
	checkAfter = 400 * time.Millisecond
	// detourTimeout bounds the connecting for another host. It is below its askTimeout.
	detourTimeout = 150 * time.Millisecond
)

// dialer connects to targets, over other hosts where this host's own links are lost. It is safe for concurrent use.
type dialer struct {
	detours Detours // nil if there are no other hosts
	// onChange is called with the targets whose links are lost when that changes; nil if nobody is told.
	onChange func(lost map[string]bool)
	opened   *atomic.Int64

	mu    sync.Mutex
	table *reach.Table
	asked atomic.Int64 // connections asked of other hosts
}

// dial connects to a target. Its errors are ErrNotSent, joined with ErrNoWay where the target is not at fault.
func (d *dialer) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if d.isLost(address) {
		c, word := d.detour(ctx, address)
		if c == nil {
			return nil, errors.Join(ErrNotSent, word.err())
		}
		return newConnection(c, address, true), nil
	}
	return d.race(ctx, address)
}

// err returns the error for a target that another host has not reached.
func (w Word) err() error {
	switch w {
	case Refused:
		return syscall.ECONNREFUSED
	case Unanswered:
		return syscall.ETIMEDOUT
	default:
		return ErrNoWay
	}
}

// attempt is the end of one of two attempts to connect.
type attempt struct {
	conn net.Conn
	word Word
	err  error // of the direct attempt
}

// race connects directly and, if that fails or takes long, through another host. The first connection is used.
func (d *dialer) race(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct, other := make(chan attempt, 1), make(chan attempt, 1)
	go func() {
		c, err := d.connect(ctx, address)
		direct <- attempt{conn: c, err: err}
	}()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	var failed error // of the direct attempt
	asking, word := false, NoAnswer
	ask := func() {
		if asking = d.detours != nil; asking {
			go func() {
				c, w := d.detour(ctx, address)
				other <- attempt{conn: c, word: w}
			}()
		}
	}
	for {
		select {
		case a := <-direct:
			if a.conn != nil {
				if asking {
					go closeLate(other)
				}
				d.connected(address)
				return newConnection(a.conn, address, false), nil
			}
			if failed = a.err; !asking && word == NoAnswer && ctx.Err() == nil {
				ask()
			}
		case <-hedge.C:
			if failed == nil {
				ask()
			}
		case a := <-other:
			asking, word = false, a.word
			if a.conn != nil {
				if failed == nil {
					go closeLate(direct)
				}
				d.bypassed(address)
				return newConnection(a.conn, address, true), nil
			}
		}
		if failed != nil && !asking {
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil, errors.Join(ErrNotSent, failed) // the caller has left
			}
			return nil, d.failure(address, word, failed)
		}
	}
}

// failure records that neither this host nor another one has connected to a target, and returns the error.
func (d *dialer) failure(address string, word Word, failed error) error {
	if word == Refused || word == Unanswered {
		return errors.Join(ErrNotSent, failed)
	}
	d.mu.Lock()
	news := d.table.Failed(address)
	lost := d.table.IsLost(address)
	d.mu.Unlock()
	if news {
		d.changed()
	}
	if lost {
		failed = errors.Join(failed, ErrNoWay)
	}
	return errors.Join(ErrNotSent, failed)
}

// closeLate closes the connection of an attempt that came too late.
func closeLate(from <-chan attempt) {
	if a := <-from; a.conn != nil {
		socket.Reset(a.conn)
	}
}

// connect connects to a target over this host's own links.
func (d *dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	n := net.Dialer{Timeout: connectTimeout, Control: socket.UserTimeout(tcpUserTimeout), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 4}}
	c, err := n.DialContext(ctx, "tcp", address)
	if err == nil {
		d.opened.Add(1)
	}
	return c, err
}

// detour connects to a target through another host. The word is Connected only with a connection.
func (d *dialer) detour(ctx context.Context, address string) (net.Conn, Word) {
	if d.detours == nil {
		return nil, NoAnswer
	}
	all, ownZone, targetZone := d.detours.Hosts(address)
	d.mu.Lock()
	hosts := d.table.Order(time.Now(), all, ownZone, targetZone)
	d.mu.Unlock()
	last := NoAnswer
	for _, h := range hosts {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		d.asked.Add(1)
		c, word := d.detours.Open(askCtx, h.Address, address)
		cancel()
		now := time.Now()
		switch word {
		case Connected, Refused, Unanswered:
			return c, word
		case NoWay:
			d.mu.Lock()
			d.table.HasNoWay(now, h.Address)
			d.mu.Unlock()
			last = NoWay
		default:
			if ctx.Err() == nil { // otherwise it may have been given too little time
				d.mu.Lock()
				d.table.DoesNotAnswer(now, h.Address)
				d.mu.Unlock()
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// isLost tells whether the link to a target is lost.
func (d *dialer) isLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsLost(address)
}

// connected records a connection over this host's own links.
func (d *dialer) connected(address string) {
	d.mu.Lock()
	back := d.table.Connected(time.Now(), address)
	d.mu.Unlock()
	if back {
		d.changed()
	}
}

// bypassed records that another host has connected to a target while this one could not.
func (d *dialer) bypassed(address string) {
	d.mu.Lock()
	news := d.table.Bypassed(address)
	d.mu.Unlock()
	if news {
		d.changed()
	}
}

// changed tells which links are lost.
func (d *dialer) changed() {
	d.mu.Lock()
	lost := d.table.Lost()
	d.mu.Unlock()
	if d.onChange != nil {
		d.onChange(lost)
	}
}

// connectFor connects to a target for another host.
func (d *dialer) connectFor(ctx context.Context, address string) (net.Conn, Word) {
	if d.isLost(address) {
		return nil, NoWay
	}
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	c, err := d.connect(ctx, address)
	switch {
	case err == nil:
		d.connected(address)
		return c, Connected
	case !d.proven(address):
		return nil, NoWay
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, Refused
	default:
		return nil, Unanswered
	}
}

// proven tells whether this host's own links work, so that a target that it cannot connect to is at fault.
func (d *dialer) proven(address string) bool {
	d.mu.Lock()
	proven := d.table.Proven(time.Now())
	other, known := d.table.Comparable(address)
	d.mu.Unlock()
	if proven || other == "" {
		return proven || known // without another target there is nothing to compare with
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	c, err := d.connect(ctx, other)
	if err != nil {
		return false
	}
	d.connected(other)
	socket.Reset(c)
	return true
}

// proofTimeout bounds the connecting to another target for comparison.
const proofTimeout = 40 * time.Millisecond

// refuses tells whether connections to a target are refused for another reason than that this host's links are lost.
// A connection that is accepted is returned.
func (d *dialer) refuses(ctx context.Context, address string) (*connection, bool) {
	if !d.isLost(address) {
		c, err := d.connect(ctx, address)
		if err == nil {
			d.connected(address)
			return newConnection(c, address, false), false
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return nil, false
		}
	}
	c, word := d.detour(ctx, address)
	if c != nil {
		d.bypassed(address)
		return newConnection(c, address, true), false
	}
	return nil, word == Refused || word != Unanswered && !d.isLost(address) && d.proven(address)
}
