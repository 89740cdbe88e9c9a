package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"zinniapin/contract"
	"zinniapin/internal/standin/engine"
	"zinniapin/provider"
	"zinniapin/target"
)

const (
	// settling is the time after the last fault within which all must serve.
	settling = 60 * time.Second
	// reporting is the time in which all usage must be reported: the windows
	// end, and the orders of dead authors settle.
	reporting = 10 * time.Minute
	// restartAfter is how long a crashed engine stays down.
	restartAfter = 3 * time.Second
)

// Run runs the world with faults for the span, lets it settle and returns
// what it found. It must be called within a bubble of testing/synctest.
func Run(o Options) *Report {
	w := newWorld(o)
	w.start()
	w.operator.change(w.operator.unchanged)
	if !w.serves() {
		w.report.violation("not everything served at the start")
	}
	background, stop := context.WithCancel(context.Background())
	var chores sync.WaitGroup
	chores.Go(func() { w.repair(background) })
	for i := range hostCount {
		chores.Go(func() { w.probe(background, i) })
	}
	w.disturbAndLoad()
	w.heal()
	if !w.serves() {
		w.report.violation("not everything serves %v after the last fault", settling)
	}
	time.Sleep(reporting)
	stop()
	chores.Wait()
	w.judge()
	w.shutDown()
	return w.report
}

// disturbAndLoad runs faults and callers for the span.
func (w *world) disturbAndLoad() {
	ctx, cancel := context.WithTimeout(context.Background(), w.options.Span)
	defer cancel()
	running := w.load(ctx)
	f := &faults{world: w, held: map[string]bool{}}
	f.run(ctx)
	running.Wait()
}

// load starts callers, which send requests until ctx ends.
func (w *world) load(ctx context.Context) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for i := range callerCount {
		c := &caller{world: w, rng: rand.New(rand.NewPCG(w.options.Seed, uint64(100+i))), organisation: organisations[i%len(organisations)], name: fmt.Sprint("c", i)}
		running.Go(func() { c.run(ctx) })
	}
	return running
}

// unchanged proposes the present state under a new revision.
func (o *operator) unchanged() ([]*issued, *issued, []target.ID) {
	keys, drained := o.state()
	return keys, nil, drained
}

// heal takes the faults away that do not heal by themselves.
func (w *world) heal() {
	for _, e := range w.cloud.all() {
		e.SetFaults(engine.Faults{})
	}
	w.operator.change(w.operator.unchanged)
}

// repair restarts engines that crashed, until ctx ends.
func (w *world) repair(ctx context.Context) {
	for wait(ctx, restartAfter) {
		hosts := w.cloud.listed()
		made := w.cloud.all()
		for _, h := range hosts {
			if e := made[h.Target.ID]; e != nil && h.State != provider.Gone && e.Down() {
				e.Restart()
			}
		}
	}
}

// models asks a gateway for the models of an organisation and returns the
// revision that they show.
func (w *world) models(p *process, organisation string) (contract.Revision, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://gateway/v1/models", nil)
	if err != nil {
		return 0, 0
	}
	request.Header.Set("Authorization", "Bearer "+w.operator.lasting(organisation))
	response, err := p.client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&list) != nil {
		return 0, response.StatusCode
	}
	var shown contract.Revision
	for _, m := range list.Data {
		if digits, ok := strings.CutPrefix(m.ID, "rev-"); ok {
			_, _ = fmt.Sscanf(digits, "%d", &shown)
		}
	}
	return shown, response.StatusCode
}

// probe looks at the revisions of a host's processes every second.
func (w *world) probe(ctx context.Context, i int) {
	for wait(ctx, time.Second) {
		w.mu.Lock()
		k, g := w.hosts[i].controller, w.hosts[i].gateway
		w.mu.Unlock()
		if s := k.control.Snapshot(); s != nil {
			w.rises(k, s.Revision)
		}
		asked := time.Now()
		shown, status := w.models(g, organisations[0])
		if status != http.StatusOK {
			w.report.outcome(fmt.Sprintf("probe.%d", status))
			continue
		}
		w.report.outcome("probe.200")
		w.rises(g, shown)
		w.current(g, shown, asked)
	}
}

// rises checks that the revision of a process only rises.
func (w *world) rises(p *process, shown contract.Revision) {
	w.mu.Lock()
	highest := p.highest
	p.highest = max(highest, shown)
	w.mu.Unlock()
	if shown < highest {
		w.report.violation("%s went from revision %d back to %d", p.id, highest, shown)
	}
}

// current checks that a gateway that serves does not serve by an old
// configuration.
func (w *world) current(p *process, shown contract.Revision, asked time.Time) {
	if due := w.operator.due(asked); shown < due {
		w.older(asked, "%s serves by revision %d, due is %d", p.id, shown, due)
	}
}

// serves waits, for settling at most, until every gateway serves both
// organisations by the latest configuration.
func (w *world) serves() bool {
	for began := time.Now(); time.Since(began) < settling; time.Sleep(time.Second) {
		if w.allServe() {
			return true
		}
	}
	return false
}

// allServe tells whether every gateway serves both organisations now.
func (w *world) allServe() bool {
	for _, p := range w.gateways() {
		for _, name := range organisations {
			if shown, _ := w.models(p, name); shown != w.operator.latest() {
				return false
			}
		}
	}
	return true
}

// shutDown ends every process.
func (w *world) shutDown() {
	for _, p := range w.gateways() {
		p.stop()
		<-p.ended
		p.kill()
	}
	for _, p := range w.controllers() {
		p.kill()
		<-p.ended
	}
	for _, e := range w.cloud.all() {
		e.Close()
	}
	w.loops.Wait()
}
