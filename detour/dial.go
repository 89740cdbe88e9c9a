// Package detour opens connections to targets: over this host's own links or, where these are lost, through other hosts.
// Package reach decides which links are lost, package tunnel carries the connections.
//
// A connection is opened before any byte of a request is written to it, so that trying two ways at a time runs
// nothing twice.
package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"zinniapin/reach"
	"zinniapin/socket"
)

// ErrNoWay means that this host does not reach the target over its own links and no other host does, or none could be
// asked. It says nothing of the target.
var ErrNoWay = errors.New("detour: no way to the target over this host's links or another host")

// ErrTargetDown is joined to the error of a connection to a target that another host, whose links work, does not reach
// either.
var ErrTargetDown = errors.New("detour: other hosts do not reach the target either")

// Outcome is the result of asking another host to connect to a target.
type Outcome int

// Outcomes of such a request.
const (
	Connected  Outcome = iota
	NoWay              // the host does not reach the target either
	NoLinks            // it has lost its links to all targets
	Refused            // the target refuses connections
	Unanswered         // the target does not answer
	NoAnswer           // the host did not answer, or has no room
)

// Hosts connects to targets through other hosts.
type Hosts interface {
	// Hosts returns the other hosts, the availability zone of this one and that of the target at an address.
	Hosts(address string) (all []reach.Host, ownZone, targetZone string)
	// Open asks a host to connect to the target at an address. The connection is nil unless the outcome is Connected.
	Open(ctx context.Context, host, address string) (net.Conn, Outcome)
}

const (
	// connectTimeout bounds the opening of a connection. Targets are in the same region, a few
	// milliseconds away.
	connectTimeout = 400 * time.Millisecond
	// userTimeout bounds how long written bytes stay unacknowledged. It is longer than any
	// request takes, so that the kernel does not drop the connection before a reset does: a reset
	// discards the unsent bytes of the request and tells the target, a drop by the kernel does not.
	userTimeout = 30 * time.Second
	// hedgeDelay is the time without a connection after which another host is asked as well. Targets are a few
	// milliseconds away.
	hedgeDelay = 120 * time.Millisecond
	// askTimeout bounds the time in which another host answers, which may have to connect to a silent target.
	askTimeout = 200 * time.Millisecond
	// detourTimeout bounds the connecting for another host. It is below its askTimeout.
	detourTimeout = 150 * time.Millisecond
)

// Options configure a Dialer. The zero value is that of a host that has no others to ask.
type Options struct {
	Hosts Hosts
	// OnChange is called with the addresses of the targets whose links are lost, whenever these change.
	OnChange func(lost map[string]bool)
}

// Dialer connects to targets. It is safe for concurrent use.
type Dialer struct {
	// Opened counts the connections opened over this host's own links, Asked the requests for one to other hosts.
	Opened, Asked atomic.Int64
	options       Options

	telling sync.Mutex // held while OnChange is called, so that the latest change is told last
	mu      sync.Mutex
	table   *reach.Table
}

// New returns a dialer whose links all work.
func New(o Options) *Dialer { return &Dialer{options: o, table: reach.New(rand.Uint64())} }

// SetTargets replaces the targets.
func (d *Dialer) SetTargets(all []reach.Target) {
	d.mu.Lock()
	changed := d.table.SetTargets(all)
	d.mu.Unlock()
	if changed {
		d.changed()
	}
}

// IsLost tells whether the link to a target is lost.
func (d *Dialer) IsLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsLost(address)
}

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	Detour bool // it passes through another host
}

// Dial connects to a target. Its error is joined with ErrNoWay where the target is not at fault.
func (d *Dialer) Dial(ctx context.Context, address string) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if !d.IsLost(address) {
		return d.race(ctx, address)
	}
	c, outcome := d.detour(ctx, address)
	if c == nil {
		return Conn{}, outcome.err()
	}
	return Conn{c, true}, nil
}

