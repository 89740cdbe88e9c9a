// Command case7 plays a host that stands still for a moment, lost answers of the platform's store and the end of the
// host that holds the duties, and checks that the platform accepts no two usage reports for one window with different counts.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"zinniapin/review/_src-2/world"
)

const (
	hosts   = 3
	servers = 4
	clients = 30
	// interval is the mean pause of a client between two requests.
	interval = 100 * time.Millisecond
	rounds   = 3
	// idleRoutes is the number of routes that nobody asks for.
	idleRoutes = 8
	// window is the length of a usage window; one ends whenever the Unix time is a multiple of it.
	window = 5 * time.Second
	// A host stands still from freezeBefore the end of a window until freezeAfter it.
	freezeBefore, freezeAfter = 500 * time.Millisecond, 3100 * time.Millisecond
	// From lossAfter the end of the window on, for lossTime, answers of the store are lost.
	lossAfter, lossTime = 2200 * time.Millisecond, 4500 * time.Millisecond
	// lossesAtMost is the number of writes whose answers are lost.
	lossesAtMost = 2
	// lateBy is when the first and the second of these writes are carried out.
	lateFirst, lateSecond = 2300 * time.Millisecond, 3500 * time.Millisecond
	// settleTime is the time that a host which has started is given to hear its peers.
	settleTime = 4 * time.Second
	// takeoverTime is the time in which another host takes over the duties.
	takeoverTime = 12 * time.Second
)

const (
	dutiesKind = "zinnia-duties"
	dutiesName = "holder"
)

func main() { os.Exit(run()) }

// run plays the case and returns the exit code.
func run() int {
	w, err := world.New()
	if err != nil {
		return fail(err)
	}
	defer w.Close()
	l, err := newLossyStore(w)
	if err != nil {
		return fail(err)
	}
	defer l.close()
	if err := prepare(w, l); err != nil {
		return fail(err)
	}
	var attempts world.Attempts
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { w.RunClient(fmt.Sprint("c", i), "riga-a", "read", interval, &attempts, stop) })
	}
	played := 0
	for range rounds {
		if !world.Trouble() {
			time.Sleep(25 * time.Second)
			played++
			continue
		}
		if playRound(w, l) {
			played++
		}
		if len(differing(w)) > 0 {
			break
		}
	}
	close(stop)
	running.Wait()
	return judge(w, l, attempts.All(), played)
}

// fail reports that the case could not run.
func fail(err error) int {
	fmt.Println("the case could not run:", err)
	return 2
}

// prepare starts the servers and hosts and waits until one of these holds the duties.
func prepare(w *world.World, l *lossyStore) error {
	w.IdleRoutes = idleRoutes
	w.Configure()
	if err := w.AddServers(servers, world.ServerOptions{Slots: 6, Queue: 24, Work: 30 * time.Millisecond}); err != nil {
		return err
	}
	for i := range hosts {
		n, err := w.AddNode(fmt.Sprint("front-riga-a-", i+1), "riga-a", l.address())
		if err != nil {
			return err
		}
		if err := n.Start(); err != nil {
			return err
		}
	}
	w.Balance()
	if awaitHolder(w, "") == nil {
		return fmt.Errorf("no host holds the duties")
	}
	return nil
}

// holder returns the host that the record in the store names, nil if there is none.
func holder(w *world.World) *world.Node {
	var record struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(w.Store.Read(dutiesKind, dutiesName), &record) != nil {
		return nil
	}
	for _, n := range w.Nodes {
		if n.Name == record.Holder {
			return n
		}
	}
	return nil
}

// awaitHolder waits until another host than the named one holds the duties, and returns it.
func awaitHolder(w *world.World, not string) *world.Node {
	for until := time.Now().Add(takeoverTime); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if n := holder(w); n != nil && n.Name != not {
			return n
		}
	}
	return nil
}

// rank is the order in which hosts try to take over the duties.
func rank(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// kill kills the process of a host, which the platform starts again.
func kill(w *world.World, n *world.Node) {
	n.Signal(syscall.SIGKILL)
	n.AwaitEnd()
	time.Sleep(world.RestartDelay)
	if err := n.Start(); err != nil {
		w.Record.Add("%s: %v", n.Name, err)
	}
}

// playRound plays one round of the disruption. It returns whether all of it could be played.
func playRound(w *world.World, l *lossyStore) bool {
	first := w.Nodes[0]
	for _, n := range w.Nodes {
		if rank(n.Name) < rank(first.Name) {
			first = n
		}
	}
	// The host that tries first shall be the one that takes over below. It is restarted as planned if it holds the duties.
	if holder(w) == first {
		first.Signal(syscall.SIGTERM)
		if awaitHolder(w, first.Name) == nil {
			w.Record.Add("no other host took over")
			return false
		}
		first.AwaitEnd()
		time.Sleep(world.RestartDelay)
		if err := first.Start(); err != nil {
			w.Record.Add("%s: %v", first.Name, err)
		}
		time.Sleep(settleTime)
	}
	acting := holder(w)
	var still *world.Node
	for _, n := range w.Nodes {
		if n != first && n != acting {
			still = n
		}
	}
	if acting == nil || acting == first || still == nil {
		w.Record.Add("the duties moved on")
		return false
	}
	end := time.Now().Add(2 * time.Second).Truncate(window).Add(window)
	number := uint64(end.Unix())/uint64(window.Seconds()) - 1
	w.Record.AddAt(end, "window %d ends; %s holds the duties, %s stands still, %s would take over", number, acting.Name, still.Name, first.Name)
	time.Sleep(time.Until(end.Add(-freezeBefore)))
	still.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(end.Add(lossAfter)))
	l.lose(true)
	time.Sleep(time.Until(end.Add(freezeAfter)))
	still.Signal(syscall.SIGCONT)
	for until := end.Add(lossAfter + lossTime); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if reported(w, number) > 0 {
			w.Record.Add("window %d was reported", number)
			break
		}
	}
	if reported(w, number) > 0 {
		kill(w, acting)
	}
	time.Sleep(time.Until(end.Add(lossAfter + lossTime)))
	l.lose(false)
	if awaitHolder(w, acting.Name) == nil {
		w.Record.Add("no other host took over")
		return false
	}
	time.Sleep(2 * time.Second)
	return true
}

