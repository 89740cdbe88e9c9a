package nodesoak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"zinniapin/internal/standin/prepared"
	"zinniapin/platform"
)

var (
	seedFlag    = flag.Uint64("nodesoak.seed", 0, "run this seed alone")
	secondsFlag = flag.Int("nodesoak.seconds", 8, "seconds of faults in a run")
	keepFlag    = flag.Bool("nodesoak.keep", false, "keep the logs of a run that passes too")
	programFlag = flag.String("nodesoak.program", "", "path of the zinnia-node to run, of another revision perhaps; empty: built from this one")
	nodesFlag   = flag.Int("nodesoak.nodes", 4, "node processes")
)

// ciSeeds are the seeds that CI runs. A seed that has failed is added here together with
// the cause.
var ciSeeds = []uint64{
	1, 2,
	201, // streams went on at another software version
	301, // targets crashed under one part of prompts
	701, // crashes of a target that had started again counted as one
}

// TestSoak runs node processes under faults drawn from a seed:
//
//	go test ./internal/nodesoak -run TestSoak -nodesoak.seed 7 -nodesoak.seconds 60 -v
func TestSoak(t *testing.T) {
	program := nodeProgram(t)
	seeds := ciSeeds
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

// deployment is the system of one run: nodes, targets and the simulated platform.
type deployment struct {
	t        *testing.T
	random   *rand.Rand
	store    *prepared.Store
	duties   *prepared.DutyServer
	targets  []*prepared.Target // all that were started
	engines  []*prepared.Target // those of them that produce streams and have not left
	nodes    []*process
	key      atomic.Value // string: the API key of the current configuration
	version  int
	attempts attemptLog
	// withdrawnKeys maps each API key that is not in the current configuration to the time
	// when the configuration without it was written.
	withdrawnKeys map[string]time.Time
	configuration json.RawMessage
	copiedAt      time.Time // of the store's latest copy
	// crashPart is the part of prompts that callers send at present although it ends targets; empty if none.
	crashPart atomic.Value
	limits    []limitSpan
	quietFrom time.Time // when the faults had ended, but for parts of prompts that end targets
	// leftAt maps each target that has left to the time when it said so.
	leftAt map[string]time.Time
	// onStart is called with each engine that starts in the run, unless it is nil.
	onStart func(*prepared.Target)
	// seed and rude are those of a run of a pair.
	seed uint64
	rude *rudeCaller
}

// soak runs one seed.
func soak(t *testing.T, program string, seed uint64) {
	folder := t.TempDir()
	t.Cleanup(func() { keepLogs(t, folder, seed) })
	d := newDeployment(t, program, folder, seed)
	d.crashPart.Store("")
	endCallers := d.startCallers(seed)
	for end := time.Now().Add(time.Duration(*secondsFlag) * time.Second); time.Now().Before(end); {
		d.injectFault()
		time.Sleep(time.Duration(d.random.IntN(600)) * time.Millisecond)
	}
	d.endFaults()
	d.quietFrom = time.Now()
	time.Sleep(2 * time.Second)
	endCallers()
	time.Sleep(time.Second) // wait for requests that targets execute late
	d.check()
}

// keepLogs copies the logs of a failed run, or of any if that is asked for, to the folder for temporary files.
func keepLogs(t *testing.T, folder string, seed uint64) {
	if !t.Failed() && !*keepFlag {
		return
	}
	keep := filepath.Join(os.TempDir(), fmt.Sprintf("nodesoak-%d-%d", seed, time.Now().Unix()))
	if err := os.CopyFS(keep, os.DirFS(folder)); err != nil {
		t.Errorf("cannot copy the logs: %v", err)
		return
	}
	t.Logf("logs were copied to %s", keep)
}

// newDeployment starts the simulated platform, the targets and the nodes, and waits until
// all nodes are ready.
func newDeployment(t *testing.T, program, folder string, seed uint64) *deployment {
	d := &deployment{t: t, random: rand.New(rand.NewPCG(seed, seed+1)), store: prepared.NewStore(), duties: prepared.NewDutyServer(), withdrawnKeys: make(map[string]time.Time), leftAt: make(map[string]time.Time)}
	t.Cleanup(d.store.Close)
	t.Cleanup(d.duties.Close)
	d.store.CountEras()
	for i := range 3 {
		s := prepared.NewTarget(fmt.Sprint("i-", i))
		s.Echo = true
		t.Cleanup(s.Close)
		d.targets = append(d.targets, s)
		d.store.Write(platform.TargetsCollection, s.ID, s.Entry("desk", "z0"))
	}
	for i := range 4 {
		d.startEngine(versions[i%len(versions)])
	}
	d.configure()
	for range *nodesFlag {
		d.addNode(program, folder, seed)
	}
	d.waitAllReady(10 * time.Second)
	return d
}

// startEngine starts an engine of a software version. Its streams end in one of the ways that the
// protocol allows.
func (d *deployment) startEngine(version string) {
	s := prepared.NewTarget(fmt.Sprint("e-", len(d.targets)))
	s.Stage, s.Version, s.Events, s.EventPause = "decode", version, streamEvents, 10*time.Millisecond
	s.UntilClose, s.EndBroken = d.random.IntN(2) == 0, d.random.IntN(2) == 0
	s.CrashOn(time.Duration(500+d.random.IntN(2500))*time.Millisecond, crashParts...)
	if d.onStart != nil {
		d.onStart(s)
	}
	d.t.Cleanup(s.Close)
	d.targets, d.engines = append(d.targets, s), append(d.engines, s)
	d.store.Write(platform.TargetsCollection, s.ID, s.Entry("model", "z0"))
}

// release replaces the engine that has served longest by one of a random version.
func (d *deployment) release() {
	d.startEngine(versions[d.random.IntN(len(versions))])
	old := d.engines[0]
	d.engines = d.engines[1:]
	entry := old.Entry("model", "z0")
	entry["State"] = "draining"
	d.store.Write(platform.TargetsCollection, old.ID, entry)
	old.SetHeader("Server-Leaving: 1\r\n")
	for i := range d.limits {
		if l := &d.limits[i]; l.target == old && l.to.After(time.Now()) {
			l.to = time.Now()
		}
	}
	d.leftAt[old.ID] = time.Now()
	time.AfterFunc(drainTime, func() { d.store.Remove(platform.TargetsCollection, old.ID) })
}

// drainTime is how long the entry of a target that leaves stays in the store.
const drainTime = 3 * time.Second

// maxCopyAge is the age up to which the store comes back from its latest copy.
const maxCopyAge = 6 * time.Second

// rewind lets the store come back from its latest copy. The operator and the targets write again what
// they wrote, and the entries of targets that have left expire.
func (d *deployment) rewind() {
	if d.copiedAt.IsZero() || time.Since(d.copiedAt) > maxCopyAge {
		return
	}
	d.disturbAll()
	d.store.Restore()
	time.Sleep(time.Duration(d.random.IntN(400)) * time.Millisecond)
	d.store.Write(platform.ConfigurationsCollection, platform.ConfigurationName, d.configuration)
	for _, s := range d.targets {
		service := "model"
		if s.Stage == "" {
			service = "desk"
		}
		entry := s.Entry(service, "z0")
		left, leaves := d.leftAt[s.ID]
		switch {
		case leaves && time.Since(left) > drainTime:
			d.store.Remove(platform.TargetsCollection, s.ID)
			continue
		case leaves:
			entry["State"] = "draining"
		}
		d.store.Write(platform.TargetsCollection, s.ID, entry)
	}
}

// configure writes a new configuration whose API key replaces the previous one.
func (d *deployment) configure() {
	d.version += 1 + d.random.IntN(3)
	key := fmt.Sprint("key-", d.version)
	d.configuration = json.RawMessage(fmt.Sprintf(`{"Version":%d,"Routes":[
	{"Name":"read","Host":"shop.example","PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2},
	{"Name":"take","Host":"shop.example","PathPrefix":"/take/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":150,"Service":"desk","MaxAttempts":2},
	{"Name":"draft","Host":"shop.example","PathPrefix":"/draft/","Kind":"stream","TimeoutMs":3000,"TargetLatencyMs":500,"TargetGapMs":300,"Resumable":true,"Service":"model","MaxAttempts":2},
	{"Name":"reply","Host":"shop.example","PathPrefix":"/reply/","Kind":"stream","TimeoutMs":3000,"TargetLatencyMs":500,"TargetGapMs":300,"Resumable":true,"Service":"model","MaxAttempts":1}],
	"Services":[{"Name":"desk"},{"Name":"model","Engine":{"Slots":64,"KvCapacityTokens":500000,"KvTokenBytes":1000,"LinkMbps":100000,"Stride":10,"KvHoldS":5}}],
	"Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":5000},
	"Tenants":[{"Name":"parents","ApiKeys":["%s"]}]}`, d.version, key))
	d.store.Write(platform.ConfigurationsCollection, platform.ConfigurationName, d.configuration)
	if old, ok := d.key.Load().(string); ok {
		d.withdrawnKeys[old] = time.Now()
	}
	d.key.Store(key)
}

// injectFault injects one random fault. A fault may begin before earlier ones have ended.
func (d *deployment) injectFault() {
	node := d.nodes[d.random.IntN(len(d.nodes))]
	s := d.targets[d.random.IntN(len(d.targets))]
	duration := time.Duration(300+d.random.IntN(2500)) * time.Millisecond
	d.t.Helper()
	var err error
	if d.random.IntN(4) == 0 {
		d.store.TakeCopy()
		d.copiedAt = time.Now()
	}
	switch d.random.IntN(15) {
	case 0:
		err = node.signal(syscall.SIGKILL)
		time.AfterFunc(duration/3, func() { _ = node.start() })
	case 1:
		err = node.signal(syscall.SIGTERM)
		time.AfterFunc(7500*time.Millisecond, func() { _ = node.start() })
	case 2:
		err = node.signal(syscall.SIGSTOP)
		time.AfterFunc(duration, func() { _ = node.signal(syscall.SIGCONT) })
	case 3:
		node.disturb()
		node.store.set(mode(1 + d.random.IntN(4))) // any mode but pass
		time.AfterFunc(duration, func() { node.disturb(); node.store.set(pass) })
	case 4:
		d.disturbAll()
		d.store.SetDown(true)
		time.AfterFunc(duration, func() { d.disturbAll(); d.store.SetDown(false) })
	case 5:
		d.configure()
	case 6:
		all := []prepared.Fault{prepared.RunAndReset, prepared.Truncated, prepared.WrongRequestID, prepared.ExtraResponse, prepared.RefuseNotRun, prepared.RefusePause, prepared.RunAndFail, prepared.RunAndHang, prepared.WrongInstance, prepared.RefuseUnmarked, prepared.EarlyResponse, prepared.BrokenStream, prepared.BrokenStream}
		var next []prepared.Fault
		for range 1 + d.random.IntN(4) {
			next = append(next, all[d.random.IntN(len(all))])
		}
		s.SetFaults(next...)
	case 7:
		d.disturbAll()
		d.store.LoseAnswers(1 + d.random.IntN(3))
	case 8:
		d.store.Compact()
	case 9:
		err = node.reload(d.random.IntN(2) == 0, 7+d.random.Float64())
	case 10:
		for _, s := range d.engines {
			s.SetFaults(slices.Repeat([]prepared.Fault{prepared.BrokenStream}, 1+d.random.IntN(4))...)
		}
	case 11:
		d.release()
	case 12:
		d.rewind()
	case 13:
		d.crashPart.Store(crashParts[d.random.IntN(len(crashParts))])
	case 14:
		d.limitTarget(s)
	}
	if err != nil {
		d.t.Errorf("cannot inject a fault: %v", err)
	}
}

// endFaults ends all faults, waits until every node is ready and writes a last
// configuration.
func (d *deployment) endFaults() {
	time.Sleep(3 * time.Second) // faults in progress end
	d.store.SetDown(false)
	d.store.LoseAnswers(0)
	for _, s := range d.targets {
		s.SetFaults()
	}
	for _, p := range d.nodes {
		p.store.set(pass)
		_ = p.signal(syscall.SIGCONT)
	}
	d.waitAllReady(15 * time.Second)
	d.configure() // all nodes must put this one in force
}

// waitAllReady starts the nodes that are not running and waits until all are ready.
func (d *deployment) waitAllReady(limit time.Duration) {
	d.t.Helper()
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range d.nodes {
			if err := p.start(); err != nil {
				d.t.Error(err)
			}
			if p.ready() {
				ready++
			}
		}
		if ready == len(d.nodes) {
			return
		}
		if time.Since(begun) > limit {
			d.t.Fatalf("%d of %d nodes are ready after %v", ready, len(d.nodes), limit)
		}
	}
}

