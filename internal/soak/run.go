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
	// recoveryLimit is the time after the last fault within which every gateway must serve.
	recoveryLimit = 60 * time.Second
	// reportingTime is the time within which all usage must be reported: the windows end, and
	// the open reports of dead controllers are resolved.
	reportingTime = 10 * time.Minute
	// engineRestartDelay is the interval at which crashed engines are restarted.
	engineRestartDelay = 3 * time.Second
)

// Run simulates the system with faults for o.Span, waits for recovery and for the last usage
// reports, and returns what it found. It must run in a bubble of testing/synctest.
func Run(o Options) *Report {
	sim := newSimulation(o)
	sim.start()
	sim.operator.change(sim.operator.unchangedState)
	if !sim.waitUntilServing() {
		sim.report.violation("not every gateway serves after the start")
	}
	background, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { sim.restartCrashedEngines(background) })
	for i := range hostCount {
		tasks.Go(func() { sim.probeRevisions(background, i) })
	}
	sim.runFaultsAndLoad()
	sim.clearFaults()
	if !sim.waitUntilServing() {
		sim.report.violation("not every gateway serves %v after the last fault", recoveryLimit)
	}
	time.Sleep(reportingTime)
	stop()
	tasks.Wait()
	sim.checkAtEnd()
	sim.shutDown()
	return sim.report
}

// runFaultsAndLoad injects faults and sends requests for the configured span.
func (sim *simulation) runFaultsAndLoad() {
	ctx, cancel := context.WithTimeout(context.Background(), sim.options.Span)
	defer cancel()
	running := sim.startCallers(ctx)
	f := &faultInjector{sim: sim, reserved: map[string]bool{}}
	f.run(ctx)
	running.Wait()
}

// startCallers starts the callers, which send requests until ctx ends.
func (sim *simulation) startCallers(ctx context.Context) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for i := range callerCount {
		c := &caller{sim: sim, rng: rand.New(rand.NewPCG(sim.options.Seed, uint64(100+i))), organisation: organisations[i%len(organisations)], name: fmt.Sprint("c", i)}
		running.Go(func() { c.run(ctx) })
	}
	fatal := &caller{sim: sim, rng: rand.New(rand.NewPCG(sim.options.Seed, 99)), organisation: organisations[0], name: "fatal"}
	running.Go(func() { fatal.sendFatal(ctx) })
	return running
}

// unchangedState is an edit for change that creates a revision with the same content.
func (o *operator) unchangedState() ([]*issuedKey, *issuedKey, []target.ID) {
	keys, drained := o.snapshot()
	return keys, nil, drained
}

// clearFaults removes the faults of engines, which do not end by themselves, and creates a
// revision after the last fault.
func (sim *simulation) clearFaults() {
	for _, e := range sim.platform.allEngines() {
		e.SetFaults(engine.Faults{})
	}
	sim.operator.change(sim.operator.unchangedState)
}

// restartCrashedEngines restarts crashed engines until ctx ends.
func (sim *simulation) restartCrashedEngines(ctx context.Context) {
	for wait(ctx, engineRestartDelay) {
		hosts := sim.platform.listTargetHosts()
		engines := sim.platform.allEngines()
		for _, h := range hosts {
			if e := engines[h.Target.ID]; e != nil && h.State != provider.Gone && e.Down() {
				e.Restart()
			}
		}
	}
}

// shownRevision requests the model list of an organisation from a gateway. It returns the
// revision by which the gateway serves, according to the marker model, and the HTTP status.
func (sim *simulation) shownRevision(p *process, organisation string) (contract.Revision, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://gateway/v1/models", nil)
	if err != nil {
		return 0, 0
	}
	request.Header.Set("Authorization", "Bearer "+sim.operator.permanentKey(organisation))
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

// probeRevisions checks the revisions of a host's controller and gateway every second.
func (sim *simulation) probeRevisions(ctx context.Context, i int) {
	for wait(ctx, time.Second) {
		sim.mu.Lock()
		controller, gateway := sim.hosts[i].controller, sim.hosts[i].gateway
		sim.mu.Unlock()
		if s := controller.controller.Snapshot(); s != nil {
			sim.checkRevisionRises(controller, s.Revision)
		}
		asked := time.Now()
		shown, status := sim.shownRevision(gateway, organisations[0])
		if status != http.StatusOK {
			sim.report.outcome(fmt.Sprintf("probe.%d", status))
			continue
		}
		sim.report.outcome("probe.200")
		sim.checkRevisionRises(gateway, shown)
		sim.checkRevisionCurrent(gateway, shown, asked)
	}
}

// checkRevisionRises checks that the revision of a process never decreases.
func (sim *simulation) checkRevisionRises(p *process, shown contract.Revision) {
	sim.mu.Lock()
	highest := p.highestRevision
	p.highestRevision = max(highest, shown)
	sim.mu.Unlock()
	if shown < highest {
		sim.report.violation("%s went from revision %d back to %d", p.id, highest, shown)
	}
}

// checkRevisionCurrent checks that a gateway did not serve at a time by a configuration older
// than allowed.
func (sim *simulation) checkRevisionCurrent(p *process, shown contract.Revision, asked time.Time) {
	if required := sim.operator.requiredRevision(asked); shown < required {
		sim.reportOldConfiguration(asked, "%s serves by revision %d, want at least %d", p.id, shown, required)
	}
}

// waitUntilServing waits, at most for recoveryLimit, until every gateway serves all
// organisations by the latest configuration.
func (sim *simulation) waitUntilServing() bool {
	for began := time.Now(); time.Since(began) < recoveryLimit; time.Sleep(time.Second) {
		if sim.allServe() {
			return true
		}
	}
	return false
}

// allServe reports whether every gateway serves all organisations by the latest configuration.
func (sim *simulation) allServe() bool {
	for _, p := range sim.gateways() {
		for _, name := range organisations {
			if shown, _ := sim.shownRevision(p, name); shown != sim.operator.latestRevision() {
				return false
			}
		}
	}
	return true
}

// shutDown stops all processes and engines.
func (sim *simulation) shutDown() {
	for _, p := range sim.gateways() {
		p.stop()
		<-p.ended
		p.kill()
	}
	for _, p := range sim.controllers() {
		p.kill()
		<-p.ended
	}
	for _, e := range sim.platform.allEngines() {
		e.Close()
	}
	sim.running.Wait()
}
