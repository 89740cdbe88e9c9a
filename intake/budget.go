// Package intake bounds what remote ends make a process hold: the connections at each of its listening addresses, and the
// bytes of all of them together. Bytes are counted before they are held. If they would exceed the bound, connections whose
// requests are not complete are ended in favour of others; see Ledger.
package intake

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/event"
)

// Errors of connections. In both cases nothing was done with the request.
var (
	// ErrFull means that the process can hold no more.
	ErrFull = errors.New("intake: the process can hold no more")
	// ErrEvicted means that the connection was ended in favour of others.
	ErrEvicted = errors.New("intake: the connection was ended in favour of others")
)

const (
	// ownMB is the memory that a process takes without any remote end: its program and its own state.
	ownMB = 24
	// memoryShare is the share of the rest that remote ends can make the process hold. What is left is for its work and
	// for what the garbage collector has not freed yet.
	memoryShare = 0.4
	// waitLimit bounds the wait for the bytes of evicted connections.
	waitLimit = time.Second
	// logInterval is the least interval between two log lines on refusals at one address.
	logInterval = time.Second
)

// Kind is a kind of listening addresses.
type Kind struct {
	// Name tells the address apart in logs and metrics.
	Name string
	// Share is the share of the process's descriptors for its connections. What all kinds leave is for the process's own
	// files and connections, of which a request in progress needs one.
	Share float64
	// ReceiveBytes bounds the unread input that the kernel keeps of a connection, and SendBytes the output that was not sent.
	ReceiveBytes, SendBytes int
}

// Kinds of listening addresses.
var (
	// Callers is the kind of addresses for callers.
	Callers = Kind{Name: "callers", Share: 3.0 / 8, ReceiveBytes: 32 << 10, SendBytes: 64 << 10}
	// Operators is the kind of addresses for readiness checks and metrics.
	Operators = Kind{Name: "operators", Share: 1.0 / 16, ReceiveBytes: 8 << 10, SendBytes: 32 << 10}
	// Links is the kind of addresses for links of a process that has callers as well.
	Links = Kind{Name: "links", Share: 1.0 / 16, ReceiveBytes: 64 << 10, SendBytes: 64 << 10}
	// ControllerLinks is Links for a process without callers.
	ControllerLinks = Kind{Name: "links", Share: 3.0 / 8, ReceiveBytes: 64 << 10, SendBytes: 64 << 10}
)

// tunnelShare is the share of the descriptors for connections to targets on behalf of other hosts.
const tunnelShare = 1.0 / 16

// Tunnels returns how many connections to targets the process may have on behalf of other hosts.
func (b *Budget) Tunnels() int { return int(tunnelShare * float64(b.descriptors)) }

// processBytes is what a connection holds in the process by itself: two stacks and buffers of 16 KiB, and a head of 4 KiB in
// the copies that its parsing takes.
const processBytes = 32 << 10

// Options configure a Budget.
type Options struct {
	// MemoryMB is the memory of the process.
	MemoryMB int
	// Descriptors is the number of files and sockets that the process may have open; 0 stands for its limit of open files.
	Descriptors int
	Log         *zerolog.Logger
	Registry    prometheus.Registerer // nil registers no metrics
}

// Budget is what the remote ends of a process make it hold. It is safe for concurrent use.
type Budget struct {
	descriptors int
	log         *zerolog.Logger
	refused     *prometheus.CounterVec

	mu     sync.Mutex // guards the fields below, and the decisions
	ledger *Ledger
	conns  map[*Holder]*Conn
	// collecting is set while collect runs.
	collecting bool
	logged     map[string]*refusals // by address
}

// refusals are the refusals at an address since the last log line.
type refusals struct {
	at              time.Time
	full, evictions int
}

// New returns a budget of which nothing is used.
func New(o Options) *Budget {
	b := &Budget{descriptors: o.Descriptors, log: o.Log, ledger: NewLedger(bytesOf(o.MemoryMB)), conns: make(map[*Holder]*Conn), logged: make(map[string]*refusals)}
	if b.descriptors == 0 {
		b.descriptors = openFileLimit()
	}
	b.refused = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "zinnia_intake_refused_total", Help: "Connections that were refused or ended since the process can hold no more, by address and reason."}, []string{"address", "reason"})
	if o.Registry != nil {
		o.Registry.MustRegister(b.refused,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "zinnia_intake_bytes", Help: "Bytes that accepted connections make the process hold."}, func() float64 { used, _ := b.usage(); return used }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "zinnia_intake_limit_bytes", Help: "Bytes that accepted connections may make the process hold."}, func() float64 { _, limit := b.usage(); return limit }))
	}
	return b
}