// report is an accepted usage report.
type report struct {
	window uint64
	holder string
	fence  uint64
	counts string
	at     time.Time
}

// reports returns the accepted reports in order.
func reports(w *world.World) []report {
	var all []report
	for _, c := range w.Duties.Calls("/usage") {
		if c.Status != http.StatusOK {
			continue
		}
		counts, _ := json.Marshal(c.Body["Counts"]) // it came as JSON
		number, _ := c.Body["WindowId"].(float64)
		all = append(all, report{uint64(number), c.Holder, c.Fence, string(counts), c.At})
	}
	return all
}

// reported returns the number of accepted reports for a window.
func reported(w *world.World, number uint64) int {
	count := 0
	for _, r := range reports(w) {
		if r.window == number {
			count++
		}
	}
	return count
}

// differing returns the windows for which reports with different counts were accepted.
func differing(w *world.World) []uint64 {
	first := make(map[uint64]string)
	var all []uint64
	for _, r := range reports(w) {
		if counts, ok := first[r.window]; ok && counts != r.counts {
			all = append(all, r.window)
		} else if !ok {
			first[r.window] = r.counts
		}
	}
	return all
}

// judge writes the record and returns the exit code: 1 if two different reports for one window were accepted.
func judge(w *world.World, l *lossyStore, attempts []world.Attempt, played int) int {
	for _, r := range reports(w) {
		w.Record.AddAt(r.at, "the platform accepts the report of window %d from %s, fence %d: %s", r.window, r.holder, r.fence, r.counts)
	}
	complete := 0
	for _, a := range attempts {
		if a.Complete {
			complete++
		}
	}
	windows := differing(w)
	text := fmt.Sprintf("%d rounds, %d requests, %d answered, %d reports, answers lost to %d of %d writes in these times; windows with different reports: %v",
		played, len(attempts), complete, len(reports(w)), l.lost(), l.writes(), windows)
	w.Record.Add("%s", text)
	fmt.Println(text)
	if err := w.Record.Write(os.Args[1]); err != nil {
		return fail(err)
	}
	switch {
	case len(windows) > 0:
		return 1
	case complete == 0 || played == 0 || len(reports(w)) == 0:
		return fail(fmt.Errorf("nothing was played"))
	}
	return 0
}

// lossyStore passes calls on to the store. While it loses answers, the first writes to the record of the duties get
// none and are carried out late.
type lossyStore struct {
	w        *world.World
	listener net.Listener
	proxy    *httputil.ReverseProxy

	mu      sync.Mutex
	losing  bool
	left    int // writes whose answers are still to be lost
	losses  int
	seen    int // writes of hosts while answers were lost
	started time.Time
	spans   time.Duration
}

// newLossyStore starts a proxy before the store.
func newLossyStore(w *world.World) (*lossyStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &lossyStore{w: w, listener: listener, proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: w.Store.Address()})}
	l.proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) {} // hosts give calls up when they end
	go func() { _ = http.Serve(listener, l) }()                               // ends with the listener
	return l, nil
}

func (l *lossyStore) address() string { return l.listener.Addr().String() }

func (l *lossyStore) close() { _ = l.listener.Close() }

// lose begins or ends the loss of answers.
func (l *lossyStore) lose(losing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losing, l.left = losing, lossesAtMost
	if losing {
		l.started = time.Now()
	} else {
		l.spans += time.Since(l.started)
	}
	l.w.Record.Add("the store loses answers: %v", losing)
}

// lost returns the number of writes without an answer.
func (l *lossyStore) lost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.losses
}

// writes returns the number of writes while answers were lost, those of the servers included.
func (l *lossyStore) writes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen + servers*int(l.spans/world.HeartbeatInterval)
}

// ServeHTTP passes a call on, or loses its answer.
func (l *lossyStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		l.proxy.ServeHTTP(rw, r)
		return
	}
	l.mu.Lock()
	ofDuties := r.Method == http.MethodPut && r.URL.Path == "/objects/"+dutiesKind+"/"+dutiesName
	loses := l.losing && ofDuties && l.left > 0
	lateBy := lateFirst
	if l.losing {
		l.seen++
	}
	if loses {
		if l.left < lossesAtMost {
			lateBy = lateSecond
		}
		l.left--
		l.losses++
	}
	l.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if ofDuties {
		l.w.Record.Add("write of the record of the duties, answer lost %v: %s", loses, body)
	}
	if !loses {
		r.Body = io.NopCloser(bytes.NewReader(body))
		l.proxy.ServeHTTP(rw, r)
		return
	}
	target := "http://" + l.w.Store.Address() + r.URL.RequestURI()
	time.AfterFunc(lateBy, func() {
		late, err := http.NewRequest(r.Method, target, bytes.NewReader(body))
		if err != nil {
			return
		}
		response, err := http.DefaultClient.Do(late)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		l.w.Record.Add("the write is carried out %v late: status %s", lateBy, strconv.Itoa(response.StatusCode))
	})
	<-r.Context().Done()
}
