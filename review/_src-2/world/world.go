// Package world plays a small deployment on loopback for the cases of the review: the platform's store
// and its server of duties, plain servers, the balancer's view of the hosts, clients, and the program of
// the deploy file as separate processes.
package world

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"zinniapin/internal/standin/prepared"
)

// Trouble tells whether the case plays its disruption; TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record collects the lines of record.txt, in the order of their times.
type Record struct {
	mu    sync.Mutex
	begun time.Time
	lines []recordLine
}

type recordLine struct {
	at   time.Time
	text string
}

// NewRecord returns an empty record whose times count from now.
func NewRecord() *Record { return &Record{begun: time.Now()} }

// Add adds a line at the present time.
func (r *Record) Add(format string, arguments ...any) { r.AddAt(time.Now(), format, arguments...) }

// AddAt adds a line at a time.
func (r *Record) AddAt(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordLine{at, fmt.Sprintf(format, arguments...)})
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	var b strings.Builder
	for _, l := range r.lines {
		fmt.Fprintf(&b, "%9.3f  %s\n", l.at.Sub(r.begun).Seconds(), l.text)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// World is a deployment.
type World struct {
	Record  *Record
	Store   *prepared.Store
	Duties  *prepared.DutyServer
	Servers []*Server
	Nodes   []*Node
	// IdleRoutes is the number of routes of the configuration that nobody asks for.
	IdleRoutes int
	// Folder holds settings and logs; it is removed by Close.
	Folder  string
	network string

	mu      sync.Mutex
	version uint64
	stopped chan struct{}
}

// StoreDelay is the time that the store takes for an answer.
const StoreDelay = 4 * time.Millisecond

// New starts the platform of a deployment without servers and hosts.
func New() (*World, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &World{Record: NewRecord(), Store: prepared.NewStore(), Duties: prepared.NewDutyServer(), Folder: folder, stopped: make(chan struct{})}
	w.Store.Change(func(s *prepared.StoreSwitches) { s.Delay = StoreDelay })
	w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	return w, nil
}

// Close ends all processes and servers of the deployment.
func (w *World) Close() {
	close(w.stopped)
	for _, n := range w.Nodes {
		n.End()
	}
	for _, s := range w.Servers {
		s.Close()
	}
	w.Store.Close()
	w.Duties.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.Folder)
	}
}

// Key is the API key of an organisation.
func Key(organisation int) string { return fmt.Sprintf("key%d0123456789abcdef", organisation) }

// Organisation is the name of an organisation.
func Organisation(i int) string { return fmt.Sprint("org", i) }

// Organisations is the number of organisations.
const Organisations = 8

// Configure writes the next version of the configuration as the operator does. Each version has another route
// that nobody asks for, as versions of the pages add and remove some.
func (w *World) Configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	routes := []map[string]any{
		route("read", "desk", "idempotent", 2),
		route("take", "desk", "non_idempotent", 1),
		route(fmt.Sprint("added-", w.version), "desk", "idempotent", 2),
	}
	for i := range w.IdleRoutes {
		routes = append(routes, route(fmt.Sprint("idle-", i), "desk", "idempotent", 2))
	}
	var tenants []map[string]any
	for i := range Organisations {
		tenants = append(tenants, map[string]any{"Name": Organisation(i), "ApiKeys": []string{Key(i)}})
	}
	w.Store.Write("config", "main", map[string]any{
		"Version": w.version, "Routes": routes, "Tenants": tenants,
		"Services": []map[string]any{{"Name": "desk", "HealthPath": "/health", "MaxConnections": 96}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 10000},
	})
	w.Record.Add("configuration %d is written and acknowledged", w.version)
}

// route returns a route of the configuration, under the prefix of its name.
func route(name, service, kind string, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": "desk.example", "PathPrefix": "/" + name + "/", "Kind": kind, "Service": service,
		"TimeoutMs": 1000, "TargetLatencyMs": 150, "Priority": 2, "MaxAttempts": attempts,
	}
}

// AddServers starts plain servers of the service, which write their entries until the end.
func (w *World) AddServers(count int, o ServerOptions) error {
	for i := range count {
		s, err := startServer(fmt.Sprintf("i-%04x", 4096+i), o)
		if err != nil {
			return err
		}
		w.Servers = append(w.Servers, s)
		w.writeEntry(s, 1)
		go w.beat(s)
	}
	return nil
}

// HeartbeatInterval is how often a server writes its entry.
const HeartbeatInterval = 1200 * time.Millisecond

// beat writes the entry of a server again and again.
func (w *World) beat(s *Server) {
	for seq := 2; ; seq++ {
		select {
		case <-w.stopped:
			return
		case <-time.After(HeartbeatInterval):
			w.writeEntry(s, seq)
		}
	}
}

// writeEntry writes the entry of a server.
func (w *World) writeEntry(s *Server, seq int) {
	w.Store.Write("servers", s.ID, map[string]any{
		"Service": "desk", "Address": s.Address(), "Zone": "riga-a", "Version": "v1", "Slots": s.options.Slots, "State": "ready",
		"ColdLeftMs": 0, "Seq": seq, "born": s.born.UnixMilli(),
	})
}

// Program is the program of the deploy file, with the repository's root as the working directory.
const Program = "target/zinnia-node"

// Ports of a host, which has a loopback address of its own.
const (
	frontPort = 8368 + iota
	readyPort
	controlPort
)

// AddNode prepares a host with a name in a zone. Its objects are at the given address, that of the store if it is empty.
func (w *World) AddNode(name, zone, objects string) (*Node, error) {
	if objects == "" {
		objects = w.Store.Address()
	}
	ip := fmt.Sprintf("%s.%d", w.network, 1+len(w.Nodes))
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n := &Node{Name: name, Zone: zone, Front: at(frontPort), ReadyAt: at(readyPort), control: at(controlPort), world: w}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", w.network, 1+i, controlPort))
	}
	// The fields are those that deploy/node.json.template fills in.
	settings, err := json.Marshal(map[string]any{
		"host": name, "zone": zone, "region": "baltic", "listen": n.Front, "ready": n.ReadyAt, "mesh": n.control, "seeds": seeds,
		"objects": objects, "orders": w.Duties.Address(), "duties": map[string]any{"usage": true, "scaling": true},
		"memory_mb": 284, "descriptors": 4100, "link_mbps": 1000.0,
		"bounds": map[string]any{
			"grace_seconds": 8, "lease_ms": 3000, "fences_checked": true, "retry_ratio": 0.2, "retry_slack": 52, "retry_window_seconds": 10,
			"usage_window_seconds": 5, "usage_late_seconds": 10,
		},
		"log": map[string]any{"level": "info"},
	})
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(w.Folder, name+".json")
	if err := os.WriteFile(n.settings, settings, 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(w.Folder, name+".log")); err != nil {
		return nil, err
	}
	w.Nodes = append(w.Nodes, n)
	return n, nil
}
