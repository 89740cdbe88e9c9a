package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/target"
)

// configurationDelay is the time after which an accepted configuration must be in force
// wherever requests are served.
const configurationDelay = 14 * time.Second

// organisations are the callers' organisations.
var organisations = []string{"kalnins", "sonar"}

// issuedKey is a key and when it was withdrawn.
type issuedKey struct {
	key          string
	organisation string
	withdrawn    time.Time // when the withdrawal was accepted
}

// acceptedRevision is a revision and when its acceptance was known.
type acceptedRevision struct {
	revision contract.Revision
	at       time.Time
}

// operator makes configuration changes, two of them racing at times.
type operator struct {
	sim         *simulation
	changeMutex sync.Mutex // one change, or one race, at a time
	count       int
	mu          sync.Mutex
	keys        []*issuedKey
	drained     []target.ID
	history     []acceptedRevision
}

// newOperator returns an operator with one lasting key an organisation.
func newOperator(sim *simulation) *operator {
	o := &operator{sim: sim}
	for _, name := range organisations {
		o.keys = append(o.keys, &issuedKey{key: keyPrefix + name + "-lasting", organisation: name})
	}
	return o
}

// permanentKey returns the key of an organisation that is never withdrawn.
func (o *operator) permanentKey(organisation string) string {
	return keyPrefix + organisation + "-lasting"
}

// key draws a key for a request: mostly the lasting one, else any, also one
// that is withdrawn.
func (o *operator) key(rng *rand.Rand, organisation string) string {
	if rng.IntN(3) != 0 {
		return o.permanentKey(organisation)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var own []string
	for _, k := range o.keys {
		if k.organisation == organisation {
			own = append(own, k.key)
		}
	}
	return own[max(0, len(own)-1-rng.IntN(4))]
}

// latestRevision returns the newest revision known to be accepted.
func (o *operator) latestRevision() contract.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.history) == 0 {
		return 0
	}
	return o.history[len(o.history)-1].revision
}

// markerModel names the model that shows a revision to callers.
func markerModel(r contract.Revision) string { return fmt.Sprintf("rev-%06d", r) }

// proposal returns a change to a state of keys and drains.
func (o *operator) proposal(base contract.Revision, keys []*issuedKey, withdraw *issuedKey, drained []target.ID) configuration.Proposal {
	o.count++
	p := configuration.Proposal{ID: fmt.Sprintf("change-%d", o.count), Author: "operator", Base: base}
	mark := markerModel(base + 1)
	p.Fleet = &contract.Fleet{
		Zones:  zones,
		Models: []contract.Model{{Name: modelName, Pool: poolName}, {Name: mark, Pool: "marks"}},
		Pools:  []contract.Pool{{Name: poolName, MaxOnDemand: 4, MaxReclaimable: 4, Disaggregated: true}, {Name: "marks"}},
		Services: []contract.Service{{Name: serviceName, Routes: []contract.Route{
			{Method: "POST", Path: "/deposits"}, {Method: "POST", Path: "/drafts", Repeatable: true},
		}}},
		Drained:            drained,
		UsageWindowSeconds: 20,
	}
	for _, name := range organisations {
		k := &contract.Contract{Organisation: name, Models: []string{modelName, mark}, Services: []string{serviceName},
			Limits: contract.Limits{RequestsPerSecond: 100, Concurrency: 200}}
		for _, key := range keys {
			if key.organisation != name {
				continue
			}
			gone := !key.withdrawn.IsZero() || key == withdraw
			k.Keys = append(k.Keys, contract.Key{Fingerprint: contract.Fingerprint(key.key), Withdrawn: gone})
		}
		p.Contracts = append(p.Contracts, k)
	}
	return p
}

// settle repeats a proposal until it is known whether it was accepted.
func (o *operator) proposeUntilDecided(p configuration.Proposal) (contract.Revision, bool) {
	for {
		revision, err := configuration.Accept(context.Background(), o.sim.objects, p, time.Now())
		if err == nil {
			return revision, true
		}
		if code := result.CodeOf(err); code != result.StoreUnknown && code != result.StoreUnavailable {
			if code != result.RevisionConflict {
				o.sim.report.violation("operator: %v", err)
			}
			return 0, false
		}
		time.Sleep(time.Second)
	}
}