// err returns the error for a target that another host has not reached.
func (w Outcome) err() error {
	switch w {
	case Refused:
		return errors.Join(syscall.ECONNREFUSED, ErrTargetDown)
	case Unanswered:
		return errors.Join(syscall.ETIMEDOUT, ErrTargetDown)
	default:
		return ErrNoWay
	}
}

// attempt is the end of one of two attempts to connect.
type attempt struct {
	conn    net.Conn
	outcome Outcome
	err     error // of the direct attempt
}

// race connects directly and, if that fails or takes long, through another host. The first connection is used.
func (d *Dialer) race(ctx context.Context, address string) (Conn, error) {
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
	asking, outcome := false, NoAnswer
	ask := func() {
		if asking = d.options.Hosts != nil; asking {
			go func() {
				c, o := d.detour(ctx, address)
				other <- attempt{conn: c, outcome: o}
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
				return Conn{a.conn, false}, nil
			}
			if failed = a.err; !asking && outcome == NoAnswer && ctx.Err() == nil {
				ask()
			}
		case <-hedge.C:
			if failed == nil {
				ask()
			}
		case a := <-other:
			asking, outcome = false, a.outcome
			if a.conn != nil {
				if failed == nil {
					go closeLate(direct)
				}
				d.bypassed(address)
				return Conn{a.conn, true}, nil
			}
		}
		if failed != nil && !asking {
			if errors.Is(ctx.Err(), context.Canceled) {
				return Conn{}, failed // the caller has left
			}
			return Conn{}, d.failure(address, outcome, failed)
		}
	}
}

// failure records that neither this host nor another one has connected to a target, and returns the error.
func (d *Dialer) failure(address string, outcome Outcome, failed error) error {
	if outcome == Refused || outcome == Unanswered {
		return errors.Join(failed, ErrTargetDown)
	}
	d.mu.Lock()
	news := d.table.Failed(address)
	lost := d.table.IsLost(address)
	d.mu.Unlock()
	if news {
		d.changed()
	}
	if lost {
		return errors.Join(failed, ErrNoWay)
	}
	return failed
}

// closeLate closes the connection of an attempt that came too late.
func closeLate(from <-chan attempt) {
	if a := <-from; a.conn != nil {
		socket.Reset(a.conn)
	}
}

// connect connects to a target over this host's own links.
func (d *Dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	n := net.Dialer{Timeout: connectTimeout, Control: socket.UserTimeout(userTimeout), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 4}}
	c, err := n.DialContext(ctx, "tcp", address)
	if err == nil {
		d.Opened.Add(1)
	}
	return c, err
}