// bytesOf returns the bytes that remote ends can make a process hold.
func bytesOf(memoryMB int) int64 { return int64(memoryShare * float64(memoryMB-ownMB) * (1 << 20)) }

// defaultOpenFiles stands for a limit of open files that cannot be read.
const defaultOpenFiles = 1024

// openFileLimit returns the process's limit of open files.
func openFileLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultOpenFiles
	}
	return int(min(limit.Cur, 1<<20))
}

// SetMemory changes the memory of the process, in MB.
func (b *Budget) SetMemory(memoryMB int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.SetLimit(bytesOf(memoryMB))
}

// usage returns the bytes that are held and those that may be.
func (b *Budget) usage() (used, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.ledger.used), float64(b.ledger.limit)
}

// Listen returns a listener that accepts the connections of l within the budget. A nil budget bounds nothing.
func (b *Budget) Listen(l net.Listener, k Kind) net.Listener {
	if b == nil {
		return l
	}
	a := &Address{
		Name:            k.Name,
		Connections:     int(k.Share * float64(b.descriptors)),
		ConnectionBytes: processBytes + int64(k.ReceiveBytes),
		AnswerBytes:     int64(k.SendBytes),
	}
	return &listener{Listener: l, budget: b, address: a}
}

// open adds a connection and returns it, or nil if there can be no further one.
func (b *Budget) open(c net.Conn, a *Address) *Conn {
	b.mu.Lock()
	h, evicted := b.ledger.Open(time.Now(), a)
	var last *Conn
	if evicted != nil {
		last = b.conns[evicted]
		b.count(a, true)
	}
	if h == nil {
		b.count(a, false)
		b.mu.Unlock()
		return nil
	}
	k := &Conn{Conn: c, budget: b, holder: h, granted: make(chan struct{}, 1), ended: make(chan struct{})}
	k.users.Store(1)
	b.conns[h] = k
	b.mu.Unlock()
	if last != nil {
		_ = last.Close() // its descriptor is needed
	}
	if k.reserveKernel(a.ConnectionBytes) != nil {
		_ = k.Close()
		return nil
	}
	return k
}

// reserve asks for bytes of a holder and ends the connections that were evicted for it.
func (b *Budget) reserve(k *Conn, n int64) Outcome {
	b.mu.Lock()
	outcome, evicted := b.ledger.Reserve(time.Now(), k.holder, n)
	var ended []*Conn
	for _, h := range evicted {
		ended = append(ended, b.conns[h])
		b.count(h.address, true)
	}
	if outcome == Refused && !k.holder.ending {
		b.count(k.holder.address, false)
	}
	b.collectFor(outcome)
	b.mu.Unlock()
	for _, c := range ended {
		c.evict()
	}
	return outcome
}

// wake tells holders that their bytes were granted. The caller holds mu.
func (b *Budget) wake(granted []*Holder) {
	for _, h := range granted {
		b.conns[h].granted <- struct{}{}
	}
}

// collectFor starts to collect garbage if a holder waits. The caller holds mu.
func (b *Budget) collectFor(o Outcome) {
	if o == Waiting && !b.collecting {
		b.collecting = true
		go b.collect()
	}
}

// collect collects garbage until no holder waits for it. The memory limit of the runtime is a soft one, which garbage
// exceeds while the collector gets too little processor time.
func (b *Budget) collect() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.ledger.queue) > 0 && b.ledger.garbage > 0 {
		n := b.ledger.garbage
		b.mu.Unlock()
		runtime.GC()
		b.mu.Lock()
		b.wake(b.ledger.Collect(n))
	}
	b.collecting = false
}

// remove removes a holder, of which some bytes are left to the garbage collector.
func (b *Budget) remove(h *Holder, garbage int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Discard(h, garbage)
	b.wake(b.ledger.Close(h))
	delete(b.conns, h)
	if len(b.ledger.queue) > 0 {
		b.collectFor(Waiting)
	}
}

// count counts and logs a refusal. The caller holds mu.
func (b *Budget) count(a *Address, eviction bool) {
	r := b.logged[a.Name]
	if r == nil {
		r = &refusals{}
		b.logged[a.Name] = r
	}
	if eviction {
		r.evictions++
		b.refused.WithLabelValues(a.Name, "evicted").Inc()
	} else {
		r.full++
		b.refused.WithLabelValues(a.Name, "full").Inc()
	}
	if now := time.Now(); now.Sub(r.at) >= logInterval {
		event.IntakeRefused.Log(b.log).Str("address", a.Name).Int("refused", r.full).Int("evicted", r.evictions).
			Int("connections", a.open).Int("connection_limit", a.Connections).Int64("bytes", b.ledger.used).Int64("byte_limit", b.ledger.limit).Send()
		*r = refusals{at: now}
	}
}