// change makes one change and waits until it is accepted. It must win, since
// nobody races.
func (o *operator) change(edit func() (keys []*issuedKey, withdraw *issuedKey, drained []target.ID)) {
	o.changeMutex.Lock()
	defer o.changeMutex.Unlock()
	keys, withdraw, drained := edit()
	p := o.proposal(o.latestRevision(), keys, withdraw, drained)
	revision, ok := o.proposeUntilDecided(p)
	if !ok {
		o.sim.report.violation("operator: change %s on revision %d lost without a race", p.ID, p.Base)
		return
	}
	o.recordAccepted(revision, keys, withdraw, drained)
}

// recordAccepted notes an accepted change.
func (o *operator) recordAccepted(revision contract.Revision, keys []*issuedKey, withdraw *issuedKey, drained []target.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.history); n > 0 && o.history[n-1].revision+1 != revision {
		o.sim.report.violation("operator: revision %d accepted after %d", revision, o.history[n-1].revision)
	}
	o.keys, o.drained = keys, drained
	if withdraw != nil {
		withdraw.withdrawn = time.Now()
	}
	o.history = append(o.history, acceptedRevision{revision, time.Now()})
	o.sim.report.event("revision %d accepted", revision)
}

// state returns the present keys and drains.
func (o *operator) state() ([]*issuedKey, []target.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.keys), slices.Clone(o.drained)
}

// issue adds a key for an organisation.
func (o *operator) issue(organisation string) {
	o.change(func() ([]*issuedKey, *issuedKey, []target.ID) {
		keys, drained := o.state()
		key := &issuedKey{key: fmt.Sprintf("%s%s-%d", keyPrefix, organisation, len(keys)), organisation: organisation}
		return append(keys, key), nil, drained
	})
}

// withdraw withdraws the newest key that still works, if there is one besides
// the lasting ones.
func (o *operator) withdraw() {
	o.change(func() ([]*issuedKey, *issuedKey, []target.ID) {
		keys, drained := o.state()
		for i := len(keys) - 1; i >= len(organisations); i-- {
			if keys[i].withdrawn.IsZero() {
				return keys, keys[i], drained
			}
		}
		return keys, nil, drained
	})
}

// drain changes the set of drained targets.
func (o *operator) drain(drained ...target.ID) {
	o.change(func() ([]*issuedKey, *issuedKey, []target.ID) {
		keys, _ := o.state()
		return keys, nil, drained
	})
}

// raceChanges lets two operators propose on one revision; at most one may win.
func (o *operator) raceChanges() {
	o.changeMutex.Lock()
	defer o.changeMutex.Unlock()
	keys, drained := o.state()
	base := o.latestRevision()
	var won [2]contract.Revision
	var running sync.WaitGroup
	for i := range won {
		p := o.proposal(base, keys, nil, drained)
		running.Go(func() { won[i], _ = o.proposeUntilDecided(p) })
	}
	running.Wait()
	if won[0] != 0 && won[1] != 0 {
		o.sim.report.violation("operator: both changes on revision %d were accepted, as %v", base, won)
	}
	o.recordAccepted(max(won[0], won[1]), keys, nil, drained)
}

// served checks the key of a request that was served.
func (o *operator) checkServedKey(a *attempt, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range o.keys {
		if k.key != key || k.withdrawn.IsZero() || a.sent.Sub(k.withdrawn) <= configurationDelay {
			continue
		}
		o.sim.reportOldConfiguration(a.sent, "%s served key %s %v after its withdrawal", a.gateway, k.key, a.sent.Sub(k.withdrawn))
	}
}

// requiredRevision returns the newest revision that must be in force at a time.
func (o *operator) requiredRevision(at time.Time) contract.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	var required contract.Revision
	for _, a := range o.history {
		if at.Sub(a.at) > configurationDelay {
			required = a.revision
		}
	}
	return required
}
