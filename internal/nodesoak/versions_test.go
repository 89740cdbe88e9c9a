package nodesoak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/internal/verdict"
	"zinniapin/platform"
)

const (
	// versionEngines is the number of engines that serve at a time in a versionRun.
	versionEngines = 6
	// versionEvents is the number of events in their streams, and versionPause the pause before each.
	versionEvents, versionPause = 30, 40 * time.Millisecond
	// versionCallers is the number of callers.
	versionCallers = 24
	// takeUpRetries is how often a caller takes up a stream, and takeUpTime the time in which it does.
	takeUpRetries, takeUpTime = 3, 6 * time.Second
	// versionDrain is how long the entry of an engine that leaves stays in the store.
	versionDrain = time.Second
	// storeWrites and storeReads are the calls of the store a second beyond which it refuses calls.
	storeWrites, storeReads = 400, 2000
)

// versionRun is a run in which software versions of the engines follow each other, under callers that take up the
// streams that broke off.
type versionRun struct {
	*deployment
	latest int // number of the newest version
	old    []*prepared.Target
	// older is the program of an older build, and programs what each node ran from when on.
	older    string
	programs map[string][]programSince

	mu    sync.Mutex
	notes []string // what was done when
}

// newVersionRun makes a deployment serve one version.
func newVersionRun(d *deployment) *versionRun {
	v := &versionRun{deployment: d}
	v.noteStalls()
	d.crashPart.Store("")
	d.store.Change(func(s *prepared.StoreSwitches) { s.WritesPerS, s.ReadsPerS = storeWrites, storeReads })
	d.onStart = func(s *prepared.Target) {
		s.Events = versionEvents
		s.Change(func(c *prepared.TargetSwitches) { c.EventPause = versionPause })
	}
	for _, s := range d.engines {
		v.remove(s)
	}
	d.engines = nil
	v.startVersion(versionEngines)
	return v
}

// note keeps what was done, for the report of a run that fails.
func (v *versionRun) note(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notes = append(v.notes, fmt.Sprintf("%7.3f ", time.Since(v.begun).Seconds())+fmt.Sprintf(format, args...))
}

const (
	// pulse is how often a run looks whether its own process stands still, and maxPulse the time from which it does.
	pulse, maxPulse = 20 * time.Millisecond, 300 * time.Millisecond
)

// noteStalls notes when the process of the test, which holds the store, the targets and the callers, stood still.
func (v *versionRun) noteStalls() {
	stop := make(chan struct{})
	v.t.Cleanup(func() { close(stop) })
	go func() {
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-stop:
				return
			case <-time.After(pulse):
			}
			if stood := time.Since(last); stood > maxPulse {
				v.note("the test's own process stood still for %v until now", stood.Round(time.Millisecond))
			}
		}
	}()
}

// report logs the notes.
func (v *versionRun) report() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.t.Logf("done in the run:\n%s", strings.Join(v.notes, "\n"))
}

// startVersion begins the release of a new version with some engines.
func (v *versionRun) startVersion(count int) {
	v.latest++
	v.old, v.engines = append(v.old, v.engines...), nil
	v.startMore(count)
}

// startMore starts more engines of the newest version.
func (v *versionRun) startMore(count int) {
	for range count {
		v.startEngine(fmt.Sprint("v", v.latest))
	}
	v.note("%d engines of v%d start", count, v.latest)
}

// drain makes the engines of earlier versions leave.
func (v *versionRun) drain() {
	for _, s := range v.old {
		entry := s.Entry("model", "z0")
		entry["State"] = "draining"
		v.store.Write(platform.TargetsCollection, s.ID, entry)
		s.SetHeader("Server-Leaving: 1\r\n")
		v.leftAt[s.ID] = time.Now()
		time.AfterFunc(versionDrain, func() { v.store.Remove(platform.TargetsCollection, s.ID) })
	}
	v.note("%d engines of earlier versions leave", len(v.old))
	v.old = nil
}

// retire makes the engines of earlier versions leave if there are many, once enough of the newest serve.
func (v *versionRun) retire() {
	if len(v.old) <= versionEngines {
		return
	}
	if missing := versionEngines - len(v.engines); missing > 0 {
		v.startMore(missing)
	}
	v.drain()
}

// remove removes the entry of an engine that leaves without a notice.
func (v *versionRun) remove(s *prepared.Target) {
	v.leftAt[s.ID] = time.Now()
	v.store.Remove(platform.TargetsCollection, s.ID)
}

// call starts the callers and returns a function that ends them.
func (v *versionRun) call(seed uint64) (end func()) {
	stop, ended := make(chan struct{}), sync.WaitGroup{}
	for i := range versionCallers {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		ended.Go(func() { v.callStreams(r, fmt.Sprint("c", i), stop) })
	}
	return func() {
		close(stop)
		ended.Wait()
	}
}

// callStreams begins streams, and takes up those that break off, until stop is closed.
func (v *versionRun) callStreams(r *rand.Rand, name string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+r.IntN(60)) * time.Millisecond):
		}
		s := verdict.Request{ID: fmt.Sprintf("%s-%d", name, n), Route: "draft", Prompt: promptOf("")}
		if v.attempt(r, &s, "") && !s.Complete && s.Answer != "" && s.Left.IsZero() {
			v.takeUpStream(r, s)
		}
	}
}

// attempt sends a request to a node that accepts a connection; false if none is up.
func (v *versionRun) attempt(r *rand.Rand, s *verdict.Request, headers string) bool {
	node := v.nodes[r.IntN(len(v.nodes))]
	c, err := net.DialTimeout("tcp", node.settings.Listen, 300*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close() //nolint:errcheck // nothing more is written
	s.Host, s.Key = node.name, v.key.Load().(string)
	exchange(c, bufio.NewReader(c), s, headers, callerTimeout)
	v.attempts.add(*s)
	return true
}

// takeUpStream takes up a stream that broke off.
func (v *versionRun) takeUpStream(r *rand.Rand, s verdict.Request) {
	first, body, begun := s.ID, s.Answer, time.Now()
	for try := 1; try <= takeUpRetries && time.Since(begun) < takeUpTime; {
		time.Sleep(time.Duration(50+r.IntN(400)) * time.Millisecond)
		s.ID, s.Resumes = fmt.Sprintf("%s-again-%d", first, try), first
		events := strings.Count(body, "\n\n")
		if !v.attempt(r, &s, fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", events, first)) {
			continue // no node accepted the connection
		}
		try++
		whole := s.Complete && s.Status == http.StatusOK
		v.attempts.mu.Lock()
		v.attempts.takenUp++
		if whole {
			v.attempts.wentOn++
		}
		v.attempts.mu.Unlock()
		if !s.Complete || whole {
			body += s.Answer
		}
		if whole || !s.Left.IsZero() {
			return
		}
	}
}

// kill kills nodes at once and starts them after a time.
func (v *versionRun) kill(nodes []*process, again time.Duration) {
	v.note("%d nodes are killed for %v", len(nodes), again.Round(time.Millisecond))
	for _, p := range nodes {
		v.signal(p, syscall.SIGKILL)
	}
	for _, p := range nodes {
		p.waitEnded(time.Second)
	}
	time.Sleep(again)
	for _, p := range nodes {
		if err := p.start(); err != nil {
			v.t.Error(err)
		}
	}
}

// some draws nodes.
func (v *versionRun) some(count int) []*process {
	all := slices.Clone(v.nodes)
	v.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:count]
}