// detour connects to a target through another host. The outcome is Connected only with a connection.
func (d *Dialer) detour(ctx context.Context, address string) (net.Conn, Outcome) {
	if d.options.Hosts == nil {
		return nil, NoAnswer
	}
	all, ownZone, targetZone := d.options.Hosts.Hosts(address)
	d.mu.Lock()
	hosts := d.table.Order(time.Now(), address, all, ownZone, targetZone)
	d.mu.Unlock()
	last := NoAnswer
	for _, h := range hosts {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		d.Asked.Add(1)
		c, outcome := d.options.Hosts.Open(askCtx, h.Address, address)
		cancel()
		d.note(h.Address, address, outcome, ctx.Err() == nil)
		switch outcome {
		case Connected, Refused, Unanswered:
			return c, outcome
		case NoWay, NoLinks:
			last = NoWay
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// note records what a host answered about a target. If it had too little time, its silence means nothing.
func (d *Dialer) note(host, address string, outcome Outcome, hadTime bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case outcome == Connected:
		d.table.Helped(now, host)
	case outcome == NoWay:
		d.table.HasNoWay(now, host, address)
	case outcome == NoLinks:
		d.table.HasNoLinks(now, host)
	case outcome == NoAnswer && hadTime:
		d.table.DoesNotAnswer(now, host)
	}
}

// connected records a connection over this host's own links.
func (d *Dialer) connected(address string) {
	d.mu.Lock()
	back := d.table.Connected(time.Now(), address)
	d.mu.Unlock()
	if back {
		d.changed()
	}
}

// bypassed records that another host has connected to a target while this one could not.
func (d *Dialer) bypassed(address string) {
	d.mu.Lock()
	news := d.table.Bypassed(address)
	d.mu.Unlock()
	if news {
		d.changed()
	}
}

// changed tells which links are lost.
func (d *Dialer) changed() {
	d.telling.Lock()
	defer d.telling.Unlock()
	d.mu.Lock()
	lost := d.table.Lost()
	d.mu.Unlock()
	if d.options.OnChange != nil {
		d.options.OnChange(lost)
	}
}

// ConnectFor connects to a target for another host, over this host's own links. The connection is nil unless the outcome is
// Connected.
func (d *Dialer) ConnectFor(ctx context.Context, address string) (net.Conn, Outcome) {
	d.mu.Lock()
	lost, all := d.table.IsLost(address), d.table.AllLost()
	d.mu.Unlock()
	switch {
	case all:
		return nil, NoLinks
	case lost:
		return nil, NoWay
	}
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	begun := time.Now()
	c, err := d.connect(ctx, address)
	switch {
	case err == nil:
		d.connected(address)
		return c, Connected
	case !d.proven(begun, address):
		return nil, NoWay
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, Refused
	default:
		return nil, Unanswered
	}
}

// proven tells whether this host's own links to targets like the given one have worked since a time, so that it is at
// fault if this host could not connect to it then.
func (d *Dialer) proven(since time.Time, address string) bool {
	d.mu.Lock()
	proven := d.table.Proven(since, address)
	others, known := d.table.Comparable(address)
	d.mu.Unlock()
	if proven || len(others) == 0 {
		return proven || known // without another target there is nothing to compare with
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	results := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			c, err := d.connect(ctx, other)
			if err == nil {
				d.connected(other)
				socket.Reset(c)
			}
			results <- err == nil
		}()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

// proofTimeout bounds the connecting to other targets for comparison.
const proofTimeout = 40 * time.Millisecond

// Refuses tells whether connections to a target are refused for another reason than that this host's links are lost, as
// they are once its process has ended. A connection that is accepted is returned; otherwise that is nil inside.
func (d *Dialer) Refuses(ctx context.Context, address string) (Conn, bool) {
	begun := time.Now()
	if !d.IsLost(address) {
		c, err := d.connect(ctx, address)
		if err == nil {
			d.connected(address)
			return Conn{c, false}, false
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return Conn{}, false
		}
	}
	c, outcome := d.detour(ctx, address)
	if c != nil {
		d.bypassed(address)
		return Conn{c, true}, false
	}
	return Conn{}, outcome == Refused || outcome != Unanswered && !d.IsLost(address) && d.proven(begun, address)
}

// Probe connects directly to some of the targets whose links are lost, in the background, to learn whether they are
// back. It is to be called several times a second. Each connection is passed to use.
func (d *Dialer) Probe(use func(address string, c Conn)) {
	d.mu.Lock()
	probes := d.table.Probes(time.Now())
	d.mu.Unlock()
	for _, address := range probes {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), detourTimeout)
			defer cancel()
			c, err := d.connect(ctx, address)
			if err != nil {
				_ = d.failure(address, NoWay, err) // the target may be at fault, which other hosts then say
				return
			}
			d.connected(address)
			use(address, Conn{c, false})
		}()
	}
}

// Check finds out whether the link to a target that has been silent is lost, unless it is known to be or was checked
// just now. The connection that it opened is passed to use.
func (d *Dialer) Check(address string, use func(address string, c Conn)) {
	d.mu.Lock()
	may := d.options.Hosts != nil && d.table.MayCheck(time.Now(), address)
	d.mu.Unlock()
	if !may {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if c, err := d.race(ctx, address); err == nil {
		use(address, c)
	}
}

// Drop is a use of connections that resets them.
func Drop(_ string, c Conn) { socket.Reset(c.Conn) }