// maxWithdrawnKeyTime is how long a withdrawn key may still be accepted. It covers the 2 s
// within which a configuration must be in force, and the longest fault during which a node
// receives no changes, up to 2.8 s.
const maxWithdrawnKeyTime = 6 * time.Second

// maxDrainTime is how long a target that leaves may get requests: the 2 s within which its leaving must
// be known, and the longest fault, as for maxWithdrawnKeyTime.
const maxDrainTime = 6 * time.Second

// check verifies the attempts of the callers against what the targets executed.
func (d *deployment) check() {
	runs := make(map[string]int)
	for _, s := range d.targets {
		for _, a := range s.Arrivals() {
			if a.Executed {
				runs[a.Header.Get("X-Request-Id")]++
			}
			if left, ok := d.leftAt[s.ID]; ok && a.At.Sub(left) > maxDrainTime {
				d.t.Errorf("target %s got %s %v after it had said that it leaves", s.ID, a.Header.Get("X-Request-Id"), a.At.Sub(left))
			}
			if a.Header.Get("X-Credential") != "" || a.Header.Get("X-Tenant") != "parents" {
				d.t.Errorf("target %s received unexpected headers %v", s.ID, a.Header)
			}
		}
	}
	statuses, sound := make(map[int]int), 0
	for _, s := range d.attempts.all {
		statuses[s.status]++
		if s.part == "" {
			sound++
		}
		n := runs[s.id]
		if s.kind == "take" && n > 1 {
			d.t.Errorf("%s was executed %d times", s.id, n)
		}
		if s.kind == "take" && n > 0 && (s.status == http.StatusServiceUnavailable || s.status == http.StatusUnauthorized) {
			d.t.Errorf("%s got status %d although it was executed", s.id, s.status)
		}
		if s.status == http.StatusNotFound {
			d.t.Errorf("%s got status 404 although its route is in every configuration", s.id)
		}
		if at, ok := d.withdrawnKeys[s.key]; ok && s.status == http.StatusOK && s.begun.Sub(at) > maxWithdrawnKeyTime {
			d.t.Errorf("%s: a key was accepted %v after it had been withdrawn", s.id, s.begun.Sub(at))
		}
	}
	d.checkCrashParts()
	d.checkLimits()
	for _, violation := range d.attempts.violations {
		d.t.Error(violation)
	}
	d.checkUsageReports()
	d.t.Logf("%d attempts, answers by status %v, %d usage reports, %d of %d streams taken up went on", len(d.attempts.all), statuses, len(d.duties.Calls("/usage")), d.attempts.wentOn, d.attempts.takenUp)
	if statuses[http.StatusOK] < sound/4 {
		d.t.Errorf("only %d of %d sound attempts were served", statuses[http.StatusOK], sound)
	}
}

// checkUsageReports verifies the accepted usage reports: every report of a window has the
// same figures, and no two hosts use the same fencing token.
func (d *deployment) checkUsageReports() {
	figures := make(map[any]string)
	holders := make(map[uint64]string)
	for _, c := range d.duties.Calls("/usage") {
		if c.Status != http.StatusOK {
			continue
		}
		counts := fmt.Sprint(c.Body["Counts"])
		if earlier, ok := figures[c.Body["WindowId"]]; ok && earlier != counts {
			d.t.Errorf("window %v was reported as %s and %s", c.Body["WindowId"], earlier, counts)
		}
		figures[c.Body["WindowId"]] = counts
		if earlier, ok := holders[c.Fence]; ok && earlier != c.Holder {
			d.t.Errorf("fencing token %d was used by %s and %s", c.Fence, earlier, c.Holder)
		}
		holders[c.Fence] = c.Holder
	}
}
